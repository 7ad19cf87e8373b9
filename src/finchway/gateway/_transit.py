"""How long control's answers are on the way to a gateway, and whether its link is pressed."""

from __future__ import annotations

from collections import deque

# Seconds over which answers are looked at: about eight come in it, from all replicas.
LOOKED_AT_S = 1.0
# Seconds on the way, both ways together, that even the quickest answer takes on a pressed link. The
# way between the regions that are furthest apart takes 0.07 s; at 0.4 s a question that a replica
# held for news is not answered within the second after which a replica counts as lost.
PRESSED_TRANSIT_S = 0.3


class TransitMeter:
    """The times on the way of the newest answers.

    The quickest tells of this process's own link: a slow or far replica makes only its own answers
    late.
    """

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: deque[tuple[float, float]] = deque()

    def note(self, seconds: float, now: float) -> None:
        """Take in how long an answer was on the way."""
        self._times.append((now, seconds))

    def is_pressed(self, now: float) -> bool:
        """Tell whether all answers of the last moment were long on the way; not without any."""
        while self._times and self._times[0][0] < now - LOOKED_AT_S:
            self._times.popleft()
        return bool(self._times) and min(s for _, s in self._times) >= PRESSED_TRANSIT_S
