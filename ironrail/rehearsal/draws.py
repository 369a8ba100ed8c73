"""Independent random streams derived from one seed and a name each.

Additional draws from one stream leave the others unchanged.
"""

from __future__ import annotations

import hashlib
import random


def stream(seed: int, name: str) -> random.Random:
    """Return the stream of a name, which is equal for equal seeds on every machine and in every run."""
    digest = hashlib.sha256(f"{seed}:{name}".encode()).digest()
    return random.Random(int.from_bytes(digest[:16], "big"))


def token(seed: int, name: str, length: int = 16) -> str:
    """Return hex digits derived from the seed and a name."""
    return hashlib.sha256(f"{seed}:token:{name}".encode()).hexdigest()[:length]
