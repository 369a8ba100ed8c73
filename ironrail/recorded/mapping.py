"""What a recorded request is here: class, title, key and cost, by an operator's file of rules.

The first rule that fits counts. Nothing of a request reaches a trace but what a rule names, and headers that
hold secrets can't be named.
"""

from __future__ import annotations

import hashlib
import re
import string
from collections import Counter
from typing import Annotated, Self
from urllib.parse import parse_qsl, quote

from pydantic import BaseModel, ConfigDict, Field, PrivateAttr, field_validator, model_validator

from ironrail.access_log.pseudonyms import Pseudonymizer
from ironrail.recorded.entry import LONGEST_KEY, LONGEST_NAME, Entry, Malformed, Raw
from ironrail.recorded.formats import SECRET
from ironrail.rehearsal.scenario.model import NAME
from ironrail.rehearsal.scenario.units import Seconds

IN_KEY = "!$&'()*+,;:@/-._~%=?"
SHAPES = 5000  # of unmapped paths that are kept count of
CHANGING = re.compile(r"[0-9a-f]{8,}|\d+", re.IGNORECASE)  # parts of a path that stand for one of many


class Rule(BaseModel):
    """Which requests, and what they are."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    path: str = ""  # a pattern that the whole path must fit; empty fits all
    host: str = ""  # the same of the host
    method: list[str] = []  # any of these; empty: any at all
    query: dict[str, str] = {}  # must be there with this value, `*` being any
    header: dict[str, str] = {}
    drop: bool = False  # these are no load of ours
    class_: Annotated[str, Field(alias="class")] = ""
    title: str = "all"
    key: str = "{path}"
    idempotency: str = ""  # what makes two requests one; empty: nothing
    cost: Seconds | None = None  # of one core; the class's own where left out
    write: bool = False
    _path: re.Pattern[str] = PrivateAttr()
    _host: re.Pattern[str] = PrivateAttr()

    @field_validator("header")
    @classmethod
    def _as_read(cls, header: dict[str, str]) -> dict[str, str]:
        """Names of headers in lower case, as they are read: HTTP makes no difference."""
        return {name.lower(): value for name, value in header.items()}

    @model_validator(mode="after")
    def _fits(self) -> Self:
        for part in ("path", "host"):
            try:
                object.__setattr__(self, f"_{part}", re.compile(getattr(self, part)))
            except re.error as e:
                raise ValueError(f"{part}: no pattern: {e}") from e
        if not self.drop and not self.class_:
            raise ValueError("class: is missing, and drop is not set")
        if any(name in SECRET for name in self.header):
            raise ValueError("header: it holds secrets, and is not looked at")
        groups = set(self._path.groupindex) | set(self._host.groupindex)
        for field in ("class_", "title", "key", "idempotency"):
            for _, name, spec, conversion in string.Formatter().parse(getattr(self, field)):
                if name is None:
                    continue
                kind, _, rest = name.partition(".")
                if spec or conversion or (kind in ("query", "header") and not rest):
                    raise ValueError(f"{field.rstrip('_')}: {{{name}}} can't be filled in")
                if kind == "header" and rest.lower() in SECRET:
                    raise ValueError(f"{field}: the header {rest} holds secrets, and is not looked at")
                if name not in groups | {"path", "host", "method"} and kind not in ("query", "header"):
                    told = ", ".join(sorted(groups)) or "none"
                    raise ValueError(f"{field.rstrip('_')}: {{{name}}} is no group of the pattern ({told})")
        return self

    def fit(self, raw: Raw, query: dict[str, str]) -> dict[str, str] | None:
        """What the patterns found, or None if this is not for it."""
        if self.method and raw.method not in self.method:
            return None
        found = self._path.fullmatch(raw.path) if self.path else None
        if self.path and found is None:
            return None
        where = self._host.fullmatch(raw.host) if self.host else None
        if self.host and where is None:
            return None
        for wanted, have in ((self.query, query), (self.header, raw.headers)):
            for name, value in wanted.items():
                if name not in have or value not in ("*", have[name]):
                    return None
        both = [m.groupdict() for m in (found, where) if m is not None]
        return {name: value or "" for groups in both for name, value in groups.items()}


class Mapping(BaseModel):
    """All rules of a file."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    rules: Annotated[list[Rule], Field(alias="rule", min_length=1)]


def filled(template: str, raw: Raw, groups: dict[str, str], query: dict[str, str]) -> str:
    """A template with what the request holds in place of its names; what is not there is empty."""
    result = ""
    for text, name, _, _ in string.Formatter().parse(template):
        result += text
        if name is None:
            continue
        kind, _, rest = name.partition(".")
        if name in groups:
            result += groups[name]
        elif kind == "query":
            result += query.get(rest, "")
        elif kind == "header":
            result += raw.headers.get(rest.lower(), "")
        else:
            result += {"path": raw.path, "host": raw.host, "method": raw.method}[name]
    return result


def fit_key(text: str) -> str:
    """A key as the meta commands can hold it: no spaces, no control characters, not too long."""
    key = quote(text, safe=IN_KEY)
    if len(key) <= LONGEST_KEY:
        return key
    return "long-" + hashlib.blake2b(key.encode(), digest_size=16).hexdigest()


class Mapper:
    """Applies the rules, and counts what none fits."""

    def __init__(self, mapping: Mapping, hasher: Pseudonymizer) -> None:
        self._rules, self._hash = mapping.rules, hasher
        self.unmapped: Counter[str] = Counter()

    def entry(self, raw: Raw) -> Entry | str:
        """What it is here, or why it is left out; Malformed if a rule makes a name of it that is none."""
        query = dict(parse_qsl(raw.query, keep_blank_values=True, max_num_fields=None)) if raw.query else {}
        for rule in self._rules:
            groups = rule.fit(raw, query)
            if groups is None:
                continue
            if rule.drop:
                return "dropped by a rule"
            return self._made(rule, raw, groups, query)
        self._count(f"{raw.method} {raw.host}{CHANGING.sub('*', raw.path)}"[:200])
        return "unmapped"

    def _made(self, rule: Rule, raw: Raw, groups: dict[str, str], query: dict[str, str]) -> Entry:
        kind, title, key, again = (
            filled(template, raw, groups, query)
            for template in (rule.class_, rule.title, rule.key, rule.idempotency)
        )
        if not re.fullmatch(NAME, kind) or not re.fullmatch(NAME, title):
            raise Malformed(f"a rule makes a class or title of it that is none (1 to {LONGEST_NAME} letters)")
        return Entry(
            at=raw.at,
            kind=kind,
            title=title,
            key=fit_key(key or "/"),
            size=min(raw.size, 2**31 - 1),
            method=raw.method,
            status=raw.status,
            took=raw.took,
            client=self._hash(raw.client),
            idempotency=self._hash(again),
            write=rule.write,
            work=rule.cost or 0.0,
        )

    def _count(self, shape: str) -> None:
        self.unmapped[shape] += 1
        if len(self.unmapped) > SHAPES:  # guards memory against paths that are all different
            self.unmapped = Counter(dict(self.unmapped.most_common(SHAPES // 2)))
