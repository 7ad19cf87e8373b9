"""Enforces this process's part of the rate limits that upstreams announce."""

from __future__ import annotations

import random
from collections.abc import Callable

from msgspec import Struct

from finchway.pushback._limit_reports import MAX_LIMITS, LimitReports

# Minimum rate of all processes together in requests per second, whatever the limit: only a response
# shows that a limit has changed or ended.
MIN_RATE = 0.2


class Part(Struct, frozen=True):
    """One process's part of a limit: requests per second, and the maximum burst.

    `holders` is the number of processes that have a part; a rate of 0 means that this process has
    none.
    """

    rate: float
    burst: float = 1.0
    holders: int = 1


class _TokenBucket:
    """Token bucket for requests to one incarnation of an upstream."""

    __slots__ = ("refilled_at", "tokens")

    def __init__(self, count: float, now: float) -> None:
        self.tokens = count
        self.refilled_at = now

    def refill(self, part: Part, now: float) -> None:
        """Add the tokens for the time since the last refill."""
        self.tokens = min(part.burst, self.tokens + max(0.0, now - self.refilled_at) * part.rate)
        self.refilled_at = max(self.refilled_at, now)


class RateLimiter:
    """Rate limiter for requests to upstreams, by incarnation.

    `part_of` returns this process's part, given an incarnation, its limit and the time. Without an
    announced limit, requests are not limited.
    """

    def __init__(
        self,
        reports: LimitReports,
        rng: random.Random,
        part_of: Callable[[str, float, float], Part],
    ) -> None:
        self._reports = reports
        self._rng = rng
        self._part_of = part_of
        self._buckets: dict[str, _TokenBucket] = {}

    def __len__(self) -> int:
        return len(self._buckets)

    def part(self, incarnation: str, now: float) -> Part | None:
        """Return this process's part of a limit; None if there is no limit."""
        rate = self._reports.rate(incarnation)
        if rate is None:
            self._buckets.pop(incarnation, None)
            return None
        return self._part_of(incarnation, rate, now)

    def may_send(self, incarnation: str, now: float) -> bool:
        """Return whether a request may be sent now."""
        part = self.part(incarnation, now)
        return part is None or self._refilled(incarnation, part, now).tokens >= 1.0

    def take(self, incarnation: str, now: float) -> bool:
        """Take a token for a request; False if there is no limit."""
        part = self.part(incarnation, now)
        if part is None:
            return False
        self._refilled(incarnation, part, now).tokens -= 1.0
        return True

    def return_token(self, incarnation: str) -> None:
        """Return the token of a request that was not sent."""
        bucket = self._buckets.get(incarnation)
        if bucket is not None:
            bucket.tokens += 1.0

    def wait(self, incarnation: str, now: float) -> float:
        """Return the seconds until a request may be sent.

        Without a part, this is the mean interval between requests of all processes.
        """
        part = self.part(incarnation, now)
        if part is None:
            return 0.0
        if part.rate <= 0:
            return 1.0 / max(self._reports.rate(incarnation) or 0.0, MIN_RATE)
        return max(0.0, (1.0 - self._refilled(incarnation, part, now).tokens) / part.rate)

    def _refilled(self, incarnation: str, part: Part, now: float) -> _TokenBucket:
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            if len(self._buckets) >= MAX_LIMITS:
                del self._buckets[next(iter(self._buckets))]
            # A random fill avoids that all holders send their first request at once.
            bucket = self._buckets[incarnation] = _TokenBucket(self._rng.random(), now)
        bucket.refill(part, now)
        return bucket
