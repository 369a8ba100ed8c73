"""Only messages of a router's current incarnation are accepted, and each datagram at most once."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.peers.messages import ALL_PEERS, Outgoing, Topic
from ironrail.peers.transport.datagram_codec import DropReason
from ironrail.peers.transport.keys import KeyRing
from ironrail.peers.transport.sender_state import MAX_REPLACED_INCARNATIONS, REPLAY_WINDOW, SenderState
from tests.datagram_harness import (
    KEYS,
    NEW,
    OLD,
    complete_handshake,
    connected_pair,
    deliver_handshakes,
    drop_reason,
    make_codec,
    open_bodies,
    seal_body,
)


@given(st.lists(st.integers(0, 3 * REPLAY_WINDOW), max_size=60))
def test_the_replay_window_agrees_with_a_set(sequences: list[int]) -> None:
    sender, seen, top = SenderState(1), set[int](), -1
    for sequence in sequences:
        fresh = sequence not in seen and sequence > top - REPLAY_WINDOW
        assert sender.is_fresh(sequence) is fresh
        if fresh:
            sender.mark_seen(sequence)
            seen.add(sequence)
            top = max(top, sequence)


def test_replayed_datagrams_are_dropped() -> None:
    sender, receiver = connected_pair()
    sent = [seal_body(sender, b"%d" % i)[0] for i in range(REPLAY_WINDOW + 2)]
    assert open_bodies(1.0, receiver, 0, *sent[1:]) == [b"%d" % i for i in range(1, REPLAY_WINDOW + 2)]
    assert {drop_reason(receiver, datagram, now=2.0 + i) for i, datagram in enumerate(sent)} == {
        DropReason.REPEATED
    }
    assert open_bodies(3.0, receiver, 0, *seal_body(sender, b"next")) == [b"next"]


@pytest.mark.parametrize("sender_process", ["goes on", "ended"])
def test_recorded_datagrams_are_not_accepted_after_the_receiver_has_restarted(sender_process: str) -> None:
    sender, receiver = make_codec(0), make_codec(1)
    recorded = complete_handshake(0.0, sender, receiver)
    sent = [d for i in range(20) for d in seal_body(sender, b"%d" % i)]
    sent += [d for _, d in sender.seal(Outgoing(ALL_PEERS, Topic.CONSENSUS, bytes(600)))]
    recorded += sent
    assert len(open_bodies(0.0, receiver, 0, *sent)) == 21
    restarted = make_codec(1, incarnation=77)
    for now in (1.0, 2.0, 3.0):  # far enough apart for another challenge each time
        assert open_bodies(now, restarted, 0, *recorded) == []
        challenges = [d for outgoing in restarted.take_outgoing(now) for _, d in restarted.seal(outgoing)]
        if sender_process == "goes on":
            for challenge in challenges:
                sender.open(now, 1, challenge)
            deliver_handshakes(now, sender, restarted)
    assert (restarted.proven_incarnation(0) == sender.incarnation) is (sender_process == "goes on")
    assert open_bodies(4.0, restarted, 0, *recorded) == []
    if sender_process == "goes on":
        assert open_bodies(4.0, restarted, 0, *seal_body(sender, b"fresh")) == [b"fresh"]


def test_a_new_incarnation_replaces_the_old_one_for_good_once_it_answers_a_challenge() -> None:
    old, receiver = connected_pair()
    delayed = [seal_body(old, b"%d" % i)[0] for i in range(3)]
    incomplete = seal_body(old, bytes(300))
    assert open_bodies(0.0, receiver, 0, delayed[0], incomplete[0]) == [b"0"]
    new = make_codec(0, incarnation=5)
    assert drop_reason(receiver, seal_body(new, b"first")[0], now=1.0) is DropReason.UNPROVEN
    # the new incarnation has not answered a challenge yet
    assert open_bodies(1.0, receiver, 0, delayed[1]) == [b"1"]
    deliver_handshakes(1.0, receiver, new)
    deliver_handshakes(1.0, new, receiver)
    assert receiver.proven_incarnation(0) == 5
    assert drop_reason(receiver, delayed[2], now=1.0) is DropReason.REPLACED
    assert drop_reason(receiver, incomplete[1], now=9.0) is DropReason.REPLACED
    receiver.take_outgoing(9.0)
    # the incomplete body was dropped with its incarnation
    assert receiver.drop_counts()[DropReason.LATE] == 0
    assert open_bodies(9.0, receiver, 0, *seal_body(new, b"second")) == [b"second"]


def test_an_old_incarnation_that_still_runs_is_not_accepted_again() -> None:
    """Two processes with one router index, an operator's mistake: the last one proven stays."""
    old, receiver = connected_pair()
    complete_handshake(1.0, make_codec(0, incarnation=5), receiver)
    receiver.start_handshake(5.0, 0)
    for challenge in [d for outgoing in receiver.take_outgoing(5.0) for _, d in receiver.seal(outgoing)]:
        old.open(5.0, 1, challenge)
    for response in [d for outgoing in old.take_outgoing(5.0) for _, d in old.seal(outgoing)]:
        assert drop_reason(receiver, response, now=5.0) is DropReason.REPLACED
    assert receiver.proven_incarnation(0) == 5


def test_a_response_is_valid_once_and_in_time() -> None:
    old, receiver, new = make_codec(0, incarnation=4), make_codec(1), make_codec(0, incarnation=5)
    receiver.start_handshake(0.0, 0)
    (outgoing,) = receiver.take_outgoing(0.0)
    ((_, challenge),) = receiver.seal(outgoing)
    responses = []
    for codec in (old, new):
        codec.open(0.0, 1, challenge)
        responses += [d for outgoing in codec.take_outgoing(0.0) for _, d in codec.seal(outgoing)]
    receiver.open(61.0, 0, responses[0])
    assert receiver.proven_incarnation(0) is None
    receiver.open(1.0, 0, responses[1])
    assert receiver.proven_incarnation(0) == 5
    # of a process that has ended, long delayed: the challenge that it causes gets no response
    receiver.open(1.0, 0, responses[0])
    assert receiver.proven_incarnation(0) == 5


def test_a_response_needs_a_valid_mac_and_stays_valid_when_the_challenge_is_repeated() -> None:
    receiver, sender, forger = (
        make_codec(1),
        make_codec(0),
        make_codec(0, incarnation=66, keys=KeyRing(1, {1: NEW})),
    )
    challenges = []
    for now in (0.0, 1.5):
        receiver.start_handshake(now, 0)
        challenges += [
            datagram for outgoing in receiver.take_outgoing(now) for _, datagram in receiver.seal(outgoing)
        ]
    sender.open(1.5, 1, challenges[0])
    (outgoing,) = sender.take_outgoing(1.5)
    assert drop_reason(receiver, forger.seal(outgoing)[0][1], now=1.6) is DropReason.MAC
    assert receiver.proven_incarnation(0) is None
    receiver.open(1.7, 0, sender.seal(outgoing)[0][1])
    assert receiver.proven_incarnation(0) == sender.incarnation


def test_an_incarnation_no_longer_remembered_as_replaced_has_to_answer_a_challenge() -> None:
    first, receiver = connected_pair()
    recorded = seal_body(first, b"unheard")[0]
    for incarnation in range(1, MAX_REPLACED_INCARNATIONS + 3):
        complete_handshake(float(incarnation), make_codec(0, incarnation), receiver)
    assert drop_reason(receiver, recorded, now=50.0) is DropReason.UNPROVEN


def test_keys_are_rotated_without_dropping_messages() -> None:
    sender, receiver = connected_pair()
    both = {1: OLD, 2: NEW}
    receiver.replace_keys(KeyRing(1, both))
    assert open_bodies(1.0, receiver, 0, *seal_body(sender, b"old key")) == [b"old key"]
    sender.replace_keys(KeyRing(2, both))
    assert open_bodies(1.0, receiver, 0, *seal_body(sender, b"new key")) == [b"new key"]
    receiver.replace_keys(KeyRing(2, {2: NEW}))
    sender.replace_keys(KEYS)
    assert drop_reason(receiver, seal_body(sender, b"old key")[0], now=1.0) is DropReason.KEY
    sender.replace_keys(KeyRing(2, {2: OLD}))
    assert drop_reason(receiver, seal_body(sender, b"old secret")[0], now=1.0) is DropReason.MAC
