"""What a gateway's planned stop means for the requests in progress."""

from __future__ import annotations

from collections.abc import Iterable

from finchway.gateway._request_context import RequestContext
from finchway.policy import PlannedStop

STOP_OVER = "cut off: the gateway's stop is over"


class StopState:
    """The planned stop of a gateway; nothing is limited until it begins."""

    def __init__(self) -> None:
        self._schedule: PlannedStop | None = None
        self._cut_off = 0

    @property
    def cut_off(self) -> int:
        """Number of requests that the end of the stop has cut off."""
        return self._cut_off

    def begin(self, schedule: PlannedStop, in_progress: Iterable[RequestContext]) -> None:
        """Begin the stop with the requests that are in progress."""
        self._schedule = schedule
        for context in in_progress:
            self.limit(context)

    def limit(self, context: RequestContext) -> None:
        """Have the end of the stop end the attempts for a request."""
        if self._schedule is not None:
            context.scope.deadline = self._schedule.ends_at

    def may_outlast(self, context: RequestContext, now: float) -> bool:
        """Return whether the gateway may end before a request is answered."""
        if self._schedule is None:
            return False
        return not self._schedule.may_take(
            deadline=context.deadline,
            now=now,
            is_complete=not context.request.is_streamed,
        )

    def upstream_deadline(self, context: RequestContext) -> float:
        """Return the time by which an upstream must have answered a request."""
        if self._schedule is None:
            return context.deadline
        return self._schedule.upstream_deadline(context.deadline)

    def has_ended(self, context: RequestContext) -> bool:
        """Return whether the end of the stop has ended the attempts for a request."""
        return self._schedule is not None and context.scope.cancelled_caught

    def count_cut_off(self) -> None:
        """Count a request that the end of the stop has cut off."""
        self._cut_off += 1
