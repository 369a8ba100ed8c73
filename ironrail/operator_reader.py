"""Parser of the operator's file. Imported only if there is one, as msgspec uses much memory.

The field names of the file are mapped here to those of `ironrail.operator_file`.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType

from ironrail.errors import InputError
from ironrail.operator_file import (
    AccessLogSettings,
    ConnectionSettings,
    OperatorError,
    OperatorSettings,
    PeerSettings,
)
from ironrail.peers.messages import MAX_ROUTERS
from ironrail.peers.steering.regions import Regions

MAX_FILE_BYTES = 64 * 1024
MAX_KEY_ID = 255
VOTER_COUNTS = (0, 3, 5, 7)
# Matches the problem and the location in msgspec's messages.
MSGSPEC_MESSAGE = re.compile(r"(.*?)(?: - at `\$(.*?)`)?", re.DOTALL)
PATH_FIELDS = ("path", "hash_key", "keep", "floor")

CONNECTION_ATTRIBUTES = {
    "places": "total_per_cache",
    "per_cache": "per_router",
    "depth": "max_in_flight",
    "cost_ms": "connect_cost_milliseconds",
}
ACCESS_LOG_ATTRIBUTES = {
    "path": "path",
    "sample": "sample_ratio",
    "most_mb": "max_megabytes",
    "hash_keys": "hash_keys",
    "hash_key": "secret_file",
}
PEER_ATTRIBUTES = {
    "keys": "key_files",
    "sending": "sending_key_id",
    "halls": "zones",
    "voters": "voters",
    "pace": "max_bytes_per_second",
    "lease_ms": "lease_milliseconds",
    "drift": "max_clock_drift_ratio",
    "keep": "record_folder",
    "start": "start_mode",
    "floor": "fallback_policy_file",
    "map": "zone_latency_map",
    "steer_every": "steering_interval",
    "per_weight": "requests_per_weight",
    "explore": "exploration_ratio",
}

Text = Annotated[str, Meta(min_length=1, max_length=4096)]
RouterIndex = Annotated[int, Meta(ge=0, lt=MAX_ROUTERS)]


class ConnectionsForm(Struct, forbid_unknown_fields=True):
    """The table `[connections]`."""

    places: Annotated[int, Meta(ge=2, le=100_000)] | UnsetType = UNSET
    per_cache: Annotated[int, Meta(ge=1, le=64)] | UnsetType = UNSET
    depth: Annotated[int, Meta(ge=1, le=1000)] | UnsetType = UNSET
    cost_ms: Annotated[int, Meta(ge=0, le=10_000)] | UnsetType = UNSET


class AccessLogForm(Struct, forbid_unknown_fields=True):
    """The table `[access_log]`."""

    path: Text
    sample: Annotated[float, Meta(gt=0, le=1)] | UnsetType = UNSET
    most_mb: Annotated[int, Meta(ge=1, le=100_000)] | UnsetType = UNSET
    hash_keys: bool | UnsetType = UNSET
    hash_key: str | UnsetType = UNSET


class PeersForm(Struct, forbid_unknown_fields=True):
    """The table `[peers]`."""

    keys: Annotated[dict[str, Text], Meta(min_length=1, max_length=2)]
    sending: Annotated[int, Meta(ge=0, le=255)]
    halls: Annotated[tuple[Text, ...], Meta(min_length=2, max_length=MAX_ROUTERS)]
    voters: tuple[RouterIndex, ...] | UnsetType = UNSET
    pace: Annotated[int, Meta(ge=100, le=1_000_000)] | UnsetType = UNSET
    lease_ms: Annotated[int, Meta(ge=200, le=600_000)] | UnsetType = UNSET
    drift: Annotated[float, Meta(ge=0, lt=0.5)] | UnsetType = UNSET
    keep: str | UnsetType = UNSET
    start: Literal["wait", "floor"] | UnsetType = UNSET
    floor: str | UnsetType = UNSET
    map: bool | UnsetType = UNSET
    steer_every: Annotated[int, Meta(ge=0, le=86_400)] | UnsetType = UNSET
    per_weight: Annotated[float, Meta(ge=0, le=1_000_000)] | UnsetType = UNSET
    explore: Annotated[float, Meta(ge=0, le=0.25)] | UnsetType = UNSET


class OperatorForm(Struct, forbid_unknown_fields=True):
    """The whole file."""

    connections: ConnectionsForm | UnsetType = UNSET
    access_log: AccessLogForm | UnsetType = UNSET
    peers: PeersForm | UnsetType = UNSET
    regions: dict[str, list[Text]] | UnsetType = UNSET


FORMS: dict[str, type[Struct]] = {
    "": OperatorForm,
    "connections": ConnectionsForm,
    "access_log": AccessLogForm,
    "peers": PeersForm,
}


def read_operator(path: str) -> OperatorSettings:
    """Parse the operator's file.

    Raises:
        OperatorError: The file can't be used.
    """
    table = _read_toml(path)
    try:
        form = msgspec.convert(table, OperatorForm)
    except msgspec.ValidationError as error:
        raise OperatorError(_explain(str(error), table), path) from error
    settings = OperatorSettings(
        ConnectionSettings(**_attributes(form.connections, CONNECTION_ATTRIBUTES)),
        _access_log(form.access_log),
        _peers(path, form.peers) if form.peers is not UNSET else None,
        _regions(path, form),
    )
    _check_steering(path, settings)
    return settings


def _read_toml(path: str) -> dict[str, Any]:
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise OperatorError(error.strerror or str(error), path) from error
    if len(data) > MAX_FILE_BYTES:
        raise OperatorError(f"larger than {MAX_FILE_BYTES} bytes", path)
    try:
        return tomllib.loads(data.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise OperatorError(str(error), path) from error


def _check_steering(path: str, settings: OperatorSettings) -> None:
    peers = settings.peers
    if peers is None or not peers.steering_interval:
        return
    if not (peers.voters and peers.requests_per_weight and settings.regions):
        raise OperatorError("peers.steer_every: needs voters, per_weight and [regions]", path)


def _regions(path: str, form: OperatorForm) -> dict[str, list[str]]:
    if form.regions is UNSET:
        return {}
    if form.peers is UNSET:
        raise OperatorError("regions: need [peers], as they are sent between routers", path)
    try:
        Regions(form.regions)
    except InputError as error:
        raise OperatorError(str(error), path) from error
    return form.regions


def _access_log(form: AccessLogForm | UnsetType) -> AccessLogSettings | None:
    if form is UNSET:
        return None
    return AccessLogSettings(**_attributes(form, ACCESS_LOG_ATTRIBUTES))


def _peers(path: str, form: PeersForm) -> PeerSettings:
    key_files = {
        int(key_id): file for key_id, file in form.keys.items() if re.fullmatch(r"\d{1,3}", key_id)
    }
    if len(key_files) < len(form.keys) or max(key_files, default=0) > MAX_KEY_ID:
        raise OperatorError("peers.keys: ids must be numbers from 0 to 255", path)
    if form.sending not in key_files:
        raise OperatorError(f"peers.sending: no key has the id {form.sending}", path)
    voters = () if form.voters is UNSET else form.voters
    if len(voters) not in VOTER_COUNTS or len(set(voters)) < len(voters):
        raise OperatorError(
            "peers.voters must be 3, 5 or 7 different router indexes, or none", path
        )
    routers = len(form.halls)
    if any(voter >= routers for voter in voters):
        raise OperatorError(f"peers.voters: there are {routers} routers in peers.halls", path)
    return PeerSettings(**_attributes(form, PEER_ATTRIBUTES) | {"key_files": key_files})


def _attributes(form: Struct | UnsetType, names: dict[str, str]) -> dict[str, Any]:
    """Return the fields that are set, keyed by the names of the settings' attributes."""
    if form is UNSET:
        return {}
    values = {names[field]: getattr(form, field) for field in form.__struct_fields__}
    return {name: value for name, value in values.items() if value is not UNSET}


def _explain(message: str, table: dict[str, Any]) -> str:
    """Rewrite msgspec's message: name the field, the permitted values and the actual one."""
    found = MSGSPEC_MESSAGE.fullmatch(message)
    assert found is not None
    problem = found[1]
    location = (found[2] or "").lstrip(".")
    if location.startswith("regions["):
        return "regions: each must be a list of address ranges"
    if unknown := re.search(r"unknown field `(.*?)`", problem):
        name = f"{location}.{unknown[1]}" if location else unknown[1]
        return f"{name} is unknown (known: {', '.join(sorted(FORMS[location].__struct_fields__))})"
    if missing := re.search(r"missing required field `(.*?)`", problem):
        return f"{location}.{missing[1]} is missing"
    return f"{location} must be {_expected(location, problem)}, not {_value(table, location)!r}"


def _value(table: dict[str, Any], location: str) -> Any:
    value: Any = table
    for part in location.split(".") if location else []:
        if isinstance(value, dict):
            value = value.get(part.partition("[")[0], "")
    return value


def _expected(location: str, problem: str) -> str:
    """Describe the permitted values of a field, by its bounds if it is a number."""
    table, _, name = location.partition(".")
    if not name:
        return "a table"
    hint = FORMS[table].__annotations__.get(name.partition("[")[0], "")
    bounds = dict(re.findall(r"(ge|le|gt|lt)=([\d_.]+)", str(hint)))
    if "int" in hint and {"ge", "le"} <= bounds.keys():
        return f"a whole number from {int(bounds['ge'])} to {int(bounds['le'])}"
    if {"gt", "le"} <= bounds.keys():
        return f"above {bounds['gt']} and at most {bounds['le']}"
    if hint.startswith("bool"):
        return "true or false"
    if name in PATH_FIELDS:
        return "a path"
    return problem[:1].lower() + problem[1:]
