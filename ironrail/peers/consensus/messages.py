"""Messages of the replicated register and of leases, as MessagePack arrays of a few dozen bytes. Pure.

The form on the wire is fixed by the order of fields and the tags; the transport has the version.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from ironrail.peers.consensus.errors import RecordFormError
from ironrail.peers.messages import Priority

SHORT = 256  # bytes of a document that goes with leases, which wait for it: not for long
MOST_SEEN = 28  # routers: four sets of seven; two are in play, others were named and taken back
EPOCH = 2**32  # steps (and versions) that one founding of the register may use
Bytes16 = Annotated[bytes, msgspec.Meta(min_length=16, max_length=16)]
Whole = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
Why = Annotated[str, msgspec.Meta(max_length=80)]  # with any more a promise that tells it might not fit
Voters = Annotated[tuple[Whole, ...], msgspec.Meta(max_length=7)]
Scope = Annotated[tuple[Whole, ...], msgspec.Meta(max_length=2)]  # versions obeyed together, with the epoch


class PolicyRef(msgspec.Struct, frozen=True, array_like=True):
    """A policy by its version and the digest of its document, and the acceptors that grant its leases."""

    version: Whole
    digest: Bytes16
    voters: Voters = ()  # empty only while it is not yet known in which place it is proposed

    def same(self, other: PolicyRef | None) -> bool:
        """Whether it is the same document under the same version."""
        return other is not None and (self.version, self.digest) == (other.version, other.digest)


class RegisterState(msgspec.Struct, frozen=True, array_like=True):
    """The value of the replicated register: one policy or, during a change, the joint state of two."""

    step: Whole  # of the register, each one above the one before; the epoch above 2**32
    old: PolicyRef
    new: PolicyRef | None = None
    tried: Whole = 0  # the highest version ever held or tried: no version is given to two documents
    by: tuple[Whole, Whole] = (0, 0)  # router and start of the process that proposed the change
    left: Voters = ()  # the set that decided the state before, where it is another one

    @property
    def voters(self) -> Voters:
        """Whose majority decides what follows."""
        return self.old.voters

    @property
    def needed(self) -> tuple[Voters, ...]:
        """The sets of which a majority each has to accept it: always also the one of the state before."""
        return (self.old.voters, self.left) if self.left else (self.old.voters,)

    @property
    def grantors(self) -> Voters:
        """All who grant leases in it."""
        return self._union(self.old.voters, self.new.voters if self.new else ())

    @property
    def named(self) -> Voters:
        """All voters it speaks of."""
        return self._union(self.grantors, self.left)

    @staticmethod
    def _union(one: Voters, other: Voters) -> Voters:
        return (*one, *(voter for voter in other if voter not in one))

    @property
    def scope(self) -> Scope:
        """The versions that whoever decides in this state obeys, all of them."""
        epoch = self.step // EPOCH * EPOCH
        return tuple(epoch + ref.version for ref in (self.old, self.new) if ref)

    def refs(self) -> list[PolicyRef]:
        """The documents that it takes."""
        return [ref for ref in (self.old, self.new) if ref]

    def next(
        self, old: PolicyRef, new: PolicyRef | None = None, by: tuple[int, int] = (0, 0)
    ) -> RegisterState:
        """The state that follows."""
        left = self.voters if old.voters != self.voters else ()
        return RegisterState(self.step + 1, old, new, max(self.tried, new.version if new else 0), by, left)


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One attempt to write the register. `start` keeps a restarted process from reusing a ballot."""

    epoch: Whole = 0
    number: Whole = 0
    router: Whole = 0
    start: Whole = 0


class ScopedStep(msgspec.Struct, frozen=True, array_like=True):
    """A step of the register and the versions obeyed in it, as lease tables store it."""

    step: Whole
    scope: Scope


class AcceptorState(msgspec.Struct, frozen=True, array_like=True):
    """What an acceptor has promised and accepted; written to disk as its record."""

    promised: Ballot = Ballot()
    ballot: Ballot = Ballot()  # at which `accepted` was accepted
    accepted: RegisterState | None = None


# of voters that were heard, the start that was last heard from each itself
Seen = Annotated[tuple[tuple[Whole, Whole], ...], msgspec.Meta(max_length=MOST_SEEN)]
Among = Annotated[tuple[Whole, ...], msgspec.Meta(max_length=MOST_SEEN)]


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Phase 1 of a ballot: asks an acceptor for its promise and for what it accepted."""

    ballot: Ballot
    among: Among = ()  # all who are asked: they have to have heard each other


class Promise(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An acceptor promises to accept nothing below this ballot, and reports what it accepted."""

    ballot: Ballot
    vouched: AcceptorState
    decided: Whole  # highest step that this voter knows to be decided
    seen: Seen
    held: Annotated[
        tuple[Whole, ...], msgspec.Meta(max_length=4)
    ] = ()  # some that may still decide by old alone
    refusal: tuple[Whole, Whole, Why] | None = None  # a router, and what it can't work by


class BallotRejected(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """An acceptor promised a higher ballot to another proposer."""

    ballot: Ballot
    promised: Ballot


class Accept(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Phase 2 of a ballot: asks an acceptor to accept a state."""

    ballot: Ballot
    state: RegisterState


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """An acceptor accepted the state of this ballot."""

    ballot: Ballot
    seen: Seen


class AcceptBlocked(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Not accepted now: a lease stands against the state, or one of its documents is missing."""

    ballot: Ballot


class Decided(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A state that a majority accepted; sent by its proposer, and to whoever asks."""

    state: RegisterState


class RecoveryRequest(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """An acceptor without its state asks the others for theirs."""

    nonce: Whole  # 0: only to be heard
    among: Among = ()


class RecoveryReport(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The answer to a `RecoveryRequest` with its nonce: the state of this acceptor."""

    nonce: Whole
    standing: bool  # whether this voter votes
    seen: Seen
    vouched: AcceptorState  # if standing
    offer: RegisterState | None = None  # if not


class BootstrapOffer(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """By an operator's hand: the state that acceptors without theirs may begin with, all of them."""

    state: RegisterState


class Bootstrapped(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """These processes, a majority of the acceptors, had no state and begin with this one."""

    state: RegisterState
    starts: Seen  # of those that are counted


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """A router asks for a lease, and promises to decide by nothing but these states from now on."""

    sequence: Whole
    low: ScopedStep | None
    high: ScopedStep | None  # and by this one, once a majority grants it
    knows: Whole  # highest step that it knows to be decided
    refuses: tuple[Whole, Whole, Why] | None = None  # a router, a version (with its epoch), and why
    behind: Whole | None = None  # of those it answers for, one that holds it back


class LeaseReply(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Whether a lease was granted; carries the decided state where the router knows an older one."""

    sequence: Whole
    granted: bool
    standing: bool
    epoch: Whole
    decided: RegisterState | None = None  # if the router knows less
    lasts: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 0.0  # seconds, of one who is no voter


class DocumentRequest(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Asks for a policy document by its digest."""

    digest: Bytes16


class Document(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """A policy document, as `policy.encode` writes it."""

    data: bytes


class StateQuery(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Asks any router for a later decided state, and with it for the acceptors in force."""

    knows: Whole


Message = (
    Prepare
    | Promise
    | BallotRejected
    | Accept
    | Accepted
    | AcceptBlocked
    | Decided
    | RecoveryRequest
    | RecoveryReport
    | BootstrapOffer
    | Bootstrapped
    | LeaseRequest
    | LeaseReply
    | DocumentRequest
    | Document
    | StateQuery
)
Out = list[tuple[int, Message]]  # to be sent: to which router, what

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """The body of a `Say`."""
    return _ENCODER.encode(message)


def decode(body: bytes) -> Message:
    """The message in it; raises `msgspec.MsgspecError` if there is none."""
    return _DECODER.decode(body)


def read_record(record: bytes) -> AcceptorState:
    """What was kept; RecordFormError where the bytes are none of ours."""
    try:
        return msgspec.msgpack.decode(record, type=AcceptorState)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise RecordFormError(str(error), "record") from None


def priority(message: Message) -> Priority:
    """What goes first."""
    if isinstance(message, (LeaseRequest, LeaseReply)) or (
        isinstance(message, Document) and len(message.data) <= SHORT
    ):
        return Priority.LEASE
    return Priority.STATE if isinstance(message, (DocumentRequest, Document, StateQuery)) else Priority.VOTE
