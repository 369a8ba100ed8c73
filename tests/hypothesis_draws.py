"""Pytest plugin: hypothesis draws depend only on the test and on the code of `ironrail`.

Hypothesis draws from the constants of all modules that are imported at that moment, derandomized or not, so
a worker's examples would depend on the order in which it imports test modules. The plugin collects the
constants once, after importing all of `ironrail` and before any test module.
"""

from __future__ import annotations

import importlib
import pkgutil

import pytest
from hypothesis.internal.conjecture import providers

import ironrail


def import_product() -> None:
    """Import every module of `ironrail`, so that each process has the same constants."""
    for module in pkgutil.walk_packages(ironrail.__path__, "ironrail."):
        importlib.import_module(module.name)


def fix_constants() -> None:
    """Make all later draws use the constants of the modules that are imported now.

    Raises:
        AttributeError: This version of hypothesis collects constants in another way.
    """
    constants = providers._get_local_constants()
    pytest.MonkeyPatch().setattr(providers, "_get_local_constants", lambda: constants)


def pytest_sessionstart() -> None:
    """Collect the constants before test modules are imported."""
    import_product()
    fix_constants()
