"""The status of a resource, written by the leader."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class Phase(Enum):
    """Phase of a drain or move."""

    PENDING = "pending"
    RUNNING = "running"
    HOLDING = "holding"
    DONE = "done"


class DrainStatus(Struct, frozen=True, tag="drain", kw_only=True):
    """Progress of a drain, with the number of requests still in flight."""

    phase: Phase = Phase.PENDING
    in_flight: int = 0
    reason: str = ""
    started_ms: int = 0
    done_ms: int = 0


class Step(Struct, frozen=True, array_like=True):
    """One step of a move; a negative percentage shifts callers back."""

    at_ms: int
    percent: float


class MoveStatus(Struct, frozen=True, tag="move", kw_only=True):
    """Progress of a move: the committed percentage, and the reason if it is held.

    `recent` has the steps of the last window, so that a new leader can enforce the inbound limit.
    """

    phase: Phase = Phase.PENDING
    percent: float = 0.0
    reason: str = ""
    stepped_ms: int = 0
    steps: int = 0
    recent: tuple[Step, ...] = ()


Status = DrainStatus | MoveStatus | None
