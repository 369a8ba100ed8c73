"""What is read of disks, of operators and as documents: a voter's record, policies, posts at the door."""

from __future__ import annotations

import asyncio
import random
import tempfile
import zlib
from pathlib import Path

import msgspec

from ironrail.net.peers import admin_documents, policies
from ironrail.net.peers.policies import Place, Policies
from ironrail.net.peers.record_store import MAGIC, FolderStore, RecordError
from ironrail.operator_file import PeerSettings
from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.errors import PolicyError
from ironrail.peers.messages import Received
from ironrail.policy.settings import RequestClass, Settings
from tests.peers.consensus.invariants import CONTEXT, policy
from tests.peers.fuzz.accord import _samples
from tests.peers.fuzz.base import EDGES, Attack, must
from tests.peers.fuzz.bodies import spoil, spoil_packed

TEXTS = (
    b'version = 7\nemptied = ["hall-b"]\nrates = { daily = 400.0 }\nfurther = { grid-read = 0.5 }\n',
    b"epoch = 1\nversion = 1\n[shed]\nonce = 0.1\n[steering.north]\na = 0.5\nb = 0.5\n[constants]\nx = 1\n",
)
WORDS = (
    *b"nan inf -1 1e400 1979-05-27 ''' true version= epoch= \\u0000 0x10".split(),
    *(bytes([one]) for one in b'"[]{}=.,\n# \xff'),
    *(b"1" * 5000, b"[" * 2000, b"a." * 400, b"a." * 5000, b"{a=" * 900),
    *(b"%d" % edge for edge in EDGES),
)


class Papers(Attack):
    """A thing that is read: nothing comes out but what is whole, or an error with its type."""

    def end(self) -> None:
        """Nothing is kept."""


class Records(Papers):
    """Through the store: torn, changed; and whole by its sum with anything in it."""

    def __init__(self, draws: random.Random) -> None:
        super().__init__(draws)
        self.folder = tempfile.TemporaryDirectory()
        self.store, self.path = FolderStore(Path(self.folder.name)), Path(self.folder.name) / policies.RECORD
        acceptor_state = [one.acceptor_state for one in _samples() if isinstance(one, m.Promise)]
        self.runner = asyncio.Runner()
        self.whole = [msgspec.msgpack.encode(v) for v in (*acceptor_state, m.AcceptorState())]

    def step(self) -> None:
        draws = self.draws
        record = draws.choice(self.whole)
        self.heard += len(record)
        if draws.random() < 0.5:
            spoilt = spoil(draws, _file(record), [_file(other) for other in self.whole])
            self.path.write_bytes(spoilt)
            try:
                must(self.store.read(policies.RECORD) in self.whole, "a record that was not kept")
            except RecordError:
                return
        else:
            self.path.write_bytes(_file(spoil_packed(draws, spoil(draws, record, self.whole), self.whole)))
        self.timed(self.runner.run, self._start())

    async def _start(self) -> None:
        """As a voter does, on a loop."""
        told = place(self.store)
        told.room.on_timer(1.0)
        told.room.on_message(1.0, Received(1, 1, m.encode(m.Prepare(m.Ballot(1, 9, 1, 1)))))
        told.room.take_records()
        must(told.page().status == 200, "no page")
        told.stop()

    def end(self) -> None:
        self.runner.close()
        self.folder.cleanup()


def _file(record: bytes) -> bytes:
    return MAGIC + zlib.crc32(record).to_bytes(4, "big") + record


def place(store: FolderStore | None) -> Policies:
    """Router 0, a voter."""
    peers = PeerSettings({}, 1, ("a", "b", "hall-b"), (0, 1, 2), start_mode="floor")
    classes = {name: RequestClass(name, 1.0) for name in ("grid-read", "once")}
    return Policies(
        Place(0, 7, 0.0, 1), Settings(classes), peers, store, lambda _: None, lambda: 1.0, lambda: None
    )


class Documents(Papers):
    """Policies as they go on the wire: what is taken has one form, and can be met."""

    def __init__(self, draws: random.Random) -> None:
        super().__init__(draws)
        self.whole = [
            p.encode(p.parse(admin_documents.table(text.replace(b"epoch = 1", b"")))) for text in TEXTS
        ]
        self.whole += [p.encode(policy(3)), p.encode(p.Policy(1))]

    def step(self) -> None:
        draws = self.draws
        change = draws.choice((spoil, spoil_packed))
        data = change(draws, draws.choice(self.whole), self.whole)
        self.heard += len(data)
        try:
            got = self.timed(p.decode, data)
        except PolicyError:
            return
        must(p.encode(got) == data and p.normalize(got) == got, "another form")
        if p.check(got, CONTEXT) is None:
            other = policy(5)
            must(
                p.merge_conservatively(got, other, CONTEXT) == p.merge_conservatively(other, got, CONTEXT),
                "a meet that depends on the order",
            )
            must(p.merge_conservatively(got, got, CONTEXT) == got, "a meet with itself that is another")


class Posts(Papers):
    """What an operator, or who has his way in, posts to `/-/policy` and `/-/policy/found`."""

    def __init__(self, draws: random.Random) -> None:
        super().__init__(draws)
        self.policies = place(None)

    def step(self) -> None:
        draws = self.draws
        text = draws.choice(TEXTS)
        for _ in range(draws.choice((0, 1, 2, 4))):
            at = draws.randrange(len(text) + 1)
            text = text[:at] + draws.choice(WORDS) + text[at + draws.choice((0, 0, 1, 9)) :]
        if draws.random() < 0.3:
            text = spoil(draws, text, list(TEXTS))
        self.heard += len(text)
        post = draws.choice((self.policies.propose, self.policies.found))
        answer = self.timed(post, text)
        must(answer.status in (202, 400, 409) and bool(answer.body), "no such answer")
        self.said += len(answer.body)
        must(len(answer.body) < 3000, f"a long answer = {len(answer.body)}")
        must(self.policies.page().status == 200, "no page")
        must(len(self.policies.room.document_store._documents) <= 16, "documents without end")
