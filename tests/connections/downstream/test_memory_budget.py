"""The memory budget for long values: never exceeded, granted in order, without starvation."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from ironrail.connections.downstream.memory_budget import MemoryBudget


def test_released_memory_is_granted_in_order_of_request() -> None:
    room = MemoryBudget(10)
    assert room.reserve("a", 6) and not room.reserve("b", 6)
    room.wait("b", 6)
    assert not room.reserve("c", 1)  # b came first
    room.wait("c", 1)
    assert room.grant_next_waiter() is None
    room.transfer("a", "a's request")
    room.release("a")
    assert room.grant_next_waiter() is None
    room.release("a's request")
    assert [room.grant_next_waiter(), room.grant_next_waiter(), room.grant_next_waiter()] == ["b", "c", None]
    assert room.free_bytes == 3


def test_a_waiting_owner_can_transfer_its_position_in_the_queue() -> None:
    room = MemoryBudget(10)
    assert room.reserve("a", 10)
    room.wait("b", 5)
    room.wait("c", 5)
    room.transfer("b", "b's request")
    room.release("a")
    assert [room.grant_next_waiter(), room.grant_next_waiter()] == [
        "b's request",
        "c",
    ] and room.free_bytes == 0


def test_a_value_larger_than_the_budget_is_admitted_alone() -> None:
    room = MemoryBudget(10)
    assert room.reserve("large", 11) and not room.reserve("small", 1)
    room.release("large")
    assert room.reserve("small", 1)


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(1, 12)), max_size=60))
def test_the_budget_is_never_exceeded_and_all_memory_is_released(steps: list[tuple[int, int]]) -> None:
    room, inside, waiting = MemoryBudget(10), dict[int, int](), dict[int, int]()
    for owner, size in steps:
        if owner in inside or owner in waiting:
            room.release(owner)
            inside.pop(owner, None)
            waiting.pop(owner, None)
        elif room.reserve(owner, size):
            inside[owner] = size
        else:
            room.wait(owner, size)
            waiting[owner] = size
        while (let_in := room.grant_next_waiter()) is not None:
            assert isinstance(let_in, int) and let_in == next(iter(waiting))
            inside[let_in] = waiting.pop(let_in)
        assert room.free_bytes == 10 - sum(inside.values())
        assert room.free_bytes >= 0 or len(inside) == 1
        assert inside or not waiting  # nobody waits for nothing
