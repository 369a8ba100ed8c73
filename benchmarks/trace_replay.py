"""A log played at ten times its speed against stand-ins on real sockets: the same mix, and how late?

    python benchmarks/trace_replay.py --speed 10 --rate 30

Writes a log of 200 s with `--rate` requests a second, imports it, plays it, and compares what the clients
really sent with what the log holds. Then the routers' own access logs of that run are imported and compared.
"""

from __future__ import annotations

import argparse
import io
import random
import tempfile
from pathlib import Path

from rich.console import Console

from ironrail.access_log.pseudonyms import Pseudonymizer
from ironrail.recorded.entry import Entry
from ironrail.recorded.formats import compile_format
from ironrail.recorded.importing import Importer
from ironrail.recorded.mapping import Mapper, Mapping
from ironrail.recorded.mix import differences, mix_of
from ironrail.recorded.scaling import scaled
from ironrail.recorded.schedule import plan_of
from ironrail.rehearsal.command import play
from ironrail.rehearsal.routers import OWN_ROUTER
from ironrail.rehearsal.run import Result
from ironrail.rehearsal.scenario.reader import parse, read_scenario

START = 1_796_020_200
SECONDS = 200
RULES = """
[[rule]]
path = "/grid/(?P<title>[a-z]+)/(?P<id>[0-9]+)"
class = "grid-read"
title = "{title}"
key = "{title}:{id}"

[[rule]]
path = "/(?P<kind>prize-entry|hint-spend)/(?P<title>[a-z]+)/(?P<id>[0-9]+)"
class = "{kind}"
title = "{title}"
key = "{title}:{id}"
idempotency = "{query.spend}"
write = true
"""
FORMAT = '$remote_addr $msec "$request" $status $body_bytes_sent'
TITLES = {"daily": 0.42, "weekly": 0.3, "regional": 0.18, "junior": 0.1}


def write_log(path: Path, rate: float) -> None:
    """Reads, writes, and hints of which one in three comes again, after 1 to 6 s."""
    draws = random.Random(1)
    rows: list[tuple[float, str]] = []
    at = 0.0
    while (at := at + draws.expovariate(rate)) < SECONDS:
        title = draws.choices(list(TITLES), list(TITLES.values()))[0]
        key, kind = int(draws.paretovariate(0.9)) % 600, draws.random()
        if kind < 0.93:
            rows.append((at, f"GET /grid/{title}/{key}"))
        elif kind < 0.97:
            rows.append((at, f"POST /prize-entry/{title}/{key}"))
        else:
            row = f"POST /hint-spend/{title}/{key}?spend={len(rows)}"
            rows.append((at, row))
            if draws.random() < 1 / 3:
                rows.append((at + draws.uniform(1, 6), row))
    with path.open("w") as out:
        for when, row in sorted(rows):
            client, size = draws.randrange(250), draws.randrange(100, 3000)
            out.write(f'10.0.0.{client} {START + when:.3f} "{row} HTTP/1.1" 200 {size}\n')


def imported(*files: Path) -> list[Entry]:
    mapper = Mapper(parse(Mapping, RULES, "rules"), Pseudonymizer(b"0123456789abcdef"))
    return list(Importer([compile_format(FORMAT)], mapper, window=30.0, within=5.0).entries(files))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--speed", type=float, default=10.0)
    parser.add_argument("--rate", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        write_log(folder / "access.log", options.rate)
        (folder / "o.toml").write_text(f"[access_log]\npath = '{folder}/router-{{index}}.jsonl'\n")
        entries = imported(folder / "access.log")
        calm = read_scenario("calm")
        played = list(scaled(entries, options.speed, 1, 2.5, options.seed))
        scenario, plan = plan_of(played, calm, options.seed)
        command = (*OWN_ROUTER, "--operator", str(folder / "o.toml"))
        result = play(scenario, options.seed, command, Console(file=io.StringIO()), plan)
        again = imported(*sorted(folder.glob("router-*.jsonl")))
    firsts = [t for t in result.record.tries.values() if t.number == 0]
    sent = [played[t.planned.number] for t in firsts]
    print(f"{len(entries)} requests in the log, {len(sent)} sent, {len(again)} in the routers' own logs")
    for what, mix in (("sent", mix_of(sent)), ("logged", mix_of(again))):
        before = mix_of(entries)
        kinds = {d.what: 0.0 for d in differences(before, mix)}
        for d in differences(before, mix):
            if what == "sent" or d.what != "size":  # of what is refused a router has no size
                kinds[d.what] = max(kinds[d.what], d.points)
        print(
            f"  {what}: largest difference by " + ", ".join(f"{n} {p:.3%}" for n, p in sorted(kinds.items()))
        )
    errors = sorted(abs(t.sent_at - t.planned.at) for t in firsts)
    told = {q: errors[min(len(errors) - 1, int(q * len(errors)))] * 1000 for q in (0.5, 0.9, 0.99, 0.999)}
    print(
        "  timing error: "
        + ", ".join(f"{q:.1%} {ms:.2f} ms" for q, ms in told.items())
        + f", most {errors[-1] * 1000:.2f} ms"
    )
    moved = effects(result)
    print(
        f"  repeats of a key: {moved[0]} within the window in the log, {moved[1]} of them carried out again;"
        f" {moved[2]} outside, {moved[3]} of them not carried out"
    )
    broken = [v for v in result.verdicts if not v.kept]
    print(
        f"  {scenario.load.rate:.0f} a second, service {result.service.whole.share:.3f}, "
        f"{len(result.broken)} rules broken, verdicts not kept: {', '.join(v.name for v in broken) or 'none'}"
    )


def effects(result: Result) -> tuple[int, int, int, int]:
    """Repeats of a key by their side of the window: how many, and how many ended as on the other side."""
    chains: dict[str, list[tuple[float, bool]]] = {}
    for one in result.record.tries.values():
        if one.number == 0 and one.planned.idempotency:
            ran = any(attempt.effect_at is not None for attempt in one.attempts)
            chains.setdefault(one.planned.idempotency, []).append((one.planned.at, ran))
    within = again = outside = not_run = 0
    for rows in chains.values():
        rows.sort()
        for (before, _), (at, ran) in zip(rows, rows[1:], strict=False):
            if at - before <= 2.5:
                within, again = within + 1, again + ran
            else:
                outside, not_run = outside + 1, not_run + (not ran)
    return within, again, outside, not_run


if __name__ == "__main__":
    main()
