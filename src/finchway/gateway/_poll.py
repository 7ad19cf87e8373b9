"""State of a gateway's polls of one replica."""

from __future__ import annotations

import trio

from finchway.feed import Feed
from finchway.pushback import LimitLogPosition


class Poll:
    """One poll of a replica, until it is answered, fails or must be repeated."""

    __slots__ = ("_ended", "succeeded")

    def __init__(self) -> None:
        self._ended = trio.Event()
        self.succeeded = False

    def end(self, succeeded: bool) -> None:
        """End the poll; `succeeded` is False if the replica did not answer."""
        self.succeeded = succeeded
        self._ended.set()

    async def wait(self) -> None:
        """Return once the poll has ended."""
        await self._ended.wait()


class ReplicaCursor:
    """The state that has been received from the replica at an address.

    `incarnation` is the replica's, `order` the position up to which its upstreams have been
    received; `rest` is set if its last answer was incomplete. `limits` is the position of its
    limits. `announced` is the revision of a large image that it announced.
    """

    __slots__ = ("announced", "incarnation", "limits", "order", "rest")

    def __init__(self) -> None:
        self.incarnation = ""
        self.order = 0
        self.rest = False
        self.limits = LimitLogPosition()
        self.announced = 0

    def record(self, answer: Feed) -> None:
        """Advance to an answer; a late one of the same incarnation never moves back."""
        if answer.life != self.incarnation:
            self.incarnation, self.order = answer.life, answer.order
        if answer.order >= self.order:
            self.order, self.rest = answer.order, answer.more
        self.announced = answer.announced
        if answer.limits is not None:
            self._record_limits(answer.limits.position)

    def _record_limits(self, known: LimitLogPosition) -> None:
        if known.log_id != self.limits.log_id or known.order > self.limits.order:
            self.limits = known
