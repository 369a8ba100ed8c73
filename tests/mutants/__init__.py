"""Deliberately broken routers. Each file is one small patch of behaviour that the kit has to fail."""

from __future__ import annotations

from collections.abc import Callable
from types import ModuleType
from typing import Any


def replace_method(owner: type, name: str, replacement: Callable[..., Any]) -> None:
    """Replace a method of a class, or raise AttributeError if it has none of that name."""
    getattr(owner, name)
    setattr(owner, name, replacement)


def replace_function(module: ModuleType, name: str, replacement: Callable[..., Any]) -> None:
    """Replace a function of a module, or raise AttributeError if it has none of that name."""
    getattr(module, name)
    setattr(module, name, replacement)
