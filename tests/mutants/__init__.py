"""Deliberately broken routers. Each file is one small patch of behaviour that the kit has to fail."""

from __future__ import annotations


def replace_method(owner: type, name: str, method: object) -> None:
    """Put another method in the place of one that `owner` has; AttributeError where it has none."""
    if name not in vars(owner):
        raise AttributeError(f"{owner.__name__} has no {name}: the mutant has to follow the code")
    setattr(owner, name, method)
