"""What came of a rehearsal."""

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
    """The state of everything at one moment."""

    at: float
    waiting: int  # requests whose answer clients await
    archive: int  # requests at the archive
    in_caches: int  # jobs at all caches
    connections: int  # to all caches
    memory: int  # bytes of the largest router
    descriptors: int


@dataclass(slots=True)
class Result:
    """What came of a run."""

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
    no_verdict: str = ""  # why the run tells nothing
    digest: str = ""  # of all events, in virtual time
    logs: dict[str, str] = field(default_factory=dict)
    began: float = 0.0  # the load that counts, on the clock of the loop
    laid: Laid | None = None  # what was lost by cause, in virtual time

    @property
    def kept(self) -> bool:
        return all(verdict.kept for verdict in self.verdicts)
