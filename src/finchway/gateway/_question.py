"""The state of a gateway's questions to one replica."""

from __future__ import annotations

import trio

from finchway.feed import Feed
from finchway.pushback import LimitsKnown


class Turn:
    """One question to a replica, until it is answered or must be asked anew."""

    __slots__ = ("_over", "is_sound")

    def __init__(self) -> None:
        self._over = trio.Event()
        self.is_sound = False

    def end(self, is_sound: bool) -> None:
        """End the turn; it is not sound if the replica could not be asked."""
        self.is_sound = is_sound
        self._over.set()

    async def wait(self) -> None:
        """Return once the turn has ended."""
        await self._over.wait()


class HeardReplica:
    """The replica process that answered last at an address, and what has been had of it.

    `life` names the process and `order` is up to where its upstreams are known; `rest` tells that
    its last answer left further ones out. `limits` tells which of its news of limits are known.
    """

    __slots__ = ("life", "limits", "order", "rest")

    def __init__(self) -> None:
        self.life = ""
        self.order = 0
        self.rest = False
        self.limits = LimitsKnown()

    def note(self, answer: Feed) -> None:
        """Take in an answer; a late one of the same process takes nothing back."""
        if answer.life != self.life:
            self.life, self.order = answer.life, answer.order
        if answer.order >= self.order:
            self.order, self.rest = answer.order, answer.more
        if answer.limits is not None:
            self._note_limits(answer.limits.known)

    def _note_limits(self, known: LimitsKnown) -> None:
        if known.book != self.limits.book or known.order > self.limits.order:
            self.limits = known
