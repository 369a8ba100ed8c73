"""Replaces identifiers with keyed hashes."""

from __future__ import annotations

import hashlib

MIN_SECRET_BYTES = 16
MAX_SECRET_BYTES = 64
DIGEST_BYTES = 8


class Pseudonymizer:
    """Replaces identifiers with keyed hashes: equal ones stay equal, and none can be guessed.

    The same secret gives the same hashes on every router.
    """

    def __init__(self, secret: bytes) -> None:
        """Use a secret of `MIN_SECRET_BYTES` to `MAX_SECRET_BYTES`.

        Raises:
            ValueError: The secret is too short or too long.
        """
        if not MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
            raise ValueError(f"the key must have {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes")
        self._secret = secret

    def __call__(self, text: str) -> str:
        """Return the hash of an identifier in hex; an empty one stays empty."""
        if not text:
            return ""
        digest = hashlib.blake2b(text.encode(), key=self._secret, digest_size=DIGEST_BYTES)
        return digest.hexdigest()
