"""Measures the lag of the process's event loop."""

from __future__ import annotations

from collections import deque

import trio

SAMPLE_INTERVAL_S = 0.25
# A late timer is remembered so long, so that a line logged just after it still shows it.
WINDOW_S = 1.0


class LoopLag:
    """The maximum lag of the event loop's timers within the last second.

    It rises if the process is short of CPU time or blocks its event loop, but not if a network link
    is congested, which distinguishes the two causes of late answers.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque()

    @property
    def max_s(self) -> float:
        """The maximum lag within the last second, in seconds."""
        return max((lag for _, lag in self._samples), default=0.0)

    def record(self, now: float, lag: float) -> None:
        """Record the lag of a timer."""
        self._samples.append((now, lag))
        while self._samples[0][0] < now - WINDOW_S:
            self._samples.popleft()

    async def run(self) -> None:
        """Sample the lag periodically until cancelled."""
        while True:
            due = trio.current_time() + SAMPLE_INTERVAL_S
            await trio.sleep_until(due)
            now = trio.current_time()
            self.record(now, now - due)
