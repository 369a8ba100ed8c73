"""The documents that a router has, what it can work by, and what it still has to fetch. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from functools import reduce

from ironrail.peers.consensus import policy as p
from ironrail.peers.consensus.errors import PolicyError
from ironrail.peers.consensus.messages import PolicyRef, RegisterState

MOST_KEPT = 16  # documents: two of each state that a router knows of, and what is on its way


class DocumentStore:
    """Documents by digest."""

    def __init__(self, facts: p.Facts, floor: p.Policy) -> None:
        """`floor`: the operator's, obeyed where nothing is decided by."""
        self.facts, self.fallback = facts, floor
        self._documents: dict[bytes, p.Policy] = {}
        self._met: dict[tuple[bytes, ...], p.Policy] = {}

    def add(self, policy: p.Policy) -> PolicyRef:
        """Have it; its name."""
        ref = PolicyRef(policy.version, p.digest(policy))
        self._documents.pop(ref.digest, None)
        self._documents[ref.digest] = policy  # the latest last
        return ref

    def evict_beyond_limit(self, needed: set[bytes]) -> None:
        """The oldest beyond the most that are kept, but none of these."""
        spare = [digest for digest in self._documents if digest not in needed]
        over = len(self._documents) - MOST_KEPT
        if over > 0:
            self.keep_only(self._documents.keys() - set(spare[:over]))

    def get(self, digest: bytes) -> bytes | None:
        """The document as it goes on the wire."""
        found = self._documents.get(digest)
        return p.encode(found) if found else None

    def missing(self, states: Iterable[RegisterState | None]) -> list[bytes]:
        """Digests of the documents that these states take and that aren't here."""
        wanted = {ref.digest for state in states if state for ref in state.refs()}
        return sorted(wanted - self._documents.keys())

    def rejection_of(self, state: RegisterState) -> tuple[PolicyRef, PolicyError] | None:
        """A document of this state that is here and can't be worked by."""
        for ref in state.refs():
            found = self._documents.get(ref.digest)
            error = None
            if found and found.version != ref.version:
                error = PolicyError("is another one in the document", "version")
            elif found:
                error = p.check(found, self.facts)
            if error:
                return ref, error
        return None

    def effective(self, state: RegisterState) -> p.Policy:
        """What holds in a state whose documents are all here and fit: in a change the meet of both."""
        key = tuple(ref.digest for ref in state.refs())
        if key not in self._met:
            self._met[key] = self._meet([self._documents[digest] for digest in key])
        return self._met[key]

    def merged_with_fallback(self, states: Iterable[RegisterState | None]) -> p.Policy:
        """The floor met with all that is known of these states and fits."""
        refs = {ref.digest: ref for state in states if state for ref in state.refs()}
        key = (b"", *sorted(refs.keys() & self._documents.keys()))
        if key not in self._met:
            known = [self._documents[digest] for digest in key[1:]]
            self._met[key] = self._meet(
                [self.fallback, *(d for d in known if p.check(d, self.facts) is None)]
            )
        return self._met[key]

    def _meet(self, policies: list[p.Policy]) -> p.Policy:
        return reduce(lambda one, other: p.merge_conservatively(one, other, self.facts), policies)

    def keep_only(self, digests: set[bytes]) -> None:
        """Forget what no state takes any more."""
        self._documents = {d: policy for d, policy in self._documents.items() if d in digests}
        self._met = {key: met for key, met in self._met.items() if set(key) <= digests | {b""}}
