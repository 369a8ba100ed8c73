"""Seeded plans of faults and changes of policy among real processes: does what accords promise hold?

    PYTHONPATH=. python benchmarks/accord_plans.py [--plans 200] [--seed 1] [--at-once 2] [--file FILE]

Each plan: seven routers in three halls, lease 1 s, about 10 s of faults and changes, then the time until all
agree. One JSON line for each is appended to the file as it ends; those that stand there are not played again,
and a run may be cut off at any time. `--summary` tells what stands there; `--one SEED` plays one plan again,
with logs if anything was wrong.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path
from statistics import median
from typing import Any

from ironrail.rehearsal.links.accord_draws import Asked, draw_changes, draw_faults
from ironrail.rehearsal.links.accord_rig import VOTERS, world
from ironrail.rehearsal.links.accords import Stage, play
from ironrail.rehearsal.routers import end_with_parent
from ironrail.rehearsal.run import Result

FILE = Path(__file__).parent / "results" / "accord_plans.jsonl"
LENGTH = 10.0  # seconds of faults
CHANGES_IN = 9.0  # seconds in which changes are asked for
TIMES = (6.0, 15.0, 4.0)  # seconds until a change is given up, and until one left behind is: 0.3 of the usual
AGREED_IN = (
    60.0  # seconds after the last fault: an open ticket 12, joint left behind 23, elections and leases
)
HANGS = 150.0  # seconds after which a whole run is ended: what is in it may take 100
UNKNOWN = "its fate is not known"  # of a ticket that ended after the last step was sent out


class Played:
    """What goes on beside the load."""

    def __init__(self, seed: int) -> None:
        self.scenario = world()
        self.faults = draw_faults(self.scenario, seed, LENGTH, VOTERS)
        self.asked = draw_changes(self.scenario, seed, CHANGES_IN)
        self.changes: list[dict[str, Any]] = []
        self.told: dict[str, Any] = {"agreed": None}

    async def run(self, stage: Stage) -> None:
        clock = stage.rehearsal.now
        before = clock()
        await stage.found(stage.routers[0])
        self.told["founded_in"] = round(clock() - before, 2)
        began = clock()
        changes = [asyncio.ensure_future(self._change(stage, began, one)) for one in self.asked]
        await stage.carry(self.faults)
        await asyncio.sleep(max(0.0, began + CHANGES_IN - clock()))
        ended = clock()
        try:
            async with asyncio.timeout(AGREED_IN):
                await asyncio.gather(*changes)
                self.told["agreed"] = await stage.same(*stage.routers, within=AGREED_IN)
        except TimeoutError:
            self.told["pages"] = {name: await stage.policy(name) for name in stage.routers}
        self.told["agreed_in"] = round(clock() - ended, 2)

    async def _change(self, stage: Stage, began: float, asked: Asked) -> None:
        clock = stage.rehearsal.now
        await asyncio.sleep(max(0.0, began + asked.at - clock()))
        told: dict[str, Any] = {"at": asked.at, "router": asked.router, "version": asked.version}
        self.changes.append(told)
        at = clock()
        told["answer"], text = await stage.propose(asked.router, asked.version)
        if told["answer"] not in (0, 202):
            told["end"], told["why"] = "not taken", text.strip()
        else:  # 0: nobody answered in time, and yet the change may have begun
            told |= await self._ended(stage, asked)
        told["took"] = round(clock() - at, 2)

    async def _ended(self, stage: Stage, asked: Asked) -> dict[str, Any]:
        """What the router says of it; nothing any more if its process was killed."""
        while True:
            page = await stage.policy(asked.router)
            change = page.get("change", {})
            if page and change.get("version") != asked.version:
                return {"end": "forgotten"}
            if page and change["state"] != "under way":
                return {"end": change["state"]} | ({"why": change["error"]} if "error" in change else {})
            await asyncio.sleep(0.1)


def wrong(stage: Stage, played: Played) -> list[str]:
    """Each broken promise in a line."""
    found = [f"mixed: {old} after {new}" for new, old in stage.mixed()]
    found += [f"apart: {old} after {new}" for new, old in stage.apart()]
    alone = {one.versions[0] for one in stage.seen if len(one.versions) == 1}
    for change in played.changes:
        version, end = change["version"], change.get("end")
        if end == "refused" and UNKNOWN not in change["why"] and version in alone:
            found.append(f"refused and in force: {change}")
        if end == "not taken" and any(version in one.versions for one in stage.seen):
            found.append(f"not taken and decided by: {change}")
        if end == "in force" and (played.told["agreed"] or version) < version:
            found.append(f"in force and gone: {change}, agreed on {played.told['agreed']}")
    return found


def stalls(result: Result) -> dict[str, float]:
    """The longest time, in seconds, that each process found itself held up: by a fault, or by the machine."""
    found: dict[str, float] = {}
    for name, text in result.logs.items():
        told = [
            json.loads(row) for row in text.splitlines() if '"stood_still"' in row and row.startswith("{")
        ]
        if told:
            found[name] = max(row["seconds"] for row in told)
    return found


def line(seed: int, stage: Stage, result: Result, played: Played, took: float) -> dict[str, Any]:
    """What is kept of one plan."""
    promises = wrong(stage, played)
    return {
        "seed": seed,
        "faults": [f"{f.at:g}+{f.lasts:g} {f.label()}" for f in played.faults],
        "changes": played.changes,
        **played.told,
        "mixed": len(stage.mixed()),
        "wrong": promises[:5],
        "looks": len(stage.seen),
        "joint_looks": sum(len(one.versions) == 2 for one in stage.seen),
        "rules": [f"{v.at:.2f} {v.rule}: {v.what}; {v.history}" for v in result.broken][:5],
        "stood_still": stalls(result),
        "verdicts": sorted(v.name for v in result.verdicts if not v.kept),
        "crashed": {n: f.crashed for n, f in result.record.routers.items() if f.crashed},
        "service": round(result.service.whole.share, 4),
        "no_verdict": result.no_verdict,
        "took": round(took, 1),
    }


def one(seed: int, logs: Path | None) -> dict[str, Any]:
    """Play one plan, in this process."""
    began, played = time.monotonic(), Played(seed)
    with tempfile.TemporaryDirectory(prefix="accord-") as folder:
        how: dict[str, Any] = {"scenario": played.scenario, "seed": seed, "times": TIMES}
        stage, result = play(Path(folder), [], 0.0, played.run, foreseen=played.faults, **how)
    told = line(seed, stage, result, played, time.monotonic() - began)
    if logs is not None and (told["wrong"] or told["rules"] or told["crashed"] or told["agreed"] is None):
        logs.mkdir(parents=True, exist_ok=True)
        for name, text in result.logs.items():
            (logs / f"{seed}-{name}.log").write_text(text)
        (logs / f"{seed}-seen.jsonl").write_text("".join(f"{one}\n" for one in stage.seen))
    return told


def apart_process(seed: int, logs: Path) -> dict[str, Any]:
    """Play one plan in a process of its own, which can crash or hang alone."""
    command = [sys.executable, __file__, "--one", str(seed), "--logs", str(logs)]
    child = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, start_new_session=True
    )
    try:
        out, err = child.communicate(timeout=HANGS)
    except subprocess.TimeoutExpired:
        os.killpg(child.pid, signal.SIGKILL)  # its routers end with it
        child.communicate()
        return {"seed": seed, "failed": f"hung: not over after {HANGS:g} s"}
    if child.returncode:
        return {"seed": seed, "failed": f"exit code {child.returncode}: {err.strip()[-1500:]}"}
    told: dict[str, Any] = json.loads(out.splitlines()[-1])
    return told


def read(file: Path) -> dict[int, dict[str, Any]]:
    """What stands in the file, by seed; a last line that was cut off counts for nothing."""
    found = {}
    for text in file.read_text().splitlines() if file.exists() else []:
        try:
            told = json.loads(text)
        except ValueError:
            continue
        found[told["seed"]] = told
    return found


def summary(lines: list[dict[str, Any]]) -> None:
    """For people."""
    done = [told for told in lines if "failed" not in told]
    broke = [told["seed"] for told in done if told["wrong"]]
    ends = Counter(change.get("end", "open") for told in done for change in told["changes"])
    took = [c["took"] for told in done for c in told["changes"] if c.get("end") == "in force"]
    agreed = [told["agreed_in"] for told in done if told["agreed"] is not None]
    print(
        f"{len(lines)} plans, {len(lines) - len(done)} crashed or hung, {sum(t['looks'] for t in done)} looks"
    )
    print(f"mixed decisions: {sum(t['mixed'] for t in done)}, plans that broke a promise: {len(broke)}")
    print(f"changes: {dict(ends)}; all agree in the end: {len(agreed)} of {len(done)}")
    for what, times in (("in force after", took), ("agreed after the last fault within", agreed)):
        if times:
            print(f"{what}: half {median(times):.1f} s, most {max(times):.1f} s")
    counted = [told for told in done if not told["no_verdict"]]
    rules = [told["seed"] for told in counted if told["rules"]]
    print(f"verdict of the rehearsal: {len(counted)}, a rule broken in {len(rules)}; machine too busy: rest")
    for told in lines:
        if "failed" in told or told["wrong"] or told["agreed"] is None or told["crashed"] or told["rules"]:
            about = {k: told[k] for k in ("failed", "wrong", "rules", "crashed", "agreed") if told.get(k)}
            print(f"  seed {told['seed']}: {about}")


def main() -> None:
    """Command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--plans", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1, help="of the first")
    parser.add_argument("--at-once", type=int, default=2)
    parser.add_argument("--file", type=Path, default=FILE)
    parser.add_argument("--logs", type=Path, default=Path(tempfile.gettempdir()) / "accord-plans-logs")
    parser.add_argument("--summary", action="store_true")
    parser.add_argument("--one", type=int)
    given = parser.parse_args()
    if given.one is not None:
        end_with_parent()  # the run may be cut off
        print(json.dumps(one(given.one, given.logs)))
        return
    before = read(given.file)
    seeds = [s for s in range(given.seed, given.seed + given.plans) if s not in before]
    if not given.summary and seeds:
        given.file.parent.mkdir(exist_ok=True)
        with ThreadPoolExecutor(given.at_once) as pool, given.file.open("a") as file:
            if before and not given.file.read_bytes().endswith(b"\n"):
                file.write("\n")  # the run before was cut off within a line
            for future in as_completed([pool.submit(apart_process, seed, given.logs) for seed in seeds]):
                file.write(json.dumps(future.result()) + "\n")
                file.flush()
    summary(list(read(given.file).values()))


if __name__ == "__main__":
    main()
