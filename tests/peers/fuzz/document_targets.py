"""Fuzzes what is parsed: a voter's record, policy documents, and posts to the admin endpoint."""

from __future__ import annotations

import asyncio
import random
import tempfile
import zlib
from pathlib import Path

import msgspec

from ironrail.net.peers import admin_documents, policies
from ironrail.net.peers.policies import Policies, ProcessIdentity
from ironrail.net.peers.record_store import MAGIC, FolderStore, RecordError
from ironrail.operator_file import PeerSettings
from ironrail.peers.consensus import messages as m
from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.errors import PolicyError
from ironrail.peers.messages import Received
from ironrail.policy.settings import RequestClass, Settings
from tests.peers.consensus.invariants import CONTEXT, policy
from tests.peers.fuzz.consensus_target import sample_messages
from tests.peers.fuzz.harness import EDGES, FuzzTarget, must
from tests.peers.fuzz.mutations import mutate, mutate_msgpack

TEXTS = (
    b'version = 7\nemptied = ["hall-b"]\nrates = { daily = 400.0 }\nfurther = { grid-read = 0.5 }\n',
    b"epoch = 1\nversion = 1\n[shed]\nonce = 0.1\n[steering.north]\na = 0.5\nb = 0.5\n[constants]\nx = 1\n",
)
TOKENS = (
    *b"nan inf -1 1e400 1979-05-27 ''' true version= epoch= \\u0000 0x10".split(),
    *(bytes([one]) for one in b'"[]{}=.,\n# \xff'),
    *(b"1" * 5000, b"[" * 2000, b"a." * 400, b"a." * 5000, b"{a=" * 900),
    *(b"%d" % edge for edge in EDGES),
)


class DocumentTarget(FuzzTarget):
    """Input that is parsed: the result is a valid object or an error of the expected type."""

    def end(self) -> None:
        """There is no state to check."""


class RecordTarget(DocumentTarget):
    """Record files: truncated or changed ones, and mutated records with a valid checksum."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.folder = tempfile.TemporaryDirectory()
        self.store, self.lease_routing = (
            FolderStore(Path(self.folder.name)),
            Path(self.folder.name) / policies.RECORD_NAME,
        )
        accepted = [one.acceptor_state for one in sample_messages() if isinstance(one, m.Promise)]
        self.runner = asyncio.Runner()
        self.whole = [msgspec.msgpack.encode(v) for v in (*accepted, m.AcceptorState())]

    def step(self) -> None:
        rng = self.rng
        record = rng.choice(self.whole)
        self.bytes_received += len(record)
        if rng.random() < 0.5:
            mutated = mutate(rng, record_file(record), [record_file(other) for other in self.whole])
            self.lease_routing.write_bytes(mutated)
            try:
                must(self.store.read(policies.RECORD_NAME) in self.whole, "a record that was not written")
            except RecordError:
                return
        else:
            self.lease_routing.write_bytes(
                record_file(mutate_msgpack(rng, mutate(rng, record, self.whole), self.whole))
            )
        self.timed(self.runner.run, self._start())

    async def _start(self) -> None:
        """Start a voter with the record, on an event loop."""
        voter = make_policies(self.store)
        voter.protocol.on_timer(1.0)
        voter.protocol.on_message(1.0, Received(1, 1, m.encode(m.Prepare(m.Ballot(1, 9, 1, 1)))))
        voter.protocol.take_records()
        must(voter.page().status == 200, "no page")
        voter.stop()

    def end(self) -> None:
        self.runner.close()
        self.folder.cleanup()


def record_file(record: bytes) -> bytes:
    return MAGIC + zlib.crc32(record).to_bytes(4, "big") + record


def make_policies(store: FolderStore | None) -> Policies:
    """Return the policies of router 0, a voter."""
    peers = PeerSettings({}, 1, ("a", "b", "hall-b"), (0, 1, 2), start_mode="floor")
    classes = {name: RequestClass(name, 1.0) for name in ("grid-read", "once")}
    return Policies(
        ProcessIdentity(0, 7, 0.0, 1),
        Settings(classes),
        peers,
        store,
        lambda _: None,
        lambda: 1.0,
        lambda: None,
    )


class PolicyDocumentTarget(DocumentTarget):
    """Encoded policies: one that is accepted has one encoding, and can be merged with others."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.whole = [
            p.encode(p.parse(admin_documents.parse_toml(text.replace(b"epoch = 1", b"")))) for text in TEXTS
        ]
        self.whole += [p.encode(policy(3)), p.encode(p.Policy(1))]

    def step(self) -> None:
        rng = self.rng
        mutation = rng.choice((mutate, mutate_msgpack))
        data = mutation(rng, rng.choice(self.whole), self.whole)
        self.bytes_received += len(data)
        try:
            decoded = self.timed(p.decode, data)
        except PolicyError:
            return
        must(p.encode(decoded) == data and p.normalize(decoded) == decoded, "another encoding")
        if p.check(decoded, CONTEXT) is None:
            other = policy(5)
            must(
                p.merge_conservatively(decoded, other, CONTEXT)
                == p.merge_conservatively(other, decoded, CONTEXT),
                "a merge that depends on the order",
            )
            must(
                p.merge_conservatively(decoded, decoded, CONTEXT) == decoded,
                "a merge with itself that is another",
            )


class AdminPostTarget(DocumentTarget):
    """Posts of an operator, or an attacker, to `/-/policy` and `/-/policy/found`."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.policies = make_policies(None)

    def step(self) -> None:
        rng = self.rng
        text = rng.choice(TEXTS)
        for _ in range(rng.choice((0, 1, 2, 4))):
            at = rng.randrange(len(text) + 1)
            text = text[:at] + rng.choice(TOKENS) + text[at + rng.choice((0, 0, 1, 9)) :]
        if rng.random() < 0.3:
            text = mutate(rng, text, list(TEXTS))
        self.bytes_received += len(text)
        post = rng.choice((self.policies.propose, self.policies.bootstrap))
        response = self.timed(post, text)
        must(response.status in (202, 400, 409) and bool(response.body), "an unexpected response")
        self.bytes_sent += len(response.body)
        must(len(response.body) < 3000, f"a long response = {len(response.body)}")
        must(self.policies.page().status == 200, "no page")
        must(len(self.policies.protocol.document_store._documents) <= 16, "documents without end")
