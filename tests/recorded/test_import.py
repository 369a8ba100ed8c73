"""Imports: every line is an entry, malformed or filtered, whatever comes."""

from __future__ import annotations

import gzip
import json
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
import zstandard
from hypothesis import given
from hypothesis import strategies as st

from ironrail.recorded.entry import Entry
from ironrail.recorded.importing import BLANK, FOLDED, Importer
from ironrail.recorded.sources import FROM_CACHE, LONGEST_LINE
from ironrail.rehearsal.scenario.reader import ScenarioError
from tests.recorded.samples import RULES, START, clf, importer, log_of, mapping

Folders = pytest.TempPathFactory


def run(one: Importer, *files: Path) -> list[Entry]:
    return list(one.entries(files))


def test_lines_in_are_entries_malformed_and_filtered(tmp_path: Path) -> None:
    one = importer()
    log = log_of(
        tmp_path,
        clf(1),
        "",
        "# a comment",
        clf(2, "/favicon.ico"),
        clf(2, "/other/17"),
        b"\xff\xfe",
        "x" * (LONGEST_LINE + 10),
        clf(3)[:40],
        clf(4),
    )
    made = run(one, log)
    assert [e.key for e in made] == ["daily:7", "daily:7"] and one.account.lines == 9
    assert one.account.filtered == {BLANK: 2, "dropped by a rule": 1, "unmapped": 1}
    assert one.account.malformed == {
        "not UTF-8": 1,
        f"longer than {LONGEST_LINE} bytes": 1,
        "of none of the formats": 1,
    }
    assert [(p.line, p.offset) for p, _ in one.account.places] == [
        (line, sum(len(row) + 1 for row in log.read_bytes().split(b"\n")[: line - 1])) for line in (6, 7, 8)
    ]


@given(
    st.lists(
        st.one_of(st.binary(max_size=40), st.integers(0, 59).map(lambda s: clf(s).encode())), max_size=40
    )
)
def test_no_bytes_end_an_import_or_vanish(
    tmp_path_factory: pytest.TempPathFactory, rows: list[bytes]
) -> None:
    one = importer()
    path = tmp_path_factory.mktemp("fuzz") / "a.log"
    path.write_bytes(b"\n".join(rows))
    made = run(one, path)
    one.account.check()
    assert [e.at for e in made] == sorted(e.at for e in made)


@given(st.binary(max_size=200))
def test_no_har_ends_an_import(tmp_path_factory: Folders, data: bytes) -> None:
    one = importer()
    path = tmp_path_factory.mktemp("fuzz") / "a.har"
    path.write_bytes(b'{"log": {"entries": [' + data)
    run(one, path)
    one.account.check()


def test_files_are_merged_by_time_packed_or_not(tmp_path: Path) -> None:
    older = tmp_path / "access.log.2.gz"
    older.write_bytes(gzip.compress(f"{clf(1, '/grid/daily/1')}\n{clf(5, '/grid/daily/5')}\n".encode()))
    other = tmp_path / "access.log.1.zst"
    other.write_bytes(zstandard.compress(f"{clf(3, '/grid/daily/3')}\n".encode()))
    plain = log_of(tmp_path, clf(4, "/grid/daily/4"))
    assert [e.key for e in run(importer(), plain, older, other)] == [f"daily:{n}" for n in (1, 3, 4, 5)]


def test_a_packed_file_that_is_cut_off_says_so(tmp_path: Path) -> None:
    rows = "".join(clf(n % 60, f"/grid/daily/{n * n}") + "\n" for n in range(5000))
    for name, packed in (
        ("a.gz", gzip.compress(rows.encode())),
        ("a.zst", zstandard.compress(rows.encode())),
    ):
        path = tmp_path / name
        path.write_bytes(packed[: len(packed) // 2])
        one = importer(window=120)
        made = run(one, path)
        if name == "a.gz":
            assert any("broken off" in reason for reason in one.account.malformed)
        assert 0 <= len(made) < 5000


def test_whole_seconds_are_spread(tmp_path: Path) -> None:
    made = run(importer(), log_of(tmp_path, *[clf(1)] * 4, clf(2)))
    assert [e.at - START for e in made] == [1.0, 1.25, 1.5, 1.75, 2.0]


def test_gaps_steps_and_stragglers_are_told(tmp_path: Path) -> None:
    back = [clf(n, f"/grid/daily/{n}").replace(":06:", ":05:") for n in range(30)]
    late = clf(10)
    rows = [clf(30), clf(31).replace(":06:", ":07:"), late, clf(32).replace(":06:", ":07:"), *back]
    one = importer()
    made = run(one, log_of(tmp_path, *rows))
    assert len(made) == len(rows) - 1 and one.account.malformed == {"out of order by more than 5 s": 1}
    assert one.account.gaps == [(START + 30, 3601.0)]
    assert [round(step.back) for _, step in one.account.steps] == [7232]


def test_retries_are_folded(tmp_path: Path) -> None:
    one = importer()
    log = log_of(tmp_path, clf(1, status=503), clf(2, status=200), clf(3, client="10.0.0.2"))
    assert len(run(one, log)) == 2 and one.account.filtered == {FOLDED: 1}


def test_nothing_of_a_person_reaches_the_trace(tmp_path: Path) -> None:
    made = run(importer(), log_of(tmp_path, clf(1, client="192.0.2.77") + ' "-" "secret-agent"'))
    text = repr(made)
    assert len(made) == 1 and made[0].client
    assert not any(word in text for word in ("192.0.2.77", "jan", "secret"))


def har(*entries: dict[str, Any]) -> bytes:
    return json.dumps({"log": {"version": "1.2", "pages": [], "entries": list(entries)}}).encode()


def har_entry(
    second: float = 0.0, url: str = "https://p.example/grid/daily/7?d=1", **fields: Any
) -> dict[str, Any]:
    moment = f"2026-11-30T06:30:{second:06.3f}Z"
    request = {"method": "GET", "url": url, "headers": [{"name": "Cookie", "value": "token=1"}]}
    response = {"status": 200, "bodySize": -1, "content": {"size": 900, "text": "eHg=", "encoding": "base64"}}
    return {"startedDateTime": moment, "time": 31.5, "request": request, "response": response} | fields


def test_har_as_browsers_really_write_it(tmp_path: Path) -> None:
    spend = {
        "method": "POST",
        "url": "https://p.example/hint/daily/3",
        "headers": [{"name": "X-Spend", "value": "s1"}],
    }
    path = tmp_path / "a.har"
    path.write_bytes(
        b"\xef\xbb\xbf"
        + har(
            har_entry(2.5),
            har_entry(1.0, time=-1),
            har_entry(1.5, request=spend, response={"status": 200}),
            har_entry(3.0, _fromCache="disk"),
            har_entry(3.0, url="data:text/plain,x"),
            har_entry(3.0, url="https://p.example/favicon.ico"),
            har_entry(4.0, startedDateTime="yesterday"),
            {"request": {"method": "GET", "url": "https://p.example/"}},
            har_entry(5.0, response={"status": 0, "content": {}}, time=0),
        )
    )
    one = importer()
    made = run(one, path)
    assert [(round(e.at - START, 3), e.kind, e.status, e.took) for e in made] == [
        (1.0, "grid-read", 200, 0.0),
        (1.5, "hint-spend", 200, 0.0315),
        (2.5, "grid-read", 200, 0.0315),
        (5.0, "grid-read", 0, 0.0),
    ]
    assert made[0].size == 900 and made[1].idempotency not in ("", "s1")
    assert one.account.malformed == {"the time can't be read": 1, "no startedDateTime": 1}
    assert [place.line for place, _ in one.account.places] == [7, 8]
    assert one.account.filtered.total() == 3 and "token" not in repr(made)


def test_a_har_that_is_cut_off_keeps_what_was_whole(tmp_path: Path) -> None:
    path = tmp_path / "a.har"
    path.write_bytes(har(*(har_entry(n) for n in range(10)))[:-400])
    one = importer()
    assert len(run(one, path)) >= 7 and one.account.malformed.total() == 1
    assert "no JSON from here on" in next(iter(one.account.malformed))


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("", "rule: Field required"),
        ("[[rule]]\npath = '/x'\n", "rules.toml:1: rule.1: class: is missing"),
        ("[[rule]]\nclass = 'a'\npath = '('\n", "no pattern"),
        ("[[rule]]\nclass = 'a'\nkey = '{id}'\n", "{id} is no group of the pattern"),
        ("[[rule]]\nclass = 'a'\nkey = '{header.Cookie}'\n", "holds secrets"),
        ("[[rule]]\nclass = 'a'\nheader = { Authorization = '*' }\n", "holds secrets"),
        ("[[rule]]\nclass = 'a'\nkey = '{query.}'\n", "can't be filled in"),
        ("[[rule]]\nclass = 'a'\ncost = 5\n", "rules.toml:3: .*needs its unit"),
        ("[[rule]]\nclas = 'a'\n", "rules.toml:2: .*Extra inputs"),
        ("[[rule]]\nclass = \n", "rules.toml:2"),
    ],
)
def test_a_mapping_that_can_not_be_used_is_told(text: str, why: str) -> None:
    with pytest.raises(ScenarioError, match=why.replace("{", r"\{").replace("}", r"\}")):
        mapping(text)


def test_keys_fit_the_protocol(tmp_path: Path) -> None:
    rules = "[[rule]]\nclass = 'grid-read'\nkey = '{query.k}'\n" + RULES
    lines = [clf(1, "/x?k=a%20b%0A"), clf(2, "/x?k=" + "z" * 400), clf(3, "/x?k=%C3%A9")]
    keys = [e.key for e in run(importer(rules=rules), log_of(tmp_path, *lines))]
    assert keys[0] == "a%20b%0A" and keys[1].startswith("long-") and keys[2] == "%C3%A9"


def test_a_har_of_a_real_browser() -> None:
    """Headless Chromium 156, recorded on loopback: fetches, 304s, redirects, a cut off and a refused one.

    Twice the same page: 48 entries. On the second time three grids came from the browser's own cache.
    """
    one = importer(rules=RULES)
    made = run(one, Path(__file__).parent / "chromium.har.gz")
    assert one.account.lines == 48 and not one.account.malformed
    assert one.account.filtered == {"unmapped": 8, FROM_CACHE: 3}
    assert Counter(e.kind for e in made) == {"grid-read": 31, "hint-spend": 6}
    spends = Counter(e.idempotency for e in made if e.idempotency)
    assert sorted(spends.values()) == [2, 4]  # two pages, the first key twice on each
    assert Counter(e.status for e in made) == {200: 35, 404: 2}
    assert "secret-token" not in repr(made) and "spend-1" not in repr(made)
