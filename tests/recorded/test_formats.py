"""Formats of access logs, by their servers' own words."""

from __future__ import annotations

import pytest

from ironrail.recorded.entry import Malformed
from ironrail.recorded.fields import LineParser, make_raw
from ironrail.recorded.formats import FormatError, compile_format
from ironrail.recorded.times import clf_time
from tests.recorded.samples import START, clf


def parsed(form: str, line: str) -> dict[str, str]:
    found = compile_format(form).fields(line)
    assert found is not None
    return found


def test_combined_with_quotes_and_brackets_in_the_agent() -> None:
    raw = make_raw(
        parsed(
            "combined",
            '2001:db8::1 - - [30/Nov/2026:07:30:00 +0100] "GET /grid/daily/7?day=1 HTTP/1.1" 200 512'
            ' "https://a.example/" "Mozilla/5.0 (\\"odd\\") [x] \\x22y"',
        )
    )
    assert (raw.at, raw.method, raw.path, raw.query) == (START, "GET", "/grid/daily/7", "day=1")
    assert (raw.status, raw.size, raw.client) == (200, 512, "2001:db8::1")
    assert raw.headers["user-agent"] == 'Mozilla/5.0 ("odd") [x] "y'


def test_nginx_with_a_format_of_its_own_tells_the_end_and_what_it_took() -> None:
    form = '$remote_addr [$time_iso8601] "$request" $status $body_bytes_sent $request_time "$http_x_spend"'
    line = '10.0.0.1 [2026-11-30T06:30:02+00:00] "POST /hint/daily/7 HTTP/2.0" 200 5 1.500 "abc"'
    raw = make_raw(parsed(form, line))
    assert raw.at == START + 0.5 and raw.took == 1.5 and raw.headers == {"x-spend": "abc"}


def test_apache_with_times_in_microseconds() -> None:
    form = '%v:%p %a %{usec}t "%r" %>s %O %D "%{Idempotency-Key}i"'
    line = f'puzzles.example:443 10.0.0.1 {int(START * 1e6) + 250_000} "GET /a HTTP/1.1" 200 77 31000 "k-1"'
    raw = make_raw(parsed(form, line))
    assert raw.at == START + 0.25 and raw.took == 0.031 and raw.host == "puzzles.example"
    assert raw.headers == {"idempotency-key": "k-1"}


@pytest.mark.parametrize("secret", ["%{Cookie}i", "%{Authorization}i", "$http_cookie", "$http_authorization"])
def test_secrets_are_never_looked_at(secret: str) -> None:
    form = f'{"$msec" if "$" in secret else "%{msec}t"} "{"$request" if "$" in secret else "%r"}" "{secret}"'
    assert make_raw(parsed(form, '1796020200.0 "GET / HTTP/1.1" "token"')).headers == {}


def test_a_header_whose_name_ends_like_a_time_is_none() -> None:
    """`X-Request-Start`, which front ends set, was taken for the time: its line was malformed."""
    line = f'"t=17" {START} "GET /a HTTP/1.1"'
    raw = make_raw(parsed('"$http_x_request_start" $msec "$request"', line))
    assert raw.at == START and raw.headers == {"x-request-start": "t=17"}


def test_summer_time_and_a_leap_second() -> None:
    assert clf_time("25/Oct/2026:02:30:00 +0200") + 3600 == clf_time("25/Oct/2026:02:30:00 +0100")
    assert clf_time("31/Dec/2016:23:59:60 +0000") == clf_time("01/Jan/2017:00:00:00 +0000")


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("nonsense", "no known name"),
        ('%h "%r" %s', "no time"),
        ("%h %t %s", "does not say what was asked for"),
        ('%t %h%l "%r"', "side by side"),
        ('%{%d/%b}t "%r"', "only sec, msec and usec"),
        ('%t "%r" %{min}T', "only s, ms and us"),
    ],
)
def test_a_format_that_can_not_be_used_is_told(text: str, why: str) -> None:
    with pytest.raises(FormatError, match=why):
        compile_format(text)


def test_two_formats_in_one_file() -> None:
    parser = LineParser([compile_format("combined"), compile_format("common")])
    for line in (clf(1), clf(2) + ' "-" "-"', clf(3), '{"ts": 1796020204, "path": "/x", "status": 200}'):
        parser.parse(line.encode())
    with pytest.raises(Malformed, match="none of the formats"):
        parser.parse(b"10.0.0.1 - - [30/Nov/2026")


@pytest.mark.parametrize(
    ("line", "why"),
    [
        (b"10.0.0.1 - \xff", "not UTF-8"),
        (b"a\0b", "zero bytes"),
        (b'{"ts": 1796020204', "broken JSON"),
        (b'{"ts": 1796020204, "path": {}}', "no text"),
        (b'{"path": "/x"}', "no time"),
        (b'{"ts": 1e99, "path": "/x"}', "before 1970 or after"),
        (b'{"ts": "nan", "path": "/x"}', "time is no number"),
        (b'{"ironrail": 7}', "another version"),
        (b'{"ironrail": 1, "at": 1796020204}', "missing or unfit"),
        (clf(1, status=99999).encode(), "status is none"),
        (clf(1).replace("30/Nov", "31/Nov").encode(), "time can't be read"),
        (clf(1).replace("GET /", "\\x16\\x03\\x01 /").encode(), "request line"),
    ],
)
def test_a_malformed_line_has_its_reason(line: bytes, why: str) -> None:
    with pytest.raises(Malformed, match=why):
        LineParser([compile_format("common")]).parse(line)
