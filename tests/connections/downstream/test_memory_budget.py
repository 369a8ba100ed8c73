"""The memory budget for long values: never exceeded, granted in order, without starvation."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ironrail.connections.downstream.memory_budget import MemoryBudget


def test_released_memory_is_granted_in_order_of_request() -> None:
    budget = MemoryBudget(10)
    assert budget.reserve("a", 6) and not budget.reserve("b", 6)
    budget.wait("b", 6)
    assert not budget.reserve("c", 1)  # b was queued before
    budget.wait("c", 1)
    assert budget.grant_next_waiter() is None
    budget.transfer("a", "a's request")
    budget.release("a")
    assert budget.grant_next_waiter() is None
    budget.release("a's request")
    assert [budget.grant_next_waiter(), budget.grant_next_waiter(), budget.grant_next_waiter()] == [
        "b",
        "c",
        None,
    ]
    assert budget.free_bytes == 3


def test_a_waiting_owner_can_transfer_its_position_in_the_queue() -> None:
    budget = MemoryBudget(10)
    assert budget.reserve("a", 10)
    budget.wait("b", 5)
    budget.wait("c", 5)
    budget.transfer("b", "b's request")
    budget.release("a")
    assert [budget.grant_next_waiter(), budget.grant_next_waiter()] == [
        "b's request",
        "c",
    ] and budget.free_bytes == 0


def test_a_value_larger_than_the_budget_is_admitted_alone() -> None:
    budget = MemoryBudget(10)
    assert budget.reserve("large", 11) and not budget.reserve("small", 1)
    budget.release("large")
    assert budget.reserve("small", 1)


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(1, 12)), max_size=60))
def test_the_budget_is_never_exceeded_and_all_memory_is_released(steps: list[tuple[int, int]]) -> None:
    budget, reserved, waiting = MemoryBudget(10), dict[int, int](), dict[int, int]()
    for owner, size in steps:
        if owner in reserved or owner in waiting:
            budget.release(owner)
            reserved.pop(owner, None)
            waiting.pop(owner, None)
        elif budget.reserve(owner, size):
            reserved[owner] = size
        else:
            budget.wait(owner, size)
            waiting[owner] = size
        while (granted := budget.grant_next_waiter()) is not None:
            assert isinstance(granted, int) and granted == next(iter(waiting))
            reserved[granted] = waiting.pop(granted)
        assert budget.free_bytes == 10 - sum(reserved.values())
        assert budget.free_bytes >= 0 or len(reserved) == 1
        assert reserved or not waiting  # no owner waits while all memory is free
