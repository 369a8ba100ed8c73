"""One family of errors: each kind a type of its own, with what is wrong, where, and what an operator can do.

Exit codes follow from types: 2 for input that can't be used, 1 for a verdict that failed, 3 where no verdict
is possible.
"""

from __future__ import annotations

from typing import ClassVar

VERDICT_FAILED, UNUSABLE, NO_VERDICT = 1, 2, 3  # exit codes


class IronrailError(Exception):
    """What went wrong, in one line: `where: what`."""

    advice: ClassVar[str] = ""  # one sentence: what an operator can do
    exit_code: ClassVar[int] = UNUSABLE

    def __init__(self, what: str, where: str = "") -> None:
        """`what` is wrong; `where`: the file, field, address or router that it concerns."""
        super().__init__(what, where)
        self.what, self.where = what, where

    def __str__(self) -> str:
        return f"{self.where}: {self.what}" if self.where else self.what

    def told(self) -> str:
        """The line and what can be done about it."""
        return f"{self}; {self.advice}" if self.advice else str(self)


class InputError(IronrailError, ValueError):
    """Something that was given, and can't be used. Nothing of it is taken."""


class RefusedError(IronrailError):
    """A request of an operator's that can't be granted now; nothing was changed by it."""


def all_errors(kind: type[IronrailError] = IronrailError) -> list[type[IronrailError]]:
    """All types of the family that are loaded, the most general first."""
    return [kind, *(found for child in kind.__subclasses__() for found in all_errors(child))]
