"""Retries: only repeatable requests, within a budget, with time left, on another upstream.

The budget is a share of recent requests. In an outage of every upstream nothing succeeds, the
budget runs dry and the load on the upstreams stays near the load that callers offer.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

RETRY_FRACTION = 0.1
RETRY_RESERVE = 5.0
MAX_ATTEMPTS = 3


class Outcome(Enum):
    """What is known of a request: it never ran, it ran, or nobody can tell."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RetryBudget:
    """Tokens that successes earn and retries spend."""

    __slots__ = ("_fraction", "_reserve", "_tokens")

    def __init__(self, fraction: float = RETRY_FRACTION, reserve: float = RETRY_RESERVE) -> None:
        self._fraction = fraction
        self._reserve = reserve
        self._tokens = reserve

    def earn(self) -> None:
        """Count a success."""
        self._tokens = min(self._reserve * 4, self._tokens + self._fraction)

    def spend(self) -> bool:
        """Take one retry; False if the budget is dry."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Attempt(Struct, frozen=True):
    """How an attempt failed; `time_left` is what remains until the caller's deadline."""

    number: int
    outcome: Outcome
    repeatable: bool
    body_replayable: bool
    time_left: float


def may_retry(attempt: Attempt, budget: RetryBudget, expected_s: float) -> bool:
    """Decide whether to try again; takes the retry from the budget if so.

    A request that certainly did not run may be tried again whatever it is; one whose outcome is
    unknown only if it is declared repeatable.
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
