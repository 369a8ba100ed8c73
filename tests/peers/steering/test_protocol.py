"""The room: what goes out, at what pace, who learns it, what it takes."""

import random
import tracemalloc

import pytest

from ironrail.peers.messages import Outgoing, PeerProtocol, Received
from ironrail.peers.steering.cost_model import Hall
from ironrail.peers.steering.regions import Regions
from ironrail.peers.steering.reports import MOST_BODY, Report, Summary, encode
from ironrail.peers.steering.protocol import ENVELOPE, MOST_WAITING, PACE, RegionsRoom, RoomError

HALLS = ["a", "b", "c", "d"]
HALL_OF = [n % 4 for n in range(20)]
REGIONS = Regions({f"r{n}": [f"10.{n}.0.0/16"] for n in range(8)})


def room(me: int, start: int = 1, regions: Regions = REGIONS) -> RegionsRoom:
    return RegionsRoom(0.0, me, start, regions, HALLS, HALL_OF, ["page", "key"], random.Random(me))


def serve(one: RegionsRoom, at: float, region: str, took: float, times: int = 10) -> None:
    for _ in range(times):
        one.client_rtt(at, region, 0.030)
        one.served(at, region, "page", took, True, False)


class Fleet:
    """Rooms that hear one another at once, in virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self.rooms = [room(me) for me in range(len(HALL_OF))]
        self.sent: list[tuple[float, int, Outgoing]] = []

    def until(self, end: float) -> None:
        while (at := min(r.next_timer_at() for r in self.rooms)) <= end:
            at = self.now = max(at, self.now)  # what lies in the past is wanted at once
            for me, one in enumerate(self.rooms):
                if one.next_timer_at() <= at:
                    one.on_timer(at)
                    for say in one.take_outgoing():
                        self.sent.append((at, me, say))
                        self.rooms[say.to].on_message(at, Received(me, 1, say.body))
        self.now = end


def test_all_learn_all_and_the_pace_is_kept() -> None:
    fleet = Fleet()
    for second in range(120):
        fleet.until(float(second))
        for one in fleet.rooms:
            for n in range(8):
                serve(one, fleet.now, f"r{n}", 0.020 if second < 30 else 0.200, 2)
    fleet.until(180.0)
    cells = [one.cells(180.0) for one in fleet.rooms]
    whole = {(f"r{n}", h) for n in range(8) for h in HALLS}
    assert all(whole <= set(c) for c in cells)
    slow = sum(c[key].classes[0][0] > 0.15 for c in cells for key in whole)
    assert slow >= 0.9 * len(cells) * len(whole)  # the change came to nearly all; the rest hears at a renewal
    assert all(c.witnesses == 3 for c in cells[0].values())
    for me in range(len(HALL_OF)):
        mine = [(at, len(s.body) + ENVELOPE) for at, who, s in fleet.sent if who == me]
        assert all(size <= MOST_BODY + ENVELOPE for _, size in mine)
        assert sum(size for _, size in mine) <= PACE * 180.0
        for start in range(0, 180, 10):
            assert (
                sum(size for at, size in mine if start <= at < start + 10) <= PACE * 10 + MOST_BODY + ENVELOPE
            )


def test_the_largest_change_goes_first() -> None:
    one = room(0)
    words = [
        Report(w, 1, r, 1, Summary(20, 20, 20, 0, 0, ()).pack(), 0.0) for w in range(1, 20) for r in range(8)
    ]
    for n in range(0, len(words), 8):
        one.on_message(0.0, Received(1, 1, encode(REGIONS.digest, words[n : n + 8])[0]))
    changed = words[3]._replace(sequence=2, values=Summary(21, 20, 20, 0, 0, ()).pack())
    one._waiting.clear()
    small, large = words[2], words[9]
    for word, rtt in ((small, 21), (large, 40)):
        values = Summary(rtt, 20, 20, 0, 0, ()).pack()
        one.on_message(
            1.0, Received(1, 1, encode(REGIONS.digest, [word._replace(sequence=2, values=values)])[0])
        )
    order = sorted(one._waiting, key=lambda k: -one._waiting[k][0])
    assert order[0] == (large.witness, large.region) and changed.sequence == 2


def test_what_waits_is_bounded() -> None:
    regions = Regions({f"r{n}": [f"10.{n}.0.0/16"] for n in range(255)})
    one = room(0, regions=regions)
    for w in range(1, 20):
        for r in range(256):
            word = Report(w, 1, r, 1, Summary(20, 20, 20, 0, 0, ()).pack(), 0.0)
            one.on_message(0.0, Received(w, 1, encode(regions.digest, [word])[0]))
    assert len(one._waiting) <= MOST_WAITING


def test_strangers_words_and_words_about_oneself_are_not_taken() -> None:
    one, other = room(0), Regions({"r0": ["10.0.0.0/8"]})
    mine = Report(0, 9, 1, 9, Summary(1, 1, 1, 0, 0, ()).pack(), 0.0)
    one.on_message(0.0, Received(1, 1, encode(REGIONS.digest, [mine])[0]))
    one.on_message(0.0, Received(1, 1, encode(other.digest, [mine._replace(witness=1)])[0]))
    one.on_message(0.0, Received(1, 1, b"rubbish"))
    assert not one.cells(0.0) and one.unusable == 2


def test_who_goes_early_does_not_make_a_hall_quick() -> None:
    one = room(0)
    for n in range(100):
        one.served(1.0, "r1", "page", 0.5 if n % 2 else 0.001, n % 2 == 1, n % 2 == 0)
    summary = one.own.summary(1.0, REGIONS.numbers["r1"])
    assert summary is not None
    one.table.merge(1.0, Report(0, 1, REGIONS.numbers["r1"], 1, summary.pack(), 0.0))
    cell = one.cells(1.0)["r1", "a"]
    assert cell.classes[0][0] == pytest.approx(0.5, rel=0.1) and cell.late == pytest.approx(0.5, rel=0.25)


def test_time_left_takes_off_a_quick_way_back_once_it_is_known() -> None:
    one: RegionsRoom = room(0)
    assert one.time_left(0.0, "r1", 0.1) == 0.1
    serve(one, 0.0, "r1", 0.02)
    assert one.time_left(0.0, "r1", 0.1) == pytest.approx(0.085, abs=0.0015)
    assert one.time_left(0.0, "r2", 0.1) == 0.1
    face: PeerProtocol = one
    assert face.next_timer_at() < 10.0


def test_what_cant_be_used_is_refused() -> None:
    with pytest.raises(RoomError):
        RegionsRoom(0.0, 0, 1, REGIONS, ["a", "a"], [0], [], random.Random(1))
    with pytest.raises(RoomError):
        RegionsRoom(0.0, 0, 1, REGIONS, ["a"], [1], [], random.Random(1))


def test_memory_of_the_largest_tier() -> None:
    """256 regions, 50 halls of 20 routers: all cells known, all own sketches in use, of 32 MB."""
    regions = Regions({f"r{n}": [f"10.{n}.0.0/16"] for n in range(255)})
    halls = [f"hall {n}" for n in range(50)]
    hall_of = [n % 50 for n in range(1000)]
    tracemalloc.start()
    one = RegionsRoom(0.0, 0, 1, regions, halls, hall_of, list("abcd"), random.Random(1))
    values = Summary(20, 20, 30, 3, 1, tuple((c, 9, 9, 4) for c in range(4))).pack()
    for witness in range(1, 200):
        for region in range(256):
            one.table.merge(0.0, Report(witness, 2**60 + witness, region, 9, values, 0.0))
    for name in regions.names:
        for cls in "abcd":
            one.served(0.0, name, cls, 0.02, True, False)
        one.client_rtt(0.0, name, 0.02)
    kept = tracemalloc.get_traced_memory()[0]
    tracemalloc.reset_peak()
    one.propose(0.0, {}, {h: Hall(1e6, 1e5, routers=20) for h in halls}, dict.fromkeys(halls, 0.0))
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert kept < 5e6 and peak - kept < 32e6
