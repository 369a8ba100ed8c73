"""The operator's own file: what may be set beyond what the platform tells. Without it all is as usual."""

from __future__ import annotations

import os
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from ironrail.access.names import LEAST_SECRET, MOST_SECRET
from ironrail.connections.sharing import places_each
from ironrail.errors import InputError

MOST_FILE = 64 * 1024  # bytes: it is written by hand
BOUNDS = {
    "connections": {"places": (2, 100_000), "per_cache": (1, 64), "depth": (1, 1000), "cost_ms": (0, 10_000)},
    "access_log": {"most_mb": (1, 100_000)},
}


class OperatorError(InputError):
    """A file that can't be used; the message names the file, the field and the mistake."""

    advice = "correct that line; `deploy/operator.toml` has every field with its usual value"


@dataclass(frozen=True, slots=True)
class Connections:
    """Connections to one cache."""

    places: int = 90  # that a cache has for all routers together
    per_cache: int | None = None  # of one router, at once; None: its share of the places
    depth: int | None = None  # requests on one connection; None: as many as the platform allows
    cost_ms: int = 30  # of a new connection: opened once time lost behind others has come up to it

    def each(self, routers: int) -> int:
        """Connections of one router to one cache at once."""
        return self.per_cache if self.per_cache is not None else places_each(self.places, routers)


@dataclass(frozen=True, slots=True)
class AccessLog:
    """Requests written down as they end; `ironrail trace import` reads them without a mapping."""

    path: str  # {index} in it stands for the router's number
    sample: float = 1.0  # share of requests; repeats of one idempotency key stay together
    most_mb: int = 256  # of one file: full, it makes way for a new one and is kept once, as PATH.1
    hash_keys: bool = False  # keys tell of subscribers
    hash_key: str = ""  # file of 16 to 64 bytes, the same at all routers; empty: drawn at each start

    def secret(self) -> bytes:
        """What names are hashed with; OperatorError if the file can't be used."""
        if not self.hash_key:
            return os.urandom(32)
        try:
            secret = Path(self.hash_key).read_bytes().strip()
        except OSError as e:
            raise OperatorError(e.strerror or str(e), self.hash_key) from e
        if not LEAST_SECRET <= len(secret) <= MOST_SECRET:
            raise OperatorError(f"must hold {LEAST_SECRET} to {MOST_SECRET} bytes", self.hash_key)
        return secret


@dataclass(frozen=True, slots=True)
class Operator:
    """All that the file may set."""

    connections: Connections = Connections()
    access_log: AccessLog | None = None  # none is written


def read_operator(path: str) -> Operator:
    """What the file sets; OperatorError if it can't be used."""
    import tomllib  # noqa: PLC0415 - a router without the file does without it

    try:
        data = Path(path).read_bytes()
        if len(data) > MOST_FILE:
            raise OperatorError(f"larger than {MOST_FILE} bytes", path)
        table = tomllib.loads(data.decode())
    except OSError as e:
        raise OperatorError(e.strerror or str(e), path) from e
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as e:
        raise OperatorError(str(e), path) from e
    _known(path, "", table, {field.name for field in fields(Operator)})
    connections = _section(path, table, "connections", Connections)
    log = _section(path, table, "access_log", AccessLog)
    if "access_log" in table and not log.get("path"):
        raise OperatorError("access_log.path is missing", path)
    return Operator(Connections(**connections), AccessLog(**log) if log else None)


def _section(path: str, table: dict[str, Any], name: str, form: type) -> dict[str, Any]:
    """One table of the file, each of its values checked."""
    section = table.get(name, {})
    if not isinstance(section, dict):
        raise OperatorError(f"{name} must be a table", path)
    _known(path, f"{name}.", section, {field.name for field in fields(form)})
    return {key: _value(path, name, key, value) for key, value in section.items()}


def _value(path: str, section: str, name: str, value: Any) -> Any:
    if name in BOUNDS[section]:
        return _whole(path, section, name, value)
    if name == "sample":
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value <= 1:
            raise OperatorError(f"{section}.sample must be above 0 and at most 1, not {value!r}", path)
        return float(value)
    kind, word = (bool, "true or false") if name == "hash_keys" else (str, "a path")
    if not isinstance(value, kind):
        raise OperatorError(f"{section}.{name} must be {word}, not {value!r}", path)
    return value


def _known(path: str, where: str, table: dict[str, Any], names: Any) -> None:
    for name in table:
        if name not in names:
            raise OperatorError(f"{where}{name} is unknown (known: {', '.join(sorted(names))})", path)


def _whole(path: str, section: str, name: str, value: Any) -> int:
    least, most = BOUNDS[section][name]
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
        raise OperatorError(
            f"{section}.{name} must be a whole number from {least} to {most}, not {value!r}", path
        )
    return value
