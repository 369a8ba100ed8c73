"""Configuration of a router, read from the JSON file that `NODE_CONFIG` names."""

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

MEGABYTE_BYTES = 1024**2
PEER_FIELDS = ("peer_listen", "peers", "peers_all")


class ConfigError(InputError):
    """A configuration that can't be used; the message names the field."""

    advice = (
        "correct the file that NODE_CONFIG names and start again;"
        " a running router keeps its present configuration"
    )


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration that the deployment sets.

    The fields of the file, in order: `listen`, `discovery`, `seed`, `limits.sockets`,
    `limits.memory_mb`, `settings.limits.multiplex`, `known`, `settings`, `operator` (the address of
    the admin endpoint, not the operator's file), and `peer_listen`, `peers`, `peers_all`.

    Attributes:
        listen_address: Where clients connect.
        discovery_address: Where discovery listens.
        seed: Seed of the router's random draws.
        max_sockets: File descriptors that the process may use.
        memory_limit: Memory that the process may use, in bytes.
        max_streams: Limit on the requests in flight on one connection to a cache.
        cached_endpoint_list: An endpoint list in discovery's format for the start, or None.
        settings: Settings of the policy.
        admin_address: Where the admin endpoint listens; None for none.
        peer_table: The fields about the other routers, not yet parsed.
    """

    listen_address: Address
    discovery_address: Address
    seed: int
    max_sockets: int
    memory_limit: int
    max_streams: int
    cached_endpoint_list: Any
    settings: Settings
    admin_address: Address | None = None
    peer_table: dict[str, Any] = field(default_factory=dict)


def read_config(environ: dict[str, str]) -> Config:
    """Read the configuration that the environment names.

    Raises:
        ConfigError: The file can't be used; the error names the file and the field.
        SettingsError: The settings in it can't be used.
    """
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigError("is not set", "NODE_CONFIG")
    try:
        table = orjson.loads(Path(path).read_bytes())
    except OSError as error:  # its message names the file
        raise ConfigError(str(error), "NODE_CONFIG") from error
    except ValueError as error:
        raise ConfigError(f"{path}: {error}", "NODE_CONFIG") from error
    if not isinstance(table, dict):
        raise ConfigError(f"{path} must hold an object", "NODE_CONFIG")
    try:
        return config_of_table(table, environ)
    except InputError as error:
        # Name the file, as a reader of the log may not know the environment.
        location = f"{path}: {error.location}" if error.location else path
        raise type(error)(error.reason, location) from error


def config_of_table(table: dict[str, Any], environ: dict[str, str]) -> Config:
    """Read a configuration from a decoded table; `environ` holds default addresses.

    Raises:
        ConfigError: A field can't be used.
        SettingsError: A field of the settings can't be used.
    """
    settings_table = read_section(table, "settings")
    settings = read_settings(settings_table)
    return Config(
        listen_address=_address(table, "listen", environ.get("NODE_LISTEN")),
        discovery_address=_address(table, "discovery", environ.get("NODE_DISCOVERY")),
        seed=_seed(table),
        max_sockets=int(read_number(read_section(table, "limits"), "sockets", 1024, "limits.", 64)),
        memory_limit=int(
            read_number(read_section(table, "limits"), "memory_mb", 192, "limits.", 16)
            * MEGABYTE_BYTES
        ),
        max_streams=int(
            read_number(read_section(settings_table, "limits"), "multiplex", 1, "limits.", 1)
        ),
        cached_endpoint_list=table.get("known"),
        settings=settings,
        admin_address=_admin_address(table, environ.get("NODE_OPERATOR")),
        peer_table={name: table[name] for name in PEER_FIELDS if name in table},
    )


def _admin_address(table: dict[str, Any], default: str | None) -> Address | None:
    """Return the address of the admin endpoint, if there is one."""
    if table.get("operator") is None and not default:
        return None
    return _address(table, "operator", default)


def _address(table: dict[str, Any], field: str, default: str | None) -> Address:
    value = table.get(field)
    return address_of(field, default if value is None else value)


def address_of(field: str, value: Any) -> Address:
    """Parse the address in a field.

    Raises:
        ConfigError: The value is not a `host:port`.
    """
    try:
        return read_address(str(value))
    except ValueError as error:
        raise ConfigError(f"{field} must be host:port, not {value!r}") from error


def _seed(table: dict[str, Any]) -> int:
    try:
        return int(table["seed"], 16)
    except (KeyError, TypeError, ValueError) as error:
        raise ConfigError(f"seed must be hex digits, not {table.get('seed')!r}") from error
