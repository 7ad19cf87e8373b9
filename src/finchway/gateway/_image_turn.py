"""Requests a large image of the steering state from one replica at a time.

When many routes are accepted together, all replicas have them for a gateway at the same moment. One
sends them, and the others only announce them; with five copies on a gateway's link, each takes
longer than polls wait for it, and is requested again.
"""

from __future__ import annotations

# Seconds after an announcement for which the requested image is waited for before another replica
# is asked. A replica that is cut off must not delay a change for long.
MAX_WAIT_S = 1.2


class ImageTurn:
    """Decides which poll of a gateway may return a large image.

    turn = ImageTurn()
    turn.take("a:1", now=0.0)  # True
    turn.take("b:1", now=0.1)  # False
    turn.announce(now=0.2)  # by the replica at b:1
    turn.take("b:1", now=1.3)  # True: the other one has not answered in time
    """

    __slots__ = ("_announced_at", "_holder")

    def __init__(self) -> None:
        self._holder: str | None = None
        self._announced_at: float | None = None

    def is_free(self, now: float) -> bool:
        """Return whether the next poll may return a large image."""
        if self._holder is None:
            return True
        return self._announced_at is not None and now >= self._announced_at + MAX_WAIT_S

    def take(self, address: str, now: float) -> bool:
        """Return whether a poll of the replica at an address may return a large image."""
        if not self.is_free(now):
            return False
        self._holder, self._announced_at = address, None
        return True

    def release(self, address: str) -> None:
        """End the turn of a replica whose poll is over."""
        if self._holder == address:
            self._holder, self._announced_at = None, None

    def announce(self, now: float) -> None:
        """Record that another replica has a large image; later ones do not extend the wait."""
        if self._announced_at is None:
            self._announced_at = now
