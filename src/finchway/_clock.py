"""The clock of the event loop: it counts the time for which the machine was suspended.

The steady clock stands still while a machine is suspended. A process that measured ages by it would
wake with leases, deadlines and knowledge that seem as new as when it fell asleep.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import trio

# Seconds that the loop sleeps at most. The kernel measures a sleep by the steady clock, so what
# came due while the machine was suspended is seen this much later at the latest.
LONGEST_SLEEP_S = 0.2
# Seconds that the clock shows at the start of a machine, so that no time in use is below zero.
FIRST_S = 100_000.0


def read_since_boot() -> float:
    """Return the seconds since the machine started, suspended or not.

    Where the system has no such clock, those of its steady clock.
    """
    if hasattr(time, "CLOCK_BOOTTIME"):
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    return time.monotonic()


class BootClock(trio.abc.Clock):
    """Measures by the time since the machine started.

    trio.run(main, clock=BootClock())
    """

    def __init__(self, read: Callable[[], float] = read_since_boot) -> None:
        self._read = read

    def start_clock(self) -> None:
        """Begin; the clock needs nothing for it."""

    def current_time(self) -> float:
        """Return the present time in seconds."""
        return FIRST_S + self._read()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how long to sleep for a deadline; the loop looks again after that."""
        return min(LONGEST_SLEEP_S, deadline - self.current_time())
