"""The JSON report. `docs/rehearsal/report.md` describes it; a change of its form changes VERSION. Pure."""

from __future__ import annotations

import math
from dataclasses import asdict
from typing import Any

from ironrail.rehearsal.account.rules import Violation
from ironrail.rehearsal.account.service import WINDOW_SECONDS, Service, Tally
from ironrail.rehearsal.losses.lay import Laid
from ironrail.rehearsal.run import Result
from ironrail.rehearsal.verdicts import Verdict

FORMAT, VERSION = "ironrail-rehearsal", 2
MOST_VIOLATIONS = 50  # told with their histories
LOG_LINES = 20  # of each router, where a verdict failed


def document(result: Result) -> dict[str, Any]:
    """All of a run's result as JSON values. Times are seconds, sizes bytes, shares 0 to 1."""
    scenario, service = result.scenario, result.service
    return {
        "format": FORMAT,
        "version": VERSION,
        "scenario": {
            "summary": scenario.summary,
            "length": scenario.length,
            "routers": scenario.routers.count,
        },
        "seed": result.seed,
        "schedule": {"digest": result.schedule_digest, "first_tries": len(result.schedule)},
        "digest": result.digest,
        "outcome": outcome_of(result),
        "no_verdict": result.no_verdict,
        "verdicts": [_verdict(v) for v in result.verdicts],
        "service": _service(service),
        "losses": _losses(result.laid),
        "archive_fetches": sum(at >= 0 for at in result.record.archive_fetches),
        "handshakes": result.record.handshakes,
        "faults": [
            {
                "kind": str(p.fault.kind),
                "victims": list(p.victims),
                "at": p.fault.at,
                "lasts": p.fault.lasts,
                "hard": p.fault.hard,
            }
            for p in result.plan
        ],
        "violations": {
            "count": len(result.broken),
            "first": [_violation(v) for v in result.broken[:MOST_VIOLATIONS]],
        },
        "routers": {
            name: {
                "ready": facts.ready,
                "crashed": facts.crashed,
                "stopped_in": facts.stopped_in,
                "memory": facts.memory,
                "descriptors": facts.descriptors,
                "log_bytes": facts.log_bytes,
                "log_end": [] if result.kept else result.logs.get(name, "").splitlines()[-LOG_LINES:],
            }
            for name, facts in result.record.routers.items()
        },
        "lateness": result.lateness.summary(),
        "samples": [
            {
                "at": round(s.at, 3),
                "waiting": s.waiting,
                "archive": s.archive,
                "in_caches": s.in_caches,
                "connections": s.connections,
                "memory": s.memory,
                "descriptors": s.descriptors,
            }
            for s in result.samples
        ],
    }


def outcome_of(result: Result) -> str:
    """`kept`, `failed` or `no verdict`."""
    if result.no_verdict:
        return "no verdict"
    return "kept" if result.kept else "failed"


def _verdict(verdict: Verdict) -> dict[str, Any]:
    return {
        "name": verdict.name,
        "kept": verdict.kept,
        "bound": verdict.bound,
        "measured": None if math.isinf(verdict.measured) else verdict.measured,
        "sense": "at least" if verdict.at_least else "at most",
        "note": verdict.note,
    }


def _tally(tally: Tally) -> dict[str, Any]:
    return {
        "share": tally.share,
        "asked": tally.asked,
        "asked_within": tally.within,
        "answered": tally.answered,
        "first_tries": tally.first_tries,
        "in_time": tally.in_time,
        "late": tally.late,
        "unserved": tally.unserved,
    }


def _service(service: Service) -> dict[str, Any]:
    return {
        "whole": _tally(service.whole),
        "classes": {n: _tally(t) | {"judged": t.judged} for n, t in sorted(service.classes.items())},
        "titles": {n: _tally(t) | {"judged": t.judged} for n, t in sorted(service.titles.items())},
        "halls": {name: _tally(t) for name, t in sorted(service.zones.items())},
        "windows": [{"from": n * WINDOW_SECONDS, **_tally(t)} for n, t in sorted(service.windows.items())],
        "latencies": {
            kind: {str(q): seconds for q, seconds in found.items()}
            for kind, found in sorted(service.latencies.items())
        },
        "answers": asdict(service.answers),
        "outcomes": dict(sorted(service.outcomes.items())),
        "retries": service.retries,
        "kept_back": service.kept_back,
    }


def _losses(laid: Laid | None) -> dict[str, Any] | None:
    if laid is None:
        return None
    rows = [
        {
            "cause": cause,
            "worth": worth,
            "requests": laid.requests[cause],
            "example": laid.examples[cause],
            "windows": [
                {"from": n * WINDOW_SECONDS, "worth": causes[cause]}
                for n, causes in sorted(laid.windows.items())
                if cause in causes
            ],
        }
        for cause, worth in laid.largest_first()
    ]
    return {"whole": laid.whole, "causes": rows}


def _violation(violation: Violation) -> dict[str, Any]:
    return {
        "rule": violation.rule,
        "at": violation.at,
        "what": violation.what,
        "request": violation.request,
        "history": violation.history,
    }
