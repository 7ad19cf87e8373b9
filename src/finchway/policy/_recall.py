"""How many of its requests a region can keep without its upstreams forgetting their keys.

What upstreams remember is nowhere told. But a request for a key that the same upstream has answered
a moment ago, and that takes as long as one for a new key, shows that it has forgotten. When that
happens at home more often than in the other regions, the region keeps less, until it stops.

    limit = KeepLimit()
    limit.note(at_home=True, has_forgotten=True)
    limit.most_kept(now)
"""

from __future__ import annotations

# Weight of one repeat: the part that was forgotten is taken over about fifty of them.
WEIGHT = 0.02
# Part of forgotten repeats at home, beyond that elsewhere, that is left alone: keys of rare use are
# cheaper to forget now and then than to carry to another region each time.
LEFT_ALONE = 0.04
# By how much the limit falls in a second for each forgotten repeat beyond that, as a part of all:
# with a fifth forgotten, 3% a second, the speed that shifts are allowed.
FALL = 0.2
# By how much the limit rises again at most in a second.
RISE = 0.005
LEAST_KEPT = 0.2


class KeepLimit:
    """The largest part of its requests that a region should keep."""

    __slots__ = ("_at", "_forgotten", "_limit")

    def __init__(self) -> None:
        self._forgotten = {True: 0.0, False: 0.0}
        self._limit = 1.0
        self._at: float | None = None

    def note(self, at_home: bool, has_forgotten: bool) -> None:
        """Take in a repeat: whether the upstream, at home or elsewhere, had forgotten the key."""
        held = self._forgotten[at_home]
        self._forgotten[at_home] = held + WEIGHT * (has_forgotten - held)

    def most_kept(self, now: float) -> float:
        """Return the limit, moved by what was forgotten since the last call."""
        passed = now - self._at if self._at is not None else 0.0
        self._at = now
        beyond = self._forgotten[True] - self._forgotten[False] - LEFT_ALONE
        moved = -FALL * beyond * passed
        self._limit = min(1.0, max(LEAST_KEPT, self._limit + min(moved, RISE * passed)))
        return self._limit
