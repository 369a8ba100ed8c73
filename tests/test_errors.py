"""Each error class has advice for the operator, and a line on the page docs/errors.md."""

from __future__ import annotations

import importlib
import pkgutil
from pathlib import Path

import ironrail
from ironrail.errors import InputError, IronrailError, RejectedError, all_errors

PAGE = Path(__file__).parent.parent / "docs" / "errors.md"
ROOTS = (IronrailError, InputError, RejectedError)


def test_each_error_has_its_advice_and_its_line_on_the_page() -> None:
    for module in pkgutil.walk_packages(ironrail.__path__, "ironrail."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    kinds = [kind for kind in all_errors() if kind not in ROOTS]
    assert len(kinds) > 25
    lines = PAGE.read_text().splitlines()
    for kind in kinds:
        assert "advice" in vars(kind) and len(kind.advice.split()) > 3, kind
        row = f"| `{kind.__name__}` | {kind.exit_code} |"
        advice = kind.advice[0].upper() + kind.advice[1:]
        assert any(line.startswith(row) and line.endswith(f"| {advice} |") for line in lines), kind


def test_an_error_is_one_line_with_where_what_and_what_to_do() -> None:
    class Example(InputError):
        advice = "do this and that"

    assert str(Example("is wrong", "file: field")) == "file: field: is wrong"
    assert Example("is wrong", "field").with_advice() == "field: is wrong; do this and that"
    assert str(Example("is wrong")) == "is wrong" and Example.exit_code == 2
    assert isinstance(Example("x"), ValueError)
