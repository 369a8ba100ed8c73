"""Clients that keep using a router during its shutdown, pipeline requests, or disconnect early."""

from __future__ import annotations

from ironrail.rehearsal.account.record import CLIENT_LEFT, Outcome
from ironrail.rehearsal.scenario.reader import parse_scenario
from ironrail.rehearsal.virtual.runner import VirtualRun, run_virtual
from tests.peers import scenario
from tests.rehearsal.facts import planned
from tests.rehearsal.stage import FAST, client_of, plan_of, stage

RESTART = """
summary = "a router is told to end"
length = "4 s"
warm_up = "500 ms"
[load]
rate = 150
keys = 50
[routers]
count = 2
[clients]
retries = 0
new_connections = 0.0
stay = 1.0
[[fault]]
kind = "router-restart"
whom = "router-1"
at = "1 s"
lasts = "4700 ms"
hard = 0.3
"""


def sent_after(played: VirtualRun) -> list[float]:
    """Return the seconds from SIGTERM to each try sent to router-1 before it was ready again."""
    sent = [t.sent_at - 1.0 for t in played.result.record.tries.values() if t.router == "router-1"]
    return [at for at in sent if 0.0 < at < 0.9]


def play(text: str, seed: int = 1) -> VirtualRun:
    return run_virtual(parse_scenario(text, "x.toml"), seed)


def test_new_clients_arrive_after_sigterm_for_the_configured_time() -> None:
    gone = RESTART.replace("stay = 1.0", "stay = 0.0").replace('"4 s"', '"2 s"')
    for told, most in (("0.2", 0.2), ("0.4", 0.4)):
        last = max(sent_after(play(gone.replace("hard = 0.3", f"hard = {told}"))))
        assert most - 0.1 < last <= most
    assert max(sent_after(play(gone.replace("hard = 0.3\n", "")))) <= 0.3


def test_clients_that_stay_go_on_with_connections_that_are_open_and_the_router_answers_them() -> None:
    text = RESTART.replace("hard = 0.3", "hard = 0.02").replace("rate = 150", "rate = 400")
    played, without = play(text), play(text.replace("stay = 1.0", "stay = 0.0"))
    assert len([at for at in sent_after(played) if at > 0.1]) > 5
    assert not [at for at in sent_after(without) if at > 0.1]
    assert not played.result.broken and not played.violations
    ends = {t.outcome for t in played.result.record.tries.values() if 1.31 < t.sent_at < 1.9}
    assert ends <= {Outcome.SERVED, Outcome.REFUSED}


@scenario
async def test_some_commands_are_written_behind_one_that_waits_and_each_has_its_own_answer() -> None:
    async with stage(FAST + "[clients]\npipelined = 1.0\n") as s:
        router, clients = await client_of(s)
        clients.send(plan_of(s))
        first = await router.next()
        clients.send(planned(1, s.world.now()))
        clients.send(planned(2, s.world.now(), "entry"))
        second, third = await router.next(), await router.next()
        assert router.opened == 1
        for got in (first, second, third):
            s.world.record_value(got.flag[1:].decode(), b"v")
            got.reply_value(b"v") if got.head.startswith(b"mg") else got.reply(b"HD %b cv\r\n" % got.flag)
        await clients.wait_until_idle()
        tries = list(s.record.tries.values())
        assert [t.outcome for t in tries] == [Outcome.SERVED] * 3
        assert [[g.request for g in t.answers] for t in tries] == [[t.request] for t in tries]
        clients.send(planned(3, s.world.now(), "entry"))
        await router.next()
        clients.send(
            planned(4, s.world.now())
        )  # its deadline is before the entry's, so it can't be pipelined behind it
        await router.next()
        assert router.opened == 2
        clients.close()


def test_clients_that_leave_early_need_no_answer_and_retry() -> None:
    played = play(RESTART.replace("retries = 0", "retries = 1\nleave = 0.3").split("[[fault]]")[0])
    tries = list(played.result.record.tries.values())
    left = [t for t in tries if t.excuse == CLIENT_LEFT]
    assert len(left) > 10 and not played.result.broken and not played.violations
    assert all(t.ended_at is not None and t.ended_at < t.due for t in left)
    again = {t.planned.number for t in tries if t.number == 1}
    assert {t.planned.number for t in left if t.number == 0} <= again
