"""Stored data and datagrams are encoded byte for byte as by an earlier release, and its data can be read.

`stored_forms.json` was written by that release: a voter's record as a file and as bytes, the messages of the
consensus protocol, datagrams between two routers, latency reports, and lines of the access log. All values
are hex.
"""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest

from ironrail.access_log.record import AccessRecord, RecordBuffer, RequestOutcome
from ironrail.net.peers.record_store import FolderStore
from ironrail.peers.consensus import messages as m
from ironrail.peers.messages import Received, Topic
from ironrail.peers.zone_latency import reports as latency_reports
from tests.datagram_harness import complete_handshake, make_codec, seal_body

FORMS = Path(__file__).with_name("stored_forms.json")

OLD = m.PolicyRef(3, bytes(range(16)), (0, 1, 2))
NEW = m.PolicyRef(4, bytes(range(16, 32)), (0, 1, 3))
STATE = m.RegisterState(
    m.STEPS_PER_EPOCH + 7,
    OLD,
    NEW,
    max_tried_version=4,
    proposer=(2, 1_796_020_200_000),
    previous_voters=(0, 1, 4),
)
BALLOT = m.Ballot(m.STEPS_PER_EPOCH, 9, 2, 1_796_020_200_000)
RECORD = m.AcceptorState(BALLOT, m.Ballot(m.STEPS_PER_EPOCH, 8, 1, 5), STATE)
SEEN = ((0, 11), (1, 12))
MESSAGES: dict[str, m.Message] = {
    "prepare": m.Prepare(BALLOT, (0, 1, 2)),
    "promise": m.Promise(BALLOT, RECORD, 6, SEEN, (5,), (2, 4, "no such class")),
    "outvoted": m.BallotRejected(BALLOT, BALLOT),
    "accept": m.Accept(BALLOT, STATE),
    "accepted": m.Accepted(BALLOT, SEEN),
    "blocked": m.AcceptBlocked(BALLOT),
    "decided": m.Decided(STATE),
    "recover": m.RecoveryRequest(77, (0, 1)),
    "report": m.RecoveryReport(77, True, SEEN, RECORD, STATE),
    "offer": m.BootstrapOffer(STATE),
    "founded": m.Bootstrapped(STATE, SEEN),
    "ask": m.LeaseRequest(5, m.ScopedStep(6, (3,)), m.ScopedStep(7, (3, 4)), 7, (1, 4, "too few"), 3),
    "answer": m.LeaseReply(5, True, False, 1, STATE, 2.5),
    "want": m.DocumentRequest(bytes(16)),
    "document": m.Document(b"a document"),
    "where": m.StateQuery(9),
}
REPORTS = [
    latency_reports.LinkReport(1, 1_796_020_200, 2, 300, 0x012345, 1.25),
    latency_reports.LinkReport(1, 1_796_020_200, 0, 7, 0x020102, 0.0),
]
LINES = [
    AccessRecord(
        1_796_020_200.125, 0.25, "read", "daily", b"page:7", 7, False, RequestOutcome.SERVED, "", 0.0, False
    ),
    AccessRecord(
        1_796_020_201.5,
        1.5,
        "pay",
        "",
        b"\xff\x00k",
        0,
        True,
        RequestOutcome.REJECTED,
        "again-1",
        0.002,
        True,
    ),
]
SECRET = b"0123456789abcdef"


def encoded_forms() -> dict[str, str]:
    """Return everything as this release encodes it."""
    first, second = make_codec(0), make_codec(1)
    handshake = complete_handshake(0.0, first, second)
    body = seal_body(first, b"a body of some length" * 30)
    forms = {f"message {name}": m.encode(message) for name, message in MESSAGES.items()}
    forms |= {f"datagram {number}": datagram for number, datagram in enumerate([*handshake, *body])}
    forms["record"] = msgspec.msgpack.encode(RECORD)
    forms["latency"] = latency_reports.encode(REPORTS)[0]
    forms["access log"] = RecordBuffer(1.0, SECRET, False).encode(LINES)
    forms["access log, hashed"] = RecordBuffer(1.0, SECRET, True).encode(LINES)
    return {name: form.hex() for name, form in forms.items()}


KNOWN: dict[str, str] = json.loads(FORMS.read_text()) if FORMS.exists() else {}


def test_everything_is_encoded_as_by_the_earlier_release() -> None:
    assert encoded_forms() == {name: form for name, form in KNOWN.items() if name != "record file"}


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_of_the_earlier_release_is_decoded(name: str) -> None:
    assert m.decode(bytes.fromhex(KNOWN[f"message {name}"])) == MESSAGES[name]


def test_a_record_of_the_earlier_release_is_read(tmp_path: Path) -> None:
    (tmp_path / "voter").write_bytes(bytes.fromhex(KNOWN["record file"]))
    record = FolderStore(tmp_path).read("voter")
    assert record is not None and m.read_record(record) == RECORD


def test_datagrams_of_the_earlier_release_are_opened() -> None:
    first, second = make_codec(0), make_codec(1)
    complete_handshake(0.0, first, second)
    bodies = [bytes.fromhex(form) for name, form in KNOWN.items() if name.startswith("datagram ")]
    opened = [item for datagram in bodies for item in second.open(0.0, 0, datagram)]
    assert opened == [(Topic.CONSENSUS, Received(0, first.incarnation, b"a body of some length" * 30))]


def test_latency_reports_of_the_earlier_release_are_decoded() -> None:
    assert latency_reports.decode(bytes.fromhex(KNOWN["latency"]), 3, 3) == REPORTS
