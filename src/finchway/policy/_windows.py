"""Counts over sliding windows of time, and the limits that are kept with them."""

from __future__ import annotations

from collections import deque


class WindowCount:
    """How often something happened within the last `window` seconds."""

    __slots__ = ("_times", "_window")

    def __init__(self, window: float) -> None:
        self._window = window
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count one."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Return how many fall into the window that ends now."""
        oldest = now - self._window
        times = self._times
        while times and times[0] <= oldest:
            times.popleft()
        return len(times)


class AttemptBudget:
    """Bounds arrivals beyond the first of each request, as a gateway's part of a common sum.

    All gateways together may make `ratio` repeats for each request and `slack` more in a window.
    The ratio sums up by itself; the slack is divided by the number of gateways. `safety` keeps a
    part back for gateways that know another number of fellows for a moment.
    """

    def __init__(self, ratio: float, slack: float, window: float, safety: float = 0.7) -> None:
        self._ratio = ratio
        self._slack = slack
        self._safety = safety
        self._requests = WindowCount(window)
        self._repeats = WindowCount(window)

    def count_request(self, now: float) -> None:
        """Count a request's first arrival."""
        self._requests.add(now)

    def spend(self, now: float, gateways: int) -> bool:
        """Take one repeat; False if this gateway's part is used up."""
        part = self._ratio * self._requests.count(now) + self._slack / max(gateways, 1)
        if self._repeats.count(now) + 1 > part * self._safety:
            return False
        self._repeats.add(now)
        return True


class Pacer:
    """Lets through at most `rate` a second, with no burst beyond `burst`."""

    __slots__ = ("_at", "_burst", "_rate", "_tokens")

    def __init__(self, rate: float, burst: float = 1.0) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._at = float("-inf")

    def ready(self, now: float) -> bool:
        """Tell whether one may pass now."""
        self._refill(now)
        return self._tokens >= 1

    def take(self, now: float) -> None:
        """Let one pass."""
        self._refill(now)
        self._tokens -= 1

    def _refill(self, now: float) -> None:
        if now > self._at:
            gained = (now - self._at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
            self._at = now


class RateMeter:
    """Events a second, smoothed over about `over` seconds."""

    __slots__ = ("_count", "_over", "_rate", "_since")

    def __init__(self, over: float = 1.0) -> None:
        self._over = over
        self._rate = 0.0
        self._count = 0
        self._since: float | None = None

    def add(self) -> None:
        """Count one event."""
        self._count += 1

    def rate(self, now: float) -> float:
        """Return the rate, folding in what was counted since the last call."""
        if self._since is None:
            self._since = now
            return self._rate
        passed = now - self._since
        if passed >= 0.1:
            weight = min(1.0, passed / self._over)
            self._rate += weight * (self._count / passed - self._rate)
            self._count = 0
            self._since = now
        return self._rate


class Settled:
    """Tells when a figure that starts from nothing has stopped growing, and from then on."""

    __slots__ = ("_after", "_grew_at", "_highest", "_is_settled")
    GROWTH = 1.25

    def __init__(self, after: float) -> None:
        self._after = after
        self._highest = 0.0
        self._grew_at = float("inf")
        self._is_settled = False

    def note(self, value: float, now: float) -> bool:
        """Take in the figure; tell whether it has not grown by a quarter for `after` seconds."""
        if value > self._highest * self.GROWTH:
            self._highest = value
            self._grew_at = now
        self._is_settled = self._is_settled or now - self._grew_at >= self._after
        return self._is_settled
