"""A trace as the load of a rehearsal: the same classes, titles, keys, sizes and times, at another speed."""

from __future__ import annotations

import math
from collections import Counter

from ironrail.recorded.entry import Entry
from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.load.schedule import (
    LARGEST_VALUE,
    Planned,
    draw_hall,
    draw_hint,
    draw_size,
    draw_work,
)
from ironrail.rehearsal.scenario.model import MAX_LENGTH_SECONDS, MAX_SOCKET_RATE, Repeats, Scenario, Title

LEAST_LENGTH = 1.0  # seconds of load that counts: less tells nothing


class ReplayError(ValueError):
    """A trace that can't be played with this scenario; the message says why, and what to do."""


def plan_of(entries: list[Entry], scenario: Scenario, seed: int) -> tuple[Scenario, list[Planned]]:
    """The load, and the scenario with the length, the rate and the titles of the trace.

    The trace begins with the warm-up. What it does not hold (work, hints, halls, who comes on a connection
    of its own) is drawn as the scenario has it.
    """
    if not entries:
        raise ReplayError("the trace holds no request")
    begin, whole = entries[0].at, entries[-1].at - entries[0].at
    length = whole - scenario.warm_up
    if length < LEAST_LENGTH:
        raise ReplayError(
            f"{whole:.1f} s of trace at this speed, {scenario.warm_up:g} s of them the warm-up: too short"
        )
    if length > MAX_LENGTH_SECONDS:
        raise ReplayError(
            f"{length:.0f} s of trace; a run lasts {MAX_LENGTH_SECONDS:.0f} s at the most: cut it first"
        )
    seconds = Counter(int(entry.at - begin) for entry in entries)
    second, most = max(seconds.items(), key=lambda item: item[1])
    if most > MAX_SOCKET_RATE:
        raise ReplayError(
            f"{most} requests in second {second}; the kit drives {MAX_SOCKET_RATE:.0f} at the most: "
            "play it slower, or with a smaller --rate"
        )
    known = {c.name for c in scenario.classes}
    strange = Counter(entry.kind for entry in entries if entry.kind not in known)
    if strange:
        told = ", ".join(f"{name} ({count})" for name, count in strange.most_common(5))
        raise ReplayError(
            f"classes that the scenario does not know: {told}; it has {', '.join(sorted(known))}"
        )
    for entry in entries:
        if entry.write != scenario.class_of(entry.kind).write:
            word = "a write" if entry.write else "a read"
            raise ReplayError(f"class {entry.kind} holds {word} in the trace, but not in the scenario")
    titles = Counter(entry.title for entry in entries)
    load = scenario.load.model_copy(update={"rate": max(1e-3, len(entries) / whole)})
    changed = scenario.model_copy(
        update={
            "length": math.ceil(length * 1e6) / 1e6,
            "load": load,
            "titles": [Title(name=n, share=c / len(entries)) for n, c in sorted(titles.items())],
        }
    )
    late = [fault for fault in scenario.faults if fault.at >= changed.length]
    if late:
        raise ReplayError(f"fault {late[0].kind} begins at {late[0].at:g} s, after the end of the trace")
    return changed, _planned(entries, changed, seed)


def _planned(entries: list[Entry], scenario: Scenario, seed: int) -> list[Planned]:
    names = ("work", "hints", "sizes", "halls", "own")
    draws = {name: stream(seed, f"trace.{name}") for name in names}
    result = []
    for number, entry in enumerate(entries):
        kind = scenario.class_of(entry.kind)
        work = entry.work or draw_work(kind, draws["work"])  # drawn or not, each has a stream of its own
        size = entry.size or draw_size(scenario.load, draws["sizes"])
        keyed = kind.repeats is Repeats.KEYED
        result.append(
            Planned(
                number,
                round(entry.at - entries[0].at - scenario.warm_up, 6),
                entry.kind,
                entry.title,
                entry.key,
                round(work, 6),
                round(draw_hint(work, draws["hints"]), 6),
                max(1, min(size, LARGEST_VALUE)),
                draw_hall(scenario.halls, draws["halls"]),
                (entry.idempotency or f"trace-{number}") if keyed else "",
                draws["own"].random() < scenario.clients.new_connections,
            )
        )
    return result
