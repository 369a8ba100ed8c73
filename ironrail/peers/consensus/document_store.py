"""Store of the policy documents of a router. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from functools import reduce

from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.errors import PolicyError
from ironrail.peers.consensus.messages import PolicyRef, RegisterState

MAX_DOCUMENTS = 16  # two for each state that a router knows, and those on their way


class DocumentStore:
    """Policy documents by digest, and the policies merged from them."""

    def __init__(self, context: p.ValidationContext, fallback: p.Policy) -> None:
        """Create an empty store.

        Args:
            context: What policies are checked against.
            fallback: The operator's policy for when this router has no lease.
        """
        self.context, self.fallback = context, fallback
        self._documents: dict[bytes, p.Policy] = {}
        self._merged: dict[tuple[bytes, ...], p.Policy] = {}

    def add(self, policy: p.Policy) -> PolicyRef:
        """Store a document and return its reference."""
        ref = PolicyRef(policy.version, p.digest(policy))
        self._documents.pop(ref.digest, None)
        self._documents[ref.digest] = policy  # the most recent is last
        return ref

    def evict_beyond_limit(self, needed: set[bytes]) -> None:
        """Drop the oldest documents beyond `MAX_DOCUMENTS`, except the needed ones."""
        spare = [digest for digest in self._documents if digest not in needed]
        over = len(self._documents) - MAX_DOCUMENTS
        if over > 0:
            self.keep_only(self._documents.keys() - set(spare[:over]))

    def get(self, digest: bytes) -> bytes | None:
        """Return the encoded document, or None if it is not stored."""
        found = self._documents.get(digest)
        return p.encode(found) if found else None

    def missing(self, states: Iterable[RegisterState | None]) -> list[bytes]:
        """Return the digests of the documents of these states that are not stored."""
        wanted = {ref.digest for state in states if state for ref in state.refs()}
        return sorted(wanted - self._documents.keys())

    def rejection_of(self, state: RegisterState) -> tuple[PolicyRef, PolicyError] | None:
        """Return the first document of this state that this router cannot act on, and why."""
        for ref in state.refs():
            found = self._documents.get(ref.digest)
            error = None
            if found and found.version != ref.version:
                error = PolicyError("is another one in the document", "version")
            elif found:
                error = p.check(found, self.context)
            if error:
                return ref, error
        return None

    def effective(self, state: RegisterState) -> p.Policy:
        """Return the policy of a state whose documents are all stored and valid.

        For a joint state that is the conservative merge of both policies.
        """
        key = tuple(ref.digest for ref in state.refs())
        if key not in self._merged:
            self._merged[key] = self._merge([self._documents[digest] for digest in key])
        return self._merged[key]

    def merged_with_fallback(self, states: Iterable[RegisterState | None]) -> p.Policy:
        """Return the fallback policy merged with all stored, valid documents of these states."""
        refs = {ref.digest: ref for state in states if state for ref in state.refs()}
        key = (b"", *sorted(refs.keys() & self._documents.keys()))
        if key not in self._merged:
            known = [self._documents[digest] for digest in key[1:]]
            self._merged[key] = self._merge(
                [self.fallback, *(d for d in known if p.check(d, self.context) is None)]
            )
        return self._merged[key]

    def _merge(self, policies: list[p.Policy]) -> p.Policy:
        return reduce(lambda one, other: p.merge_conservatively(one, other, self.context), policies)

    def keep_only(self, digests: set[bytes]) -> None:
        """Drop all other documents and the policies merged from them."""
        self._documents = {d: policy for d, policy in self._documents.items() if d in digests}
        self._merged = {
            key: merged for key, merged in self._merged.items() if set(key) <= digests | {b""}
        }
