"""Seeded plans of faults and changes of policy among real processes, to check the consensus.

    PYTHONPATH=. python benchmarks/accord_plans.py [--plans 200] [--seed 1] [--at-once 2]
        [--file FILE]

Each plan: seven routers in three zones, a lease of 1 s, about 10 s of faults and changes, then the
time until all agree. One JSON line per plan is appended to the file when it ends. Plans that are
in the file already are not run again, so a run may be interrupted at any time. `--summary` prints
what is in the file; `--one SEED` runs one plan again, with logs if anything was wrong.
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

from ironrail.rehearsal.links.consensus_plan_generator import ProposedChange, draw_changes, draw_faults
from ironrail.rehearsal.links.consensus_rehearsal import VOTERS, consensus_scenario
from ironrail.rehearsal.links.consensus_stage import Stage, play
from ironrail.rehearsal.routers import end_with_parent
from ironrail.rehearsal.run import Result

FILE = Path(__file__).parent / "results" / "accord_plans.jsonl"
FAULT_PHASE_SECONDS = 10.0
CHANGE_PHASE_SECONDS = 9.0
# seconds until a change is given up, until an abandoned one is withdrawn, and until a voter
# finishes an unsettled state: 0.3 of the defaults
CONSENSUS_TIMES = (6.0, 15.0, 4.0)
# after the last fault: an open handle 12, an abandoned joint state 23, elections and leases
AGREEMENT_TIMEOUT_SECONDS = 60.0
RUN_TIMEOUT_SECONDS = 150.0  # for a whole run, whose parts may take 100
UNKNOWN_OUTCOME = "its outcome is unknown"  # of a handle that ended after the final step was sent


class PlanDriver:
    """Runs the proposals of a plan beside the load."""

    def __init__(self, seed: int) -> None:
        self.scenario = consensus_scenario()
        self.faults = draw_faults(self.scenario, seed, FAULT_PHASE_SECONDS, VOTERS)
        self.asked = draw_changes(self.scenario, seed, CHANGE_PHASE_SECONDS)
        self.changes: list[dict[str, Any]] = []
        self.row: dict[str, Any] = {"agreed": None}

    async def run(self, stage: Stage) -> None:
        clock = stage.rehearsal.now
        before = clock()
        await stage.bootstrap(stage.routers[0])
        self.row["founded_in"] = round(clock() - before, 2)
        began = clock()
        changes = [asyncio.ensure_future(self._change(stage, began, one)) for one in self.asked]
        await stage.play_plan(self.faults)
        await asyncio.sleep(max(0.0, began + CHANGE_PHASE_SECONDS - clock()))
        ended = clock()
        try:
            async with asyncio.timeout(AGREEMENT_TIMEOUT_SECONDS):
                await asyncio.gather(*changes)
                self.row["agreed"] = await stage.wait_until_same(
                    *stage.routers, within=AGREEMENT_TIMEOUT_SECONDS
                )
        except TimeoutError:
            self.row["pages"] = {name: await stage.policy(name) for name in stage.routers}
        self.row["agreed_in"] = round(clock() - ended, 2)

    async def _change(self, stage: Stage, began: float, asked: ProposedChange) -> None:
        clock = stage.rehearsal.now
        await asyncio.sleep(max(0.0, began + asked.at - clock()))
        row: dict[str, Any] = {"at": asked.at, "router": asked.router, "version": asked.version}
        self.changes.append(row)
        at = clock()
        row["answer"], text = await stage.propose(asked.router, asked.version)
        if row["answer"] not in (0, 202):
            row["end"], row["why"] = "not taken", text.strip()
        else:  # 0: nobody replied in time, and yet the change may have begun
            row |= await self._ended(stage, asked)
        row["took"] = round(clock() - at, 2)

    async def _ended(self, stage: Stage, asked: ProposedChange) -> dict[str, Any]:
        """Return what the router reports of a change; it forgets that if its process is killed."""
        while True:
            page = await stage.policy(asked.router)
            change = page.get("change", {})
            if page and change.get("version") != asked.version:
                return {"end": "forgotten"}
            if page and change["state"] != "under way":
                return {"end": change["state"]} | ({"why": change["error"]} if "error" in change else {})
            await asyncio.sleep(0.1)


def find_violations(stage: Stage, driver: PlanDriver) -> list[str]:
    """Return a line for each violated invariant."""
    found = [f"mixed: {old} after {new}" for new, old in stage.find_mixed()]
    found += [f"apart: {old} after {new}" for new, old in stage.find_incompatible()]
    alone = {one.versions[0] for one in stage.seen if len(one.versions) == 1}
    for change in driver.changes:
        version, end = change["version"], change.get("end")
        if end == "refused" and UNKNOWN_OUTCOME not in change["why"] and version in alone:
            found.append(f"refused and in force: {change}")
        if end == "not taken" and any(version in one.versions for one in stage.seen):
            found.append(f"not taken and decided by: {change}")
        if end == "in force" and (driver.row["agreed"] or version) < version:
            found.append(f"in force and gone: {change}, agreed on {driver.row['agreed']}")
    return found


def longest_stalls(result: Result) -> dict[str, float]:
    """Return the longest stall of each process in seconds, caused by a fault or by the machine."""
    found: dict[str, float] = {}
    for name, text in result.logs.items():
        stall_rows = [
            json.loads(row) for row in text.splitlines() if '"stood_still"' in row and row.startswith("{")
        ]
        if stall_rows:
            found[name] = max(row["seconds"] for row in stall_rows)
    return found


def result_line(seed: int, stage: Stage, result: Result, driver: PlanDriver, took: float) -> dict[str, Any]:
    """Return what is stored of one plan."""
    promises = find_violations(stage, driver)
    return {
        "seed": seed,
        "faults": [f"{f.at:g}+{f.lasts:g} {f.label()}" for f in driver.faults],
        "changes": driver.changes,
        **driver.row,
        "mixed": len(stage.find_mixed()),
        "wrong": promises[:5],
        "looks": len(stage.seen),
        "joint_looks": sum(len(one.versions) == 2 for one in stage.seen),
        "rules": [f"{v.at:.2f} {v.rule}: {v.what}; {v.history}" for v in result.broken][:5],
        "stood_still": longest_stalls(result),
        "verdicts": sorted(v.name for v in result.verdicts if not v.kept),
        "crashed": {n: f.crashed for n, f in result.record.routers.items() if f.crashed},
        "service": round(result.service.whole.share, 4),
        "no_verdict": result.no_verdict,
        "took": round(took, 1),
    }


def play_plan(seed: int, logs: Path | None) -> dict[str, Any]:
    """Run one plan in this process."""
    began, driver = time.monotonic(), PlanDriver(seed)
    with tempfile.TemporaryDirectory(prefix="accord-") as folder:
        kwargs: dict[str, Any] = {"scenario": driver.scenario, "seed": seed, "times": CONSENSUS_TIMES}
        stage, result = play(Path(folder), [], 0.0, driver.run, manual_faults=driver.faults, **kwargs)
    row = result_line(seed, stage, result, driver, time.monotonic() - began)
    if logs is not None and (row["wrong"] or row["rules"] or row["crashed"] or row["agreed"] is None):
        logs.mkdir(parents=True, exist_ok=True)
        for name, text in result.logs.items():
            (logs / f"{seed}-{name}.log").write_text(text)
        (logs / f"{seed}-seen.jsonl").write_text("".join(f"{one}\n" for one in stage.seen))
    return row


def play_in_subprocess(seed: int, logs: Path) -> dict[str, Any]:
    """Run one plan in a process of its own, which can crash or hang alone."""
    command = [sys.executable, __file__, "--one", str(seed), "--logs", str(logs)]
    child = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, start_new_session=True
    )
    try:
        out, err = child.communicate(timeout=RUN_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        os.killpg(child.pid, signal.SIGKILL)  # its routers end with it
        child.communicate()
        return {"seed": seed, "failed": f"hung: not over after {RUN_TIMEOUT_SECONDS:g} s"}
    if child.returncode:
        return {"seed": seed, "failed": f"exit code {child.returncode}: {err.strip()[-1500:]}"}
    row: dict[str, Any] = json.loads(out.splitlines()[-1])
    return row


def read_results(file: Path) -> dict[int, dict[str, Any]]:
    """Return the results in the file by seed; an incomplete last line is ignored."""
    found = {}
    for text in file.read_text().splitlines() if file.exists() else []:
        try:
            row = json.loads(text)
        except ValueError:
            continue
        found[row["seed"]] = row
    return found


def print_summary(lines: list[dict[str, Any]]) -> None:
    """Print a summary."""
    done = [row for row in lines if "failed" not in row]
    broke = [row["seed"] for row in done if row["wrong"]]
    ends = Counter(change.get("end", "open") for row in done for change in row["changes"])
    took = [c["took"] for row in done for c in row["changes"] if c.get("end") == "in force"]
    agreed = [row["agreed_in"] for row in done if row["agreed"] is not None]
    print(
        f"{len(lines)} plans, {len(lines) - len(done)} crashed or hung, {sum(t['looks'] for t in done)} looks"
    )
    print(f"mixed decisions: {sum(t['mixed'] for t in done)}, plans that broke a promise: {len(broke)}")
    print(f"changes: {dict(ends)}; all agree in the end: {len(agreed)} of {len(done)}")
    for what, times in (("in force after", took), ("agreed after the last fault within", agreed)):
        if times:
            print(f"{what}: half {median(times):.1f} s, most {max(times):.1f} s")
    counted = [row for row in done if not row["no_verdict"]]
    rules = [row["seed"] for row in counted if row["rules"]]
    print(f"verdict of the rehearsal: {len(counted)}, a rule broken in {len(rules)}; machine too busy: rest")
    for row in lines:
        if "failed" in row or row["wrong"] or row["agreed"] is None or row["crashed"] or row["rules"]:
            about = {k: row[k] for k in ("failed", "wrong", "rules", "crashed", "agreed") if row.get(k)}
            print(f"  seed {row['seed']}: {about}")


def main() -> None:
    """Parse the command line and run the plans."""
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
    args = parser.parse_args()
    if args.one is not None:
        end_with_parent()  # the run may be interrupted
        print(json.dumps(play_plan(args.one, args.logs)))
        return
    before = read_results(args.file)
    seeds = [s for s in range(args.seed, args.seed + args.plans) if s not in before]
    if not args.summary and seeds:
        args.file.parent.mkdir(exist_ok=True)
        with ThreadPoolExecutor(args.at_once) as pool, args.file.open("a") as file:
            if before and not args.file.read_bytes().endswith(b"\n"):
                file.write("\n")  # the run before was interrupted within a line
            for future in as_completed([pool.submit(play_in_subprocess, seed, args.logs) for seed in seeds]):
                file.write(json.dumps(future.result()) + "\n")
                file.flush()
    print_summary(list(read_results(args.file).values()))


if __name__ == "__main__":
    main()
