"""Resources that are still held after their owner has ended."""

from __future__ import annotations

from dataclasses import dataclass

from ironrail.diagnostics.held_resources import HeldResource, HeldResourceCheck, ended_owners
from ironrail.diagnostics.invariants import InvariantGuard
from ironrail.diagnostics.reasons import Violation


@dataclass(eq=False)
class Owner:
    has_ended: bool = False


def test_a_resource_is_counted_once_if_its_owner_ended_before_the_last_check() -> None:
    guard, owners = InvariantGuard(), [Owner(), Owner(), Owner()]
    check = HeldResourceCheck(guard, {HeldResource.VALUE_MEMORY: lambda: ended_owners([*owners, "other"])})
    counts = []
    owners[0].has_ended = True
    for second in range(5):
        check.run(float(second))
        counts.append(guard.violations[Violation.HELD_AFTER_END])
        if second == 1:
            owners[1].has_ended = owners[2].has_ended = True
        if second == 2:
            owners.pop()  # released within one interval
    assert counts == [0, 1, 1, 2, 2]
