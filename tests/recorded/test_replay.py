"""A trace as the load of a rehearsal, and the commands as people use them."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from ironrail.cli import _commands
from ironrail.recorded.entry import Entry
from ironrail.recorded.scaling import scaled
from ironrail.recorded.schedule import ReplayError, plan_of
from ironrail.recorded.trace import write_trace
from ironrail.rehearsal.scenario.faults import Fault, FaultKind
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.reader import parse_scenario
from ironrail.rehearsal.virtual.runner import run_virtual
from tests.recorded.samples import RULES, START, clf, entry, log_of

SCENARIO = 'summary = "x"\nlength = "10 s"\nwarm_up = "1 s"\n'


def scenario() -> Scenario:
    return parse_scenario(SCENARIO, "x.toml")


def day(seconds: int = 60, rate: int = 20) -> list[Entry]:
    """Reads, and spends of one key each that come again after 2 s (dropped) or after 3 s (charged)."""
    rows = [
        entry(n / rate, key=f"daily:{n * n % 31}", title=("daily", "weekly")[n % 3 == 0], size=200 + n % 900)
        for n in range(seconds * rate)
    ]
    for n in range(0, seconds - 5, 5):
        for again in (0.0, 2.0 if n % 2 else 3.0):
            fields = {"kind": "hint-spend", "write": True, "idempotency": f"spend-{n}", "key": f"daily:{n}"}
            rows.append(entry(n + again + 0.013, **fields))
    return sorted(rows, key=lambda row: row.at)


def test_the_plan_is_what_the_trace_says() -> None:
    rows = day()
    changed, plan = plan_of(rows, scenario(), 1)
    assert [p.key for p in plan] == [e.key for e in rows] and plan == plan_of(rows, scenario(), 1)[1]
    assert plan[0].at == -1.0 and plan[-1].at == pytest.approx(changed.length)
    assert {t.name for t in changed.titles} == {"daily", "weekly"}
    assert [p.size for p in plan if p.kind == "grid-read"] == [e.size for e in rows if e.kind == "grid-read"]
    repeats = Counter(p.idempotency for p in plan if p.idempotency)
    assert set(repeats.values()) == {2}


def test_ten_times_the_speed_against_stand_ins_keeps_the_mix_and_the_window() -> None:
    rows = day()
    changed, plan = plan_of(list(scaled(rows, 10, 1, 2.5, 1)), scenario(), 1)
    result = run_virtual(changed, 1, schedule=plan).result
    sent = [one.planned for one in result.record.tries.values() if one.number == 0]
    assert len(sent) == len(rows)
    for field in ("kind", "title", "key", "size"):
        before = Counter(getattr(e, field) for e in rows)
        after = Counter(getattr(p, field) for p in sent)
        if field == "size":  # of what has none the scenario draws it
            before.pop(0)
            after = Counter(p.size for p in sent if p.kind == "grid-read")
        assert before == after
    assert not result.broken
    carried = Counter(
        one.planned.idempotency
        for one in result.record.tries.values()
        for attempt in one.attempts
        if attempt.effect_at is not None and one.planned.idempotency
    )
    assert carried == {f"spend-{n}": 1 if n % 2 else 2 for n in range(0, 55, 5)}


@pytest.mark.parametrize(
    ("rows", "why"),
    [
        ([], "holds no request"),
        ([entry(0), entry(1.5)], "too short"),
        ([entry(0), entry(4000)], "cut it first"),
        ([entry(n / 6000) for n in range(18_000)], "smaller --rate"),
        ([entry(0), entry(5, kind="strange")], r"does not know: strange \(1\)"),
        ([entry(0), entry(5, kind="prize-entry")], "a read in the trace, but not in the scenario"),
    ],
)
def test_a_trace_that_can_not_be_played_says_why(rows: list[Entry], why: str) -> None:
    with pytest.raises(ReplayError, match=why):
        plan_of(rows, scenario(), 1)


def test_a_fault_after_the_end_of_the_trace_is_told() -> None:
    faulty = scenario().model_copy(
        update={"faults": [Fault.model_validate({"kind": FaultKind.LIST_SILENT, "at": "9 s"})]}
    )
    with pytest.raises(ReplayError, match="begins at 9 s, after the end"):
        plan_of([entry(0), entry(8)], faulty, 1)


def ironrail(*words: str | Path, code: int = 0) -> Result:
    done = CliRunner().invoke(_commands(), [str(word) for word in words])
    assert done.exit_code == code, done.output
    return done


def test_from_a_log_to_a_page(tmp_path: Path) -> None:
    (tmp_path / "rules.toml").write_text(RULES)
    log = log_of(tmp_path, *(clf(n, f"/grid/daily/{n % 3}") for n in range(30)), "half a li", clf(31, "/x/9"))
    trace, told = tmp_path / "a.trace", tmp_path / "bad.jsonl"
    rules = ("--mapping", tmp_path / "rules.toml")
    out = ironrail("trace", "import", log, *rules, "--out", trace, "--malformed", told).output
    assert "32 lines in = 30 entries + 1 malformed + 1 filtered" in out and "GET /x/*" in out
    assert json.loads(told.read_text())["line"] == 31
    assert "32 lines in" in ironrail("trace", "import", log, *rules).output  # a dry run writes nothing
    assert "daily:0" in ironrail("trace", "stats", trace, "--json", tmp_path / "mix.json").output
    assert json.loads((tmp_path / "mix.json").read_text())["class"] == {"grid-read": 30}
    ironrail("trace", "show", trace, "--html", tmp_path / "a.html")
    assert (tmp_path / "a.html").read_text().count("<svg") == 4
    ironrail("trace", "cut", trace, "--from", "5 s", "--for", "10 s", "--out", tmp_path / "b.trace")
    assert "10 requests" in ironrail("trace", "stats", tmp_path / "b.trace").output
    ironrail("trace", "scale", trace, "--rate", "2", "--out", tmp_path / "c.trace")
    ironrail("trace", "diff", trace, tmp_path / "c.trace")
    ironrail("trace", "anonymise", trace, "--out", tmp_path / "d.trace")
    ironrail("trace", "diff", trace, tmp_path / "d.trace", code=1)
    assert "daily:0" not in ironrail("trace", "stats", tmp_path / "d.trace").output
    out = ironrail("rehearse", "calm", "--trace", trace, "--speed", "2", "--virtual", "--json", "-").output
    assert json.loads(out[out.index("{") : out.rindex("}") + 1])


@pytest.mark.parametrize(
    ("words", "why"),
    [
        (("trace", "stats", "{log}"), "no whole trace"),
        (("trace", "import", "{log}", "--format", "%h %l"), "has no time"),
        (("trace", "import", "{log}", "--hash-key", "{log}"), "16 to 64 bytes"),
        (("trace", "import", "{log}", "--window", "30"), "must be a time like"),
        (("trace", "cut", "{trace}", "--out", "{trace}"), "is what is read"),
        (("rehearse", "calm", "--trace", "{log}"), "no whole trace"),
        (("rehearse", "calm", "--trace", "{trace}", "--virtual"), "too short"),
        (("rehearse", "calm", "--speed", "2"), "go with --trace"),
    ],
)
def test_what_can_not_be_used_is_told_in_one_line(tmp_path: Path, words: tuple[str, ...], why: str) -> None:
    files = {"log": log_of(tmp_path, clf(1)), "trace": tmp_path / "t.trace"}
    write_trace(files["trace"], [entry(0), entry(1)])
    done = ironrail(*(word.format(**files) for word in words), code=2)
    assert why in done.output and "Traceback" not in done.output and START > 0
