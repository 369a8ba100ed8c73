"""Base classes of all errors, each with advice for the operator and an exit code."""

from __future__ import annotations

from enum import IntEnum
from typing import ClassVar


class ExitCode(IntEnum):
    """Exit codes of the commands, besides 0 for success."""

    VERDICT_FAILED = 1
    INVALID_INPUT = 2
    NO_VERDICT = 3


class IronrailError(Exception):
    """Base class of all errors.

    Attributes:
        advice: What an operator can do, in one sentence.
        exit_code: Exit code of a command that ends with this error.
        reason: What is wrong.
        location: The file, field, address or router that it concerns; may be empty.
    """

    advice: ClassVar[str] = ""
    exit_code: ClassVar[int] = ExitCode.INVALID_INPUT

    def __init__(self, reason: str, location: str = "") -> None:
        super().__init__(reason, location)
        self.reason = reason
        self.location = location

    def __str__(self) -> str:
        return f"{self.location}: {self.reason}" if self.location else self.reason

    def with_advice(self) -> str:
        """Return the error and the advice in one line."""
        return f"{self}; {self.advice}" if self.advice else str(self)


class InputError(IronrailError, ValueError):
    """Input that can't be used; none of it was applied."""


class RejectedError(IronrailError):
    """An operator's request that can't be granted now; it changed nothing."""


def all_errors(kind: type[IronrailError] = IronrailError) -> list[type[IronrailError]]:
    """Return `kind` and all its loaded subclasses, the most general first."""
    found = [kind]
    for subclass in kind.__subclasses__():
        found.extend(all_errors(subclass))
    return found
