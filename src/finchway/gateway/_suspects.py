"""Detects requests that crash upstreams, and limits how often they are sent.

A caller may retry such a request at any gateway. The evidence therefore outlives the request: it is
kept locally and reported to the replicas, which combine the reports of all gateways.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum

import trio
from msgspec import Struct

from finchway._clock import WALL_CLOCK
from finchway.feed import ClusterView
from finchway.gateway._connection import AttemptError, Failure, UpstreamConnection
from finchway.gateway._record import UpstreamRecord
from finchway.gateway._request_context import RequestContext
from finchway.gateway._request_log import RequestLog
from finchway.gateway._table import UpstreamTable
from finchway.state import (
    QUARANTINE_DURATIONS_MS,
    QUARANTINE_THRESHOLD,
    RequestReport,
    Suspect,
    SuspectState,
)

# Seconds for which locally observed crashes count against a request.
EVIDENCE_TTL_S = 60.0
# Requests with local evidence that are kept.
MAX_EVIDENCE = 256
# Upstreams that wait to be probed after a connection failure. When many crash at once, a sample of
# the requests that were in flight is enough.
MAX_QUEUED_PROBES = 64
# Seconds that a probe connection must stay open to show that the upstream is alive, and how many
# are opened: the listener of a crashing process may accept connections for a moment. Where
# listeners outlived their connections by 30 ms, no crash was seen without this, and one request
# crashed 20 upstreams.
PROBE_HOLD_S = 0.1
PROBE_CONNECTIONS = 3
# Seconds within which a restart shows that an earlier connection failure was a crash.
RESTART_WITHIN_S = 10.0
# Unresolved failures that are kept; each holds a request body of up to 1 MiB.
MAX_UNRESOLVED = 16
# Shortest Retry-After for a quarantined request: by the replicas' clock, its quarantine may end
# later than by this gateway's.
MIN_RETRY_AFTER_S = 10.0


class Clearance(Enum):
    """How often a request may be sent: as its route allows, at most once, or not at all."""

    FREE = "free"
    ONCE = "once"
    REFUSED = "refused"


class _LocalEvidence(Struct):
    """Number of upstreams that crashed under a request, and the time of the latest crash."""

    crashes: int
    last_at: float


class _UnresolvedFailure(Struct):
    """A request whose connection failed at an upstream that seemed to be alive."""

    context: RequestContext
    record: UpstreamRecord
    at: float


class SuspectTracker:
    """Decides how often requests may be sent, and detects upstreams that crashed under them."""

    def __init__(
        self,
        view: ClusterView,
        table: UpstreamTable,
        log: RequestLog,
        report: Callable[[RequestReport], None],
    ) -> None:
        self._view = view
        self._table = table
        self._log = log
        self._report = report
        self._local_evidence: dict[str, _LocalEvidence] = {}
        self._in_progress: set[RequestContext] = set()
        self._unresolved: deque[_UnresolvedFailure] = deque(maxlen=MAX_UNRESOLVED)
        table.on_replaced(self._record_replaced)
        self._probe_sender, self._probe_receiver = trio.open_memory_channel[
            tuple[RequestContext, UpstreamRecord]
        ](MAX_QUEUED_PROBES)

    def clearance(self, context: RequestContext, now: float) -> Clearance:
        """Return how often a request may be sent, given the crashes that it has caused before."""
        if self._has_no_suspects():
            return Clearance.FREE
        shared = self._shared_suspect(context)
        local = self._local_crashes(context, now)
        crashes = context.evidence.crashes_before = max(local, shared.crashes if shared else 0)
        if shared is not None and shared.state is SuspectState.QUARANTINED:
            return Clearance.REFUSED
        if local >= QUARANTINE_THRESHOLD and (shared is None or local > shared.crashes):
            # The replicas have not confirmed the latest crash yet.
            return Clearance.REFUSED
        return Clearance.ONCE if crashes else Clearance.FREE

    def may_retry(self, context: RequestContext, now: float) -> bool:
        """Return whether a request may be sent to a further upstream.

        A crash in this request's own attempts does not prevent a retry, since most requests in
        flight at a crashing upstream did not cause the crash.
        """
        if self._has_no_suspects():
            return True
        shared = self._shared_suspect(context)
        return (
            max(self._local_crashes(context, now), shared.crashes if shared else 0)
            <= context.evidence.crashes_since
        )

    def retry_after(self, context: RequestContext) -> float:
        """Return the seconds after which a refused request may be sent again."""
        shared = self._shared_suspect(context)
        default = QUARANTINE_DURATIONS_MS[0] / 1000
        if shared is None or shared.state is not SuspectState.QUARANTINED:
            return default
        return max(MIN_RETRY_AFTER_S, shared.until_ms / 1000 - WALL_CLOCK.now())

    @contextmanager
    def track(self, context: RequestContext) -> Iterator[None]:
        """Cancel a request if it is quarantined while in flight.

        Crashes are reported when the request is over: one that a further upstream answers has not
        caused them.
        """
        self._in_progress.add(context)
        try:
            yield
        finally:
            self._in_progress.discard(context)
            context.evidence.is_over = True
            self._report_crashes(context)

    def record_broken(self, context: RequestContext, record: UpstreamRecord) -> None:
        """Schedule a probe of an upstream whose connection failed during a request.

        If a new connection succeeds, the upstream has not crashed.
        """
        try:
            self._probe_sender.send_nowait((context, record))
        except trio.WouldBlock:
            self._log.record_unprobed(context, record)

    def record_answered(self, context: RequestContext) -> None:
        """Record that an upstream has run a request without a crash."""
        context.evidence.is_answered = True
        if self._has_no_suspects():
            return
        self._local_evidence.pop(context.fingerprint, None)
        if self._shared_suspect(context) is not None:
            self._report(RequestReport(context.fingerprint, answered=True))

    def update(self, suspects: list[Suspect]) -> None:
        """Apply the replicas' list of suspects; cancels quarantined requests in flight."""
        quarantined = set()
        for suspect in suspects:
            if suspect.state is SuspectState.QUARANTINED:
                quarantined.add(suspect.request)
            elif suspect.state is SuspectState.CLEARED:
                self._local_evidence.pop(suspect.request, None)
        if quarantined:
            self._cancel_quarantined(quarantined)

    async def run(self) -> None:
        """Probe the upstreams of failed connections until cancelled."""
        async with trio.open_nursery() as nursery:
            async for context, record in self._probe_receiver:
                nursery.start_soon(self._probe, context, record)

    async def _probe(self, context: RequestContext, record: UpstreamRecord) -> None:
        """Record a crash if nothing listens at the upstream's address any more.

        If it has restarted already, or something else listens there, only the heartbeats of its
        next incarnation show the crash.
        """
        now = trio.current_time()
        if self._table.was_replaced(record):
            self._record_crash(context, record, now)
            return
        try:
            connection = await self._open_lasting_connection(record)
        except AttemptError as error:
            if error.failure is Failure.REFUSED:
                self._record_crash(context, record, now)
            return
        if connection is None:
            return
        self._table.keep(record, connection)
        while self._unresolved and now - self._unresolved[0].at > RESTART_WITHIN_S:
            self._unresolved.popleft()
        self._unresolved.append(_UnresolvedFailure(context, record, now))

    async def _open_lasting_connection(self, record: UpstreamRecord) -> UpstreamConnection | None:
        """Return a connection that stays open; None if the upstream closes each at once.

        The sockets of a crashing process are closed one by one, so it may still accept connections.
        Raises `AttemptError` if it accepts none.
        """
        for _ in range(PROBE_CONNECTIONS):
            connection = await self._table.open_connection(record)
            await trio.sleep(PROBE_HOLD_S)
            if connection.is_usable(trio.current_time()):
                return connection
            connection.close()
        return None

    def _record_replaced(self, record: UpstreamRecord) -> None:
        """Resolve the failures of an incarnation as crashes, since a later one has started."""
        now = trio.current_time()
        found = [failure for failure in self._unresolved if failure.record is record]
        for failure in found:
            self._unresolved.remove(failure)
            if now - failure.at <= RESTART_WITHIN_S:
                self._record_crash(failure.context, record, now)

    def _record_crash(self, context: RequestContext, record: UpstreamRecord, now: float) -> None:
        evidence = context.evidence
        if evidence.is_answered:
            return
        evidence.crashes_since += 1
        evidence.last_crashed = record.registration.incarnation
        earlier = self._local_evidence.pop(context.fingerprint, None)
        crashes = max(evidence.crashes, earlier.crashes if earlier else 0)
        self._local_evidence[context.fingerprint] = _LocalEvidence(crashes, now)
        if len(self._local_evidence) > MAX_EVIDENCE:
            del self._local_evidence[next(iter(self._local_evidence))]
        self._log.record_crash(context, record, evidence.crashes)
        self._report_crashes(context)
        if evidence.crashes >= QUARANTINE_THRESHOLD:
            self._cancel_quarantined({context.fingerprint})

    def _report_crashes(self, context: RequestContext) -> None:
        evidence = context.evidence
        if evidence.is_over and evidence.crashes_since and not evidence.is_answered:
            self._report(
                RequestReport(context.fingerprint, evidence.crashes, evidence.last_crashed)
            )

    def _cancel_quarantined(self, quarantined: set[str]) -> None:
        for context in [
            context for context in self._in_progress if context.fingerprint in quarantined
        ]:
            context.is_quarantined = True
            context.scope.cancel()

    def _shared_suspect(self, context: RequestContext) -> Suspect | None:
        """Return the replicas' current evidence against a request, if any."""
        suspect = self._view.steering.suspects.get(context.fingerprint)
        return suspect if suspect is not None and suspect.is_current else None

    def _local_crashes(self, context: RequestContext, now: float) -> int:
        evidence = self._local_evidence.get(context.fingerprint)
        if evidence is None:
            return 0
        if now - evidence.last_at > EVIDENCE_TTL_S:
            del self._local_evidence[context.fingerprint]
            return 0
        return evidence.crashes

    def _has_no_suspects(self) -> bool:
        """Return whether no request is suspect, so that none needs a fingerprint."""
        return not self._local_evidence and not self._view.steering.suspects
