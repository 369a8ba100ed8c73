"""The access log: its format and limits, and that a slow or full disk delays no request."""

from __future__ import annotations

import io
import json
import logging
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rich.console import Console

from ironrail.access_log.record import AccessRecord, RecordBuffer, RequestOutcome, RotationLimit
from ironrail.net.access_log_writer import AccessLogFile
from ironrail.operator_file import AccessLogSettings, OperatorError, OperatorSettings
from ironrail.operator_reader import read_operator
from ironrail.recorded.importing import FOLDED
from ironrail.recorded.schedule import plan_of
from ironrail.rehearsal.command import play
from ironrail.rehearsal.result import Result
from ironrail.rehearsal.routers import OWN_ROUTER
from ironrail.rehearsal.scenario.reader import parse_scenario
from ironrail.rehearsal.virtual.runner import run_virtual
from tests.machine_lock import play_until_verdict
from tests.peers import World, scenario, until
from tests.recorded.samples import importer

SECRET = b"0123456789abcdef"


def line(number: int = 0, **fields: Any) -> AccessRecord:
    given = {
        "started_at": 1_796_020_200.0 + number,
        "duration": 0.25,
        "request_class": "read",
        "tenant": "daily",
        "key": b"k",
    }
    given |= {
        "value_bytes": 7,
        "is_write": False,
        "outcome": RequestOutcome.SERVED,
        "idempotency_key": "",
        "expected_seconds": 0.0,
        "is_retry": False,
    }
    return AccessRecord(**{**given, **fields})


def test_the_buffer_is_bounded_and_dropped_records_are_counted() -> None:
    keeper = RecordBuffer(1.0, SECRET, False, max_records=3)
    for number in range(5):
        keeper.add(line(number))
    assert [one.started_at for one in keeper.take()] == [1_796_020_200.0 + n for n in range(3)]
    assert keeper.dropped == 2 and keeper.take() == []


@given(st.floats(0.01, 1.0), st.lists(st.binary(min_size=1, max_size=16), min_size=1))
def test_retries_of_a_key_are_sampled_together(sample: float, names: list[bytes]) -> None:
    one, other = RecordBuffer(sample, SECRET, False), RecordBuffer(sample, b"another secret  ", True)
    assert [one.samples(name) for name in names] == [other.samples(name) for name in names]


def test_the_sample_has_the_configured_ratio() -> None:
    keeper = RecordBuffer(0.25, SECRET, False)
    assert 2300 < sum(keeper.samples(b"%d" % n) for n in range(10_000)) < 2700


@given(st.lists(st.integers(1, 50), max_size=60), st.integers(10, 100))
def test_no_file_exceeds_the_rotation_limit(sizes: list[int], most: int) -> None:
    limit, held = RotationLimit(most), 0
    for size in sizes:
        if limit.must_rotate(size):
            limit.file_bytes = held = 0
        limit.add(size)
        held += size
        assert held == limit.file_bytes and held <= max(most, size)


def test_identifiers_are_hashed_and_stay_distinct() -> None:
    keeper = RecordBuffer(1.0, SECRET, True)
    rows = [line(key=b"sub-7", idempotency_key="spend-1"), line(key=b"sub-7"), line(key=b"sub-8")]
    text = keeper.encode(rows).decode()
    told = [json.loads(row) for row in text.splitlines()]
    assert "sub-" not in text and "spend" not in text
    assert told[0]["key"] == told[1]["key"] != told[2]["key"] and told[1]["k"] == ""


def test_a_full_file_is_rotated_once(tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"
    path.write_bytes(b"old\n")
    writer = AccessLogFile(path, 10)
    for data in (b"one\n", b"two\n", b"three\n", b"four\n"):
        writer.write(data)
    writer.close()
    assert sorted(p.name for p in tmp_path.iterdir()) == ["a.jsonl", "a.jsonl.1"]
    assert path.read_bytes() == b"four\n" and (tmp_path / "a.jsonl.1").read_bytes() == b"two\nthree\n"


def test_the_old_file_is_used_while_no_new_one_can_be_opened(tmp_path: Path) -> None:
    """The old file was closed first, and all later lines were lost, even once the path was usable."""
    folder = tmp_path / "logs"
    folder.mkdir()
    writer = AccessLogFile(folder / "a.jsonl", 8)
    writer.write(b"one\n")
    folder.rename(tmp_path / "moved")
    for act in (writer.reopen, lambda: writer.write(b"too long\n")):
        with pytest.raises(OSError, match="No such file"):
            act()
    writer.write(b"two\n")
    folder.mkdir()
    writer.reopen()
    writer.write(b"three\n")
    writer.close()
    assert (tmp_path / "moved" / "a.jsonl").read_bytes() == b"one\ntwo\n"
    assert (folder / "a.jsonl").read_bytes() == b"three\n"


def rows_of(path: Path) -> list[dict[str, Any]]:
    return [json.loads(row) for row in path.read_bytes().splitlines()] if path.exists() else []


def logged(path: Path, **fields: Any) -> World:
    return World(operator=OperatorSettings(access_log=AccessLogSettings(str(path), **fields)))


@scenario
async def test_served_rejected_and_disconnected_requests_can_be_imported(tmp_path: Path) -> None:
    path = tmp_path / "access.jsonl"
    world = await logged(path).start()
    client = await world.client()
    client.get("r1", key="daily:7")
    (await world.cache.next()).reply_value(b"grid")
    assert await client.value("r1") == b"grid"
    client.send(b"ms hint:7 5 Os1 Pc=keyed,t=x,d=5000,k=spend-1,h=200000,r=1\r\nhello\r\n")
    (await world.origin.next()).respond(b"receipt")
    assert (await client.line()).startswith(b"HD")
    client.get("r2", key="daily:8")
    await world.cache.next()
    client.close()
    await until(lambda: len(rows_of(path)) == 3)
    one = importer()
    made = list(one.entries([path]))
    assert [(e.kind, e.key, e.status, e.size, e.write) for e in made] == [
        ("read", "daily:7", 200, 4, False),
        ("read", "daily:8", 499, 0, False),
    ]
    assert one.account.filtered == {FOLDED: 1}  # marked as a retry by the client
    spent = rows_of(path)[1]
    assert (spent["hint"], spent["size"], spent["r"]) == (0.2, 5, 1) and "spend" not in path.read_text()


@scenario
async def test_a_file_that_was_moved_away_is_reopened(tmp_path: Path) -> None:
    path = tmp_path / "access.jsonl"
    world = await logged(path).start()
    client = await world.client()
    for name in ("r1", "r2"):
        client.get(name)
        (await world.cache.next()).reply_value(b"v")
        await client.value(name)
        await until(lambda: len(rows_of(path)) == 1)
        if name == "r1":
            path.rename(tmp_path / "moved.jsonl")
            assert world.node._access_log is not None
            world.node._access_log.reopen()
    assert len(rows_of(tmp_path / "moved.jsonl")) == 1


@scenario
async def test_a_full_disk_does_not_delay_requests(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.WARNING):
        world = await logged(Path("/dev/full")).start()
        client = await world.client()
        client.get("r1")
        (await world.cache.next()).reply_value(b"v")
        assert await client.value("r1") == b"v"
        await until(lambda: any(record.message == "access_log_write_failed" for record in caplog.records))
        client.get("r2")
        (await world.cache.next()).reply_value(b"v")
        assert await client.value("r2") == b"v"


@scenario
async def test_buffered_lines_are_written_at_shutdown(tmp_path: Path) -> None:
    path = tmp_path / "access.jsonl"
    world = await logged(path).start()
    client = await world.client()
    client.get("r1")
    (await world.cache.next()).reply_value(b"v")
    await client.value("r1")
    await world.node.stop()
    assert len(rows_of(path)) == 1


@scenario
async def test_without_an_access_log_there_is_no_thread() -> None:
    assert (await World().start()).node._access_log is None


@pytest.mark.sockets
def test_round_trip_rehearse_import_rehearse(tmp_path: Path) -> None:
    """Real routers log what they served; the imported log requests the same again."""
    (tmp_path / "o.toml").write_text(f"[access_log]\npath = '{tmp_path}/router-{{index}}.jsonl'\n")
    conf = parse_scenario('summary = "x"\nlength = "4 s"\nwarm_up = "1 s"\n[load]\nrate = 100\n', "x.toml")
    quiet = Console(file=io.StringIO())

    def play_first() -> Result:
        for earlier in tmp_path.glob("router-*.jsonl"):
            earlier.unlink()
        return play(conf, 3, (*OWN_ROUTER, "--operator", str(tmp_path / "o.toml")), quiet)

    first = play_until_verdict(play_first, lambda result: result.no_verdict)
    assert first.kept
    logs = sorted(tmp_path.glob("router-*.jsonl"))
    made = list(importer().entries(logs))
    assert len(logs) == 3 and len(made) == len(first.schedule)
    _, plan = plan_of(made, conf, 3)
    for field in ("kind", "title", "key"):
        assert Counter(getattr(p, field) for p in plan) == Counter(getattr(p, field) for p in first.schedule)
    gaps = sorted(a.at - b.at for a, b in zip(plan, first.schedule, strict=True))
    assert gaps[-1] - gaps[0] < 1.0  # receipt time at the router against the planned send time
    again = run_virtual(*plan_of(made, conf, 3)[:1], 3, schedule=plan).result
    assert len({t.planned.number for t in again.record.tries.values()}) == len(made)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("sample = 0.5", "access_log.path is missing"),
        ("path = 7", "access_log.path must be a path, not 7"),
        ("path = '/x'\nsample = 0", "access_log.sample must be above 0 and at most 1, not 0"),
        ("path = '/x'\nmost_mb = 0", "access_log.most_mb must be a whole number from 1 to 100000, not 0"),
        ("path = '/x'\nhash_keys = 1", "access_log.hash_keys must be true or false, not 1"),
        ("path = '/x'\nrotate = true", "access_log.rotate is unknown"),
    ],
)
def test_an_invalid_setting_is_named(tmp_path: Path, text: str, message: str) -> None:
    (tmp_path / "o.toml").write_text(f"[access_log]\n{text}\n")
    with pytest.raises(OperatorError, match=message):
        read_operator(str(tmp_path / "o.toml"))


def test_files_that_can_not_be_opened_are_named(tmp_path: Path) -> None:
    with pytest.raises(OperatorError, match="no/where"):
        AccessLogFile(tmp_path / "no" / "where", 10)
    with pytest.raises(OperatorError, match="nokey"):
        AccessLogSettings("/x", secret_file=str(tmp_path / "nokey")).load_secret()
    (tmp_path / "short").write_bytes(b"short")
    with pytest.raises(OperatorError, match="16 to 64 bytes"):
        AccessLogSettings("/x", secret_file=str(tmp_path / "short")).load_secret()
