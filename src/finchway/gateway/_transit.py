"""Detects congestion of a gateway's link from the transit times of replicas' answers."""

from __future__ import annotations

from collections import deque

# Length of the sliding window.
WINDOW_S = 1.0
# Shortest transit time in the window, both ways together, from which the link is congested: above
# the round trip between distant regions (0.07 s), and low enough to be reported before polls time
# out: at 0.4 s, one that is held for news is not answered within its second.
CONGESTED_TRANSIT_S = 0.3


class TransitMeter:
    """Transit times of recent answers.

    The shortest one reflects this process's own link, since a slow or distant replica only delays
    its own answers.
    """

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: deque[tuple[float, float]] = deque()

    def record(self, seconds: float, now: float) -> None:
        """Record the transit time of an answer."""
        self._times.append((now, seconds))

    def is_congested(self, now: float) -> bool:
        """Return whether all recent answers were slow; False if there are none."""
        while self._times and self._times[0][0] < now - WINDOW_S:
            self._times.popleft()
        return bool(self._times) and min(s for _, s in self._times) >= CONGESTED_TRANSIT_S
