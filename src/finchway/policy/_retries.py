"""Retry policy: repeatable requests only, within a budget and the caller's deadline.

The budget is a fraction of recent successes. In a full outage it is exhausted, so that retries do
not amplify the load on the upstreams.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

RETRY_FRACTION = 0.1
RETRY_RESERVE = 5.0
MAX_ATTEMPTS = 3


class Outcome(Enum):
    """Whether a failed request was executed by the upstream."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RetryBudget:
    """Token budget that successes refill and retries consume."""

    __slots__ = ("_fraction", "_reserve", "_tokens")

    def __init__(self, fraction: float = RETRY_FRACTION, reserve: float = RETRY_RESERVE) -> None:
        self._fraction = fraction
        self._reserve = reserve
        self._tokens = reserve

    def earn(self) -> None:
        """Refill the budget for one success."""
        self._tokens = min(self._reserve * 4, self._tokens + self._fraction)

    def spend(self) -> bool:
        """Take one retry; False if the budget is exhausted."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Attempt(Struct, frozen=True):
    """A failed attempt; `time_left` is the time in seconds until the caller's deadline."""

    number: int
    outcome: Outcome
    repeatable: bool
    body_replayable: bool
    time_left: float


def may_retry(attempt: Attempt, budget: RetryBudget, expected_s: float) -> bool:
    """Decide whether to retry, and take the retry from the budget if so.

    Any request that was not executed may be retried; one with an unknown outcome only if it is
    declared repeatable.
    """
    if attempt.number >= MAX_ATTEMPTS or not attempt.body_replayable:
        return False
    if attempt.outcome is Outcome.RAN:
        return False
    if attempt.outcome is Outcome.UNKNOWN and not attempt.repeatable:
        return False
    if attempt.time_left < expected_s:
        return False
    return budget.spend()
