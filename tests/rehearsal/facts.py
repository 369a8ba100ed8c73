"""Builds records of runs by hand, a fact at a time."""

from __future__ import annotations

from ironrail.rehearsal.account.record import (
    Attempt,
    Ended,
    Outcome,
    ReceivedAnswer,
    Record,
    Try,
    value_digest,
)
from ironrail.rehearsal.load.schedule import Planned
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.reader import parse_scenario

VALUE = value_digest(b"made for it")
KINDS = {"read": "grid-read", "entry": "prize-entry", "hint": "hint-spend"}


def scenario(text: str = "") -> Scenario:
    return parse_scenario('summary = "x"\nlength = "20 s"\n' + text, "x.toml")


def planned(number: int = 0, at: float = 1.0, kind: str = "read", **fields: object) -> Planned:
    base: dict[str, object] = {
        "number": number,
        "at": at,
        "kind": KINDS[kind],
        "title": "daily",
        "key": f"grid-{number}",
        "work": 0.11 if kind == "read" else 0.2,
        "hint": 0.1,
        "size": 10,
        "hall": "hall-a",
        "idempotency": "k" if kind == "hint" else "",
        "own_connection": False,
    }
    return Planned(**{**base, **fields})  # type: ignore[arg-type]


class Story:
    """One try, told fact by fact."""

    def __init__(self, record: Record, plan: Planned, number: int = 0, sent_at: float | None = None) -> None:
        at = plan.at if sent_at is None else sent_at
        self.one = Try(f"id-{plan.number}-{number}", plan, number, "router-1", at, at + 0.9)
        record.begin(self.one)

    def attempt(
        self, at: float, server: str = "cache-1", ended: Ended = Ended.OPEN, until: float | None = None
    ) -> Attempt:
        """Sent at one moment, ended at another."""
        attempt = Attempt(server, "router-1", server == "archive", at, at, False)
        if ended is not Ended.OPEN:
            attempt.end(ended, at + 0.01 if until is None else until)
        self.one.attempts.append(attempt)
        return attempt

    def answer(
        self, at: float, kind: str = "VA", request: str | None = None, value: bytes | None = VALUE
    ) -> Story:
        """The client is given an answer, made for it unless `value` says otherwise."""
        self.one.made.add(VALUE)
        name = self.one.request if request is None and kind in ("VA", "HD") else request or ""
        self.one.answers.append(ReceivedAnswer(at, kind, name, value if kind in ("VA", "HD") else None, None))
        outcome = {"VA": Outcome.SERVED, "HD": Outcome.SERVED, "busy": Outcome.REFUSED}
        self.one.end(outcome.get(kind, Outcome.FAILED), at)
        return self

    def end(self, outcome: Outcome, at: float) -> Story:
        self.one.end(outcome, at)
        return self
