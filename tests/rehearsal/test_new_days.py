"""Caches that hang, accept connections late or answer twice."""

from __future__ import annotations

import asyncio

import pytest

from ironrail.rehearsal.account.record import Ended
from ironrail.rehearsal.faults.injector import FaultInjector
from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.scenario.model import Network as Conditions
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.reader import parse_scenario, read_scenario
from ironrail.rehearsal.standins.faulty_endpoint import FaultyEndpoint
from ironrail.rehearsal.standins.listening_port import SocketListeningPort
from ironrail.rehearsal.virtual.environment import VirtualListening
from ironrail.rehearsal.virtual.loop import VirtualLoop
from ironrail.rehearsal.virtual.network import Network
from ironrail.rehearsal.virtual.runner import run_virtual
from ironrail.rehearsal.virtual.trace import Trace
from tests.peers import scenario, until
from tests.rehearsal.stage import R, stage, wire
from tests.rehearsal.test_mutants import FOLDER

CONNECTIONS = 12

# Caches


@scenario
async def test_a_cache_that_hangs_takes_connections_and_answers_nothing_until_it_goes_on() -> None:
    async with stage() as s:
        cache, other = s.caches["cache-1"], s.caches["cache-2"]
        s.fleet.begin_hang("cache-1", "f")
        wires, stories = [], [s.asked(n) for n in range(CONNECTIONS)]
        for story in stories:
            wires.append(await wire(cache.endpoints[R].address))
            wires[-1].read(story)
        await until(lambda: sum(len(story.one.attempts) for story in stories) == CONNECTIONS)
        well = s.asked(CONNECTIONS)
        healthy = await wire(other.endpoints[R].address)
        healthy.read(well)
        await healthy.line()
        assert {a.ended for story in stories for a in story.one.attempts} == {Ended.OPEN}
        assert s.registry.rows["cache-1"].state == "in_service"
        s.fleet.end_hang("cache-1", "f")
        await until(lambda: all(a.ended is not Ended.OPEN for story in stories for a in story.one.attempts))
        ends = [story.one.attempts[0].ended for story in stories]
        assert set(ends) == {Ended.MISS, Ended.RESET}
        for link, story, ended in zip(wires, stories, ends, strict=True):
            told = await link.reader.read(100) if ended is Ended.MISS else b""
            assert told == (f"EN O{story.one.request}\r\n".encode() if ended is Ended.MISS else b"")


@scenario
async def test_a_cache_that_hangs_for_two_causes_continues_after_the_last() -> None:
    async with stage() as s:
        s.fleet.begin_hang("cache-1", "f")
        s.fleet.begin_hang("cache-1", "g")
        link, story = await wire(s.caches["cache-1"].endpoints[R].address), s.asked()
        link.read(story)
        await until(lambda: story.one.attempts)
        s.caches["cache-1"].draining = True  # once it continues, it refuses the request at once
        s.fleet.end_hang("cache-1", "f")
        assert story.one.attempts[0].ended is Ended.OPEN
        s.fleet.end_hang("cache-1", "g")
        await until(lambda: story.one.attempts[0].ended is not Ended.OPEN)


@scenario
async def test_a_second_answer_comes_later_under_the_same_id_and_the_connection_stays() -> None:
    async with stage() as s:
        cache = s.caches["cache-1"]
        cache.store.put("grid-0", 200)
        cache.begin_fault("f", FaultKind.SECOND_ANSWER, 1.0)
        link, copies = await wire(cache.endpoints[R].address), set()
        for n in range(CONNECTIONS):
            story = s.asked(n)
            link.read(story)
            heads, bodies = [], []
            for _ in range(2):
                heads.append(await link.line())
                bodies.append(await link.reader.readexactly(int(heads[-1].split()[1]) + 2))
                if len(heads) == 1:
                    assert story.one.attempts[0].ended is Ended.SERVED
            assert heads[0] == heads[1] and f"O{story.one.request}".encode() in heads[0]
            copies.add(bodies[0] == bodies[1])
        assert copies == {True, False}
        cache.end_fault("f")
        link.read(s.asked(CONNECTIONS))
        await link.reader.readexactly(len(heads[0]) + len(bodies[0]))


def test_second_answers_come_some_milliseconds_late_on_a_share_of_connections() -> None:
    text = 'summary = "x"\nlength = "3 s"\n[load]\nkeys = 20\n[[fault]]\nkind = "second-answer"\n'
    played = run_virtual(parse_scenario(text + 'whom = "all"\nat = "0 s"\nhard = 0.5\n', "x.toml"), 1)
    assert not played.result.broken and not played.violations
    faults = [log.count("a reply without a request") for log in played.result.logs.values()]
    assert sum(faults) > 3  # counted against the connection, as the first answer was valid
    assert played.result.service.whole.share > 0.9


# Connections


def test_connects_come_up_late_by_what_is_drawn_and_in_time_again_in_virtual_time() -> None:
    loop = VirtualLoop(1)
    network = Network(loop, Conditions(), 1, Trace())

    async def times() -> list[float]:
        loops = asyncio.get_running_loop()
        listening = VirtualListening(network, 0, lambda connection, late: None)
        host, _, port = listening.address.rpartition(":")
        taken = []
        for draw in (None, lambda: 0.7, lambda: 0.2, None):
            listening.set_connect_delay(draw)
            began = loops.time()
            await loops.create_connection(asyncio.Protocol, host, int(port))
            taken.append(loops.time() - began)
        listening.set_connect_delay(lambda: 1.0)
        loops.call_later(0.5, listening.close)
        with pytest.raises(ConnectionRefusedError):
            await loops.create_connection(asyncio.Protocol, host, int(port))
        return taken

    usual, late, less, again = loop.run_until_complete(times())
    loop.close()
    assert 0.7 < late < 0.71 and 0.2 < less < 0.21 and max(usual, again) < 0.01


@scenario
async def test_on_real_sockets_a_late_port_hangs_and_answers_in_turn() -> None:
    listening = SocketListeningPort(0, lambda connection, late: connection.close())
    turns = iter([60.0, 60.0])
    listening.set_connect_delay(lambda: next(turns))
    assert listening._fillers
    connect = asyncio.create_task(asyncio.open_connection("127.0.0.1", listening.port))
    other = SocketListeningPort(0, lambda connection, late: connection.close())
    await asyncio.open_connection("127.0.0.1", other.port)
    assert not connect.done()
    listening.hang()  # hangs until both the delay and the silence are over
    listening.set_connect_delay(None)
    assert listening._fillers
    listening.resume()
    assert not listening._fillers
    _, writer = await connect  # once the system retransmits the SYN
    writer.close()
    listening.close()
    other.close()


@scenario
async def test_a_reopened_listener_keeps_its_connect_delay() -> None:
    told: list[object] = []

    class Told(SocketListeningPort):
        def set_connect_delay(self, draw: object) -> None:
            told.append(draw)

    door = FaultyEndpoint(R, lambda door: pytest.fail("nobody connects"), Told)
    first, second = (lambda: 0.1), (lambda: 0.2)
    door.begin_connect_delay("f", first)
    door.begin_connect_delay("g", second)
    door.close()
    door.open()
    door.end_connect_delay("g")
    door.end_connect_delay("f")
    assert told == [None, first, second, second, first, None]
    door.close()


# Whole scenarios


def test_the_unmodified_router_keeps_all_rules_under_these_faults() -> None:
    for seed in (1, 2):
        played = run_virtual(read_scenario(str(FOLDER / "days.toml")), seed)
        assert not [v for v in played.result.verdicts if not v.kept]


def test_each_of_these_fault_kinds_is_injected(monkeypatch: pytest.MonkeyPatch) -> None:
    begun: list[str] = []
    apply = FaultInjector.apply

    def noted(self: FaultInjector, step: object) -> None:
        apply(self, step)  # type: ignore[arg-type]
        caches = self.fleet.caches.values()
        begun.extend("hang" for c in caches if c._hangs)
        begun.extend("late" for c in caches if any(door._connect_delays for door in c.endpoints.values()))
        begun.extend("second" for c in caches if c.replies._faults)

    monkeypatch.setattr(FaultInjector, "apply", noted)
    day: Scenario = read_scenario(str(FOLDER / "days.toml"))
    run_virtual(day, 1)
    assert set(begun) == {"hang", "late", "second"}
