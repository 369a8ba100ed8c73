"""A short run of each fuzz target, and a regression test for each defect found by fuzzing or review."""

from __future__ import annotations

import random
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from ironrail.net.peers.record_store import FolderStore, RecordError
from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.acceptor import MAX_DEFERRED_MESSAGES
from ironrail.peers.consensus.configuration import ConsensusConfig
from ironrail.peers.consensus.consensus_node import ConsensusNode
from ironrail.peers.consensus.document_store import MAX_DOCUMENTS
from ironrail.peers.consensus.errors import RecordFormError
from ironrail.peers.messages import Received
from ironrail.peers.steering import reports as regions
from ironrail.peers.steering.protocol import MAX_PENDING_REPORTS, PENDING_REPORTS_AFTER_TRIM, SteeringProtocol
from ironrail.peers.steering.regions import Regions
from ironrail.peers.zone_latency.protocol import ZoneLatencyProtocol
from ironrail.peers.zone_latency.reports import MAX_BODY_BYTES, LinkReport, encode
from tests.peers import scenario
from tests.peers.consensus.invariants import CONTEXT, FALLBACK, policy
from tests.peers.fuzz.consensus_target import ConsensusTarget, random_state
from tests.peers.fuzz.document_targets import (
    AdminPostTarget,
    PolicyDocumentTarget,
    RecordTarget,
    make_policies,
)
from tests.peers.fuzz.gossip_targets import SteeringTarget, ZoneLatencyTarget
from tests.peers.fuzz.harness import FuzzTarget, TargetFactory, run, size_of
from tests.peers.fuzz.transport_targets import CodecTarget, SendQueueTarget

TARGETS: dict[str, tuple[TargetFactory, int, int]] = {  # target, episodes, inputs of each
    "wire": (CodecTarget, 4, 200),
    "outbox": (SendQueueTarget, 4, 100),
    "accord": (ConsensusTarget, 3, 100),
    "latency": (ZoneLatencyTarget, 2, 60),
    "regions": (SteeringTarget, 2, 60),
    "record": (RecordTarget, 1, 60),
    "policy": (PolicyDocumentTarget, 2, 300),
    "door": (AdminPostTarget, 1, 150),
}


@pytest.mark.parametrize("name", TARGETS)
def test_no_target_raises_or_exceeds_its_bounds(name: str) -> None:
    make, episodes, steps = TARGETS[name]
    figures = run(name, make, range(1, 1 + episodes), steps)
    assert not figures.found and figures.inputs == episodes * steps


def test_the_runner_reports_what_was_raised_and_the_seed() -> None:
    class Raises(FuzzTarget):
        def step(self) -> None:
            if self.rng.random() < 0.5:
                raise KeyError("x")

        def end(self) -> None:
            raise AssertionError

    figures = run("it", Raises, [7, 8], 50)
    assert len(figures.found) == 1 and "--seed 7" in next(iter(figures.found.values()))


def make_voter(disk: bool = False, record: bytes | None = None) -> ConsensusNode:
    return ConsensusNode(
        ConsensusConfig(0, 1, 5, (0, 1, 2), persists_records=disk), CONTEXT, FALLBACK, 0.0, 1, record
    )


def voter_with_state(disk: bool) -> ConsensusNode:
    first = m.Ballot(1)
    state = m.RegisterState(m.STEPS_PER_EPOCH, m.PolicyRef(1, p.digest(policy(1))), max_tried_version=1)
    return make_voter(disk, msgspec.msgpack.encode(m.AcceptorState(first, first, state)))


def test_deeply_nested_arrays_are_counted_as_unusable_and_do_not_raise() -> None:
    node = make_voter()
    node.on_message(0.0, Received(3, 9, b"\x93\x0e\xc4\x10" + bytes(16) + b"\x91" * 3600 + b"\x90"))
    assert node.unusable == 1 and not node.take_outgoing()


def test_documents_that_a_peer_makes_a_voter_request_are_bounded() -> None:
    node = voter_with_state(disk=False)
    requested = [policy(2 + n) for n in range(1000)]
    for document in requested:
        accept = m.Accept(m.Ballot(1, 0, 3, 9), random_state(random.Random(1), document))
        node.on_message(0.0, Received(3, 9, m.encode(accept)))
        node.on_message(0.0, Received(3, 9, m.encode(m.Document(p.encode(document)))))
        node.take_outgoing()
    assert len(node.document_store._documents) == MAX_DOCUMENTS
    assert node.document_store.get(p.digest(requested[-1]))


def test_documents_of_failed_proposals_are_bounded_and_needed_ones_stay() -> None:
    policies = make_policies(None)
    for version in range(1, 200):
        policies.bootstrap(b"epoch = 1\nversion = %d\n" % version)
    assert len(policies.protocol.document_store._documents) <= MAX_DOCUMENTS
    offered = policies.protocol.acceptor.offered_state if policies.protocol.acceptor else None
    assert offered and not policies.protocol.document_store.missing([offered])


def test_a_voter_holds_a_bounded_number_of_messages_while_its_disk_hangs() -> None:
    node = voter_with_state(disk=True)
    for number in range(1, 1000):
        node.on_message(0.0, Received(3, 9, m.encode(m.Prepare(m.Ballot(1, number, 3, 9)))))
    writes = node.take_records()
    assert (
        node.acceptor
        and len(node.acceptor._deferred_messages) == MAX_DEFERRED_MESSAGES
        and not node.take_outgoing()
    )
    node.on_record_written(0.0, writes[-1].token)
    sent = [m.decode(outgoing.body) for outgoing in node.take_outgoing()]
    assert (
        len(sent) == MAX_DEFERRED_MESSAGES
        and isinstance(sent[-1], m.Promise)
        and sent[-1].ballot.number == 999
    )


def test_a_refusal_too_long_for_a_promise_is_unusable() -> None:
    node = make_voter()
    note = m.ScopedStep(m.STEPS_PER_EPOCH, (m.STEPS_PER_EPOCH + 1,))
    request = m.LeaseRequest(1, note, None, 0, (3, m.STEPS_PER_EPOCH + 2, "x" * 81), None)
    node.on_message(0.0, Received(3, 9, m.encode(request)))
    assert node.unusable == 1
    node.on_message(
        0.0, Received(3, 9, m.encode(msgspec.structs.replace(request, rejection=(3, 9, "x" * 80))))
    )
    assert node.unusable == 1


@scenario
async def test_an_invalid_record_with_a_valid_checksum_is_reported_and_the_voter_starts(
    tmp_path: Path,
) -> None:
    store = FolderStore(tmp_path)
    for record in (b"", b"\x93", msgspec.msgpack.encode([1, 2]), b"\x91" * 5000):
        with pytest.raises(RecordFormError):
            m.read_record(record)
        store.write("accord", record)
        policies = make_policies(store)
        assert not policies.protocol.acceptor.is_voting and b"Move the file away" in policies.page().body  # type: ignore[union-attr]
        policies.stop()
    store.write("accord", msgspec.msgpack.encode(m.AcceptorState()))
    whole = (tmp_path / "accord").read_bytes()
    (tmp_path / "accord").write_bytes(whole[:-1])
    with pytest.raises(RecordError):
        store.read("accord")
    assert make_policies(store).protocol.acceptor is not None


def test_posts_that_would_cost_the_parser_seconds_or_overflow_its_stack_are_refused() -> None:
    policies = make_policies(None)
    for body, reason in (
        (b"a=" + b"[" * 8000, b"brackets"),
        (b"a=" + b"{a=" * 4000, b"brackets"),
        (b"version=" + b"1" * 5000, b"digits"),
        (b".".join([b"a"] * 8000) + b"=1", b"parts"),
        (b" . ".join([b'"a"'] * 2000) + b"=1", b"parts"),
        (b"#" * 17000, b"more than"),
        (b"x" * 9000 + b"=1", b"xxx"),
    ):
        for post in (policies.propose, policies.bootstrap):
            response = post(body)
            assert response.status == 400 and len(response.body) < 1100, response
            assert reason in response.body or post == policies.bootstrap, response
    rows = b"".join(b'"%s"=1.0\n' % (b"a.b" * 20 + b"%d" % n) for n in range(30))
    # valid, but no proposal can be made now
    assert policies.propose(b"version=2\n[rates]\n" + rows).status == 409


def reports(count: int) -> Iterator[LinkReport]:
    return (LinkReport(1, 9, 1, n, 1 << 16, 0.0) for n in range(count))


def test_a_body_longer_than_any_router_sends_is_not_decoded() -> None:
    latency = ZoneLatencyProtocol(0.0, 0, 1, ["a", "b"], [0, 1], random.Random(1))
    latency.on_message(0.0, Received(1, 9, encode(reports(200), 3696)[0]))
    assert latency.unusable == 1 and len(latency.table) == 0
    latency.on_message(0.0, Received(1, 9, encode(reports(200), MAX_BODY_BYTES)[0]))
    assert latency.unusable == 1 and len(latency.table) == 1
    steering = SteeringProtocol(0.0, 0, 1, known := Regions({}), ["a"], [0, 0], [], random.Random(1))
    records = [regions.RegionReport(1, 9, 0, n, bytes(4), 0.0) for n in range(200)]
    steering.on_message(0.0, Received(1, 9, regions.encode(known.digest, records, 3696)[0]))
    assert steering.unusable == 1
    steering.on_message(0.0, Received(1, 9, regions.encode(known.digest, records)[0]))
    assert steering.unusable == 1 and steering.table.stored(1, 0)


def test_a_full_report_queue_drops_many_at_once_and_keeps_the_largest_changes() -> None:
    known = Regions({f"r{n}": [f"10.{n}.0.0/16"] for n in range(255)})
    protocol = SteeringProtocol(0.0, 0, 1, known, ["a"], [0] * 30, [], random.Random(1))
    sizes = []
    for reporter in range(1, 13):
        protocol.table._records.clear()
        for region in range(256):
            report = regions.RegionReport(reporter, 1, region, 1, bytes(4), 0.0)
            protocol.on_message(
                float(region), Received(reporter, 1, regions.encode(known.digest, [report])[0])
            )
            sizes.append(len(protocol._pending))
    assert max(sizes) == MAX_PENDING_REPORTS
    after = [after for before, after in zip(sizes, sizes[1:], strict=False) if after < before]
    assert set(after) == {PENDING_REPORTS_AFTER_TRIM} and len(after) > 2


def test_the_timer_of_a_router_without_peers_is_not_always_due() -> None:
    protocol = ZoneLatencyProtocol(5.0, 0, 1, ["a"], [0], random.Random(1))
    protocol.on_timer(5.0)
    assert protocol.next_timer_at() > 5.0


def test_memory_is_bounded_for_a_thousand_routers_with_many_incarnations() -> None:
    """Five incarnations of each within a lease, at a voter: entries, bytes, and the CPU of one more."""
    node = ConsensusNode(ConsensusConfig(0, 1, 1000, (0, 1, 2)), CONTEXT, FALLBACK, 0.0)
    note = m.ScopedStep(2**62, (2**62, 2**62))
    for incarnation in range(5):
        for router in range(3, 1000):
            request = m.LeaseRequest(1, note, note, 0, (router, 2**62, "\U0001f682" * 80), 999)
            node.on_message(0.0, Received(router, 2**47 + incarnation, m.encode(request)))
        node.take_outgoing()
    assert node.acceptor and len(node.acceptor.granted_leases.entries) == 4 * 997
    assert size_of(node) < 6e6
    began = time.thread_time()
    for incarnation in range(200):
        node.on_message(1.0, Received(9, incarnation, m.encode(request)))
    assert time.thread_time() - began < 0.1  # a scan of all entries took 1 ms for each message
    node.on_message(1e6, Received(9, 1, m.encode(request)))
    assert len(node.acceptor.granted_leases.entries) == 4 * 997 - 3  # expired entries are removed
