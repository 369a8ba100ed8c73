"""The daemon's log: a line of JSON for each event, with its name and fields, for programs and for grep.

`at` is local time, `level` a level of `logging`, `event` a name that doesn't change; the rest are its fields.
"""

from __future__ import annotations

import logging

from pythonjsonlogger.orjson import OrjsonFormatter

FIELDS = {"asctime": "at", "levelname": "level", "message": "event"}


def formatter() -> logging.Formatter:
    """Writes a record as one line."""
    return OrjsonFormatter("{asctime}{levelname}{message}", style="{", rename_fields=FIELDS)


def log_to_stderr() -> None:
    """What a process logs goes to its standard error from now on."""
    handler = logging.StreamHandler()
    handler.setFormatter(formatter())
    logging.basicConfig(level=logging.INFO, handlers=[handler])
