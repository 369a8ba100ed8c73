"""What the deployment tells a router: read from the JSON file that `NODE_CONFIG` names."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from ironrail.errors import InputError
from ironrail.net.discovery.endpoint_list import read_address
from ironrail.net.system import Address
from ironrail.policy.settings import Settings
from ironrail.settings import read_number, read_section, read_settings


class ConfigError(InputError):
    """A configuration that can't be used; the message names the field."""

    advice = "correct the file that NODE_CONFIG names and start again; a running router keeps the one before"


@dataclass(frozen=True, slots=True)
class Config:
    """What the deployment tells a router."""

    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory: int  # bytes
    streams: int
    known: Any
    settings: Settings
    operator: Address | None = None  # where operators call
    tier: dict[str, Any] = field(
        default_factory=dict
    )  # `peers` and what goes with it, as told: few need it


def read_config(environ: dict[str, str]) -> Config:
    """The configuration that the environment names."""
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigError("is not set", "NODE_CONFIG")
    try:
        table = orjson.loads(Path(path).read_bytes())
    except OSError as e:  # which names the file
        raise ConfigError(str(e), "NODE_CONFIG") from e
    except ValueError as e:
        raise ConfigError(f"{path}: {e}", "NODE_CONFIG") from e
    if not isinstance(table, dict):
        raise ConfigError(f"{path} must hold an object", "NODE_CONFIG")
    try:
        return config_of_table(table, environ)
    except InputError as e:  # named with the file: a log may be read far from the environment
        where = f"{path}: {e.where}" if e.where else path
        raise type(e)(e.what, where) from e


def config_of_table(table: dict[str, Any], environ: dict[str, str]) -> Config:
    """The configuration that a table holds; what it leaves out the environment may name."""
    conf = read_section(table, "settings")
    settings = read_settings(conf)
    return Config(
        listen=_address(table, "listen", environ.get("NODE_LISTEN")),
        discovery=_address(table, "discovery", environ.get("NODE_DISCOVERY")),
        seed=_seed(table),
        sockets=int(read_number(read_section(table, "limits"), "sockets", 1024, "limits.", 64)),
        memory=int(
            read_number(read_section(table, "limits"), "memory_mb", 192, "limits.", 16) * 1024**2
        ),
        streams=int(read_number(read_section(conf, "limits"), "multiplex", 1, "limits.", 1)),
        known=table.get("known"),
        settings=settings,
        operator=_operator(table, environ.get("NODE_OPERATOR")),
        tier={name: table[name] for name in ("peer_listen", "peers", "peers_all") if name in table},
    )


def _operator(table: dict[str, Any], default: str | None) -> Address | None:
    """The operators' place, where the platform names one."""
    if table.get("operator") is None and not default:
        return None
    return _address(table, "operator", default)


def _address(table: dict[str, Any], field: str, default: str | None) -> Address:
    value = table.get(field)
    return address_of(field, default if value is None else value)


def address_of(field: str, value: Any) -> Address:
    """The address in a field; ConfigError if it holds none."""
    try:
        return read_address(str(value))
    except ValueError as e:
        raise ConfigError(f"{field} must be host:port, not {value!r}") from e


def _seed(table: dict[str, Any]) -> int:
    try:
        return int(table["seed"], 16)
    except (KeyError, TypeError, ValueError) as e:
        raise ConfigError(f"seed must be hex digits, not {table.get('seed')!r}") from e
