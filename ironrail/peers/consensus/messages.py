"""Messages of the replicated register and of leases. Pure.

They are MessagePack arrays of a few dozen bytes. The order of the fields and the tags define the
wire format; its version is the transport's.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from ironrail.peers.consensus.errors import RecordFormError
from ironrail.peers.messages import Priority

# Documents up to this size are sent with the priority of leases, which they delay only briefly.
MAX_LEASE_PRIORITY_DOCUMENT_BYTES = 256
# Four sets of seven: two are in use, others belong to changes that were withdrawn.
MAX_SEEN_VOTERS = 28
# Steps, and versions, that are available after one bootstrap of the register.
STEPS_PER_EPOCH = 2**32
Bytes16 = Annotated[bytes, msgspec.Meta(min_length=16, max_length=16)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
# a longer reason could make a `Promise` too long to be sent
RejectionReason = Annotated[str, msgspec.Meta(max_length=80)]
Voters = Annotated[tuple[NonNegativeInt, ...], msgspec.Meta(max_length=7)]
# versions obeyed together, with the epoch
Scope = Annotated[tuple[NonNegativeInt, ...], msgspec.Meta(max_length=2)]


class PolicyRef(msgspec.Struct, frozen=True, array_like=True):
    """A policy: version, digest of the document, and the voters that grant leases for it."""

    version: NonNegativeInt
    digest: Bytes16
    voters: Voters = ()  # empty only until it is proposed

    def is_same_document(self, other: PolicyRef | None) -> bool:
        """Return whether it is the same document under the same version."""
        return other is not None and (self.version, self.digest) == (other.version, other.digest)


class RegisterState(msgspec.Struct, frozen=True, array_like=True):
    """The value of the register: one policy or, during a change, the joint state of two."""

    step: NonNegativeInt  # increases by one with each state; a multiple of 2**32 begins each epoch
    old: PolicyRef
    new: PolicyRef | None = None
    # highest version ever in force or proposed: no version is given to two documents
    max_tried_version: NonNegativeInt = 0
    # router and incarnation of the process that proposed the change
    proposer: tuple[NonNegativeInt, NonNegativeInt] = (0, 0)
    previous_voters: Voters = ()  # the voters that decided the state before, if they differ

    @property
    def voters(self) -> Voters:
        """The voters whose majority decides the next state."""
        return self.old.voters

    @property
    def required_voter_sets(self) -> tuple[Voters, ...]:
        """The sets that each have to accept this state by a majority.

        The voters of the state before are always among them.
        """
        return (
            (self.old.voters, self.previous_voters) if self.previous_voters else (self.old.voters,)
        )

    @property
    def grantors(self) -> Voters:
        """All voters that grant leases in this state."""
        return self._union(self.old.voters, self.new.voters if self.new else ())

    @property
    def all_voters(self) -> Voters:
        """All voters that this state refers to."""
        return self._union(self.grantors, self.previous_voters)

    @staticmethod
    def _union(one: Voters, other: Voters) -> Voters:
        return (*one, *(voter for voter in other if voter not in one))

    @property
    def scope(self) -> Scope:
        """All versions that a router obeys which decides in this state."""
        epoch = self.step // STEPS_PER_EPOCH * STEPS_PER_EPOCH
        return tuple(epoch + ref.version for ref in (self.old, self.new) if ref)

    def refs(self) -> list[PolicyRef]:
        """Return the references of the documents of this state."""
        return [ref for ref in (self.old, self.new) if ref]

    def successor(
        self, old: PolicyRef, new: PolicyRef | None = None, proposer: tuple[int, int] = (0, 0)
    ) -> RegisterState:
        """Return the next state, with these policies."""
        previous_voters = self.voters if old.voters != self.voters else ()
        return RegisterState(
            self.step + 1,
            old,
            new,
            max(self.max_tried_version, new.version if new else 0),
            proposer,
            previous_voters,
        )


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifies one attempt to write the register.

    With the incarnation a restarted process cannot reuse a ballot.
    """

    epoch: NonNegativeInt = 0
    number: NonNegativeInt = 0
    router: NonNegativeInt = 0
    incarnation: NonNegativeInt = 0


class ScopedStep(msgspec.Struct, frozen=True, array_like=True):
    """A step of the register and the versions obeyed in it, as lease tables store them."""

    step: NonNegativeInt
    scope: Scope


class AcceptorState(msgspec.Struct, frozen=True, array_like=True):
    """What an acceptor has promised and accepted; its encoding is the record on disk."""

    promised: Ballot = Ballot()
    accepted_ballot: Ballot = Ballot()  # at which `accepted` was accepted
    accepted: RegisterState | None = None


# for each voter that was seen, the incarnation last received from directly
SeenIncarnations = Annotated[
    tuple[tuple[NonNegativeInt, NonNegativeInt], ...], msgspec.Meta(max_length=MAX_SEEN_VOTERS)
]
AskedVoters = Annotated[tuple[NonNegativeInt, ...], msgspec.Meta(max_length=MAX_SEEN_VOTERS)]


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Phase 1 of a ballot: asks an acceptor for its promise and for what it accepted."""

    ballot: Ballot
    asked_voters: AskedVoters = ()  # everyone asked: these voters have to have seen each other


class Promise(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An acceptor promises to accept nothing below this ballot, and reports what it accepted."""

    ballot: Ballot
    acceptor_state: AcceptorState
    decided_step: NonNegativeInt  # highest step that this voter knows to be decided
    seen_incarnations: SeenIncarnations
    blocking_routers: Annotated[
        tuple[NonNegativeInt, ...], msgspec.Meta(max_length=4)
    ] = ()  # some routers that may still decide by the old policy alone
    # router, version and reason: a router that cannot act on the document
    rejection: tuple[NonNegativeInt, NonNegativeInt, RejectionReason] | None = None


class BallotRejected(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """An acceptor has promised a higher ballot to another proposer."""

    ballot: Ballot
    promised: Ballot


class Accept(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Phase 2 of a ballot: asks an acceptor to accept a state."""

    ballot: Ballot
    state: RegisterState


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """An acceptor accepted the state of this ballot."""

    ballot: Ballot
    seen_incarnations: SeenIncarnations


class AcceptBlocked(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Not accepted for now.

    A lease conflicts with the state, or one of its documents is missing.
    """

    ballot: Ballot


class Decided(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A state that a majority accepted; sent by its proposer, and in reply to a `StateQuery`."""

    state: RegisterState


class RecoveryRequest(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """An acceptor without its state asks the others for theirs."""

    nonce: NonNegativeInt  # 0: only makes the sender seen, no recovery
    asked_voters: AskedVoters = ()


class RecoveryReport(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The reply to a `RecoveryRequest`, with its nonce: the state of this acceptor."""

    nonce: NonNegativeInt
    is_voting: bool  # whether this acceptor has its state and votes
    seen_incarnations: SeenIncarnations
    acceptor_state: AcceptorState  # only if it is voting
    offered_state: RegisterState | None = None  # only if it is not voting


class BootstrapOffer(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Sent on behalf of an operator: the state that acceptors without one may start with."""

    state: RegisterState


class Bootstrapped(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """These processes, a majority of the acceptors, had no state and start with this one."""

    state: RegisterState
    incarnations: SeenIncarnations  # of the processes counted


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """A router asks for a lease, and promises to decide only in these states from now on."""

    sequence: NonNegativeInt
    low: ScopedStep | None
    high: ScopedStep | None  # and in this one, once a majority has granted it
    known_step: NonNegativeInt  # highest step that the router knows to be decided
    # router, version with its epoch, and reason
    rejection: tuple[NonNegativeInt, NonNegativeInt, RejectionReason] | None = None
    # if the router is a head: one of its members that may still decide by an older policy
    lagging_router: NonNegativeInt | None = None


class LeaseReply(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Whether a lease was granted, and the latest decided state if the router's is older."""

    sequence: NonNegativeInt
    granted: bool
    is_voting: bool
    epoch: NonNegativeInt
    newer_state: RegisterState | None = None  # if the router knows an older one
    # lease time granted by a head, which is no voter
    delegated_seconds: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 0.0


class DocumentRequest(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Asks for a policy document by its digest."""

    digest: Bytes16


class Document(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """A policy document, as encoded by `policy.encode`."""

    data: bytes


class StateQuery(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Asks any router for a later decided state, which also tells who the current voters are."""

    known_step: NonNegativeInt


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
OutgoingMessages = list[tuple[int, Message]]  # destination router and message

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the body of an `Outgoing`."""
    return _ENCODER.encode(message)


def decode(body: bytes) -> Message:
    """Decode a message.

    Raises:
        msgspec.MsgspecError: The body is not a valid message.
    """
    return _DECODER.decode(body)


def read_record(record: bytes) -> AcceptorState:
    """Decode a voter's record.

    Raises:
        RecordFormError: The bytes are not a record of this format.
    """
    try:
        return msgspec.msgpack.decode(record, type=AcceptorState)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise RecordFormError(str(error), "record") from None


def priority(message: Message) -> Priority:
    """Return the sending priority of a message."""
    if isinstance(message, (LeaseRequest, LeaseReply)) or (
        isinstance(message, Document) and len(message.data) <= MAX_LEASE_PRIORITY_DOCUMENT_BYTES
    ):
        return Priority.LEASE
    return (
        Priority.STATE
        if isinstance(message, (DocumentRequest, Document, StateQuery))
        else Priority.VOTE
    )
