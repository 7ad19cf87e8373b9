"""Records what attempts show about upstreams: in the view, on the timeline and in the metrics."""

from __future__ import annotations

import trio

from finchway.entry._call import ResponseMetadata, UpstreamError
from finchway.entry._view import EntryView
from finchway.observe import EventKind, Metrics, Timeline
from finchway.policy import LoadReport
from finchway.pushback import Pushback


class AttemptResults:
    """The recorder of one entry's attempts."""

    def __init__(self, view: EntryView, timeline: Timeline, metrics: Metrics) -> None:
        self._view = view
        self._timeline = timeline
        self._metrics = metrics

    def record_metadata(self, service: str, address: str, metadata: ResponseMetadata) -> None:
        """Record an upstream's incarnation, load and pushback from the head of a response."""
        now = trio.current_time()
        self._view.record_connected(address, now)
        directory = self._view.directory
        directory.record_incarnation(address, metadata.incarnation, now)
        if metadata.load is not None:
            directory.record_report(address, LoadReport(metadata.load, now))
        if metadata.pushback.leaving and directory.mark_leaving(address):
            self._timeline.record(EventKind.UPSTREAM_LEAVING, address, "said by its answer")
            self._metrics.count_pushback(service, "leaving")
        if metadata.pushback.backoff_s > 0:
            directory.record_backoff(address, metadata.pushback.backoff_s, now)
            detail = f"asks for {metadata.pushback.backoff_s:g} s of rest"
            self._timeline.record(EventKind.UPSTREAM_RESTING, address, detail)
            self._metrics.count_pushback(service, "rest")
        if metadata.pushback.invalid_retry_after or metadata.pushback.invalid_limit is not None:
            self._metrics.count_pushback(service, "unreadable")

    def record_limit(self, service: str, address: str, pushback: Pushback, sent_at: float) -> None:
        """Record the rate limit that a response states; an unreadable one is ignored."""
        if pushback.limit is not None:
            self._metrics.count_pushback(service, "limit")
        elif pushback.invalid_limit is not None:
            return
        now = trio.current_time()
        if self._view.directory.record_limit(address, pushback.limit, sent_at, now):
            limit = (
                "no limit any more" if pushback.limit is None else f"{pushback.limit:g} a second"
            )
            self._timeline.record(EventKind.UPSTREAM_LIMITED, address, f"names {limit}")

    def record_success(self, address: str) -> None:
        """Record an answer; the first one reopens a region that is down."""
        now = trio.current_time()
        directory = self._view.directory
        was_ejected = directory.is_ejected(address, now)
        _, changed = self._view.record_result(address, True, now)
        if was_ejected and not directory.is_ejected(address, now):
            self._timeline.record(EventKind.UPSTREAM_RETURNED, address, "a trial succeeded")
        if changed:
            self._record_region_change(EventKind.REGION_UP, address, "an answer came")

    def record_failure(self, address: str, error: UpstreamError) -> None:
        """Record a failed attempt, unless the failure does not count against the upstream."""
        if error.healthy:
            return
        if not error.was_sent:
            self._view.reach.record_unreachable(address, trio.current_time())
        ejected, changed = self._view.record_result(address, False, trio.current_time())
        if ejected:
            self._timeline.record(EventKind.UPSTREAM_EJECTED, address, error.detail)
        if changed:
            self._record_region_change(EventKind.REGION_DOWN, address, error.detail)

    def _record_region_change(self, kind: EventKind, address: str, cause: str) -> None:
        """Record why a region went down or up, with the failure counts at that moment."""
        key = self._view.pool_of(address)
        basis = self._view.describe_region(key, trio.current_time())
        self._timeline.record(kind, "/".join(key), f"{address}: {cause}; {basis}")
