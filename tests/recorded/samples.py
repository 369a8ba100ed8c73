"""Requests, lines and files of the shapes that really occur, made here."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from ironrail.access_log.pseudonyms import Pseudonymizer
from ironrail.recorded.entry import Entry
from ironrail.recorded.formats import compile_format
from ironrail.recorded.importing import Importer
from ironrail.recorded.mapping import Mapper, Mapping
from ironrail.rehearsal.scenario.reader import parse

START = 1_796_020_200.0  # 2026-11-30 06:30:00 UTC
CLF = "30/Nov/2026:06:30:{:02d} +0000"
RULES = """
[[rule]]
path = "/grid/(?P<title>[a-z]+)/(?P<id>[0-9]+)"
method = ["GET"]
class = "grid-read"
title = "{title}"
key = "{title}:{id}"

[[rule]]
path = "/hint/(?P<title>[a-z]+)/(?P<id>[0-9]+)"
header = { x-spend = "*" }
class = "hint-spend"
title = "{title}"
key = "{title}:{id}"
idempotency = "{header.x-spend}"
write = true

[[rule]]
path = "/(favicon.ico|robots.txt)"
drop = true
"""
HASHER = Pseudonymizer(b"0123456789abcdef")


def entry(at: float, **fields: Any) -> Entry:
    """A request so many seconds after the start."""
    given = {"kind": "grid-read", "title": "daily", "key": "daily:1"} | fields
    return Entry(START + at, **given)


def mapping(text: str = RULES) -> Mapping:
    return parse(Mapping, text, "rules.toml")


def importer(*formats: str, window: float = 5.0, within: float = 5.0, rules: str = RULES) -> Importer:
    known = [compile_format(text) for text in formats or ("combined", "common")]
    return Importer(known, Mapper(mapping(rules), HASHER), window=window, within=within)


def clf(second: int, target: str = "/grid/daily/7", status: int = 200, client: str = "10.0.0.1") -> str:
    """A line of the Common format."""
    return f'{client} - jan [{CLF.format(second)}] "GET {target} HTTP/1.1" {status} 512'


def log_of(folder: Path, *rows: str | bytes, name: str = "access.log") -> Path:
    """A file of these lines."""
    path = folder / name
    path.write_bytes(b"".join((r.encode() if isinstance(r, str) else r) + b"\n" for r in rows))
    return path
