"""Hostile input in its short form, and each thing that it or its reading found, by itself."""

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
from ironrail.peers.steering.regions import Regions
from ironrail.peers.steering.room import LEFT_WAITING, MOST_WAITING, RegionsRoom
from ironrail.peers.zone_latency.reports import MOST_BODY, Report, encode
from ironrail.peers.zone_latency.room import LatencyRoom
from tests.peers import scenario
from tests.peers.consensus.invariants import CONTEXT, FALLBACK, policy
from tests.peers.fuzz.accord import Accord, _state
from tests.peers.fuzz.base import Attack, Make, run, size_of
from tests.peers.fuzz.gossip import Latency, OfRegions
from tests.peers.fuzz.papers import Documents, Posts, Records, place
from tests.peers.fuzz.wires import Outboxes, Wires

TARGETS: dict[str, tuple[Make, int, int]] = {  # how many episodes of how many inputs
    "wire": (Wires, 4, 200),
    "outbox": (Outboxes, 4, 100),
    "accord": (Accord, 3, 100),
    "latency": (Latency, 2, 60),
    "regions": (OfRegions, 2, 60),
    "record": (Records, 1, 60),
    "policy": (Documents, 2, 300),
    "door": (Posts, 1, 150),
}


@pytest.mark.parametrize("name", TARGETS)
def test_nothing_comes_out_and_all_is_bounded(name: str) -> None:
    make, episodes, steps = TARGETS[name]
    figures = run(name, make, range(1, 1 + episodes), steps)
    assert not figures.found and figures.inputs == episodes * steps


def test_the_runner_tells_what_is_raised_and_by_which_seed() -> None:
    class Raises(Attack):
        def step(self) -> None:
            if self.draws.random() < 0.5:
                raise KeyError("x")

        def end(self) -> None:
            raise AssertionError

    figures = run("it", Raises, [7, 8], 50)
    assert len(figures.found) == 1 and "--seed 7" in next(iter(figures.found.values()))


def voter(disk: bool = False, record: bytes | None = None) -> ConsensusNode:
    return ConsensusNode(
        ConsensusConfig(0, 1, 5, (0, 1, 2), persists_records=disk), CONTEXT, FALLBACK, 0.0, 1, record
    )


def standing(disk: bool) -> ConsensusNode:
    first = m.Ballot(1)
    state = m.RegisterState(m.STEPS_PER_EPOCH, m.PolicyRef(1, p.digest(policy(1))), max_tried_version=1)
    return voter(disk, msgspec.msgpack.encode(m.AcceptorState(first, first, state)))


def test_arrays_within_arrays_are_counted_and_do_not_raise() -> None:
    room = voter()
    room.on_message(0.0, Received(3, 9, b"\x93\x0e\xc4\x10" + bytes(16) + b"\x91" * 3600 + b"\x90"))
    assert room.unusable == 1 and not room.take_outgoing()


def test_documents_that_a_member_makes_a_voter_want_are_bounded() -> None:
    room = standing(disk=False)
    wanted = [policy(2 + n) for n in range(1000)]
    for one in wanted:
        accept = m.Accept(m.Ballot(1, 0, 3, 9), _state(random.Random(1), one))
        room.on_message(0.0, Received(3, 9, m.encode(accept)))
        room.on_message(0.0, Received(3, 9, m.encode(m.Document(p.encode(one)))))
        room.take_outgoing()
    assert len(room.document_store._documents) == MAX_DOCUMENTS
    assert room.document_store.get(p.digest(wanted[-1]))


def test_documents_proposed_in_vain_are_bounded_and_needed_ones_stay() -> None:
    room = place(None)
    for version in range(1, 200):
        room.found(b"epoch = 1\nversion = %d\n" % version)
    assert len(room.room.document_store._documents) <= MAX_DOCUMENTS
    offered = room.room.acceptor.offered_state if room.room.acceptor else None
    assert offered and not room.room.document_store.missing([offered])


def test_a_disk_that_hangs_makes_a_voter_hold_a_bounded_number_of_words() -> None:
    room = standing(disk=True)
    for number in range(1, 1000):
        room.on_message(0.0, Received(3, 9, m.encode(m.Prepare(m.Ballot(1, number, 3, 9)))))
    keeps = room.take_records()
    assert (
        room.acceptor
        and len(room.acceptor._deferred_messages) == MAX_DEFERRED_MESSAGES
        and not room.take_outgoing()
    )
    room.on_record_written(0.0, keeps[-1].token)
    told = [m.decode(say.body) for say in room.take_outgoing()]
    assert (
        len(told) == MAX_DEFERRED_MESSAGES
        and isinstance(told[-1], m.Promise)
        and told[-1].ballot.number == 999
    )


def test_a_refusal_of_any_length_does_not_make_a_promise_too_long_to_be_sent() -> None:
    room = voter()
    note = m.ScopedStep(m.STEPS_PER_EPOCH, (m.STEPS_PER_EPOCH + 1,))
    ask = m.LeaseRequest(1, note, None, 0, (3, m.STEPS_PER_EPOCH + 2, "x" * 81), None)
    room.on_message(0.0, Received(3, 9, m.encode(ask)))
    assert room.unusable == 1
    room.on_message(0.0, Received(3, 9, m.encode(msgspec.structs.replace(ask, rejection=(3, 9, "x" * 80)))))
    assert room.unusable == 1


@scenario
async def test_a_record_that_is_whole_and_no_record_is_told_and_the_voter_starts(tmp_path: Path) -> None:
    store = FolderStore(tmp_path)
    for record in (b"", b"\x93", msgspec.msgpack.encode([1, 2]), b"\x91" * 5000):
        with pytest.raises(RecordFormError):
            m.read_record(record)
        store.write("accord", record)
        policies = place(store)
        assert not policies.room.acceptor.is_voting and b"Move the file away" in policies.page().body  # type: ignore[union-attr]
        policies.stop()
    store.write("accord", msgspec.msgpack.encode(m.AcceptorState()))
    whole = (tmp_path / "accord").read_bytes()
    (tmp_path / "accord").write_bytes(whole[:-1])
    with pytest.raises(RecordError):
        store.read("accord")
    assert place(store).room.acceptor is not None


def test_posts_that_would_cost_the_parser_seconds_or_its_stack_are_refused() -> None:
    policies = place(None)
    for body, why in (
        (b"a=" + b"[" * 8000, b"brackets"),
        (b"a=" + b"{a=" * 4000, b"brackets"),
        (b"version=" + b"1" * 5000, b"digits"),
        (b".".join([b"a"] * 8000) + b"=1", b"parts"),
        (b" . ".join([b'"a"'] * 2000) + b"=1", b"parts"),
        (b"#" * 17000, b"more than"),
        (b"x" * 9000 + b"=1", b"xxx"),
    ):
        for post in (policies.propose, policies.found):
            answer = post(body)
            assert answer.status == 400 and len(answer.body) < 1100, answer
            assert why in answer.body or post == policies.found, answer
    rows = b"".join(b'"%s"=1.0\n' % (b"a.b" * 20 + b"%d" % n) for n in range(30))
    assert policies.propose(b"version=2\n[rates]\n" + rows).status == 409  # whole: only not now


def reports(count: int) -> Iterator[Report]:
    return (Report(1, 9, 1, n, 1 << 16, 0.0) for n in range(count))


def test_a_body_longer_than_any_router_says_is_not_read() -> None:
    one = LatencyRoom(0.0, 0, 1, ["a", "b"], [0, 1], random.Random(1))
    one.on_message(0.0, Received(1, 9, encode(reports(200), 3696)[0]))
    assert one.unusable == 1 and len(one.table) == 0
    one.on_message(0.0, Received(1, 9, encode(reports(200), MOST_BODY)[0]))
    assert one.unusable == 1 and len(one.table) == 1
    other = RegionsRoom(0.0, 0, 1, known := Regions({}), ["a"], [0, 0], [], random.Random(1))
    words = [regions.Report(1, 9, 0, n, bytes(4), 0.0) for n in range(200)]
    other.on_message(0.0, Received(1, 9, regions.encode(known.digest, words, 3696)[0]))
    assert other.unusable == 1
    other.on_message(0.0, Received(1, 9, regions.encode(known.digest, words)[0]))
    assert other.unusable == 1 and other.table.held(1, 0)


def test_words_that_find_no_room_go_many_at_once_and_the_largest_change_stays() -> None:
    known = Regions({f"r{n}": [f"10.{n}.0.0/16"] for n in range(255)})
    room = RegionsRoom(0.0, 0, 1, known, ["a"], [0] * 30, [], random.Random(1))
    sizes = []
    for witness in range(1, 13):
        room.table._words.clear()
        for region in range(256):
            word = regions.Report(witness, 1, region, 1, bytes(4), 0.0)
            room.on_message(float(region), Received(witness, 1, regions.encode(known.digest, [word])[0]))
            sizes.append(len(room._waiting))
    assert max(sizes) == MOST_WAITING
    after = [after for before, after in zip(sizes, sizes[1:], strict=False) if after < before]
    assert set(after) == {LEFT_WAITING} and len(after) > 2


def test_a_router_alone_does_not_wake_without_end() -> None:
    room = LatencyRoom(5.0, 0, 1, ["a"], [0], random.Random(1))
    room.on_timer(5.0)
    assert room.next_timer_at() > 5.0


def test_more_is_not_kept_of_a_thousand_routers_of_many_lives() -> None:
    """Five lives of each within a lease, at a voter: entries, bytes, and the CPU of one more."""
    room = ConsensusNode(ConsensusConfig(0, 1, 1000, (0, 1, 2)), CONTEXT, FALLBACK, 0.0)
    note = m.ScopedStep(2**62, (2**62, 2**62))
    for life in range(5):
        for router in range(3, 1000):
            ask = m.LeaseRequest(1, note, note, 0, (router, 2**62, "\U0001f682" * 80), 999)
            room.on_message(0.0, Received(router, 2**47 + life, m.encode(ask)))
        room.take_outgoing()
    assert room.acceptor and len(room.acceptor.granted_leases.entries) == 4 * 997
    assert size_of(room) < 6e6
    began = time.thread_time()
    for life in range(200):
        room.on_message(1.0, Received(9, life, m.encode(ask)))
    assert time.thread_time() - began < 0.1  # a look at all of them took 1 ms each
    room.on_message(1e6, Received(9, 1, m.encode(ask)))
    assert len(room.acceptor.granted_leases.entries) == 4 * 997 - 3  # what ran out makes room
