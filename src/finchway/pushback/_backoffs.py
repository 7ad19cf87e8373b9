"""Backoffs that upstreams requested with `Retry-After`, and trial requests after them.

backoffs = BackoffTable(random.Random())
backoffs.start("i-1", 3.0, now)
backoffs.may_send("i-1", now + 1.0)  # False
"""

from __future__ import annotations

import random

# Upper bound of a backoff, against erroneous values. A restarted upstream has no backoff, so an
# operator can end one.
MAX_BACKOFF_S = 3_600.0
# Random jitter after a backoff, as a fraction of it and at most so many seconds, so that processes
# do not resume at the same time and overload the upstream again.
JITTER_FRACTION = 0.25
MAX_JITTER_S = 2.0
# Seconds after which an unanswered trial counts as accepted; a refusal would arrive sooner, within
# 0.1 s between the most distant regions.
TRIAL_ACCEPTED_AFTER_S = 0.3
# Limit on stored backoffs; the one that ends first is dropped.
MAX_BACKOFFS = 4_096


class _Backoff:
    """A requested backoff: its end, the time of the next attempt, and when the trial was sent."""

    __slots__ = ("requested_until", "retry_at", "trial_at")

    def __init__(self, requested_until: float, retry_at: float) -> None:
        self.requested_until = requested_until
        self.retry_at = retry_at
        self.trial_at: float | None = None

    def was_accepted(self, now: float) -> bool:
        """Return whether the trial has been in flight long enough to count as accepted."""
        return self.trial_at is not None and now - self.trial_at >= TRIAL_ACCEPTED_AFTER_S


class BackoffTable:
    """The backoffs that upstreams requested of this process, by incarnation.

    They are independent of other upstream state: neither a response to an earlier request nor the
    temporary absence of an upstream ends a backoff.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._backoffs: dict[str, _Backoff] = {}

    def start(self, incarnation: str, seconds: float, now: float) -> None:
        """Record a requested backoff; the latest end applies."""
        seconds = min(seconds, MAX_BACKOFF_S)
        if seconds <= 0:
            return
        current = self._backoffs.pop(incarnation, None)
        until = now + seconds
        if current is not None:
            until = max(until, current.requested_until)
        max_jitter_s = min(JITTER_FRACTION * seconds, MAX_JITTER_S)
        if len(self._backoffs) >= MAX_BACKOFFS:
            del self._backoffs[min(self._backoffs, key=lambda name: self._backoffs[name].retry_at)]
        self._backoffs[incarnation] = _Backoff(until, until + self._rng.uniform(0.0, max_jitter_s))

    def carry_over(self, earlier: str, later: str) -> None:
        """Copy the backoff of an earlier incarnation to a later one."""
        backoff = self._backoffs.get(earlier)
        if backoff is not None:
            self._backoffs[later] = _Backoff(backoff.requested_until, backoff.retry_at)

    def remaining_s(self, incarnation: str, now: float) -> float:
        """Return the seconds left of a backoff, jitter included; 0 without one."""
        backoff = self._backoffs.get(incarnation)
        return max(0.0, backoff.retry_at - now) if backoff is not None else 0.0

    def is_awaiting_trial(self, incarnation: str, now: float) -> bool:
        """Return whether a backoff has ended and no request has been accepted since."""
        backoff = self._backoffs.get(incarnation)
        return backoff is not None and now >= backoff.retry_at and not backoff.was_accepted(now)

    def may_send(self, incarnation: str, now: float) -> bool:
        """Return whether a request may be sent now.

        After a backoff, one trial request is sent; others follow once it is accepted.
        """
        backoff = self._backoffs.get(incarnation)
        if backoff is None:
            return True
        return now >= backoff.retry_at and (backoff.trial_at is None or backoff.was_accepted(now))

    def begin(self, incarnation: str, now: float) -> bool:
        """Record that a request is sent; return whether it is the trial request."""
        backoff = self._backoffs.get(incarnation)
        if backoff is None or now < backoff.retry_at:
            return False
        if backoff.was_accepted(now):
            del self._backoffs[incarnation]
            return False
        backoff.trial_at = now
        return True

    def end_trial(self, incarnation: str, was_accepted: bool) -> None:
        """Record the result of a trial; ignored if a new backoff was requested meanwhile."""
        backoff = self._backoffs.get(incarnation)
        if backoff is None or backoff.trial_at is None:
            return
        if was_accepted:
            del self._backoffs[incarnation]
        else:
            backoff.trial_at = None

    def backed_off(self, now: float) -> list[str]:
        """Return the incarnations that are in backoff."""
        return [
            incarnation for incarnation, backoff in self._backoffs.items() if backoff.retry_at > now
        ]
