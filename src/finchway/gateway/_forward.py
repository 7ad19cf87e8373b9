"""Forwards requests to upstreams and their answers to the callers."""

from __future__ import annotations

import functools
import math
import random

import trio

from finchway._clock import WALL_CLOCK
from finchway.catalog import Route, RouteType
from finchway.feed import ClusterView
from finchway.gateway._connection import (
    Answer,
    AttemptError,
    Failure,
    UpstreamConnection,
    read_count,
)
from finchway.gateway._header_names import HOP_HEADERS, HeaderNames
from finchway.gateway._http import (
    BodyTooLongError,
    CallerConnection,
    CallerLeftError,
    CallerRequest,
    Headers,
    Reply,
    cause_of,
    status_of_error,
)
from finchway.gateway._outcome import Outcome, Verdict
from finchway.gateway._record import SHED_BACKOFF_S, UpstreamRecord
from finchway.gateway._request_context import Choice, RequestContext
from finchway.gateway._request_log import RequestLog
from finchway.gateway._router import Router
from finchway.gateway._stop import STOP_OVER, StopState
from finchway.gateway._suspects import Clearance, SuspectTracker
from finchway.gateway._table import UpstreamTable
from finchway.policy import PlannedStop, return_after, return_elsewhere
from finchway.pushback import NO_PUSHBACK, is_own_answer, read_pushback

_RANDOM = random.Random()
CANCELLED = "cancelled: out of time, or the caller left"
LEFT_MIDWAY = "the caller left, or took nothing for too long"
CUT_OFF = "no upstream can be reached from this gateway any more"
# Time that must be left before the deadline for a further attempt: a round trip within a region and
# some work.
_MIN_ATTEMPT_S = 0.02


class Forwarder:
    """Forwards the requests of one gateway."""

    def __init__(
        self,
        view: ClusterView,
        table: UpstreamTable,
        router: Router,
        names: HeaderNames,
        log: RequestLog,
        suspects: SuspectTracker,
        apply_within: float,
    ) -> None:
        self._view = view
        self._table = table
        self._router = router
        self._names = names
        self._log = log
        self._suspects = suspects
        self._apply_within = apply_within
        self._in_flight: set[RequestContext] = set()
        self._waiting: set[RequestContext] = set()
        self._stop = StopState()

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return len(self._in_flight)

    async def serve(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Forward one request of a caller and send the answer."""
        if not self._view.is_ready:
            await self._refuse(connection, request, _retry_later(503), "no configuration yet")
            return
        matched = self._view.steering.catalog.match(request.host, request.path)
        if matched is None:
            await self._refuse_unrouted(connection, request)
            return
        context = self._make_context(request, *matched)
        if context is None:
            await self._refuse(
                connection, request, Reply(400), "request id missing or deadline malformed"
            )
            return
        self._in_flight.add(context)
        try:
            await self._serve_request(connection, context)
        except CallerLeftError:
            raise
        except Exception as error:
            reason = f"failed with {type(cause_of(error)).__name__}"
            self._log.record_ended(context, status_of_error(error), reason)
            raise
        finally:
            self._in_flight.discard(context)

    def begin_stop(self, stop: PlannedStop) -> None:
        """Refuse requests that come late and may outlast the stop; end those left at its end."""
        self._stop.begin(stop, self._in_flight)
        self._log.begin_stop(stop.ends_at)

    def end_stop(self) -> int:
        """Log the requests that are left; return how many the stop has cut off in all."""
        for context in self._in_flight:
            self._stop.count_cut_off()
            self._log.record_ended(context, 0, STOP_OVER)
        return self._stop.cut_off

    def give_up_waiting(self) -> None:
        """End the attempts of requests that may be repeated, after a cut from all upstreams.

        Their callers can repeat them elsewhere. Others wait on: an answer may still come, and
        nobody may repeat them.
        """
        if self._table.reach.has_live_connections(trio.current_time()):
            return
        for context in self._waiting:
            if context.route.type is RouteType.SAFE:
                context.is_given_up = True
                context.scope.cancel()

    async def _refuse_unrouted(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Answer 404 if the gateway's configuration is current, otherwise 503.

        A 404 is final for its caller, and a gateway that is cut off from control may lack a route
        that was accepted long ago.
        """
        if self._view.is_current_as_of(trio.current_time() - self._apply_within):
            await self._refuse(connection, request, Reply(404), "no route")
            return
        await self._refuse(
            connection, request, _retry_later(503), "no route known, but there may be"
        )

    async def _refuse(
        self, connection: CallerConnection, request: CallerRequest, reply: Reply, reason: str
    ) -> None:
        request_id = request.header(self._names.request_id) or ""
        self._log.record_refused(request, request_id, reply.status, reason)
        await connection.reply(reply)

    def _make_context(
        self, request: CallerRequest, name: str, route: Route
    ) -> RequestContext | None:
        request_id = request.header(self._names.request_id)
        if not request_id:
            return None
        allowed = request.header(self._names.deadline_ms)
        try:
            timeout = float(allowed) / 1000 if allowed else route.timeout
        except ValueError:
            return None
        if not math.isfinite(timeout):
            return None
        deadline = request.arrived_at + min(timeout, route.timeout)
        service = self._router.select_service(name, route)
        key = request.header(self._names.affinity_key) if route.affinity else None
        context = RequestContext(
            request,
            name,
            route,
            service,
            request_id,
            key or request_id,
            deadline,
            tried=set(),
            has_key=bool(key),
        )
        if not request.is_streamed:
            context.is_read.set()
        return context

    async def _serve_request(self, connection: CallerConnection, context: RequestContext) -> None:
        left = trio.Event()
        outcome = Outcome(Verdict.LEFT)
        if connection.has_left:
            # After a stall, a gateway must not send the backlog of departed callers upstream.
            self._log.record_ended(context, 0, "the caller had left")
            raise CallerLeftError
        now = trio.current_time()
        if self._stop.may_outlast(context, now):
            self._log.record_ended(context, 503, "may outlast the gateway's stop")
            await connection.reply(self._refusal_at_stop(), close=True)
            return
        clearance = self._suspects.clearance(context, now)
        if clearance is Clearance.REFUSED:
            await self._refuse_quarantined(connection, context)
            return
        context.at_most_once = clearance is Clearance.ONCE
        self._stop.limit(context)
        self._router.count_request(context, now)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_when_left, connection, context, left, nursery.cancel_scope
            )
            with trio.move_on_at(context.deadline), self._suspects.track(context), context.scope:
                outcome = Outcome(Verdict.NOT_RUN, "deadline")
                self._waiting.add(context)
                try:
                    outcome = await self._run_attempts(connection, context)
                except CallerLeftError:
                    left.set()
                except BodyTooLongError:
                    context.is_too_long = True
                finally:
                    self._waiting.discard(context)
            nursery.cancel_scope.cancel()
        if context.is_too_long:
            self._log.record_ended(context, 413, "the body is too long")
            await connection.reply(Reply(413), close=True)
            return
        ended_by = self._ended_early_by(context)
        if ended_by and outcome.answer is None:
            verdict = Verdict.UNKNOWN if context.attempts else Verdict.NOT_RUN
            outcome = Outcome(verdict, ended_by)
            if ended_by == STOP_OVER:
                self._stop.count_cut_off()
        if left.is_set() and outcome.answer is None:
            self._log.record_ended(context, 0, "the caller left")
            raise CallerLeftError
        await self._reply(connection, context, outcome)

    def _ended_early_by(self, context: RequestContext) -> str:
        """Return what ended the attempts for a request before its deadline; empty if nothing."""
        if context.is_quarantined:
            return "quarantined while in flight"
        if context.is_given_up:
            return CUT_OFF
        if self._stop.has_ended(context):
            return STOP_OVER
        return ""

    def _refusal_at_stop(self) -> Reply:
        """Return the refusal of a request that other gateways can serve, if there are any."""
        if self._has_other_gateways():
            return _retry_after(503, return_elsewhere(_RANDOM))
        return _retry_later(503)

    async def _refuse_quarantined(
        self, connection: CallerConnection, context: RequestContext
    ) -> None:
        """Refuse a quarantined request with a Retry-After.

        The status is 503 for "not run" rather than a denial, since it is only inferred that the
        request crashes upstreams.
        """
        after = self._suspects.retry_after(context)
        self._log.record_quarantined(context)
        await connection.reply(Reply(503, headers=((b"Retry-After", f"{after:.0f}".encode()),)))

    async def _cancel_when_left(
        self,
        connection: CallerConnection,
        context: RequestContext,
        left: trio.Event,
        scope: trio.CancelScope,
    ) -> None:
        await context.is_read.wait()
        await connection.wait_closed()
        left.set()
        scope.cancel()

    # Attempts

    async def _run_attempts(self, connection: CallerConnection, context: RequestContext) -> Outcome:
        """Try upstreams in turn; once an attempt may have run, the outcome is not NOT_RUN."""
        outcome = Outcome(Verdict.NOT_RUN, "no upstream")
        while context.attempts < context.route.max_attempts:
            now = trio.current_time()
            denied = self._retry_denial(context, outcome, now) if context.attempts else ""
            choice = None if denied else self._router.choose(context, now)
            if choice is None and not context.attempts:
                return Outcome(Verdict.NOT_RUN, context.refusal)
            if choice is not None and context.attempts and not self._take_retry(context, now):
                denied = "the budget for repeats is used up"
            if denied or choice is None:
                self._log.record_retry_denied(context, denied or context.refusal, outcome)
                return outcome
            context.tried.add(choice.record.registration.instance)
            earlier = outcome
            outcome = await self._attempt(connection, context, choice)
            if outcome.verdict is Verdict.ANSWERED:
                return outcome
            if earlier.verdict is Verdict.UNKNOWN:
                outcome.verdict = Verdict.UNKNOWN
        return outcome

    def _take_retry(self, context: RequestContext, now: float) -> bool:
        """Take one retry from the budget and log what the decision is based on."""
        budget = self._router.budget_state(context.service, now)
        is_granted = self._router.may_retry(context.service, now)
        self._log.record_retry_budget(context, budget, is_granted)
        return is_granted

    def _retry_denial(self, context: RequestContext, outcome: Outcome, now: float) -> str:
        """Return why no further attempt may be made; empty if one may."""
        if context.request.is_streamed:
            return "the body was streamed"
        may_have_run = outcome.verdict is Verdict.UNKNOWN
        if may_have_run and context.route.type is not RouteType.SAFE:
            return "it may have run and must not run twice"
        if self._stop.upstream_deadline(context) - now < _MIN_ATTEMPT_S:
            return "no time left"
        if may_have_run and (context.at_most_once or not self._suspects.may_retry(context, now)):
            return "upstreams have ended under it"
        return ""

    async def _attempt(
        self, connection: CallerConnection, context: RequestContext, choice: Choice
    ) -> Outcome:
        record = choice.record
        context.pushback = NO_PUSHBACK
        now = started = trio.current_time()
        reserved = self._table.reserve(
            record, context.request_id, context.key, now, context.carried_by
        )
        upstream = None
        whole = streams = False
        outcome = Outcome(Verdict.UNKNOWN, CANCELLED)
        try:
            upstream = await self._table.connect(reserved, now)
            reserved.is_sent = True
            record.in_use.add(upstream)
            context.attempts += 1
            answer = await self._exchange(connection, context, record, upstream, now)
            outcome = self._classify_answer(context, choice, upstream, answer, now)
            whole = answer.complete
            streams = not whole and outcome.verdict is Verdict.ANSWERED
            return outcome
        except AttemptError as error:
            outcome = self._classify_failure(context, record, error)
            return outcome
        finally:
            self._table.release(reserved, outcome.verdict is Verdict.ANSWERED)
            if outcome.detail == CANCELLED and trio.current_time() >= context.deadline:
                self._record_timeout(context, record, upstream, started)
            self._log.record_attempt(context, choice, outcome, started, upstream)
            if upstream is not None:
                record.in_use.discard(upstream)
                if whole:
                    self._table.put_back(record, upstream)
                elif not streams:
                    upstream.close()

    def _classify_failure(
        self, context: RequestContext, record: UpstreamRecord, error: AttemptError
    ) -> Outcome:
        """Return the outcome of a failed attempt and update the upstream's record."""
        now = trio.current_time()
        match error.failure:
            case Failure.UNWANTED:
                return Outcome(Verdict.NOT_RUN, error.detail, record=record)
            case Failure.NOT_CONNECTED | Failure.REFUSED:
                self._router.record_broken(record)
                record.record_failure(now)
                record.close_idle()
                return Outcome(Verdict.NOT_RUN, error.detail, record=record)
            case Failure.SILENT:
                self._router.record_broken(record)
                record.back_off(now, SHED_BACKOFF_S)
                record.close_idle()
            case Failure.BROKEN:
                self._router.record_broken(record)
                record.back_off(now, SHED_BACKOFF_S)
                self._suspects.record_broken(context, record)
        return Outcome(Verdict.UNKNOWN, error.detail, record=record)

    def _record_timeout(
        self,
        context: RequestContext,
        record: UpstreamRecord,
        upstream: UpstreamConnection | None,
        started: float,
    ) -> None:
        """Record an attempt that reached its deadline, unless that was too tight to tell anything.

        A reused connection may be dead without a reset, and the other idle ones with it, so these
        are closed before further requests time out on them.
        """
        if self._router.had_tight_deadline(context, started):
            return
        record.record_timeout(trio.current_time())
        self._router.record_timeout(context, record)
        if upstream is not None and upstream.is_reused:
            record.close_idle()

    async def _exchange(
        self,
        connection: CallerConnection,
        context: RequestContext,
        record: UpstreamRecord,
        upstream: UpstreamConnection,
        sent_at: float,
    ) -> Answer:
        request = context.request
        headers = self._headers(context, record)
        on_head = functools.partial(self._record_head, context, record, sent_at)
        if not request.is_streamed:
            await upstream.send(request.method, request.target, headers, request.body)
            return await upstream.receive(self._names.request_id, context.request_id, on_head)
        await upstream.send_start(request.method, request.target, headers, request.body)
        context.drop_body()
        connection.release_body()
        while (part := await connection.read_more()) is not None:
            await upstream.send_part(part)
        context.is_read.set()
        await upstream.send_end()
        return await upstream.receive(self._names.request_id, context.request_id, on_head)

    def _record_head(
        self, context: RequestContext, record: UpstreamRecord, sent_at: float, answer: Answer
    ) -> None:
        """Apply the pushback in the head of an answer.

        A stray answer may be older than the current request was sent, so it says nothing of limits,
        whose latest word counts, nor of this request. A backoff that it requests is kept.
        """
        names = self._names
        now = trio.current_time()
        self._table.record_answer(record, now)
        pushback = read_pushback(
            answer.status, answer.headers, names.leaving, names.limit, WALL_CLOCK.now()
        )
        if is_own_answer(answer.status) and not answer.is_stray:
            self._table.limits.record(record.registration.incarnation, pushback, sent_at, now)
        if pushback is NO_PUSHBACK:
            return
        if not answer.is_stray:
            context.pushback = pushback
        self._table.record_pushback(record, pushback, now)
        self._log.count_pushback(context.service, pushback)

    def _headers(self, context: RequestContext, record: UpstreamRecord) -> Headers:
        names = self._names
        request = context.request
        connection = (request.header(b"connection") or "").lower()
        listed = {word.strip().encode("latin-1") for word in connection.split(",")}
        own = {names.deadline_ms, names.expected_instance}
        kept = [
            (name, value)
            for name, value in request.headers
            if name not in HOP_HEADERS and name not in listed and name not in own
        ]
        left_s = self._stop.upstream_deadline(context) - trio.current_time()
        left_ms = max(1, int(left_s * 1000))
        kept.append((names.deadline_ms, str(left_ms).encode()))
        kept.append((names.expected_instance, record.registration.instance.encode()))
        framed = any(name == b"content-length" for name, _ in kept)
        if not framed and request.is_streamed:
            kept.append((b"transfer-encoding", b"chunked"))
        elif not framed and (request.body or request.method not in ("GET", "HEAD")):
            kept.append((b"content-length", str(len(request.body)).encode()))
        return kept

    def _classify_answer(
        self,
        context: RequestContext,
        choice: Choice,
        upstream: UpstreamConnection,
        answer: Answer,
        sent_at: float,
    ) -> Outcome:
        record = choice.record
        now = trio.current_time()
        self._record_load(record, answer, now)
        refused = answer.status == 421 or answer.header(self._names.not_executed) is not None
        if not refused:
            record.record_success()
            self._router.record_answer(context, choice, answer.status, now - sent_at, now)
            if answer.status < 500:
                # A 5xx does not show that the request ran: it may have timed out in a queue.
                self._suspects.record_answered(context)
            return Outcome(Verdict.ANSWERED, "", answer, upstream, record)
        if answer.status == 421:
            record.record_failure(now)
            record.close_idle()
        elif context.pushback.backoff_s > 0:
            # The upstream requested a backoff, so its free slots must not be used for the retry.
            record.back_off(now, SHED_BACKOFF_S)
        elif self._router.record_refused(record, now):
            # The key is warm here, so the retry may go to the same upstream.
            context.tried.discard(record.registration.instance)
        else:
            record.back_off(now, SHED_BACKOFF_S)
        return Outcome(Verdict.NOT_RUN, f"refused with {answer.status}", record=record)

    def _record_load(self, record: UpstreamRecord, answer: Answer, now: float) -> None:
        parts = (answer.header(self._names.load) or "").split(",")
        counts = [read_count(part) for part in parts[:2]]
        if len(counts) == 2 and None not in counts:
            record.record_load(*counts, now)

    # Answers

    async def _reply(
        self, connection: CallerConnection, context: RequestContext, outcome: Outcome
    ) -> None:
        if outcome.answer is not None:
            await self._relay_answer(connection, context, outcome)
            return
        out_of_time = trio.current_time() >= context.deadline
        if outcome.verdict is Verdict.NOT_RUN and not (out_of_time and context.attempts):
            reply = self._refusal(context)
        else:
            reply = Reply(504 if out_of_time else 502)
        self._log.record_ended(context, reply.status, outcome.detail)
        await connection.reply(reply, close=self._table.reach.is_cut_off)

    def _refusal(self, context: RequestContext) -> Reply:
        """Return the refusal of a request that did not run, with the time to come back."""
        if self._table.reach.is_cut_off and self._has_other_gateways():
            return _retry_after(503, return_elsewhere(_RANDOM))
        now = trio.current_time()
        context.available_in_s = self._router.available_in(context, now)
        return _retry_later(503, context.available_in_s, self._router.on_time_in(context, now))

    def _has_other_gateways(self) -> bool:
        """Return whether other gateways are listed that callers can be sent to."""
        return any(name != self._table.name for name in self._view.serving)

    async def _relay_answer(
        self, connection: CallerConnection, context: RequestContext, outcome: Outcome
    ) -> None:
        answer = outcome.answer
        headers = [(n, v) for n, v in answer.headers if n not in HOP_HEADERS]
        if answer.complete:
            self._log.record_ended(context, answer.status, "answered")
            if not any(name == b"content-length" for name, _ in headers):
                headers.append((b"content-length", str(len(answer.body)).encode()))
            await connection.send_whole(answer.status, answer.reason, headers, answer.body)
            return
        try:
            cut_by = await self._relay_long_answer(connection, context, outcome, headers)
        finally:
            outcome.connection.close()
        self._log.record_ended(
            context, answer.status, f"cut short: {cut_by}" if cut_by else "answered"
        )
        if cut_by:
            await connection.abort()
            raise CallerLeftError

    async def _relay_long_answer(
        self,
        connection: CallerConnection,
        context: RequestContext,
        outcome: Outcome,
        headers: Headers,
    ) -> str:
        """Pass on an answer as it arrives, until the request's deadline or its caller leaves.

        Return what cut it short; empty if nothing did.
        """
        cut_by = LEFT_MIDWAY
        left = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_when_left, connection, context, left, nursery.cancel_scope
            )
            with trio.move_on_at(context.deadline) as in_time:
                cut_by = await self._relay_parts(connection, outcome, headers)
            if in_time.cancelled_caught:
                cut_by = "not whole at its deadline"
            nursery.cancel_scope.cancel()
        return cut_by

    async def _relay_parts(
        self, connection: CallerConnection, outcome: Outcome, headers: Headers
    ) -> str:
        """Pass on an answer to its end; return what cut it short."""
        answer = outcome.answer
        try:
            await connection.send_head(answer.status, answer.reason, headers)
            await connection.send_part(answer.body)
            answer.body = b""
            while (part := await outcome.connection.read_part()) is not None:
                await connection.send_part(part)
            await connection.send_end()
        except AttemptError as error:
            return error.detail
        except CallerLeftError:
            return LEFT_MIDWAY
        return ""


def _retry_later(status: int, available_in: float = 0.0, on_time_in: float = 0.0) -> Reply:
    """Return a refusal with a Retry-After that spreads the callers' returns."""
    return _retry_after(status, return_after(available_in, on_time_in, _RANDOM))


def _retry_after(status: int, after: float) -> Reply:
    return Reply(status, headers=((b"Retry-After", f"{after:.2f}".encode()),))
