"""Of each router only the life that has just answered is heard, and nothing it said twice."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ironrail.peers.messages import ALL_PEERS, Outgoing, Topic
from ironrail.peers.transport.keys import Keys
from ironrail.peers.transport.sender_state import REPLACED, WINDOW, Sender
from ironrail.peers.transport.datagram_codec import Reason
from tests.datagram_harness import KEYS, NEW, OLD, datagrams, heard, meet, met, pass_on, reason, wire


@given(st.lists(st.integers(0, 3 * WINDOW), max_size=60))
def test_the_window_is_that_of_a_set(sequences: list[int]) -> None:
    sender, seen, top = Sender(1), set[int](), -1
    for sequence in sequences:
        fresh = sequence not in seen and sequence > top - WINDOW
        assert sender.is_fresh(sequence) is fresh
        if fresh:
            sender.note(sequence)
            seen.add(sequence)
            top = max(top, sequence)


def test_a_replay_is_dropped() -> None:
    sender, receiver = met()
    sent = [datagrams(sender, b"%d" % i)[0] for i in range(WINDOW + 2)]
    assert heard(1.0, receiver, 0, *sent[1:]) == [b"%d" % i for i in range(1, WINDOW + 2)]
    assert {reason(receiver, datagram, now=2.0 + i) for i, datagram in enumerate(sent)} == {Reason.REPEATED}
    assert heard(3.0, receiver, 0, *datagrams(sender, b"next")) == [b"next"]


@pytest.mark.parametrize("life_of_sender", ["goes on", "ended"])
def test_nothing_recorded_is_believed_after_the_receivers_own_restart(life_of_sender: str) -> None:
    sender, receiver = wire(0), wire(1)
    recorded = meet(0.0, sender, receiver)
    said = [d for i in range(20) for d in datagrams(sender, b"%d" % i)]
    said += [d for _, d in sender.seal(Outgoing(ALL_PEERS, Topic.CONSENSUS, bytes(600)))]
    recorded += said
    assert len(heard(0.0, receiver, 0, *said)) == 21
    again = wire(1, start=77)
    for now in (1.0, 2.0, 3.0):  # in time for questions to be asked anew
        assert heard(now, again, 0, *recorded) == []
        asked = [d for say in again.say(now) for _, d in again.seal(say)]
        if life_of_sender == "goes on":
            for question in asked:
                sender.open(now, 1, question)
            pass_on(now, sender, again)
    assert (again.knows(0) == sender.start) is (life_of_sender == "goes on")
    assert heard(4.0, again, 0, *recorded) == []
    if life_of_sender == "goes on":
        assert heard(4.0, again, 0, *datagrams(sender, b"fresh")) == [b"fresh"]


def test_a_new_life_is_heard_once_it_answered_and_the_old_one_never_again() -> None:
    old, receiver = met()
    unheard = [datagrams(old, b"%d" % i)[0] for i in range(3)]
    half = datagrams(old, bytes(300))
    assert heard(0.0, receiver, 0, unheard[0], half[0]) == [b"0"]
    new = wire(0, start=5)
    assert reason(receiver, datagrams(new, b"first")[0], now=1.0) is Reason.UNPROVEN
    assert heard(1.0, receiver, 0, unheard[1]) == [b"1"]  # the new life has yet to answer
    pass_on(1.0, receiver, new)
    pass_on(1.0, new, receiver)
    assert receiver.knows(0) == 5
    assert reason(receiver, unheard[2], now=1.0) is Reason.REPLACED
    assert reason(receiver, half[1], now=9.0) is Reason.REPLACED
    receiver.say(9.0)
    assert receiver.dropped()[Reason.LATE] == 0  # its half went with its life
    assert heard(9.0, receiver, 0, *datagrams(new, b"second")) == [b"second"]


def test_an_old_life_that_still_runs_does_not_come_back() -> None:
    """Two processes with one number are an operator's mistake: the last one proven stays."""
    old, receiver = met()
    meet(1.0, wire(0, start=5), receiver)
    receiver.meet(5.0, 0)
    for question in [d for say in receiver.say(5.0) for _, d in receiver.seal(say)]:
        old.open(5.0, 1, question)
    for answer in [d for say in old.say(5.0) for _, d in old.seal(say)]:
        assert reason(receiver, answer, now=5.0) is Reason.REPLACED
    assert receiver.knows(0) == 5


def test_an_answer_counts_once_and_in_time() -> None:
    old, receiver, new = wire(0, start=4), wire(1), wire(0, start=5)
    receiver.meet(0.0, 0)
    (say,) = receiver.say(0.0)
    ((_, question),) = receiver.seal(say)
    answers = []
    for life in (old, new):
        life.open(0.0, 1, question)
        answers += [d for said in life.say(0.0) for _, d in life.seal(said)]
    receiver.open(61.0, 0, answers[0])
    assert receiver.knows(0) is None
    receiver.open(1.0, 0, answers[1])
    assert receiver.knows(0) == 5
    receiver.open(1.0, 0, answers[0])  # a dead life's, on its way for long: it asks in vain
    assert receiver.knows(0) == 5


def test_an_answer_proves_nothing_without_the_key_and_is_not_undone_by_asking_again() -> None:
    receiver, sender, forger = wire(1), wire(0), wire(0, start=66, keys=Keys(1, {1: NEW}))
    questions = []
    for now in (0.0, 1.5):
        receiver.meet(now, 0)
        questions += [datagram for say in receiver.say(now) for _, datagram in receiver.seal(say)]
    sender.open(1.5, 1, questions[0])
    (say,) = sender.say(1.5)
    assert reason(receiver, forger.seal(say)[0][1], now=1.6) is Reason.MAC
    assert receiver.knows(0) is None
    receiver.open(1.7, 0, sender.seal(say)[0][1])
    assert receiver.knows(0) == sender.start


def test_a_life_forgotten_as_replaced_has_to_answer() -> None:
    first, receiver = met()
    kept = datagrams(first, b"unheard")[0]
    for start in range(1, REPLACED + 3):
        meet(float(start), wire(0, start), receiver)
    assert reason(receiver, kept, now=50.0) is Reason.UNPROVEN


def test_keys_change_while_all_goes_on() -> None:
    sender, receiver = met()
    both = {1: OLD, 2: NEW}
    receiver.change_keys(Keys(1, both))
    assert heard(1.0, receiver, 0, *datagrams(sender, b"old key")) == [b"old key"]
    sender.change_keys(Keys(2, both))
    assert heard(1.0, receiver, 0, *datagrams(sender, b"new key")) == [b"new key"]
    receiver.change_keys(Keys(2, {2: NEW}))
    sender.change_keys(KEYS)
    assert reason(receiver, datagrams(sender, b"old key")[0], now=1.0) is Reason.KEY
    sender.change_keys(Keys(2, {2: OLD}))
    assert reason(receiver, datagrams(sender, b"old secret")[0], now=1.0) is Reason.MAC
