"""Results of an experiment in one SQLite file: each run is there whole or not at all.

A run's row is written in a transaction of its own with full synchronisation. Nothing that is there is
played again, and nothing is ever changed, so that an experiment cut off and resumed has the same rows as one
that was not.
"""

from __future__ import annotations

import os
import sqlite3
from dataclasses import dataclass
from pathlib import Path

import orjson

from ironrail.rehearsal.experiments.plan import ExperimentError, Run

VERSION = 1
BUSY = 10.0  # seconds that a writer waits for another one
SCHEMA = """
create table about (
    version integer not null, experiment text not null, text text not null, machine text not null
);
create table trees (variant text primary key, digest text not null) without rowid;
create table runs (
    world text not null, seed integer not null, variant text not null,
    service real, asked real not null, broken integer not null, faults integer not null,
    digest text not null, failed text not null, losses text not null,
    primary key (world, seed, variant)
) without rowid;
"""


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of a run: service from 0 to 1, worth asked for, rules broken, faults of the books, losses.

    `failed` tells why there is no figure, and is empty where there is one.
    """

    service: float | None
    asked: float = 0.0
    broken: int = 0
    faults: int = 0
    digest: str = ""
    failed: str = ""
    losses: dict[str, float] | None = None


class Store:
    """The file of one experiment."""

    def __init__(self, path: Path, digest: str, text: str, *, new: bool) -> None:
        """Open it; ExperimentError if it is another experiment's, of another version, or no such file."""
        if new and path.exists() and path.stat().st_size:
            raise ExperimentError(f"{path}: is there already; resume it, or name another")
        if not new and not path.exists():
            raise ExperimentError(f"{path}: is not there; run the experiment first")
        self.path = path
        self._db = sqlite3.connect(path, timeout=BUSY, isolation_level=None)
        try:
            self._db.execute("pragma journal_mode = delete")
            self._db.execute("pragma synchronous = full")
            if not self._db.execute("select 1 from sqlite_master where name = 'about'").fetchone():
                self._make(digest, text)
            self._check(digest)
        except sqlite3.DatabaseError as e:
            raise ExperimentError(f"{path}: {e}") from e

    def _make(self, digest: str, text: str) -> None:
        # in one transaction: cut off here, the file is as if new
        with self._db:
            self._db.execute("begin immediate")
            for statement in SCHEMA.split(";"):
                self._db.execute(statement)
            machine = f"{os.cpu_count()} cores"
            self._db.execute("insert into about values (?, ?, ?, ?)", (VERSION, digest, text, machine))

    def _check(self, digest: str) -> None:
        version, known, _, _ = self._db.execute("select * from about").fetchone()
        if version != VERSION:
            raise ExperimentError(f"{self.path}: has version {version}, this program reads {VERSION}")
        if digest and known != digest:
            raise ExperimentError(f"{self.path}: holds another experiment than the one named")

    def text(self) -> str:
        """The experiment's own file, as it was when the store was made."""
        return str(self._db.execute("select text from about").fetchone()[0])

    def keep_trees(self, digests: dict[str, str]) -> None:
        """Note what each variant's tree is; ExperimentError where it is another than when the store was made.

        Guards a result against runs of two programs under one name.
        """
        with self._db:
            self._db.execute("begin immediate")
            known = dict(self._db.execute("select variant, digest from trees"))
            for variant, digest in digests.items():
                if known.get(variant, digest) != digest:
                    raise ExperimentError(
                        f"{self.path}: variant {variant} is no longer what was played; make a new experiment"
                    )
            rows = sorted(digests.items())
            self._db.executemany("insert or ignore into trees values (?, ?)", rows)

    def played(self) -> dict[Run, Outcome]:
        """All runs, in one order."""
        rows = self._db.execute("select * from runs order by world, seed, variant")
        return {
            Run(world, seed, variant): Outcome(
                service, asked, broken, faults, digest, failed, orjson.loads(losses)
            )
            for world, seed, variant, service, asked, broken, faults, digest, failed, losses in rows
        }

    def add(self, run: Run, outcome: Outcome) -> None:
        """Keep a run. One that is there already, of another process on the same store, stays as it is."""
        losses = orjson.dumps(outcome.losses or {}, option=orjson.OPT_SORT_KEYS).decode()
        row = (run.world, run.seed, run.variant, outcome.service, outcome.asked, outcome.broken)
        row += (outcome.faults, outcome.digest, outcome.failed, losses)  # type: ignore[assignment]
        self._db.execute(f"insert or ignore into runs values ({', '.join('?' * len(row))})", row)

    def close(self) -> None:
        self._db.close()
