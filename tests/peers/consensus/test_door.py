"""The operators' door of a few routers that hear each other at once, with a clock of their own."""

from __future__ import annotations

from typing import Any

import orjson

from ironrail.net.peers.policies import Policies, ProcessIdentity
from ironrail.operator_file import PeerSettings
from ironrail.peers.messages import Received
from ironrail.policy.settings import Settings

ROUTERS = 5


class Tier:
    """Messages arrive at once; time goes in steps."""

    def __init__(self) -> None:
        self.now = 0.0
        peers = PeerSettings({}, 1, ("north",) * ROUTERS, (0, 1, 2))
        self.all = [
            Policies(
                ProcessIdentity(me, me + 1, 0.0, me),
                Settings({}),
                peers,
                None,
                lambda _: None,
                lambda: self.now,
                lambda: None,
            )
            for me in range(ROUTERS)
        ]

    def run(self, seconds: float) -> None:
        """So long."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            for policies in self.all:
                if policies.protocol.next_timer_at() <= self.now:
                    policies.protocol.on_timer(self.now)
            while said := [(p.protocol, say) for p in self.all for say in p.protocol.take_outgoing()]:
                for room, say in said:
                    self.all[say.to].protocol.on_message(
                        self.now, Received(room.conf.router, room.conf.start, say.body)
                    )

    def page(self, me: int) -> Any:
        """What it tells."""
        return orjson.loads(self.all[me].page().body)


def test_voters_are_replaced_at_the_door() -> None:
    tier = Tier()
    assert tier.all[0].bootstrap(b"epoch = 1\nversion = 1\nrates = { daily = 4.0 }\n").status == 202
    tier.run(8)
    assert tier.page(4)["voters"] == [[0, 1, 2]]
    for wrong in (b"3", b"[]", b"[0, 1]", b"[0, 1, true]", b"[0, 1, 1]", b"[0, 1, 5]"):
        answer = tier.all[4].propose(b"version = 2\nvoters = " + wrong)
        assert answer.status == 400 and b"voters" in answer.body, wrong
    assert tier.all[4].propose(b"version = 2\nvoters = [0, 1, 3]\n").status == 202
    while tier.page(4)["voters"] == [[0, 1, 2]]:
        tier.run(0.05)
    assert tier.page(4)["voters"] == [[0, 1, 2], [0, 1, 3]]
    assert tier.all[3].propose(b"version = 3\nvoters = [0, 1, 3]\n").status == 409
    tier.run(8)
    for me in range(ROUTERS):
        page = tier.page(me)
        # the document is the one that was in force
        assert page["voters"] == [[0, 1, 3]] and page["policy"] == {"version": 2, "rates": {"daily": 4.0}}
    assert tier.page(4)["change"]["state"] == "in force"
    assert tier.all[4].propose(b"version = 3\n").status == 202
    tier.run(3)
    assert tier.page(2)["voters"] == [[0, 1, 3]] and "rates" not in tier.page(2)["policy"]
