"""Reads the settings document that the simulator and the deployment share into `policy.settings`.

Only this module knows the keys and values of the document. Unknown keys are ignored, absent ones
get defaults. Times are seconds.
"""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

from ironrail.errors import InputError
from ironrail.policy.settings import (
    Idempotency,
    IdempotencyScope,
    RequestClass,
    RetryBudgetSettings,
    Settings,
)

# values in the document
IDEMPOTENCY_BY_EFFECT = {
    "free": Idempotency.SAFE,
    "guarded": Idempotency.IDEMPOTENCY_KEY,
    "single_shot": Idempotency.UNSAFE,
}
IDEMPOTENCY_SCOPE_BY_GROUP = {scope.value: scope for scope in IdempotencyScope}
CACHE_ASIDE_BY_MODE = {"aside": True, "through": False}
POLLING_BY_MEMBERSHIP_MODE = {"subscribe": True, "automatic": False}
LIVE_WEIGHTS = "live"

MIN_ORIGIN_INDEX = -1  # no origin
DEFAULT_LATENCY_OBJECTIVE_SECONDS = 1.0


class SettingsError(InputError):
    """Settings that can't be used; the message names the field."""

    advice = "correct that field in the settings that the platform hands out"


def read_number(
    table: dict[str, Any], field: str, default: float, where: str, minimum: float = 0.0
) -> float:
    """Read a number, or its default if it is absent.

    Raises:
        SettingsError: It is not a number, or less than `minimum`.
    """
    value = table.get(field)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < minimum:
        raise SettingsError(
            f"{where}{field} must be a number of at least {minimum:g}, not {value!r}", "settings"
        )
    return value


def read_choice(
    table: dict[str, Any], field: str, default: str, known: dict[str, Any], where: str
) -> Any:
    """Read one of the known values, and return its meaning.

    Raises:
        SettingsError: It is none of these values.
    """
    value = table.get(field)
    if value is None:
        value = default
    if not isinstance(value, str) or value not in known:
        raise SettingsError(
            f"{where}{field} must be one of {', '.join(known)}, not {value!r}", "settings"
        )
    return known[value]


def read_section(conf: dict[str, Any], field: str) -> dict[str, Any]:
    """Read a nested object, empty if it is absent.

    Raises:
        SettingsError: It is not an object.
    """
    value = conf.get(field)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise SettingsError(f"{field} must be an object, not {value!r}", "settings")
    return value


def read_rows(conf: dict[str, Any], field: str) -> list[dict[str, Any]]:
    """Read a list of objects that each have a name, empty if it is absent.

    Raises:
        SettingsError: It is not such a list.
    """
    value = conf.get(field)
    if value is None:
        value = []
    if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
        raise SettingsError(f"{field} must be a list of objects", "settings")
    for index, row in enumerate(value):
        if not isinstance(row.get("name"), str):
            raise SettingsError(f"{field}[{index}].name is missing", "settings")
    return value


def read_settings(conf: Any) -> Settings:
    """Read the whole document.

    Raises:
        SettingsError: A field can't be used.
    """
    if not isinstance(conf, dict):
        raise SettingsError("conf must be an object", "settings")
    classes = {row["name"]: _read_class(row) for row in read_rows(conf, "classes")}
    if not classes:
        raise SettingsError("classes is empty", "settings")
    limits = read_section(conf, "limits")
    rules = read_section(conf, "rules")
    family = read_section(conf, "familyInfo")
    settings = _with_origin(Settings(classes), conf, family)
    settings = _with_fleet(settings, conf)
    settings = _with_limits(settings, limits)
    return _with_rules(settings, rules)


def _read_class(row: dict[str, Any]) -> RequestClass:
    """Read one request class; without an objective its client's timeout is the objective."""
    where = f"classes[{row['name']}]."
    objective = read_number(row, "giveUp", DEFAULT_LATENCY_OBJECTIVE_SECONDS, where)
    scopes = IDEMPOTENCY_SCOPE_BY_GROUP
    return RequestClass(
        name=row["name"],
        latency_objective=read_number(row, "aim", objective, where),
        idempotency=read_choice(row, "effect", "single_shot", IDEMPOTENCY_BY_EFFECT, where),
        idempotency_scope=read_choice(row, "group", "cell", scopes, where),
        idempotency_window=read_number(row, "repeatWindow", 0.0, where),
        priority_weight=read_number(row, "value", 1.0, where),
        client_timeout=read_number(row, "giveUp", math.inf, where),
    )


def _with_origin(settings: Settings, conf: dict[str, Any], family: dict[str, Any]) -> Settings:
    kinds = conf.get("skus") or []
    index = int(
        read_number(family, "originKind", MIN_ORIGIN_INDEX, "familyInfo.", MIN_ORIGIN_INDEX)
    )
    return replace(
        settings,
        cache_aside=read_choice(family, "mode", "through", CACHE_ASIDE_BY_MODE, "familyInfo."),
        origin_kind=str(kinds[index]) if 0 <= index < len(kinds) else None,
    )


def _with_fleet(settings: Settings, conf: dict[str, Any]) -> Settings:
    """Read the properties of the routers and servers as a whole."""
    modes = POLLING_BY_MEMBERSHIP_MODE
    penalties = read_section(conf, "penalties")
    return replace(
        settings,
        timer_resolution=read_number(conf, "resolution", settings.timer_resolution, ""),
        polls_endpoint_list=read_choice(conf, "membershipMode", "automatic", modes, ""),
        router_index=int(read_number(conf, "me", 0, "")),
        router_count=max(1, int(read_number(conf, "siblings", 1, ""))),
        live_weights=conf.get("weights") == LIVE_WEIGHTS,
        names_tenants=bool(read_rows(conf, "tenants")),
        connections_are_costly=read_number(penalties, "connection", 0.0, "penalties.") > 0,
    )


def _with_limits(settings: Settings, limits: dict[str, Any]) -> Settings:
    """Read the limits on what a router may do."""
    return replace(
        settings,
        hedging_allowed=bool(limits.get("secondCopies", False)),
        cancellation_allowed=bool(limits.get("mayCancel", False)),
        max_attempts=max(1, int(read_number(limits, "mostTries", 1, "limits."))),
        connect_timeout=read_number(limits, "dialTimeout", settings.connect_timeout, "limits."),
        connection_idle_timeout=read_number(
            limits, "connIdle", settings.connection_idle_timeout, "limits."
        ),
    )


def _with_rules(settings: Settings, rules: dict[str, Any]) -> Settings:
    """Read the rules that the platform sets for routers."""

    def number(field: str, default: float) -> float:
        return read_number(rules, field, default, "rules.")

    return replace(
        settings,
        poll_interval=number("mustAskIn", settings.poll_interval),
        slow_start_share=number("coldFrom", settings.slow_start_share),
        slow_start_duration=number("rampTime", settings.slow_start_duration),
        overload_multiple=number("fallMultiple", settings.overload_multiple),
        overload_window=number("overloadFor", settings.overload_window),
        retry_budget=_read_retry_budget(rules),
    )


def _read_retry_budget(rules: dict[str, Any]) -> RetryBudgetSettings | None:
    """Read the retry budget; None if none is stated. An absent reserve or ratio counts as 0."""
    if rules.get("extraFree") is None and rules.get("repeatRatio") is None:
        return None
    window = read_number(rules, "lookBack", 0.0, "rules.")
    if window <= 0:
        raise SettingsError("rules.lookBack must be above 0 where a budget is stated", "settings")
    return RetryBudgetSettings(
        reserve=read_number(rules, "extraFree", 0.0, "rules."),
        ratio=read_number(rules, "repeatRatio", 0.0, "rules."),
        window=window,
    )
