"""Linearizability check for concurrent histories of a register with compare-and-set.

An operation without an answer may have taken effect at any time after its start, or never.
"""

from __future__ import annotations

from msgspec import Struct

NEVER = float("inf")


class Operation(Struct, frozen=True):
    """One call: a read that returned `generation`, or a write that expected it.

    A successful write increments the generation. `ok` is None if the answer was lost; `ended` is
    then infinite.
    """

    kind: str
    began: float
    ended: float
    generation: int
    value: str
    ok: bool | None = True


class State(Struct, frozen=True):
    """The number of writes to the register, and its value."""

    generation: int
    value: str


def is_linearizable(operations: list[Operation], start: State) -> bool:
    """Search for a sequential order that is consistent with real time and all answers."""
    ordered = sorted(operations, key=lambda op: op.began)
    seen: set[tuple[int, State]] = set()

    def search(done: int, state: State) -> bool:
        if done == (1 << len(ordered)) - 1:
            return True
        if (done, state) in seen:
            return False
        seen.add((done, state))
        remaining = [i for i in range(len(ordered)) if not done >> i & 1]
        first_end = min(ordered[i].ended for i in remaining)
        for index in remaining:
            operation = ordered[index]
            if operation.began > first_end:
                break
            following = _apply(operation, state)
            if following is not None and search(done | 1 << index, following):
                return True
            if operation.ok is None and search(done | 1 << index, state):
                return True
        return False

    return search(0, start)


def _apply(operation: Operation, state: State) -> State | None:
    """Return the state after an operation, or None if its answer contradicts the state."""
    if operation.kind == "read":
        is_consistent = (operation.generation, operation.value) == (state.generation, state.value)
        return state if is_consistent else None
    matches = operation.generation == state.generation
    if operation.ok is False:
        return None if matches else state
    return State(state.generation + 1, operation.value) if matches else None
