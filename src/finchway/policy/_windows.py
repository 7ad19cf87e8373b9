"""Sliding-window counters, rate meters and limits based on them."""

from __future__ import annotations

from collections import deque


class WindowCount:
    """Counts events within the last `window` seconds."""

    __slots__ = ("_times", "_window")

    def __init__(self, window: float) -> None:
        self._window = window
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count one event."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Return the number of events in the window that ends now."""
        oldest = now - self._window
        times = self._times
        while times and times[0] <= oldest:
            times.popleft()
        return len(times)


class AttemptBudget:
    """Retry budget of one gateway, as its part of a budget of all gateways.

    All gateways together may make `ratio` retries per request plus `slack` in a window. Each one
    applies the ratio to its own requests and an equal part of the slack. `safety` holds back a
    reserve for times when gateways disagree on their number.
    """

    def __init__(self, ratio: float, slack: float, window: float, safety: float = 0.7) -> None:
        self._ratio = ratio
        self._slack = slack
        self._safety = safety
        self._requests = WindowCount(window)
        self._repeats = WindowCount(window)

    def count_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._requests.add(now)

    def spend(self, now: float, gateways: int) -> bool:
        """Take one retry; False if this gateway's part is exhausted."""
        part = self._ratio * self._requests.count(now) + self._slack / max(gateways, 1)
        if self._repeats.count(now) + 1 > part * self._safety:
            return False
        self._repeats.add(now)
        return True


class Pacer:
    """Token bucket with `rate` tokens per second and a capacity of `burst`."""

    __slots__ = ("_at", "_burst", "_rate", "_tokens")

    def __init__(self, rate: float, burst: float = 1.0) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._at = float("-inf")

    def ready(self, now: float) -> bool:
        """Return whether a token is available."""
        self._refill(now)
        return self._tokens >= 1

    def take(self, now: float) -> None:
        """Take a token."""
        self._refill(now)
        self._tokens -= 1

    def _refill(self, now: float) -> None:
        if now > self._at:
            gained = (now - self._at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
            self._at = now


class RateMeter:
    """Events per second, smoothed over about `over` seconds."""

    __slots__ = ("_count", "_time_constant_s", "_rate", "_since")

    def __init__(self, over: float = 1.0) -> None:
        self._time_constant_s = over
        self._rate = 0.0
        self._count = 0
        self._since: float | None = None

    def add(self) -> None:
        """Count one event."""
        self._count += 1

    def rate(self, now: float) -> float:
        """Return the rate, updated with the events since the last call."""
        if self._since is None:
            self._since = now
            return self._rate
        elapsed_s = now - self._since
        if elapsed_s >= 0.1:
            weight = min(1.0, elapsed_s / self._time_constant_s)
            self._rate += weight * (self._count / elapsed_s - self._rate)
            self._count = 0
            self._since = now
        return self._rate


class GrowthDetector:
    """Detects when a growing value has stabilised; the result is final."""

    __slots__ = ("_stable_for_s", "_grew_at", "_highest", "_is_settled")
    GROWTH = 1.25

    def __init__(self, after: float) -> None:
        self._stable_for_s = after
        self._highest = 0.0
        self._grew_at = float("inf")
        self._is_settled = False

    def record(self, value: float, now: float) -> bool:
        """Record the value; return whether it has not grown by a quarter for `after` seconds."""
        if value > self._highest * self.GROWTH:
            self._highest = value
            self._grew_at = now
        self._is_settled = self._is_settled or now - self._grew_at >= self._stable_for_s
        return self._is_settled
