"""Reads a scenario's file. A mistake is told once, with file, line, field and what is wrong."""

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
MAX_FILE_BYTES = 1024 * 1024  # bytes: a scenario is written by hand
Form = TypeVar("Form", bound=BaseModel)


class ScenarioError(ValueError):
    """A scenario that can't be used; the message names file, line and mistake."""


def shipped() -> dict[str, Path]:
    """The scenarios that come with the kit, by name."""
    folder = Path(str(resources.files("ironrail.rehearsal"))) / "scenarios"
    return {path.stem: path for path in sorted(folder.glob("*.toml"))}


def read_scenario(name: str) -> Scenario:
    """A shipped scenario by its name, or any by the path of its file."""
    path = shipped().get(name, Path(name))
    if path.suffix != ".toml":
        raise ScenarioError(f"{name}: no scenario of that name ({', '.join(shipped())}) and no .toml file")
    return parse_scenario(read_text(path), str(path))


def read_text(path: Path) -> str:
    """The text of a file that is written by hand."""
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
    """The scenario that a file holds."""
    return parse(Scenario, text, file)


def parse(form: type[Form], text: str, file: str) -> Form:
    """What a file holds, in its form."""
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
    """The line that sets a field, or the nearest thing above it that is there; 1 where nothing is."""
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
