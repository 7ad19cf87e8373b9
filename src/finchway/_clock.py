"""The clocks of a process: the event loop's counts suspensions, the time of day passes over jumps.

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
# Seconds between two looks at the time of day beyond which it has jumped, not been slewed, and for
# which a jump must last before it is followed: a machine that started with a wrong time of day is
# put right once, and a mistake is often taken back.
JUMP_S = 1.0
FOLLOWED_AFTER_S = 600.0


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


class WallClock:
    """The time of day, which follows a jump only after that has lasted.

    What is kept for a time in the replicated state goes by the latest time that any command names.
    One command from a machine whose time of day has jumped ahead would end all of it at once, and
    hold that clock ahead until the time of day has caught up.

        clock = WallClock()
        clock.now_ms()
    """

    def __init__(
        self,
        read: Callable[[], float] = lambda: time.time(),
        read_boot: Callable[[], float] = read_since_boot,
    ) -> None:
        self._read = read
        self._read_boot = read_boot
        self._offset = read() - read_boot()
        self._jumped_at: float | None = None

    def now(self) -> float:
        """Return the time of day in Unix seconds."""
        boot = self._read_boot()
        offset = self._read() - boot
        if abs(offset - self._offset) <= JUMP_S:
            self._offset = offset
            self._jumped_at = None
        elif self._jumped_at is None:
            self._jumped_at = boot
        elif boot - self._jumped_at >= FOLLOWED_AFTER_S:
            self._offset = offset
            self._jumped_at = None
        return boot + self._offset

    def now_ms(self) -> int:
        """Return the time of day in Unix milliseconds."""
        return int(self.now() * 1000)


# One for each process, so that all its parts name the same time.
WALL = WallClock()
