"""The retry budget of one gateway, as its part of a budget of all gateways."""

from __future__ import annotations

from msgspec import Struct

from finchway.policy._windows import WindowCount

# Fractions of a gateway's part of a window's retries: earned in a window, and saved at most. A
# window can see both; the rest covers times when gateways disagree on their number.
EARNED_FRACTION = 0.55
SAVED_FRACTION = 0.4
# Fraction of a gateway's part of the slack that a process starts with. It matters only if there are
# few gateways.
START_FRACTION = 0.02


class KnownGateways(Struct, frozen=True):
    """The number of gateways that share a budget, as far as one of them knows.

    `is_settled` is unset while more of them may still become known.
    """

    count: int
    is_settled: bool


class BudgetState(Struct, frozen=True):
    """What a decision on a retry is based on, and how many more may be granted now.

    `requests` and `granted` are the counts of this process within the window.
    """

    requests: int
    granted: int
    gateways: KnownGateways | None
    left: float


class AttemptBudget:
    """Retry budget of one gateway, as its part of a budget of all gateways.

    All gateways together may make `ratio` retries per request plus `slack` in a window. Each one
    applies the ratio to its own requests and takes an equal part of the slack.

    Retries are earned at the rate at which the part comes in, and only some are saved. A process
    starts with next to none, so that the processes that follow each other at a gateway earn no more
    together than one does, however often it starts again.

        budget = AttemptBudget(ratio=0.2, slack=60.0, window=10.0)
        budget.count_request(now=0.0)
        budget.spend(now=0.1, gateways=KnownGateways(12, True))  # False: 0.2 are earned so far
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests = WindowCount(window)
        self._granted = WindowCount(window)
        self._tokens = 0.0
        self._earned_at: float | None = None

    def count_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._requests.add(now)
        self._tokens += EARNED_FRACTION * self._ratio

    def state(self, now: float, gateways: KnownGateways | None) -> BudgetState:
        """Return what a decision made now is based on; `gateways` is None if none are known."""
        requests = self._requests.count(now)
        if gateways is not None:
            self._earn_slack(now, gateways, requests)
        return BudgetState(requests, self._granted.count(now), gateways, self._tokens)

    def spend(self, now: float, gateways: KnownGateways | None) -> bool:
        """Take one retry; False if this gateway's part is exhausted."""
        if self.state(now, gateways).left < 1:
            return False
        self._tokens -= 1
        self._granted.add(now)
        return True

    def _earn_slack(self, now: float, gateways: KnownGateways, requests: int) -> None:
        """Add the slack earned since the last call, and drop what is beyond the savings."""
        slack = self._slack / max(gateways.count, 1)
        if self._earned_at is None:
            self._tokens += START_FRACTION * slack
        elif gateways.is_settled:
            self._tokens += EARNED_FRACTION * slack * (now - self._earned_at) / self._window
        self._tokens = min(self._tokens, SAVED_FRACTION * (self._ratio * requests + slack))
        self._earned_at = now
