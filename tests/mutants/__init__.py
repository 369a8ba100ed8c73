"""Deliberately broken routers. Each file is one small patch of behaviour that the kit has to fail."""

from __future__ import annotations

from typing import Any


def replace(owner: Any, name: str, replacement: Any) -> None:
    """Replace an attribute of a class or module; AttributeError if it does not exist (any more)."""
    getattr(owner, name)
    setattr(owner, name, replacement)
