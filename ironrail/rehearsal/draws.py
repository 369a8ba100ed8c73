"""Random numbers from named streams of one seed, so that one user's draws never move another's."""

from __future__ import annotations

import hashlib
import random


def stream(seed: int, name: str) -> random.Random:
    """The stream of this name: the same for the same seed on every machine and in every run."""
    digest = hashlib.sha256(f"{seed}:{name}".encode()).digest()
    return random.Random(int.from_bytes(digest[:16], "big"))


def token(seed: int, name: str, length: int = 16) -> str:
    """A name of hex digits that is drawn from the seed."""
    return hashlib.sha256(f"{seed}:token:{name}".encode()).hexdigest()[:length]
