"""Which upstreams have asked for rest, until when, and how they are tried again after it.

rests = RestBook(random.Random())
rests.ask("i-1", 3.0, now)
rests.may_send("i-1", now + 1.0)  # False
"""

from __future__ import annotations

import random

# The longest rest that is taken at its word. A number beyond it is a mistake more likely than a
# wish; whoever runs the upstream ends its rest by starting it again.
LONGEST_REST_S = 3_600.0
# Whoever was told the same end by one upstream comes back spread over this part of the rest, and
# over so many seconds at most: all at once would fill its queue, and it would ask for rest again.
RETURN_SPREAD = 0.25
LONGEST_SPREAD_S = 2.0
# Seconds after which a request that tries an upstream again counts as taken: one that is turned
# away comes back at once, within 0.1 s between the furthest regions.
TAKEN_AFTER_S = 0.3
# Rests that are remembered; beyond them the one that ends first is forgotten.
MOST_RESTS = 4_096


class _Rest:
    """One upstream's rest: what it asked, when it is tried again, and when the trial went out."""

    __slots__ = ("asked_until", "returns_at", "tried_at")

    def __init__(self, asked_until: float, returns_at: float) -> None:
        self.asked_until = asked_until
        self.returns_at = returns_at
        self.tried_at: float | None = None

    def was_taken(self, now: float) -> bool:
        """Tell whether the trial has been out for so long that the upstream has taken it."""
        return self.tried_at is not None and now - self.tried_at >= TAKEN_AFTER_S


class RestBook:
    """The rests that upstreams have asked of this process, by the name of their life.

    They are kept apart from what else is known of an upstream: an answer to an earlier request
    does not end a rest, nor does an upstream that is not heard of for a while.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._rests: dict[str, _Rest] = {}

    def ask(self, life: str, seconds: float, now: float) -> None:
        """Take in that an upstream wants nothing for some time; the latest end counts."""
        seconds = min(seconds, LONGEST_REST_S)
        if seconds <= 0:
            return
        held = self._rests.pop(life, None)
        until = now + seconds
        if held is not None:
            until = max(until, held.asked_until)
        spread = min(RETURN_SPREAD * seconds, LONGEST_SPREAD_S)
        if len(self._rests) >= MOST_RESTS:
            del self._rests[min(self._rests, key=lambda name: self._rests[name].returns_at)]
        self._rests[life] = _Rest(until, until + self._rng.uniform(0.0, spread))

    def pass_on(self, earlier: str, later: str) -> None:
        """Have a later life rest as an earlier one does."""
        rest = self._rests.get(earlier)
        if rest is not None:
            self._rests[later] = _Rest(rest.asked_until, rest.returns_at)

    def left(self, life: str, now: float) -> float:
        """Return the seconds until an upstream is tried again; 0 if it does not rest."""
        rest = self._rests.get(life)
        return max(0.0, rest.returns_at - now) if rest is not None else 0.0

    def is_returning(self, life: str, now: float) -> bool:
        """Tell whether an upstream's rest is over, and no request has been taken by it since."""
        rest = self._rests.get(life)
        return rest is not None and now >= rest.returns_at and not rest.was_taken(now)

    def may_send(self, life: str, now: float) -> bool:
        """Tell whether a request may go to an upstream now.

        After a rest one request goes first; the others follow once it was taken.
        """
        rest = self._rests.get(life)
        if rest is None:
            return True
        return now >= rest.returns_at and (rest.tried_at is None or rest.was_taken(now))

    def begin(self, life: str, now: float) -> bool:
        """Count a request that is being sent; tells whether it tries the upstream again."""
        rest = self._rests.get(life)
        if rest is None or now < rest.returns_at:
            return False
        if rest.was_taken(now):
            del self._rests[life]
            return False
        rest.tried_at = now
        return True

    def end_trial(self, life: str, was_taken: bool) -> None:
        """Take in how a request ended that tried an upstream again, unless it asked anew."""
        rest = self._rests.get(life)
        if rest is None or rest.tried_at is None:
            return
        if was_taken:
            del self._rests[life]
        else:
            rest.tried_at = None

    def resting(self, now: float) -> list[str]:
        """Return the lives that rest."""
        return [life for life, rest in self._rests.items() if rest.returns_at > now]
