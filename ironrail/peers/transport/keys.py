"""The operator's keys, and the code that shows that a datagram was made by someone who has them.

Keyed BLAKE2s of the standard library, 8 bytes. Everyone with the secret is believed in everything, as any
router of the tier; nothing is encrypted.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b, blake2s
from hmac import compare_digest

from ironrail.peers.transport.errors import KeyIdError, SecretError
from ironrail.peers.transport.datagram_format import MAC_BYTES

LEAST_SECRET, MOST_SECRET = 16, 64  # bytes: below, it might be guessed; BLAKE2b takes no more
MOST_KEYS = 2  # the old and the new, while they change
MOST_KEY_ID = 255
TO_ALL = 0xFFFF  # in place of a receiver's number


class Keys:
    """The keys that are believed, and the one that is sent with. Change: add, send with the new, remove."""

    def __init__(self, sending: int, secrets: Mapping[int, bytes], where: str = "peers") -> None:
        """`secrets`: by id of key. Raises KeyIdError or SecretError."""
        if not 1 <= len(secrets) <= MOST_KEYS:
            raise KeyIdError(f"{len(secrets)} keys, where one or two can be used", where)
        for number, secret in secrets.items():
            if not 0 <= number <= MOST_KEY_ID:
                raise KeyIdError(f"key id {number} is not one of 0 to {MOST_KEY_ID}", where)
            if not LEAST_SECRET <= len(secret) <= MOST_SECRET:
                what = (
                    f"the secret of key {number} has {len(secret)} bytes, not {LEAST_SECRET} to {MOST_SECRET}"
                )
                raise SecretError(what, where)
        if sending not in secrets:
            raise KeyIdError(f"key {sending} is to be sent with, and has no secret", where)
        self.sending = sending
        self._states = {number: _state(secret) for number, secret in secrets.items()}

    def __contains__(self, number: int) -> bool:
        return number in self._states

    def mac(self, to: int, data: bytes) -> bytes:
        """For what is sent to this router, or TO_ALL, with the key of today."""
        return _mac(self._states[self.sending], to, data)

    def holds(self, number: int, to: int, datagram: bytes) -> bool:
        """Whether someone who has this key, which must be known, made the datagram for this receiver."""
        made = _mac(self._states[number], to, datagram[:-MAC_BYTES])
        return compare_digest(made, datagram[-MAC_BYTES:])


def _state(secret: bytes) -> blake2s:
    """BLAKE2s takes 32 bytes of key; what was made of another purpose of the same secret is no use here."""
    key = blake2b(key=secret, digest_size=32, person=b"ironrail-wire-1").digest()
    return blake2s(key=key, digest_size=MAC_BYTES)


def _mac(state: blake2s, to: int, data: bytes) -> bytes:
    made = state.copy()  # the key's own block is done: a third of the CPU
    made.update(to.to_bytes(2, "big") + data)
    return made.digest()
