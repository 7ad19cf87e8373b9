"""Which requests may go to upstreams that name a limit: this process's part of it, at its pace."""

from __future__ import annotations

import random
from collections.abc import Callable

from msgspec import Struct

from finchway.pushback._words import MOST_LIMITS, LimitWords

# Requests a second that all processes together send an upstream at least, whatever it names: only
# an answer tells that a limit has changed or ended.
LEAST_RATE = 0.2


class Part(Struct, frozen=True):
    """What one process may send of a limit: requests a second, and how many at once at most.

    `holders` is among how many processes the limit is divided; a rate of 0 means among others.
    """

    rate: float
    burst: float = 1.0
    holders: int = 1


class _Allowance:
    """How many requests one life may be sent from here now."""

    __slots__ = ("at", "count")

    def __init__(self, count: float, now: float) -> None:
        self.count = count
        self.at = now

    def grow(self, part: Part, now: float) -> None:
        """Add what has become allowed since the last time."""
        self.count = min(part.burst, self.count + max(0.0, now - self.at) * part.rate)
        self.at = max(self.at, now)


class Allowances:
    """Lets requests through to lives that name a limit, as many as this process's part allows.

    `part_of` returns the part for a life and its limit at a moment. What names no limit takes
    anything.
    """

    def __init__(
        self,
        words: LimitWords,
        rng: random.Random,
        part_of: Callable[[str, float, float], Part],
    ) -> None:
        self._words = words
        self._rng = rng
        self._part_of = part_of
        self._held: dict[str, _Allowance] = {}

    def __len__(self) -> int:
        return len(self._held)

    def part(self, life: str, now: float) -> Part | None:
        """Return this process's part of what a life takes; None if it names no limit."""
        rate = self._words.rate(life)
        if rate is None:
            self._held.pop(life, None)
            return None
        return self._part_of(life, rate, now)

    def may_send(self, life: str, now: float) -> bool:
        """Tell whether one more request may go to a life now."""
        part = self.part(life, now)
        return part is None or self._grown(life, part, now).count >= 1.0

    def take(self, life: str, now: float) -> bool:
        """Count a request that is being sent; False for a life that names no limit."""
        part = self.part(life, now)
        if part is None:
            return False
        self._grown(life, part, now).count -= 1.0
        return True

    def give_back(self, life: str) -> None:
        """Take in that a request which was counted has not been sent."""
        held = self._held.get(life)
        if held is not None:
            held.count += 1.0

    def wait(self, life: str, now: float) -> float:
        """Return the seconds until one more request may go to a life.

        Where this process has no part, that is the time in which the upstream takes one of others.
        """
        part = self.part(life, now)
        if part is None:
            return 0.0
        if part.rate <= 0:
            return 1.0 / max(self._words.rate(life) or 0.0, LEAST_RATE)
        return max(0.0, (1.0 - self._grown(life, part, now).count) / part.rate)

    def _grown(self, life: str, part: Part, now: float) -> _Allowance:
        held = self._held.get(life)
        if held is None:
            if len(self._held) >= MOST_LIMITS:
                del self._held[next(iter(self._held))]
            # Holders that began with one request each would send them together.
            held = self._held[life] = _Allowance(self._rng.random(), now)
        held.grow(part, now)
        return held
