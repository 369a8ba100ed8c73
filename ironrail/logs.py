"""The daemon's log: one JSON object a line, with the event's name and its fields.

`at` is local time, `level` a level of `logging`, `event` a name that is stable across releases.
"""

from __future__ import annotations

import logging

from pythonjsonlogger.orjson import OrjsonFormatter

FIELD_NAMES = {"asctime": "at", "levelname": "level", "message": "event"}


def json_formatter() -> logging.Formatter:
    """Return a formatter that writes a log record as one line of JSON."""
    return OrjsonFormatter("{asctime}{levelname}{message}", style="{", rename_fields=FIELD_NAMES)


def log_to_stderr() -> None:
    """Write this process's log to standard error from now on."""
    handler = logging.StreamHandler()
    handler.setFormatter(json_formatter())
    logging.basicConfig(level=logging.INFO, handlers=[handler])
