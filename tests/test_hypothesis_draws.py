"""Property tests draw the same examples, independent of the modules that a worker has imported."""

from __future__ import annotations

import functools
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
DRAWS = """
import importlib, sys
from hypothesis import given, settings, strategies as st
from tests.hypothesis_draws import fix_constants, import_product

if sys.argv[1] == "fixed":
    import_product()
    fix_constants()
for module in sys.argv[2:]:
    importlib.import_module(module)

@settings(derandomize=True, deadline=None, database=None)
@given(st.integers(1, 2000), st.floats(0.1, 600), st.lists(st.text(max_size=8), max_size=9))
def draw(number, seconds, names):
    print(number, seconds, ascii(names))

draw()
"""
ORDERS = (
    (),
    ("tests.policy.test_discovery_freshness",),
    ("tests.rehearsal.test_rules", "tests.policy.test_discovery_freshness"),
)


@functools.cache
def draws(mode: str, modules: tuple[str, ...]) -> bytes:
    command = [sys.executable, "-c", DRAWS, mode, *modules]
    return subprocess.run(command, cwd=ROOT, capture_output=True, check=True).stdout


@pytest.mark.parametrize("modules", ORDERS)
def test_draws_do_not_depend_on_the_modules_that_were_imported_before(modules: tuple[str, ...]) -> None:
    """Guards against a property test whose result depends on what its worker ran before."""
    assert draws("fixed", modules) == draws("fixed", ORDERS[0])


def test_without_fixed_constants_draws_do_depend_on_them() -> None:
    """Guards against a check that would pass for any draws: without the plugin they differ."""
    assert len({draws("free", modules) for modules in ORDERS}) == len(ORDERS)
