"""Reads scenario files. An error names the file, the line, the field and the problem."""

from __future__ import annotations

import re
import tomllib
from importlib import resources
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from ironrail.rehearsal.scenario.model import Scenario

HEADER = re.compile(r"\s*(\[\[?)\s*([A-Za-z0-9_.-]+)\s*\]\]?")
KEY = re.compile(r"\s*([A-Za-z0-9_-]+)\s*=")
MAX_FILE_BYTES = 1024 * 1024  # scenarios are written by hand
Form = TypeVar("Form", bound=BaseModel)


class ScenarioError(ValueError):
    """A scenario that can't be used; the message names the file, the line and the problem."""


def shipped() -> dict[str, Path]:
    """Return the paths of the scenarios shipped with the kit, by name."""
    folder = Path(str(resources.files("ironrail.rehearsal"))) / "scenarios"
    return {path.stem: path for path in sorted(folder.glob("*.toml"))}


def read_scenario(name: str) -> Scenario:
    """Read a shipped scenario by its name, or any scenario by the path of its file.

    Raises:
        ScenarioError: The scenario does not exist or is invalid.
    """
    path = shipped().get(name, Path(name))
    if path.suffix != ".toml":
        raise ScenarioError(f"{name}: no scenario of that name ({', '.join(shipped())}) and no .toml file")
    return parse_scenario(read_text(path), str(path))


def read_text(path: Path) -> str:
    """Read the text of a file.

    Raises:
        ScenarioError: The file is unreadable, too large or not UTF-8.
    """
    try:
        data = path.read_bytes()
    except OSError as e:
        raise ScenarioError(f"{path}: {e.strerror or e}") from e
    if len(data) > MAX_FILE_BYTES:
        raise ScenarioError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
    try:
        return data.decode()
    except UnicodeDecodeError as e:
        line = data[: e.start].count(b"\n") + 1
        raise ScenarioError(f"{path}:{line}: not UTF-8") from e


def parse_scenario(text: str, file: str) -> Scenario:
    """Parse the text of a scenario file; `file` is its name in errors."""
    return parse(Scenario, text, file)


def parse(form: type[Form], text: str, file: str) -> Form:
    """Parse the text of a TOML file into a model.

    Raises:
        ScenarioError: The text is not TOML or doesn't fit the model.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as e:
        found = re.search(r" \(at (?:line (\d+), column \d+|end of document)\)", str(e))
        line = found[1] if found and found[1] else str(text.count("\n") + 1)
        raise ScenarioError(f"{file}:{line}: {re.sub(r' [(]at .*', '', str(e))}") from e
    try:
        return form.model_validate(table)
    except ValidationError as e:
        first = e.errors(include_url=False)[0]
        where = tuple(first["loc"])
        field = ".".join(str(part + 1) if isinstance(part, int) else part for part in where)
        message = first["msg"].removeprefix("Value error, ")
        raise ScenarioError(f"{file}:{line_of(text, where)}: {field + ': ' if field else ''}{message}") from e


def line_of(text: str, where: tuple[str | int, ...]) -> int:
    """Return the line that sets a field, or that of its closest existing parent; 1 if there is none."""
    best, depth = 1, 0
    table: tuple[str | int, ...] = ()
    counts: dict[str, int] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if header := HEADER.match(line):
            name = header[2]
            table = tuple(name.split("."))
            if header[1] == "[[":
                counts[name] = counts.get(name, -1) + 1
                table = (*table, counts[name])
            place = table
        elif key := KEY.match(line):
            place = (*table, key[1])
        else:
            continue
        if len(place) > depth and place == where[: len(place)]:
            best, depth = number, len(place)
    return best
