"""The state that the system produces for a resource, written by the leader."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class Phase(Enum):
    """Where a planned change stands."""

    PENDING = "pending"
    RUNNING = "running"
    HOLDING = "holding"
    DONE = "done"


class DrainStatus(Struct, frozen=True, tag="drain", kw_only=True):
    """Progress of a drain: requests still in flight, and since when nothing new was sent."""

    phase: Phase = Phase.PENDING
    in_flight: int = 0
    reason: str = ""
    started_ms: int = 0
    done_ms: int = 0


class Step(Struct, frozen=True, array_like=True):
    """One step of a move; a negative percentage takes callers back."""

    at_ms: int
    percent: float


class MoveStatus(Struct, frozen=True, tag="move", kw_only=True):
    """Progress of a move: the committed percentage, and why it holds when it does.

    `recent` keeps the steps of the last window, so that a new leader knows what the cap has left.
    """

    phase: Phase = Phase.PENDING
    percent: float = 0.0
    reason: str = ""
    stepped_ms: int = 0
    steps: int = 0
    recent: tuple[Step, ...] = ()


Status = DrainStatus | MoveStatus | None
