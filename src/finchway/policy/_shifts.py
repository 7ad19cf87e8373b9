"""Shifts of traffic between regions: moves in capped steps, and failover without control.

The cap of a region says what percentage of callers all shifts together may bring in within a
window. It is divided so that the parts sum to it without any messages: while a move into the
region is under way it may use half; the other half, or all when there is no move, is divided
equally among the other regions, for spilling and failover. Each entry applies the percentage to
its own callers, so the entries' parts sum to the whole as well.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from finchway.resources import Move, MoveStatus, Phase, Step

MOVE_PART = 0.5
FULL_PERCENT = 100.0


class ShiftView(Struct, frozen=True):
    """What the leader knows when it decides about the next step of a move.

    `recent_percent` is what all moves brought into the target within its window; `in_force` says
    that the last step is known at every entry that serves; `free_fraction` is the target's free
    part of its slots, None where no fresh report says it.
    """

    cap_percent: float
    window_s: float
    recent_percent: float
    in_force: bool
    free_fraction: float | None
    accepted_ms: int


def next_move_status(
    move: Move, status: MoveStatus | None, view: ShiftView, now_ms: int
) -> MoveStatus:
    """Return the state of a move after this moment; the same state if nothing changes.

    The first step waits for one whole window, so that entries have stopped spending the part of
    the cap that now belongs to the move. A move with a lower goal than its percentage takes
    callers back, in steps under the cap of its source.
    """
    status = status or MoveStatus()
    left = move.goal_percent - status.percent
    if abs(left) < 1e-9:
        return _with(status, Phase.DONE, "")
    if not view.in_force:
        return _with(status, Phase.HOLDING, "the last step is not in force at every entry")
    if now_ms - view.accepted_ms < view.window_s * 1000:
        return _with(status, Phase.HOLDING, "waiting for one window before the first step")
    if status.stepped_ms and now_ms - status.stepped_ms < move.interval_s * 1000:
        return _with(status, Phase.RUNNING, status.reason)
    if view.free_fraction is None:
        return _with(status, Phase.HOLDING, "no fresh report of the target's load")
    step = min(move.step_percent, abs(left))
    allowance = view.cap_percent * MOVE_PART - view.recent_percent
    step = min(step, allowance)
    if step <= 1e-9:
        return _with(status, Phase.HOLDING, "the cap of the target is used up for this window")
    if view.free_fraction <= 0:
        return _with(status, Phase.HOLDING, "the target has no headroom")
    signed = step if left > 0 else -step
    window_start = now_ms - int(view.window_s * 1000)
    recent = tuple(s for s in status.recent if s.at_ms > window_start) + (Step(now_ms, signed),)
    return MoveStatus(
        phase=Phase.RUNNING,
        percent=round(status.percent + signed, 6),
        stepped_ms=now_ms,
        steps=status.steps + 1,
        recent=recent,
    )


def _with(status: MoveStatus, phase: Phase, reason: str) -> MoveStatus:
    return msgspec.structs.replace(status, phase=phase, reason=reason)


def recent_percent(
    moves: list[tuple[Move, MoveStatus | None]],
    service: str,
    region: str,
    window_s: float,
    now_ms: int,
) -> float:
    """Return what moves brought into a region within the window, back-steps into it included."""
    start = now_ms - int(window_s * 1000)
    total = 0.0
    for move, status in moves:
        if move.service != service or status is None:
            continue
        for step in status.recent:
            into = move.target if step.percent > 0 else move.source
            if into == region and step.at_ms > start:
                total += abs(step.percent)
    return total


def inbound_part(cap_percent: float, regions: int, move_active: bool) -> float:
    """Return the percentage of one source's callers that spilling and failover may bring in."""
    available = cap_percent * (1 - MOVE_PART) if move_active else cap_percent
    return available / max(1, regions - 1)


class FailoverRamp:
    """What part of a source region's callers one entry may send to a target region.

    The base part is always open, for spilling when the source is full. While the source is down
    the part grows by the base once in each window; when it is back, it shrinks the same way.
    Paid priority decides who goes first: the best rank fills the part, then the next.
    """

    __slots__ = ("_percent", "_shares", "_stepped_at")

    def __init__(self) -> None:
        self._percent = 0.0
        self._stepped_at = float("-inf")
        self._shares: dict[int, float] = {}

    @property
    def percent(self) -> float:
        """The part of the callers that may go now."""
        return self._percent

    def record(self, rank: int, weight: float = 0.01) -> None:
        """Take in the rank of one request of the source's callers."""
        for known in self._shares:
            self._shares[known] *= 1 - weight
        self._shares[rank] = self._shares.get(rank, 0.0) + weight

    def advance(self, part: float, window_s: float, source_down: bool, now: float) -> None:
        """Let time pass: one step up or down for each window."""
        if self._percent == 0.0 or part < self._percent and not source_down:
            self._step_down(part, window_s, now)
            return
        if now - self._stepped_at < window_s:
            return
        if source_down and self._percent < FULL_PERCENT:
            self._percent = min(FULL_PERCENT, self._percent + part)
            self._stepped_at = now

    def _step_down(self, part: float, window_s: float, now: float) -> None:
        if self._percent == 0.0:
            self._percent = part
            self._stepped_at = now
        elif now - self._stepped_at >= window_s:
            self._percent = max(part, self._percent - part)
            self._stepped_at = now

    def allows(self, rank: int, place: float) -> bool:
        """Tell whether a caller of this rank, at this place in [0, 1), may go to the target."""
        left = self._percent / FULL_PERCENT
        total = sum(self._shares.values()) or 1.0
        for known in sorted({*self._shares, rank}):
            share = self._shares.get(known, 0.0) / total
            if known == rank:
                return left > 0 and (share <= left or place < left / share)
            left -= share
        return False
