"""When a back end asks for rest, and whether it says in its answers first that it leaves.

Each has a source of its own, so that what earlier seeds do stays as it is.
"""

from __future__ import annotations

import random

WELL_S = (0.5, 4.0)
WEARY_S = (0.3, 2.0)
REST_S = (0.3, 3.0)
SAYS_FIRST_SHARE = 0.5
# Seconds for which a back end says in its answers alone that it leaves, before its heartbeats do.
SAYS_FIRST_S = 3.0


class Moods:
    """The moods of one back end."""

    def __init__(self, name: str, has_any: bool) -> None:
        self._has_any = has_any
        self._rng = random.Random(f"moods of {name}")
        self._weary_at: float | None = None
        self._well_at = 0.0
        self.says_first = has_any and self._rng.random() < SAYS_FIRST_SHARE

    def is_weary(self, now: float) -> bool:
        """Tell whether the back end turns everything away now."""
        if not self._has_any:
            return False
        if self._weary_at is None or now >= self._well_at:
            self._weary_at = now + self._rng.uniform(*WELL_S)
            self._well_at = self._weary_at + self._rng.uniform(*WEARY_S)
        return now >= self._weary_at

    def rest_s(self) -> float:
        """Return the rest that a refusal asks for."""
        return round(self._rng.uniform(*REST_S), 2)
