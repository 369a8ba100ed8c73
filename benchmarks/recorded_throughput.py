"""How many lines a second an import reads, and in how much memory, beside the best published parser.

    python benchmarks/recorded_throughput.py --mb 1024
    pip install apachelogs==0.6.1 for the side by side; without it that row is left out

Each row is a process of its own on the same file, one after the other; memory is its peak.
"""

from __future__ import annotations

import argparse
import json
import random
import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path

RULES = """
[[rule]]
path = "/grid/(?P<title>[a-z]+)/(?P<id>[0-9]+)"
class = "grid-read"
title = "{title}"
key = "{title}:{id}"
"""
MINUTE = 60_000  # lines of one minute of the log


def write_log(path: Path, size: int) -> int:
    """A Combined log of so many bytes; tells its lines."""
    draws, lines = random.Random(1), 0
    with path.open("w") as out:
        while out.tell() < size:
            minute = lines // MINUTE
            stamp = f"30/Nov/2026:{6 + minute // 60:02d}:{minute % 60:02d}"
            rows = []
            for n in range(MINUTE):
                rows.append(
                    f"10.0.{draws.randrange(250)}.{draws.randrange(250)} - - [{stamp}:{n // 1000:02d} +0000]"
                    f' "GET /grid/daily/{int(draws.paretovariate(0.9)) % 6000}?d=1 HTTP/1.1" 200'
                    f' {draws.randrange(100, 3000)} "https://puzzles.example/" "Mozilla/5.0 (X11; Linux)"\n'
                )
            lines += len(rows)
            out.writelines(rows)
    return lines


def write_har(path: Path, size: int) -> int:
    """A HAR file of so many bytes, bodies and all; tells its entries."""
    body, entries = "eHh4" * 500, 0
    with path.open("w") as out:
        out.write('{"log": {"version": "1.2", "entries": [')
        while out.tell() < size:
            for n in range(1000):
                hour, minute = 6 + entries // 360_000, entries // 6000 % 60
                moment = f"2026-11-30T{hour:02d}:{minute:02d}:{n * 59 // 1000:02d}Z"
                entry = {
                    "startedDateTime": moment,
                    "time": 12.5,
                    "request": {"method": "GET", "url": f"https://p.example/grid/daily/{n}", "headers": []},
                    "response": {"status": 200, "content": {"size": 1500, "text": body}},
                }
                out.write(("," if entries or n else "") + json.dumps(entry))
            entries += 1000
        out.write("]}}")
    return entries


def ours(path: Path) -> int:
    """Lines parsed, without the rest of an import."""
    from ironrail.recorded.fields import LineParser  # noqa: PLC0415
    from ironrail.recorded.formats import compile_format  # noqa: PLC0415

    parser, count = LineParser([compile_format("combined")]), 0
    with path.open("rb") as lines:
        for line in lines:
            parser.parse(line.rstrip(b"\r\n"))
            count += 1
    return count


def published(path: Path) -> int:
    """The same by apachelogs."""
    from apachelogs import COMBINED, LogParser  # type: ignore[import-not-found]  # noqa: PLC0415

    parser, count = LogParser(COMBINED), 0
    with path.open() as lines:
        for line in lines:
            parser.parse(line)
            count += 1
    return count


def whole(path: Path) -> int:
    """An import from the file to a trace."""
    from ironrail.access_log.pseudonyms import Pseudonymizer  # noqa: PLC0415
    from ironrail.recorded.formats import compile_format  # noqa: PLC0415
    from ironrail.recorded.importing import Importer  # noqa: PLC0415
    from ironrail.recorded.mapping import Mapper, Mapping  # noqa: PLC0415
    from ironrail.recorded.trace import write_trace  # noqa: PLC0415
    from ironrail.rehearsal.scenario.reader import parse  # noqa: PLC0415

    mapper = Mapper(parse(Mapping, RULES, "rules"), Pseudonymizer(b"0123456789abcdef"))
    importer = Importer([compile_format("combined")], mapper, window=30.0, within=5.0)
    return write_trace(path.with_suffix(".trace"), importer.entries([path]))


WORK = {"parse": ours, "apachelogs": published, "import": whole, "import-har": whole}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--mb", type=int, default=64)
    parser.add_argument("--only", choices=WORK, help=argparse.SUPPRESS)
    parser.add_argument("--file", type=Path, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.only:
        began = time.process_time()
        count = WORK[options.only](options.file)
        took = time.process_time() - began
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        print(
            f"{options.only:>12} {count:>10} lines {count / took:>10.0f} a second of CPU {peak:>7.0f} MB peak"
        )
        return
    with tempfile.TemporaryDirectory() as folder:
        log, har = Path(folder) / "access.log", Path(folder) / "a.har"
        print(f"{write_log(log, options.mb * 1024**2)} lines, {write_har(har, options.mb * 1024**2)} entries")
        for name in WORK:
            file = har if name == "import-har" else log
            command = [sys.executable, __file__, "--only", name, "--file", str(file)]
            done = subprocess.run(command, capture_output=True, text=True, check=False)
            print(
                done.stdout.rstrip() or f"{name:>12} did not run: {done.stderr.strip().splitlines()[-1]}",
                flush=True,
            )


if __name__ == "__main__":
    main()
