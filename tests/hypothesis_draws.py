"""Pytest plugin: hypothesis draws that depend on the product's code and the test alone.

Hypothesis draws constants of all modules that are imported at that moment, derandomized or not. A worker
would draw other examples for each order in which it happens to import test modules. Here the constants are
collected once, with the whole product imported and before any test is.
"""

from __future__ import annotations

import importlib
import pkgutil

import pytest
from hypothesis.internal.conjecture import providers

import ironrail


def import_product() -> None:
    """Import every module of the product, so that each process has the same ones."""
    for module in pkgutil.walk_packages(ironrail.__path__, "ironrail."):
        importlib.import_module(module.name)


def fix_constants() -> None:
    """Let all later draws use the constants of the modules that are imported now.

    Raises:
        AttributeError: This version of hypothesis collects them in another way.
    """
    constants = providers._get_local_constants()
    pytest.MonkeyPatch().setattr(providers, "_get_local_constants", lambda: constants)


def pytest_sessionstart() -> None:
    """Collect the constants before test modules are imported."""
    import_product()
    fix_constants()
