"""The operator's shared secrets, and the MAC that proves knowledge of one of them.

The MAC is keyed BLAKE2s of the standard library with 8-byte digests. Whoever has the secret is
trusted in everything, as any router is. Nothing is encrypted.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b, blake2s
from hmac import compare_digest

from ironrail.peers.transport.datagram_format import MAC_BYTES
from ironrail.peers.transport.errors import KeyIdError, SecretError

# A shorter one might be guessed; BLAKE2b takes no longer one.
MIN_SECRET_BYTES, MAX_SECRET_BYTES = 16, 64
MAX_KEYS = 2  # the old and the new one during a key rotation
MAX_KEY_ID = 255
BROADCAST_RECEIVER = 0xFFFF  # in the MAC, in place of a receiver's index


class KeyRing:
    """The keys that are accepted, and the one to send with.

    To rotate a key: add the new one, send with the new one, remove the old one.

    Attributes:
        sending_key_id: Id of the key to send with.
    """

    def __init__(
        self, sending_key_id: int, secrets: Mapping[int, bytes], location: str = "peers"
    ) -> None:
        """Derive the keys.

        Args:
            sending_key_id: Id of the key to send with.
            secrets: Secrets by key id.
            location: The place in the operator's file that errors name.

        Raises:
            KeyIdError: An id or the number of keys is out of range, or the sending key is missing.
            SecretError: A secret is too short or too long.
        """
        if not 1 <= len(secrets) <= MAX_KEYS:
            raise KeyIdError(f"{len(secrets)} keys, where one or two can be used", location)
        for key_id, secret in secrets.items():
            if not 0 <= key_id <= MAX_KEY_ID:
                raise KeyIdError(f"key id {key_id} is not one of 0 to {MAX_KEY_ID}", location)
            if not MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
                reason = (
                    f"the secret of key {key_id} has {len(secret)} bytes,"
                    f" not {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES}"
                )
                raise SecretError(reason, location)
        if sending_key_id not in secrets:
            raise KeyIdError(f"the sending key {sending_key_id} has no secret", location)
        self.sending_key_id = sending_key_id
        self._hash_states = {key_id: _hash_state(secret) for key_id, secret in secrets.items()}

    def __contains__(self, key_id: int) -> bool:
        return key_id in self._hash_states

    def mac(self, receiver: int, data: bytes) -> bytes:
        """Return the MAC with the sending key, for a receiver's index or `BROADCAST_RECEIVER`."""
        return _compute_mac(self._hash_states[self.sending_key_id], receiver, data)

    def verify(self, key_id: int, receiver: int, datagram: bytes) -> bool:
        """Return whether the MAC at the end of the datagram is valid.

        Args:
            key_id: Id of the key; it must be in this key ring.
            receiver: The index of the receiver, or `BROADCAST_RECEIVER`.
            datagram: The datagram with its MAC.
        """
        expected = _compute_mac(self._hash_states[key_id], receiver, datagram[:-MAC_BYTES])
        return compare_digest(expected, datagram[-MAC_BYTES:])


def _hash_state(secret: bytes) -> blake2s:
    """Derive the 32-byte key, bound to this purpose so that the secret may have others."""
    key = blake2b(key=secret, digest_size=32, person=b"ironrail-wire-1").digest()
    return blake2s(key=key, digest_size=MAC_BYTES)


def _compute_mac(hash_state: blake2s, receiver: int, data: bytes) -> bytes:
    state = hash_state.copy()  # has hashed the key's block already, which saves a third of the CPU
    state.update(receiver.to_bytes(2, "big") + data)
    return state.digest()
