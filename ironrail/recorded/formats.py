"""Log formats of nginx and Apache, as their configuration writes them, turned into one pattern each. Pure.

Only what a trace needs is taken from a line; the rest is passed over without a look. Sources: the pages of
`ngx_http_log_module` (log_format, with its escape=default) and of `mod_log_config` (LogFormat).
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

COMMON = '%h %l %u %t "%r" %>s %b'
COMBINED = COMMON + ' "%{Referer}i" "%{User-Agent}i"'
NGINX_COMBINED = (
    '$remote_addr - $remote_user [$time_local] "$request" $status $body_bytes_sent "$http_referer"'
    ' "$http_user_agent"'
)
KNOWN = {"common": COMMON, "combined": COMBINED, "nginx": NGINX_COMBINED}
SECRET = frozenset({"cookie", "authorization", "proxy-authorization", "set-cookie", "x-api-key"})

# what a directive means to us: the names of `fields.make_raw`
NGINX = {
    "remote_addr": "client",
    "time_local": "clf_end",
    "time_iso8601": "iso_end",
    "msec": "epoch_end",
    "request": "request",
    "request_method": "method",
    "request_uri": "target",
    "uri": "path",
    "args": "query",
    "query_string": "query",
    "status": "status",
    "body_bytes_sent": "size",
    "bytes_sent": "size",
    "request_time": "took_s",
    "host": "host",
    "http_host": "host",
    "server_name": "host",
}
APACHE = {
    "h": "client",
    "a": "client",
    "t": "clf_start",
    "r": "request",
    "m": "method",
    "U": "path",
    "q": "query",
    "s": "status",
    "b": "size",
    "B": "size",
    "O": "size",
    "D": "took_us",
    "T": "took_s",
    "v": "host",
    "V": "host",
}
APACHE_TIMES = {"sec": "epoch_start", "msec": "epoch_ms_start", "usec": "epoch_us_start"}
APACHE_TOOK = {"s": "took_s", "ms": "took_ms", "us": "took_us"}
# fields that tell a time; headers may end alike
TIMES = frozenset(
    f"{form}_{side}" for form in ("clf", "iso", "epoch", "epoch_ms", "epoch_us") for side in ("start", "end")
)
VARIABLE = re.compile(r"\$(?:\{(\w+)\}|(\w+))")
DIRECTIVE = re.compile(r"%(?:!?[0-9,]+)?[<>]?(?:\{([^}]*)\})?(\^t[io]|[A-Za-z%])")


class FormatError(ValueError):
    """A format that can't be used; the message says what is wrong with it."""


@dataclass(slots=True, frozen=True)
class Format:
    """One format: its text and the pattern whose named groups are the fields."""

    text: str
    pattern: re.Pattern[str]

    def fields(self, line: str) -> dict[str, str] | None:
        """What a line holds, or None if it is of another format."""
        found = self.pattern.fullmatch(line)
        return None if found is None else found.groupdict()


def compile_format(text: str) -> Format:
    """A format by its name (common, combined, nginx) or as the server's configuration has it."""
    text = KNOWN.get(text, text)
    if VARIABLE.search(text):
        parts = _split(text, VARIABLE, lambda m: _nginx(m[1] or m[2]))
    elif DIRECTIVE.search(text):
        parts = _split(text, DIRECTIVE, lambda m: _apache(m[2], m[1]))
    else:
        raise FormatError(
            f"{text!r} is no known name ({', '.join(KNOWN)}) and holds no $variable or %directive"
        )
    return Format(text, re.compile(_pattern(parts)))


def _nginx(name: str) -> str:
    if name in NGINX:
        return NGINX[name]
    if name.startswith("http_"):
        return _header(name[5:].replace("_", "-"))
    return ""


def _apache(letter: str, argument: str | None) -> str:
    if letter == "%":
        return "%"
    if letter == "i":
        return _header((argument or "").lower())
    if letter == "t" and argument:
        wanted = argument.removeprefix("begin:")
        if wanted not in APACHE_TIMES:
            raise FormatError(f"%{{{argument}}}t: only sec, msec and usec can be read, and %t")
        return APACHE_TIMES[wanted]
    if letter == "T" and argument:
        if argument not in APACHE_TOOK:
            raise FormatError(f"%{{{argument}}}T: only s, ms and us can be read")
        return APACHE_TOOK[argument]
    return APACHE.get(letter, "")


def _header(name: str) -> str:
    """A header of the request; those that hold secrets or say who it is are not looked at."""
    return (
        "" if name in SECRET or not re.fullmatch(r"[a-z0-9-]+", name) else "header_" + name.replace("-", "_")
    )


def _split(text: str, form: re.Pattern[str], name: Callable[[re.Match[str]], str]) -> list[tuple[bool, str]]:
    """Literal text and fields in turn: (is a field, text or name)."""
    parts: list[tuple[bool, str]] = []
    at = 0
    for found in form.finditer(text):
        if found.start() > at:
            parts.append((False, text[at : found.start()]))
        meaning = name(found)
        parts.append((False, "%") if meaning == "%" else (True, meaning))
        at = found.end()
    if at < len(text):
        parts.append((False, text[at:]))
    return parts


def _pattern(parts: list[tuple[bool, str]]) -> str:
    """Each field ends at the literal behind it; in quotes, at the first quote that is not escaped."""
    pattern = ""
    seen: set[str] = set()
    for number, (is_field, text) in enumerate(parts):
        if not is_field:
            pattern += re.escape(text)
            continue
        before = parts[number - 1][1] if number and not parts[number - 1][0] else ""
        behind = parts[number + 1] if number + 1 < len(parts) else None
        if behind is not None and behind[0]:
            raise FormatError("two fields stand side by side with nothing between them")
        if text in ("clf_start", "clf_end") and not before.endswith("["):
            body = r"\[[^\]]*\]"
        elif before.endswith('"') and behind is not None and behind[1].startswith('"'):
            body = r'[^"\\]*(?:\\.[^"\\]*)*'
        elif behind is None:  # a number must not swallow what a longer format has behind it
            body = r".*" if not text or text.startswith("header_") else r"\S*"
        else:
            body = f"[^{re.escape(behind[1][0])}]*"
        named = bool(text) and text not in seen
        seen.add(text)
        pattern += f"(?P<{text}>{body})" if named else f"(?:{body})"
    if not seen & TIMES:
        raise FormatError("the format has no time")
    if not seen & {"request", "target", "path"}:
        raise FormatError("the format does not say what was asked for")
    return pattern
