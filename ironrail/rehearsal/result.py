"""The result of a rehearsal."""

from __future__ import annotations

from dataclasses import dataclass, field

from ironrail.rehearsal.account.record import Record
from ironrail.rehearsal.account.rules import Violation
from ironrail.rehearsal.account.service import Service
from ironrail.rehearsal.faults import plan as faults
from ironrail.rehearsal.lateness import Lateness
from ironrail.rehearsal.load.schedule import Planned
from ironrail.rehearsal.losses.lay import Laid
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.verdicts import Verdict


@dataclass(frozen=True, slots=True)
class Sample:
    """The state of all components at one moment."""

    at: float
    waiting: int  # requests whose clients wait for an answer
    archive: int  # requests in progress at the archive
    in_caches: int  # requests in progress at all caches
    connections: int  # to all caches
    memory: int  # bytes of the largest router
    descriptors: int


@dataclass(slots=True)
class Result:
    """The scenario, the record and the evaluation of one run."""

    scenario: Scenario
    seed: int
    schedule: list[Planned]
    schedule_digest: str
    plan: list[faults.Planned]
    record: Record
    service: Service
    broken: list[Violation]
    verdicts: list[Verdict]
    lateness: Lateness
    samples: list[Sample]
    no_verdict: str = ""  # why the run has no verdict, empty if it has one
    digest: str = ""  # of all events, only in virtual time
    logs: dict[str, str] = field(default_factory=dict)
    began: float = 0.0  # start of the measured load on the event loop's clock
    laid: Laid | None = None  # lost worth by cause, only in virtual time

    @property
    def kept(self) -> bool:
        return all(verdict.kept for verdict in self.verdicts)
