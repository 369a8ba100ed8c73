"""Plays seeds of the soak test and prints the findings of each."""

from __future__ import annotations

import asyncio
import shlex
import sys
from dataclasses import dataclass

import click

from ironrail.rehearsal.result import Result
from ironrail.rehearsal.routers import OWN_ROUTER
from ironrail.rehearsal.soak.rehearsal import SoakRehearsal
from ironrail.rehearsal.soak.world import ROUTER_PROCESSES, draw_world

LIMIT_VERDICTS = ("memory of a router", "descriptors of a router", "log of a router")


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The findings of one seed."""

    seed: int
    broken_rules: tuple[str, ...]  # each with an example
    crashes: tuple[str, ...]
    over_limits: tuple[str, ...]
    violations: dict[str, int]  # of invariants, by name, over all routers
    hold_ups: int
    failed_calls: int
    bursts: tuple[str, ...]  # of failing system calls, one line each
    histories: tuple[str, ...]  # of one request for each broken rule
    served: float  # fraction of the requested worth
    no_verdict: str  # why the run has no verdict, empty if it has one

    @property
    def passed(self) -> bool:
        """Whether the run has a verdict and no findings."""
        return not (self.findings or self.no_verdict)

    @property
    def findings(self) -> list[str]:
        """All findings, one line each."""
        violations = [f"violations of {name}: {count}" for name, count in self.violations.items()]
        return [*self.broken_rules, *self.crashes, *self.over_limits, *violations]

    @property
    def verdict(self) -> str:
        """The verdict as printed."""
        if self.no_verdict:
            return "NO VERDICT"
        return "FAILED" if self.findings else "ok"


async def soak(
    seed: int, routers: int = ROUTER_PROCESSES, command: tuple[str, ...] = OWN_ROUTER
) -> SoakResult:
    """Play one seed with real processes."""
    rehearsal = SoakRehearsal(draw_world(seed, routers), seed, command)
    result: Result = await rehearsal.run()
    rules: dict[str, str] = {}
    for broken in result.broken:
        rules.setdefault(broken.rule, f"{broken.rule}: {broken.what} (request {broken.request})")
    requests = {broken.rule: broken.request for broken in reversed(result.broken)}
    tries = [result.record.tries[request] for request in requests.values() if request in result.record.tries]
    facts = result.record.routers.items()
    return SoakResult(
        seed=seed,
        broken_rules=tuple(rules.values()),
        crashes=tuple(f"{name}: {fact.crashed}" for name, fact in facts if fact.crashed),
        over_limits=tuple(
            f"{verdict.name}: {verdict.measured:g} (at most {verdict.bound:g})"
            for verdict in result.verdicts
            if verdict.name in LIMIT_VERDICTS and not verdict.kept
        ),
        violations=rehearsal.violations,
        hold_ups=rehearsal.hold_ups,
        failed_calls=rehearsal.failed_calls,
        bursts=rehearsal.burst_labels(),
        histories=tuple(line for one in tries for line in one.history()),
        served=result.service.whole.share,
        no_verdict=result.no_verdict,
    )


def read_seeds(text: str) -> range:
    """Read `3` or `1..20`, both ends counted.

    Raises:
        click.BadParameter: The text is neither.
    """
    first, dots, last = text.partition("..")
    try:
        return range(int(first), int(last if dots else first) + 1)
    except ValueError as error:
        raise click.BadParameter(f"a number or A..B, not {text!r}") from error


@click.command(epilog="Exit codes: 0 nothing found, 1 something found, 3 a run without a verdict.")
@click.option("--seeds", default="1..3", show_default=True, help="A number, or A..B.")
@click.option("--routers", type=click.IntRange(1, 64), default=ROUTER_PROCESSES, show_default=True)
@click.option("--router", default=shlex.join(OWN_ROUTER), help="The command that starts a router.")
def main(seeds: str, routers: int, router: str) -> None:
    """Play random scenarios with real router processes and print the findings of each."""
    results = []
    for seed in read_seeds(seeds):
        result = asyncio.run(soak(seed, routers, tuple(shlex.split(router))))
        results.append(result)
        print(
            f"seed {seed}: {result.verdict}, served {result.served:.3f}, {result.hold_ups} hold-ups,"
            f" {result.failed_calls} failed calls",
            flush=True,
        )
        for line in [*result.findings, *([result.no_verdict] if result.no_verdict else [])]:
            print(f"  {line}", flush=True)
        if result.findings:
            for line in (*result.histories, *result.bursts):
                print(f"    {line}", flush=True)
    if any(result.findings and not result.no_verdict for result in results):
        sys.exit(1)
    sys.exit(3 if any(result.no_verdict for result in results) else 0)
