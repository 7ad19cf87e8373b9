"""Logs and counts callers' requests and the attempts for them."""

from __future__ import annotations

from collections.abc import Callable

import trio

from finchway.feed import ClusterView
from finchway.gateway._connection import UpstreamConnection
from finchway.gateway._http import CallerRequest
from finchway.gateway._outcome import Outcome, Verdict
from finchway.gateway._record import UpstreamRecord
from finchway.gateway._request_context import Choice, RequestContext
from finchway.observe import (
    AttemptEnded,
    DecisionLog,
    GatewayMetrics,
    LoopLag,
    RequestEnded,
    RetryBudgeted,
    RetryDenied,
    StateChanged,
    UpstreamCrashed,
)
from finchway.policy import BudgetState
from finchway.pushback import Pushback


class RequestLog:
    """The log lines and metrics of requests; each line includes the state it is based on."""

    def __init__(
        self,
        view: ClusterView,
        decisions: DecisionLog,
        metrics: GatewayMetrics,
        lag: LoopLag,
        contact_at: Callable[[], float] = lambda: float("-inf"),
    ) -> None:
        self._contact_at = contact_at
        self._view = view
        self._decisions = decisions
        self._metrics = metrics
        self._lag = lag
        self._started_at = trio.current_time()
        self._stop_ends_at: float | None = None

    def begin_stop(self, ends_at: float) -> None:
        """Add the time left of the gateway's stop to all further lines on requests."""
        self._stop_ends_at = ends_at

    def record_refused(
        self, request: CallerRequest, request_id: str, status: int, reason: str
    ) -> None:
        """Log a request that was refused before a route was selected."""
        now = trio.current_time()
        self._decisions.write(
            RequestEnded(
                id=request_id,
                route=f"{request.host}{request.path}",
                status=status,
                reason=reason,
                ms=_ms(now - request.arrived_at),
                revision=self._view.steering.revision,
                heard_ms=_ms(now - self._view.last_contact_at),
                known_ms=_ms(now - self._view.current_as_of),
                up_ms=_ms(now - self._started_at),
                lag_ms=_ms(self._lag.max_s),
                stop_left_ms=self._stop_left_ms(now),
            )
        )

    def record_refused_unread(
        self, id_header: bytes, request: CallerRequest, status: int, reason: str
    ) -> None:
        """Log a request that was refused before its body was read."""
        self.record_refused(request, request.header(id_header) or "", status, reason)

    def record_ended(self, context: RequestContext, status: int, reason: str) -> None:
        """Log and count the end of a request; the status is 0 if no answer was sent."""
        now = trio.current_time()
        request = context.request
        self._metrics.count_request(
            context.service, context.route.priority, status, now - request.arrived_at
        )
        self._decisions.write(
            RequestEnded(
                id=context.request_id,
                route=context.route_name,
                service=context.service,
                priority=context.route.priority,
                status=status,
                reason=reason,
                attempts=context.attempts,
                ms=_ms(now - request.arrived_at),
                budget_ms=_ms(context.deadline - request.arrived_at),
                back_ms=_ms(context.available_in_s) or None,
                digest="" if 0 < status < 400 else context.digest,
                reached_ms=None if 0 < status < 400 else _ms(now - self._contact_at()),
                stop_left_ms=self._stop_left_ms(now),
                revision=self._view.steering.revision,
                heard_ms=_ms(now - self._view.last_contact_at),
                known_ms=_ms(now - self._view.current_as_of),
            )
        )

    def record_attempt(
        self,
        context: RequestContext,
        choice: Choice,
        outcome: Outcome,
        started: float,
        connection: UpstreamConnection | None,
    ) -> None:
        """Log and count an attempt, with the reasons for its upstream and its connection if any."""
        registration = choice.record.registration
        self._metrics.count_attempt(context.service, outcome.verdict.value)
        self._decisions.write(
            AttemptEnded(
                id=context.request_id,
                number=context.attempts,
                key=context.key,
                upstream=registration.incarnation,
                zone=registration.zone,
                region=choice.region,
                reason=choice.reason.value,
                busy=round(choice.estimated_load, 1),
                slots=registration.slots,
                report_ms=_ms(choice.report_age),
                heard_ms=_ms(choice.feed_age),
                kept=round(choice.local_share, 3),
                choices=context.upstream_count,
                connection=0 if connection is None else connection.number,
                strays=0 if connection is None else connection.stray_answers,
                result=outcome.verdict.value,
                detail=outcome.detail,
                digest=context.fingerprint if outcome.verdict is Verdict.UNKNOWN else "",
                passed_over=choice.skipped.in_backoff,
                rest_left_ms=_ms(choice.backoff_left) or None,
                asked_ms=_ms(context.pushback.backoff_s) or None,
                leaving=context.pushback.leaving,
                limit=choice.limit,
                limit_ms=None if choice.limit is None else _ms(choice.limit_age),
                limit_part=None if choice.part is None else round(choice.part.rate, 3),
                limit_holders=0 if choice.part is None else choice.part.holders,
                at_limit=choice.skipped.at_limit,
                outliers=choice.skipped.outliers,
                named_limit=context.pushback.limit,
                ms=_ms(trio.current_time() - started),
            )
        )

    def count_pushback(self, service: str, pushback: Pushback) -> None:
        """Count the pushback of an answer by kind."""
        if pushback.backoff_s > 0:
            self._metrics.count_pushback(service, "rest")
        if pushback.leaving:
            self._metrics.count_pushback(service, "leaving")
        if pushback.limit is not None:
            self._metrics.count_pushback(service, "limit")
        if pushback.invalid_retry_after or pushback.invalid_limit is not None:
            self._metrics.count_pushback(service, "unreadable")

    def record_quarantined(self, context: RequestContext) -> None:
        """Log and count a request that is refused because it is quarantined."""
        self._metrics.count_quarantined(context.service)
        self.record_ended(context, 503, "quarantined: upstreams end under it")

    def record_crash(self, context: RequestContext, record: UpstreamRecord, crashes: int) -> None:
        """Log and count that an upstream has crashed while it handled a request."""
        request = context.request
        self._metrics.count_crash(context.service)
        self._decisions.write(
            UpstreamCrashed(
                id=context.request_id,
                digest=context.fingerprint,
                caller=request.caller,
                target=f"{request.method} {request.host}{request.path}",
                upstream=record.registration.incarnation,
                address=record.registration.address,
                ended=crashes,
                under_way=record.in_flight,
            )
        )

    def record_unprobed(self, context: RequestContext, record: UpstreamRecord) -> None:
        """Log that an upstream is not probed since the queue of probes is full."""
        self._decisions.write(
            StateChanged(
                subject=f"upstream/{record.registration.instance}",
                now="connection failed; not probed, too many probes are queued",
                source=f"request/{context.fingerprint}",
            )
        )

    def record_retry_budget(
        self, context: RequestContext, budget: BudgetState, is_granted: bool
    ) -> None:
        """Log a decision on a retry by the budget, with its inputs, and count a granted one."""
        now = trio.current_time()
        known = budget.gateways
        if is_granted:
            self._metrics.count_retry_granted(context.service)
        self._decisions.write(
            RetryBudgeted(
                id=context.request_id,
                service=context.service,
                granted=is_granted,
                requests=budget.requests,
                before=budget.granted,
                left=round(budget.left, 2),
                gateways=0 if known is None else known.count,
                settled=known is not None and known.is_settled,
                heard_ms=_ms(now - self._view.last_contact_at),
                up_ms=_ms(now - self._started_at),
            )
        )

    def record_retry_denied(self, context: RequestContext, reason: str, outcome: Outcome) -> None:
        """Log and count that a request is not retried."""
        self._metrics.count_retry_denied(context.service, reason)
        self._decisions.write(
            RetryDenied(
                id=context.request_id, service=context.service, reason=reason, after=outcome.detail
            )
        )

    def _stop_left_ms(self, now: float) -> float | None:
        return None if self._stop_ends_at is None else _ms(self._stop_ends_at - now)


def _ms(seconds: float) -> float:
    """Return milliseconds; -1 for infinity."""
    return round(seconds * 1000, 1) if seconds != float("inf") else -1.0
