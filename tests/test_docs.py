"""The listed pages name existing files, and classes that are defined in the file named with them."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = ("README.md", "docs/architecture.md", "docs/glossary.md", "docs/capacity.md")
PATH = re.compile(r"`((?:ironrail|tests|docs|deploy|benchmarks)/[\w./-]+)`")
DEFINED = re.compile(r"`([A-Z]\w+)(?:\.(\w+))?` in `(ironrail/[\w/]+\.py)`")


@pytest.mark.parametrize("page", PAGES)
def test_each_file_that_a_page_names_exists(page: str) -> None:
    named = PATH.findall((ROOT / page).read_text())
    assert named
    assert [path for path in named if not (ROOT / path).exists()] == []


@pytest.mark.parametrize("page", PAGES)
def test_each_name_is_defined_in_the_file_beside_it(page: str) -> None:
    for name, member, path in DEFINED.findall((ROOT / page).read_text()):
        text = (ROOT / path).read_text()
        assert re.search(rf"^(class|def) {name}\b|^{name}\b.* = ", text, re.MULTILINE), (name, path)
        assert not member or re.search(rf"^\s+(def )?{member}\b", text, re.MULTILINE), (name, member)


def test_the_glossary_says_where_terms_are_defined() -> None:
    assert len(DEFINED.findall((ROOT / "docs/glossary.md").read_text())) > 30
