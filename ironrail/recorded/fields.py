"""One line of a log turned into a request: by a format, as JSON, or as the daemon's own. Pure."""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import Any

import orjson

from ironrail.recorded.entry import Entry, Malformed, Raw
from ironrail.recorded.formats import SECRET, Format
from ironrail.recorded.times import EARLIEST, LATEST, LONGEST, number, time_of

METHOD = re.compile(r"[A-Z][A-Z-]{0,31}")
ESCAPED = re.compile(r"\\(x[0-9A-Fa-f]{2}|.)")
OWN = "ironrail"  # of the daemon's own log: the version of the line
JSON_NAMES = {  # the first that is there counts
    "epoch_start": ("ts", "start", "start_time"),
    "iso_start": ("time", "timestamp", "@timestamp", "started_at"),
    "epoch_end": ("msec",),
    "iso_end": ("time_iso8601",),
    "clf_end": ("time_local",),
    "request": ("request",),
    "method": ("method", "request_method", "http_method"),
    "target": ("target", "request_uri", "url", "uri", "path"),
    "query": ("query", "args", "query_string"),
    "host": ("host", "http_host", "vhost", "server_name"),
    "status": ("status", "status_code", "response_status"),
    "size": ("size", "bytes", "body_bytes_sent", "bytes_sent"),
    "took_s": ("duration", "took", "request_time"),
    "took_ms": ("duration_ms", "took_ms"),
    "client": ("client", "remote_addr", "client_ip", "remote_ip"),
}


def unescape(text: str) -> str:
    """What the servers' escapes stand for, as far as it is UTF-8."""
    if "\\" not in text:
        return text

    def one(found: re.Match[str]) -> str:
        told = found[1]
        if told[0] == "x" and len(told) == 3:
            return chr(int(told[1:], 16))
        return {"n": "\n", "t": "\t", "r": "\r"}.get(told, told)

    plain = ESCAPED.sub(one, text)
    try:
        return plain.encode("latin-1").decode()
    except (UnicodeEncodeError, UnicodeDecodeError):
        return plain


def make_raw(fields: dict[str, str]) -> Raw:
    """The request that these fields tell of; Malformed if they don't."""
    took = 0.0
    for name, scale in (("took_s", 1.0), ("took_ms", 1e3), ("took_us", 1e6)):
        if fields.get(name):
            took = number(fields[name], "the duration") / scale
    if not 0.0 <= took <= LONGEST:
        raise Malformed("a duration below 0 or above a day")
    method, target = fields.get("method") or "", fields.get("target") or fields.get("path") or ""
    if not target:
        method, target = _request_line(fields.get("request") or "")
    if not METHOD.fullmatch(method or "GET"):
        raise Malformed("the method can't be read")
    host, path, query = split_target(unescape(target))
    status = int(number(fields.get("status") or "-", "the status"))
    if not 0 <= status <= 999:
        raise Malformed("the status is none")
    size = number(fields.get("size") or "-", "the size")
    if size < 0:
        raise Malformed("the size is below 0")
    return Raw(
        time_of(fields, took),
        method or "GET",
        path,
        query or (fields.get("query") or "").lstrip("?"),
        (host or fields.get("host") or "").lower(),
        status,
        took,
        int(size),
        fields.get("client") or "",
        {
            name[7:].replace("_", "-"): unescape(text)
            for name, text in fields.items()
            if name.startswith("header_") and text not in (None, "", "-")
        },
    )


def _request_line(text: str) -> tuple[str, str]:
    """Method and target of `GET /grid/7 HTTP/1.1`."""
    parts = text.split(" ")
    if len(parts) < 2 or not METHOD.fullmatch(parts[0]):
        raise Malformed("the request line can't be read")
    return parts[0], parts[1] if len(parts) <= 3 else " ".join(parts[1:-1])


def split_target(target: str) -> tuple[str, str, str]:
    """Host, path and query of a target, which may be a whole URL."""
    host, rest = "", target.partition("#")[0]
    if "://" in rest[:12]:
        host, slash, rest = rest.partition("://")[2].partition("/")
        rest = slash + rest
        host = host.rpartition("@")[2]  # a name and a password may stand before it
    path, _, query = rest.partition("?")
    if not path:
        path = "/"
    return host, path, query


class LineParser:
    """Reads lines of several formats in one file; the one that fitted last is tried first."""

    def __init__(self, formats: Sequence[Format]) -> None:
        self._formats = list(formats)

    def parse(self, data: bytes) -> Raw:
        """One line without its end; Malformed says why it can't be read."""
        if b"\0" in data:
            raise Malformed("zero bytes")
        try:
            line = data.decode()
        except UnicodeDecodeError as e:
            raise Malformed("not UTF-8") from e
        if line.startswith("{"):
            return self._json(line)
        for place, form in enumerate(self._formats):
            fields = form.fields(line)
            if fields is not None:
                if place:
                    self._formats.insert(0, self._formats.pop(place))
                return make_raw(fields)
        raise Malformed("of none of the formats")

    @staticmethod
    def _json(line: str) -> Raw:
        try:
            table = orjson.loads(line)
        except orjson.JSONDecodeError as e:
            raise Malformed("broken JSON") from e
        if not isinstance(table, dict):
            raise Malformed("JSON, but no object")
        if OWN in table:
            return own_line(table)
        fields = {}
        for name, keys in JSON_NAMES.items():
            value = next((table[key] for key in keys if table.get(key) not in (None, "")), None)
            if value is not None:
                if isinstance(value, (dict, list)):
                    raise Malformed(f"{name.partition('_')[0]} is no text and no number")
                fields[name] = str(value)
        if "iso_start" in fields and re.fullmatch(r"\d+(\.\d+)?", fields["iso_start"]):
            fields.setdefault("epoch_start", fields.pop("iso_start"))
        headers = table.get("headers")
        if isinstance(headers, dict):
            for name, value in headers.items():
                if str(name).lower() not in SECRET:
                    fields["header_" + str(name).lower()] = str(value)
        return make_raw(fields)


def own_line(table: dict[str, Any]) -> Raw:
    """A line of the daemon's own log: all that a trace needs, without any mapping."""
    if table.get(OWN) != 1:
        raise Malformed("of another version of the daemon's log")
    try:
        entry = Entry(
            at=float(table["at"]),
            kind=str(table["class"]),
            title=str(table["title"]),
            key=str(table["key"]),
            size=int(table["size"]),
            method="SET" if table["write"] else "GET",
            status=int(table["status"]),
            took=float(table["took"]),
            idempotency=str(table.get("k") or ""),
            write=bool(table["write"]),
            work=float(table.get("hint") or 0.0),
        )
    except (KeyError, TypeError, ValueError, OverflowError) as e:
        raise Malformed("a line of the daemon's log with a field missing or unfit") from e
    if not EARLIEST < entry.at < LATEST or not 0 <= entry.took <= LONGEST or not 0 <= entry.work <= LONGEST:
        raise Malformed("a time that can't be")
    if not entry.kind or not entry.title or not entry.key or not 0 <= entry.size < 2**31:
        raise Malformed("a line of the daemon's log with a field missing or unfit")
    if not 0 <= entry.status <= 999:
        raise Malformed("the status is none")
    raw = Raw(entry.at, entry.method, entry.key, status=entry.status, took=entry.took, size=entry.size)
    raw.ready, raw.again = entry, bool(table.get("r"))
    return raw
