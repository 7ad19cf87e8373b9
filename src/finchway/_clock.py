"""Clocks: an event loop clock that counts suspensions and a wall clock that filters out jumps.

`time.monotonic()` does not advance while the machine is suspended. Leases, deadlines and cached
state measured by it would still look fresh after the machine resumes.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import trio

# The kernel measures sleeps by the monotonic clock, so a deadline that passes during a suspension
# is noticed at most this long after the machine resumes.
MAX_SLEEP_S = 0.2
# Clock value at boot; keeps times that lie before boot positive.
INITIAL_TIME_S = 100_000.0
# Larger changes of the wall clock between two reads are jumps, smaller ones are slewing.
JUMP_THRESHOLD_S = 1.0
# A jump is adopted once it has lasted this long, so that a mistaken step that is soon reverted has
# no effect.
JUMP_ADOPTED_AFTER_S = 600.0


def read_since_boot() -> float:
    """Return the seconds since boot, including time in suspension.

    Falls back to the monotonic clock on systems without `CLOCK_BOOTTIME`.
    """
    if hasattr(time, "CLOCK_BOOTTIME"):
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    return time.monotonic()


class BootClock(trio.abc.Clock):
    """A trio clock that counts the time in which the machine was suspended.

    trio.run(main, clock=BootClock())
    """

    def __init__(self, read: Callable[[], float] = read_since_boot) -> None:
        self._read = read

    def start_clock(self) -> None:
        """Do nothing; the clock needs no initialisation."""

    def current_time(self) -> float:
        """Return the current time in seconds."""
        return INITIAL_TIME_S + self._read()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds to sleep, at most `MAX_SLEEP_S`; the loop then checks again."""
        return min(MAX_SLEEP_S, deadline - self.current_time())


class WallClock:
    """The time of day, adjusted to a jump only after the jump has lasted.

    The replicated state expires entries by the latest timestamp in any command. A single command
    from a machine whose clock jumped ahead would expire them all at once, and keep the state's
    clock ahead until real time has caught up.

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
        if abs(offset - self._offset) <= JUMP_THRESHOLD_S:
            self._offset = offset
            self._jumped_at = None
        elif self._jumped_at is None:
            self._jumped_at = boot
        elif boot - self._jumped_at >= JUMP_ADOPTED_AFTER_S:
            self._offset = offset
            self._jumped_at = None
        return boot + self._offset

    def now_ms(self) -> int:
        """Return the time of day in Unix milliseconds."""
        return int(self.now() * 1000)


# Shared by the whole process, so that all components use the same time.
WALL_CLOCK = WallClock()
