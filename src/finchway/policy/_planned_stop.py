"""Which requests a process still takes after it was told to stop.

The process ends at a fixed time, and whoever still waits then gets no upstream's answer. A request
that is refused before it is sent upstream can be repeated elsewhere at once; one that is cut off
cannot, unless it may run twice. How long an upstream takes is known only afterwards, so a late
request is taken only if its own deadline lies within the stop.

    stop = PlannedStop.begin(told_at=now, ends_at=now + 5.8, serve_for=3.0)
    stop.may_take(deadline=now + 2.0, now=now)
    # True
"""

from __future__ import annotations

from msgspec import Struct

# Time before the end by which upstreams must have answered. The deadline reaches them, and their
# answer comes back, over links between regions; either process may be late.
ANSWER_MARGIN_S = 0.25
# Longest time after the stop signal for which requests are taken whatever their deadline. Callers
# that still held a steering answer have come by then.
MAX_TAKEN_FOR_S = 3.0
# How much later than it was sent the stop signal may be noticed.
SIGNAL_MARGIN_S = 0.25


class PlannedStop(Struct, frozen=True, kw_only=True):
    """The schedule of a planned stop, in seconds on the process's clock.

    Until `late_from`, requests are taken whatever their deadline, since nearly all are answered
    long before it. At `ends_at`, the process ends the requests that are left.
    """

    late_from: float
    ends_at: float

    @classmethod
    def begin(cls, *, told_at: float, ends_at: float, serve_for: float) -> PlannedStop:
        """Return the schedule of a stop whose signal came at `told_at`.

        `serve_for` is how long the process goes on accepting connections.
        """
        late_from = told_at + min(serve_for, MAX_TAKEN_FOR_S) - SIGNAL_MARGIN_S
        return cls(late_from=late_from, ends_at=ends_at)

    @property
    def answer_by(self) -> float:
        """The time by which upstreams must have answered."""
        return self.ends_at - ANSWER_MARGIN_S

    def may_take(self, *, deadline: float, now: float, is_complete: bool = True) -> bool:
        """Return whether to take a request.

        The end of a request that is not complete yet may come at any time, so only its deadline
        tells when it is over.
        """
        return deadline <= self.answer_by or (is_complete and now < self.late_from)

    def upstream_deadline(self, deadline: float) -> float:
        """Return the deadline to send upstream, so that upstreams end what the stop would cut off.

        What they answer then tells the caller more than a closed connection.
        """
        return min(deadline, self.answer_by)
