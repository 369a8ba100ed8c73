"""What the subcommands of `ironrail trace` share: options, and how they end."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from datetime import UTC, datetime
from functools import wraps
from pathlib import Path
from typing import Any

import click

from ironrail.access_log.pseudonyms import Pseudonymizer
from ironrail.recorded.formats import FormatError
from ironrail.recorded.sources import SourceError
from ironrail.recorded.trace import TraceError
from ironrail.rehearsal.command import UNUSABLE
from ironrail.rehearsal.scenario.reader import ScenarioError
from ironrail.rehearsal.scenario.units import read_time

MOST_SHOWN = 20  # rows of a table


class Length(click.ParamType[float]):
    """A time with its unit."""

    name = "time"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> float:
        if isinstance(value, float):
            return value
        try:
            return read_time(value)
        except ValueError as e:
            self.fail(str(e), param, ctx)


TRACE = click.Path(exists=True, dir_okay=False, path_type=Path)
NEW = click.Path(dir_okay=False, path_type=Path)
LENGTH = Length()


def plainly(command: Callable[..., None]) -> Callable[..., None]:
    """One clear line for what can't be used, and the exit code for it."""

    @wraps(command)
    def guarded(*args: Any, **options: Any) -> None:
        try:
            command(*args, **options)
        except (TraceError, SourceError, ScenarioError, FormatError, OSError) as e:
            click.echo(f"ironrail: {e}", err=True)
            sys.exit(UNUSABLE)

    return guarded


def new_file(path: Path, *sources: Path) -> Path:
    """Guards a trace against being written over while it is read."""
    if any(path.exists() and path.samefile(source) for source in sources):
        raise TraceError(f"{path}: is what is read; name another file")
    return path


def moment(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="milliseconds")


def hasher_of(file: Path | None) -> Pseudonymizer:
    if file is None:
        return Pseudonymizer(os.urandom(32))
    try:
        return Pseudonymizer(file.read_bytes().strip())
    except ValueError as e:
        raise TraceError(f"{file}: {e}") from e
