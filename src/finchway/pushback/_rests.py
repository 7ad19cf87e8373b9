"""Which upstreams have asked for rest, and until when.

rests = RestBook()
rests.ask("i-1", 3.0, now)
rests.left("i-1", now + 1.0)  # 2.0
"""

from __future__ import annotations

# The longest rest that is taken at its word. A number beyond it is a mistake more likely than a
# wish; whoever runs the upstream ends its rest by starting it again.
LONGEST_REST_S = 3_600.0
# Rests that are remembered; beyond them the one that ends first is forgotten.
MOST_RESTS = 4_096


class RestBook:
    """The rests that upstreams have asked of this process, by the name of their life.

    They are kept apart from what else is known of an upstream: an answer to an earlier request
    does not end a rest, nor does an upstream that is not heard of for a while.
    """

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def ask(self, life: str, seconds: float, now: float) -> None:
        """Take in that an upstream wants nothing for some time; the latest end counts."""
        seconds = min(seconds, LONGEST_REST_S)
        if seconds <= 0:
            return
        until = max(now + seconds, self._until.pop(life, now))
        if len(self._until) >= MOST_RESTS:
            del self._until[min(self._until, key=self._until.__getitem__)]
        self._until[life] = until

    def left(self, life: str, now: float) -> float:
        """Return the seconds until the end of an upstream's rest; 0 if it does not rest."""
        return max(0.0, self._until.get(life, now) - now)

    def resting(self, now: float) -> int:
        """Return how many upstreams rest."""
        return sum(until > now for until in self._until.values())
