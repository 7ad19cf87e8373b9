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
