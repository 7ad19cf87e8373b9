"""Messages to the current leader, from whichever replica."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
import trio

from finchway.control._orders import ORDER_VALID_S, LeaderClock, require_current
from finchway.control._replica import ReplicaRunner
from finchway.exceptions import NotLeaderError, TransportError, UnavailableError
from finchway.transport import (
    AnyBody,
    CallOrigin,
    ChangeReplicas,
    Confirm,
    Confirmed,
    Link,
    Submit,
    Validity,
)

FORWARD_TIMEOUT_S = 3.0
# How old the confirmation may be with which a leader tells its clock: it tells the present time.
CLOCK_CONFIRMED_WITHIN_S = 0.5
_RETRY_INTERVAL_S = 0.05

Handle = Callable[[AnyBody, str], Awaitable[AnyBody | None]]


class LeaderCalls:
    """Sends messages to the leader, or handles them here if this replica leads."""

    def __init__(self, runner: ReplicaRunner, link: Link, handle: Handle) -> None:
        self._runner = runner
        self._link = link
        self._handle = handle
        self._clock = LeaderClock()

    async def request(self, body: AnyBody) -> AnyBody:
        """Return the leader's reply to a message.

        Raises `UnavailableError` if no leader answers within a few seconds.
        """
        deadline = trio.current_time() + FORWARD_TIMEOUT_S
        while True:
            reply = await self._try(body, deadline)
            if reply is not None:
                return reply
            await trio.sleep(_RETRY_INTERVAL_S)

    async def order(self, body: Submit | ChangeReplicas, origin: CallOrigin) -> AnyBody:
        """Return the leader's reply to an order, trying while its caller waits for it.

        Raises `OrderExpiredError` if the order did not enter the log in time, and
        `UnavailableError` if the outcome is unknown.
        """
        deadline = trio.current_time() + FORWARD_TIMEOUT_S
        while True:
            require_current(origin)
            validity = await self._validity_of(origin)
            reply = await self._try(msgspec.structs.replace(body, validity=validity), deadline)
            if reply is not None:
                return reply
            await trio.sleep(_RETRY_INTERVAL_S)

    async def confirm(self, within: float) -> Confirmed:
        """Return the leader's confirmation, at most `within` seconds old, and learn its clock."""
        confirmed = await self.request(Confirm(within=within))
        self._clock.record(confirmed, trio.current_time())
        return confirmed

    async def _validity_of(self, origin: CallOrigin) -> Validity:
        """Return until when an order is valid, asking a new leader for its clock first."""
        if self._clock.term != self._runner.core.term:
            with trio.move_on_at(origin.arrived_after + ORDER_VALID_S):
                await self.confirm(CLOCK_CONFIRMED_WITHIN_S)
            require_current(origin)
        return self._clock.validity_of(origin)

    async def _try(self, body: AnyBody, deadline: float) -> AnyBody | None:
        """Return the leader's reply, or None if there is no leader or it has not acted on it.

        Raises `UnavailableError` after the deadline, and if the leader does not answer.
        """
        left = deadline - trio.current_time()
        if left <= 0:
            raise UnavailableError("no leader could be reached in time")
        try:
            if self._runner.is_leader:
                return await self._handle(body, "")
            address = self._runner.leader_address()
            if address is not None:
                return await self._link.request(address, body, timeout=left)
        except NotLeaderError:
            pass
        except TransportError as error:
            raise UnavailableError(f"the leader did not answer: {error.message}") from error
        return None
