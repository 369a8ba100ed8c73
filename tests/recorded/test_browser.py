"""A HAR that headless Chromium recorded against the kit's own archive (`benchmarks/browser_har.py`)."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path
from typing import Any

from ironrail.recorded.entry import Entry
from ironrail.recorded.schedule import plan_of
from ironrail.rehearsal.scenario.reader import parse_scenario
from ironrail.rehearsal.virtual.runner import run_virtual
from tests.recorded.samples import importer
from tests.recorded.test_import import run

HERE = Path(__file__).parent
KEYED = """
[[rule]]
path = "/(?P<key>grid-[0-9]+)"
method = ["PUT"]
header = { Idempotency-Key = "*" }
class = "{header.Puzzle-Class}"
title = "{header.Puzzle-Title}"
key = "{key}"
idempotency = "{header.Idempotency-Key}"
write = true
"""
PAGE_RULES = (
    KEYED
    + KEYED.replace('header = { Idempotency-Key = "*" }\n', "").replace(
        'idempotency = "{header.Idempotency-Key}"\n', ""
    )
    + """
[[rule]]
path = "/(?P<key>grid-[0-9]+)"
method = ["GET"]
header = { Puzzle-Class = "*" }
class = "{header.Puzzle-Class}"
title = "{header.Puzzle-Title}"
key = "{key}"
"""
)


def imported() -> tuple[list[Entry], list[dict[str, Any]]]:
    one = importer(rules=PAGE_RULES)
    made = run(one, HERE / "kit.har.gz")
    assert not one.account.malformed
    assert one.account.lines == len(made) + sum(one.account.filtered.values())
    return made, json.loads((HERE / "kit-seen.json").read_text())


def test_what_is_imported_is_what_the_archive_saw() -> None:
    """120 requests of one page, the page itself not being one of them."""
    made, seen = imported()
    assert len(made) == len(seen) == 120 and all(row["attempts"] == 1 for row in seen)
    told = Counter((row["kind"], row["title"], row["key"], bool(row["idempotency"])) for row in seen)
    assert Counter((e.kind, e.title, e.key, bool(e.idempotency)) for e in made) == told
    assert len({e.idempotency for e in made}) == len({row["idempotency"] for row in seen})
    assert {e.write for e in made if e.kind == "grid-read"} == {False}


def test_its_times_are_those_at_which_the_archive_was_asked() -> None:
    """By key, as the browser sends what is due together in an order of its own."""
    made, seen = imported()
    begin, first = made[0].at, min(row["at"] for row in seen)
    asked: dict[str, list[float]] = {}
    for row in sorted(seen, key=lambda row: float(row["at"])):
        asked.setdefault(row["key"], []).append(row["at"] - first)
    sent: dict[str, list[float]] = {}
    for entry in made:
        sent.setdefault(entry.key, []).append(entry.at - begin)
    late = sorted(b - a for key in asked for a, b in zip(sorted(sent[key]), asked[key], strict=True))
    assert abs(late[len(late) // 2]) < 0.05  # seconds: a browser has six connections to one place
    assert max(abs(late[0]), abs(late[-1])) < 0.5


def test_it_is_rehearsed_with_the_same_mix() -> None:
    made, _ = imported()
    scenario, schedule = plan_of(
        made, parse_scenario('summary = "x"\nlength = "5 s"\nwarm_up = "0 s"', "x"), 1
    )
    result = run_virtual(scenario, 1, schedule=schedule).result
    assert not result.broken and result.service.whole.first_tries == 120
    told = Counter(e.kind for e in made)
    assert {kind: tally.first_tries for kind, tally in result.service.classes.items()} == told


def test_nothing_of_the_browser_is_kept() -> None:
    made, seen = imported()
    text = repr(made)
    assert "Mozilla" not in text and "127.0.0.1" not in text
    assert not any(row["idempotency"] in text for row in seen if row["idempotency"])
