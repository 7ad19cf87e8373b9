"""Traffic shifts between regions: moves in capped steps, and failover without a control plane.

A region's cap is the percentage of callers that all shifts together may bring in within a window.
It is divided without coordination: an active move into the region may use half of it; the rest, or
all of it without a move, is divided equally among the other regions for spilling and failover. Each
entry applies the percentage to its own callers, so the total holds over all entries.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from finchway.resources import Move, MoveStatus, Phase, Step

MOVE_FRACTION = 0.5
FULL_PERCENT = 100.0


class ShiftView(Struct, frozen=True):
    """The leader's input for the next step of a move.

    `recent_percent` is the percentage that all moves brought into the target within its window;
    `in_force` is whether every serving entry has applied the last step; `free_fraction` is the
    target's fraction of free slots, None without a recent report.
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
    """Return the next status of a move.

    The first step waits for one window, so that entries have stopped using the part of the cap that
    is now reserved for the move. If the goal is below the current percentage, callers are moved
    back in steps under the cap of the source.
    """
    status = status or MoveStatus()
    remaining = move.goal_percent - status.percent
    if abs(remaining) < 1e-9:
        return _with_phase(status, Phase.DONE, "")
    if not view.in_force:
        return _with_phase(status, Phase.HOLDING, "the last step is not in force at every entry")
    if now_ms - view.accepted_ms < view.window_s * 1000:
        return _with_phase(status, Phase.HOLDING, "waiting for one window before the first step")
    if status.stepped_ms and now_ms - status.stepped_ms < move.interval_s * 1000:
        return _with_phase(status, Phase.RUNNING, status.reason)
    if view.free_fraction is None:
        return _with_phase(status, Phase.HOLDING, "no fresh report of the target's load")
    step = min(move.step_percent, abs(remaining))
    allowance = view.cap_percent * MOVE_FRACTION - view.recent_percent
    step = min(step, allowance)
    if step <= 1e-9:
        return _with_phase(
            status, Phase.HOLDING, "the cap of the target is used up for this window"
        )
    if view.free_fraction <= 0:
        return _with_phase(status, Phase.HOLDING, "the target has no headroom")
    signed = step if remaining > 0 else -step
    window_start = now_ms - int(view.window_s * 1000)
    recent = tuple(s for s in status.recent if s.at_ms > window_start) + (Step(now_ms, signed),)
    return MoveStatus(
        phase=Phase.RUNNING,
        percent=round(status.percent + signed, 6),
        stepped_ms=now_ms,
        steps=status.steps + 1,
        recent=recent,
    )


def _with_phase(status: MoveStatus, phase: Phase, reason: str) -> MoveStatus:
    return msgspec.structs.replace(status, phase=phase, reason=reason)


def recent_percent(
    moves: list[tuple[Move, MoveStatus | None]],
    service: str,
    region: str,
    window_s: float,
    now_ms: int,
) -> float:
    """Return the percentage that moves, forward or back, brought into a region in the window."""
    start = now_ms - int(window_s * 1000)
    total = 0.0
    for move, status in moves:
        if move.service != service or status is None:
            continue
        for step in status.recent:
            destination = move.target if step.percent > 0 else move.source
            if destination == region and step.at_ms > start:
                total += abs(step.percent)
    return total


def inbound_part(cap_percent: float, regions: int, move_active: bool) -> float:
    """Return the percentage of a source's callers available to spilling and failover."""
    available = cap_percent * (1 - MOVE_FRACTION) if move_active else cap_percent
    return available / max(1, regions - 1)


class FailoverRamp:
    """The percentage of a source region's callers that one entry may send to a target region.

    The base percentage is always available, for spilling when the source is full. While the source
    is down it grows by the base once per window, and shrinks likewise after recovery. Ranks are
    admitted in order of priority.
    """

    __slots__ = ("_percent", "_rank_fractions", "_stepped_at")

    def __init__(self) -> None:
        self._percent = 0.0
        self._stepped_at = float("-inf")
        self._rank_fractions: dict[int, float] = {}

    @property
    def percent(self) -> float:
        """The percentage of callers that is currently admitted."""
        return self._percent

    def record(self, rank: int, weight: float = 0.01) -> None:
        """Record the rank of one request of the source's callers."""
        for known in self._rank_fractions:
            self._rank_fractions[known] *= 1 - weight
        self._rank_fractions[rank] = self._rank_fractions.get(rank, 0.0) + weight

    def advance(self, part: float, window_s: float, source_down: bool, now: float) -> None:
        """Take at most one step up or down per window."""
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
        """Return whether a caller of this rank and position in [0, 1) may use the target."""
        remaining = self._percent / FULL_PERCENT
        total = sum(self._rank_fractions.values()) or 1.0
        for known in sorted({*self._rank_fractions, rank}):
            share = self._rank_fractions.get(known, 0.0) / total
            if known == rank:
                return remaining > 0 and (share <= remaining or place < remaining / share)
            remaining -= share
        return False
