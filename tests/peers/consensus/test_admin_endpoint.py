"""The admin endpoints of a few routers that receive each other's messages at once."""

from __future__ import annotations

from typing import Any

import orjson

from ironrail.net.peers.policies import Policies, ProcessIdentity
from ironrail.operator_file import PeerSettings
from ironrail.peers.messages import Received
from ironrail.policy.settings import Settings

ROUTERS = 5


class PeerGroup:
    """Routers with a common clock that advances in steps."""

    def __init__(self) -> None:
        self.now = 0.0
        peers = PeerSettings({}, 1, ("north",) * ROUTERS, (0, 1, 2))
        self.all = [
            Policies(
                ProcessIdentity(index, index + 1, 0.0, index),
                Settings({}),
                peers,
                None,
                lambda _: None,
                lambda: self.now,
                lambda: None,
            )
            for index in range(ROUTERS)
        ]

    def run(self, seconds: float) -> None:
        """Run for so many seconds."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            for policies in self.all:
                if policies.protocol.next_timer_at() <= self.now:
                    policies.protocol.on_timer(self.now)
            while sent := [
                (p.protocol, outgoing) for p in self.all for outgoing in p.protocol.take_outgoing()
            ]:
                for node, outgoing in sent:
                    self.all[outgoing.to].protocol.on_message(
                        self.now, Received(node.conf.own_index, node.conf.incarnation, outgoing.body)
                    )

    def page(self, index: int) -> Any:
        """Return the policy page of a router."""
        return orjson.loads(self.all[index].page().body)


def test_voters_are_replaced_at_the_admin_endpoint() -> None:
    peers = PeerGroup()
    assert peers.all[0].bootstrap(b"epoch = 1\nversion = 1\nrates = { daily = 4.0 }\n").status == 202
    peers.run(8)
    assert peers.page(4)["voters"] == [[0, 1, 2]]
    for wrong in (b"3", b"[]", b"[0, 1]", b"[0, 1, true]", b"[0, 1, 1]", b"[0, 1, 5]"):
        answer = peers.all[4].propose(b"version = 2\nvoters = " + wrong)
        assert answer.status == 400 and b"voters" in answer.body, wrong
    assert peers.all[4].propose(b"version = 2\nvoters = [0, 1, 3]\n").status == 202
    while peers.page(4)["voters"] == [[0, 1, 2]]:
        peers.run(0.05)
    assert peers.page(4)["voters"] == [[0, 1, 2], [0, 1, 3]]
    assert peers.all[3].propose(b"version = 3\nvoters = [0, 1, 3]\n").status == 409
    peers.run(8)
    for index in range(ROUTERS):
        page = peers.page(index)
        # the document is the one that was in force
        assert page["voters"] == [[0, 1, 3]] and page["policy"] == {"version": 2, "rates": {"daily": 4.0}}
    assert peers.page(4)["change"]["state"] == "in force"
    assert peers.all[4].propose(b"version = 3\n").status == 202
    peers.run(3)
    assert peers.page(2)["voters"] == [[0, 1, 3]] and "rates" not in peers.page(2)["policy"]
