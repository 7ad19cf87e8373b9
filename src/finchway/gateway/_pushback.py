"""Tracks the pushback of upstreams to this gateway by incarnation, and logs it."""

from __future__ import annotations

import random

from msgspec import Struct

from finchway._clock import WALL_CLOCK
from finchway.observe import DecisionLog, StateChanged
from finchway.pushback import BackoffTable, LeavingIncarnations, LimitReports, Pushback
from finchway.registry import Registration

# Seconds by which the clocks of an upstream and this gateway may differ.
MAX_CLOCK_SKEW_S = 3.0
MAX_TRACKED_UPSTREAMS = 4_096
# Characters of an unreadable header that are logged.
MAX_LOGGED_CHARS = 40


class LatestPushback(Struct, frozen=True):
    """The incarnation of an upstream's latest pushback, and its time in Unix seconds."""

    incarnation: str
    at: float


class PushbackTracker:
    """Requested backoffs and announced departures of upstreams.

    They are kept apart from `UpstreamRecord`, since an upstream whose heartbeats are late loses its
    record while its pushback remains valid. `limits` are passed on to later incarnations.
    """

    def __init__(self, decisions: DecisionLog, limits: LimitReports) -> None:
        self._decisions = decisions
        self._backoffs = BackoffTable(random.Random())
        self._leaving = LeavingIncarnations()
        self._limits = limits
        self._latest: dict[str, LatestPushback] = {}

    @property
    def backoffs(self) -> BackoffTable:
        """The backoffs that upstreams have requested."""
        return self._backoffs

    def is_leaving(self, incarnation: str) -> bool:
        """Return whether an incarnation has announced that it leaves."""
        return incarnation in self._leaving

    def record(self, upstream: Registration, pushback: Pushback, now: float) -> bool:
        """Apply and log the pushback of an answer; return whether it newly announces leaving."""
        incarnation = upstream.incarnation
        if pushback.backoff_s > 0:
            self._backoffs.start(incarnation, pushback.backoff_s, now)
            self._log(incarnation, "asks for rest", f"its 503: {pushback.backoff_s:g} s")
        if pushback.invalid_retry_after:
            self._log(
                incarnation,
                "unreadable",
                f"its retry-after: {pushback.invalid_retry_after[:MAX_LOGGED_CHARS]}",
            )
        if pushback.backoff_s > 0 or pushback.leaving or pushback.limit is not None:
            self._set_latest(upstream.instance, incarnation)
        return pushback.leaving and self._leaving.add(incarnation)

    def inherit(self, upstream: Registration) -> None:
        """Apply an upstream's latest pushback to a new incarnation that may have sent it.

        An answer does not name its incarnation, and a gateway may learn of a restart late. Only an
        incarnation that started after the pushback cannot have sent it.
        """
        latest = self._latest.get(upstream.instance)
        if latest is None or latest.incarnation == upstream.incarnation:
            return
        if upstream.born / 1000 > latest.at + MAX_CLOCK_SKEW_S:
            return
        self._backoffs.carry_over(latest.incarnation, upstream.incarnation)
        self._limits.carry_over(latest.incarnation, upstream.incarnation)
        if latest.incarnation in self._leaving:
            self._leaving.add(upstream.incarnation)

    def _set_latest(self, instance: str, incarnation: str) -> None:
        self._latest.pop(instance, None)
        self._latest[instance] = LatestPushback(incarnation, WALL_CLOCK.now())
        if len(self._latest) > MAX_TRACKED_UPSTREAMS:
            del self._latest[next(iter(self._latest))]

    def _log(self, incarnation: str, now: str, source: str) -> None:
        self._decisions.write(
            StateChanged(subject=f"upstream/{incarnation}", now=now, source=source)
        )
