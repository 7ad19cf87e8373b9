"""How late this process's event loop runs its timers."""

from __future__ import annotations

from collections import deque

import trio

# Seconds between two looks: ten wake-ups a second cost less than 0.1% of a core.
LOOK_EVERY_S = 0.1
# Seconds that a late timer is remembered, so that a line written just after it still shows it.
REMEMBERED_S = 1.0


class LoopLag:
    """The largest lateness of a timer within the last second.

    A process that waits for the processor, or holds the loop up itself, shows it here; a full link
    does not. So the two can be told apart when answers are late.
    """

    def __init__(self) -> None:
        self._late: deque[tuple[float, float]] = deque()

    @property
    def worst_s(self) -> float:
        """The largest lateness of the last second, in seconds."""
        return max((late for _, late in self._late), default=0.0)

    def record(self, now: float, late: float) -> None:
        """Take in how late a timer was."""
        self._late.append((now, late))
        while self._late[0][0] < now - REMEMBERED_S:
            self._late.popleft()

    async def run(self) -> None:
        """Look again and again until cancelled."""
        while True:
            due = trio.current_time() + LOOK_EVERY_S
            await trio.sleep_until(due)
            now = trio.current_time()
            self.record(now, now - due)
