"""How long an order may still be carried out.

A caller that gets no answer goes on to another replica after a second, and may then give the
opposite order. An order that enters the log later than that would undo it. So an order is dropped
unless it enters the log within `ORDER_VALID_S` of when it can have been sent at the earliest, and
the leader checks that as it appends the order. Whatever waits on the way, in a frozen process, on a
link or for a leader, is then too old.
"""

from __future__ import annotations

import trio

from finchway.exceptions import OrderExpiredError
from finchway.transport import CallOrigin, Confirmed, Validity

# Below the second for which callers wait, by more than the time that a connection takes to come up.
ORDER_VALID_S = 0.8


def require_current(origin: CallOrigin) -> None:
    """Raise `OrderExpiredError` if the caller of an order no longer waits for it."""
    age = trio.current_time() - origin.arrived_after
    if age >= ORDER_VALID_S:
        raise OrderExpiredError(f"the order may be {age:.1f} s old, it was not carried out")
    if origin.has_left():
        raise OrderExpiredError("the caller has left, the order was not carried out")


class LeaderClock:
    """What a replica knows of the clock of its leader.

    Clocks of processes start anywhere but run at one rate. When a reply arrives that says the
    leader's time, the leader's clock shows that time or a later one. So the difference to this
    process's clock is at least the one between the two times, at whatever moment.
    """

    __slots__ = ("_ahead_s", "_term")

    def __init__(self) -> None:
        self._term = -1
        self._ahead_s = 0.0

    @property
    def term(self) -> int:
        """The term of the leader whose clock is known; -1 before the first reply."""
        return self._term

    def record(self, confirmed: Confirmed, received_at: float) -> None:
        """Learn from a leader's reply, unless a later leader is known."""
        if confirmed.term < self._term:
            return
        self._term = confirmed.term
        self._ahead_s = confirmed.clock - received_at

    def validity_of(self, origin: CallOrigin) -> Validity:
        """Return until when an order may enter the log, on the leader's clock."""
        return Validity(self._term, origin.arrived_after + self._ahead_s + ORDER_VALID_S)
