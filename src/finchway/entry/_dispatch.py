"""Request dispatch in an entry: admission, upstream choice, forwarding and retries.

The dispatcher does no I/O itself. The upstream client and the idempotency-key claims are passed
in, so that tests and benchmarks can run it on virtual time with fakes.
"""

from __future__ import annotations

import functools
import itertools
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager

import msgspec
import trio

from finchway.entry._attempt_results import AttemptResults
from finchway.entry._call import (
    Answer,
    Body,
    Call,
    CallError,
    Headers,
    UpstreamError,
    refused,
)
from finchway.entry._claims import MAX_STORED_BYTES, ClaimClient
from finchway.entry._view import EntryView
from finchway.observe import EventKind, Metrics, Timeline
from finchway.policy import (
    Attempt,
    Caller,
    Grant,
    Outcome,
    Refusal,
    RetryBudget,
    Ticket,
    client_block,
    may_retry,
    retry_after,
)
from finchway.pushback import is_own_answer
from finchway.resources import Service

MAX_BUFFERED_BYTES = 65_536
QUEUE_INTERVAL_S = 0.02
# A timeout counts against an upstream only if the request had at least this multiple of the mean
# service time.
TIGHT_DEADLINE_FACTOR = 2.0
_DROPPED_REQUEST_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"host",
        b"authorization",
        b"content-length",
        b"expect",
    }
)
_DROPPED_RESPONSE_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"transfer-encoding",
        b"upgrade",
        b"trailer",
        b"finchway-attempt-id",
    }
)


class Dispatcher:
    """Forwards callers' requests to upstreams."""

    def __init__(
        self,
        view: EntryView,
        client,
        claims: ClaimClient,
        timeline: Timeline,
        metrics: Metrics,
        may_serve: Callable[[], bool],
        make_budget: Callable[[], RetryBudget] = RetryBudget,
    ) -> None:
        self._view = view
        self._client = client
        self._claims = claims
        self._timeline = timeline
        self._metrics = metrics
        self._results = AttemptResults(view, timeline, metrics)
        self._may_serve = may_serve
        self._make_budget = make_budget
        self._budgets: dict[str, RetryBudget] = {}
        self._ticket_numbers = itertools.count(1)
        self._waiting: dict[int, _QueuedRequest] = {}
        self._has_waiting = trio.Event()

    async def run(self) -> None:
        """Process queued requests at a fixed interval while there are any."""
        while True:
            if not self._waiting:
                await self._has_waiting.wait()
            self._has_waiting = trio.Event()
            self.process_queue()
            await trio.sleep(QUEUE_INTERVAL_S)

    def process_queue(self, service: str | None = None) -> None:
        """Grant free slots to queued requests and refuse those that cannot meet their deadline."""
        for ticket, decision in self._view.gate.process_queues(trio.current_time(), service):
            self._deliver(ticket, decision)

    async def serve(self, call: Call, body: Body, respond) -> None:
        """Serve one request; `respond` is called with the response while its stream is open.

        Raises `CallError` if the caller is to receive an error response instead.
        """
        service = self._view.service(call.service)
        if not self._may_serve():
            detail = "this entry is cut off from control and from its fellows"
            raise CallError("isolated", 503, Outcome.NOT_RUN, detail, 1.0)
        if service.once_only:
            await self._serve_once_only(call, service, body, respond)
        else:
            await self._run_attempts(call, service, body, respond)

    async def _serve_once_only(self, call: Call, service: Service, body: Body, respond) -> None:
        if not body.is_whole:
            detail = f"requests with an Idempotency-Key are limited to {MAX_BUFFERED_BYTES} bytes"
            raise CallError("too-large", 413, Outcome.NOT_RUN, detail)
        claimed = await self._claims.claim(call, body.held, service.retain_s)
        if isinstance(claimed, Answer):
            await respond(claimed)
            return
        settled = False

        async def store_and_respond(answer: Answer) -> None:
            nonlocal settled
            whole = await _complete_body(answer, MAX_STORED_BYTES)
            await self._claims.complete(call, claimed, answer, whole)
            settled = True
            await respond(answer)

        try:
            await self._run_attempts(call, service, body, store_and_respond)
        except CallError as error:
            if settled:
                raise
            if error.outcome is Outcome.NOT_RUN:
                settled = True
                if not await self._claims.release(call, claimed):
                    detail = "the request did not run, but its key is not released yet"
                    raise CallError("release-pending", 503, Outcome.NOT_RUN, detail, 2.0) from error
            raise
        finally:
            if not settled:
                self._claims.mark_unknown(call, claimed)
                self._timeline.record(EventKind.CLAIM_UNKNOWN, f"{call.service}/{call.key}")

    async def _run_attempts(self, call: Call, service: Service, body: Body, respond) -> None:
        history = _AttemptHistory()
        is_answered = False
        while not is_answered:
            with self._candidate_regions(call) as regions:
                is_answered = await self._try_once(call, service, body, respond, regions, history)

    async def _try_once(
        self,
        call: Call,
        service: Service,
        body: Body,
        respond,
        regions: tuple[str, ...],
        history: _AttemptHistory,
    ) -> bool:
        """Make one attempt; return False if it failed and may be retried."""
        try:
            grant = await self._admit(call, regions, history.excluded)
        except CallError as error:
            raise _with_earlier_attempts(error, history.may_have_run) from error
        response_state = _ResponseState()
        try:
            await self._run_attempt(call, grant, body, respond, response_state)
        except UpstreamError as error:
            if response_state.is_started:
                raise
            history.record_failure(grant.address, error.outcome)
            if not self._may_retry(call, service, body, error, history.count):
                final = _as_call_error(error, call, self._retry_delay_s(call, regions))
                raise _with_earlier_attempts(final, history.may_have_run) from error
            self._metrics.count_retry(call.service)
            return False
        self._budget(call.service).earn()
        return True

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._make_budget()
        return budget

    def _may_retry(
        self, call: Call, service: Service, body: Body, error: UpstreamError, count: int
    ) -> bool:
        attempt = Attempt(
            count,
            error.outcome,
            service.repeatable and not service.once_only,
            body.is_whole,
            call.deadline - trio.current_time(),
        )
        expected = self._view.gate.mean_hold_s(call.service)
        return may_retry(attempt, self._budget(call.service), expected)

    @contextmanager
    def _candidate_regions(self, call: Call) -> Iterator[tuple[str, ...]]:
        """Yield the regions for one attempt; ends a trial of a region that is down afterwards."""
        caller = Caller(client_block(call.client), call.organisation)
        now = trio.current_time()
        choice = self._view.candidates(call.service, call.home, caller, call.rank, now)
        try:
            yield choice.regions
        finally:
            if choice.trial is not None:
                choice.trial.end()

    def _retry_delay_s(self, call: Call, regions: tuple[str, ...]) -> float:
        """Return the seconds after which a caller should retry a request that did not run."""
        now = trio.current_time()
        available_in = self._view.gate.available_in_s(call.service, regions, now, frozenset())
        return max(4 * self._view.gate.mean_hold_s(call.service), available_in)

    async def _admit(self, call: Call, regions: tuple[str, ...], excluded: frozenset[str]) -> Grant:
        now = trio.current_time()
        ticket = Ticket(
            next(self._ticket_numbers), call.rank, call.deadline, now, regions, excluded
        )
        decision, evicted = self._view.gate.request_slot(call.service, ticket, now)
        for other, refusal in evicted:
            self._deliver(other, refusal)
        if decision is None:
            decision = await self._wait_for_decision(call.service, ticket)
        match decision:
            case Refusal():
                raise refused(decision)
        return decision

    async def _wait_for_decision(self, service: str, ticket: Ticket) -> Grant | Refusal:
        waiting = self._waiting[ticket.sequence] = _QueuedRequest()
        self._has_waiting.set()
        try:
            await waiting.event.wait()
            return waiting.decision
        except trio.Cancelled:
            if not self._view.gate.withdraw(service, ticket):
                self._return_grant(waiting.decision)
            raise
        finally:
            del self._waiting[ticket.sequence]

    def _return_grant(self, decision: Grant | Refusal | None) -> None:
        if isinstance(decision, Grant):
            self._view.gate.release(decision, trio.current_time(), False, was_sent=False)
            self.process_queue(decision.service)

    def _deliver(self, ticket: Ticket, decision: Grant | Refusal) -> None:
        waiting = self._waiting.get(ticket.sequence)
        if waiting is not None:
            waiting.decision = decision
            waiting.event.set()

    async def _run_attempt(
        self, call: Call, grant: Grant, body: Body, respond, response_state: _ResponseState
    ) -> None:
        succeeded = False
        slot = _HeldSlot(grant)
        try:
            with trio.move_on_at(call.deadline) as scope:
                await self._exchange(call, slot, body, respond, response_state)
                succeeded = True
            if scope.cancelled_caught:
                detail = f"{grant.address} did not respond before the deadline"
                raise UpstreamError(
                    Outcome.UNKNOWN, detail, healthy=self._had_tight_deadline(call, grant)
                )
        except UpstreamError as error:
            slot.was_sent = error.was_sent
            self._results.record_failure(grant.address, error)
            raise
        finally:
            self._view.gate.release(slot.grant, trio.current_time(), succeeded, slot.was_sent)
            self.process_queue(call.service)

    def _had_tight_deadline(self, call: Call, grant: Grant) -> bool:
        """Return whether the deadline was too tight for a timeout to count against the upstream.

        Otherwise a few callers with short timeouts could get healthy upstreams ejected and their
        region marked as down for all callers.
        """
        mean_s = self._view.gate.mean_hold_s(call.service)
        return call.deadline - grant.at < TIGHT_DEADLINE_FACTOR * mean_s

    async def _exchange(
        self, call: Call, slot: _HeldSlot, body: Body, respond, response_state: _ResponseState
    ) -> None:
        grant = slot.grant
        sent_at = trio.current_time()
        content = body.held if body.is_whole else body.stream()
        headers = self._request_headers(call, body)
        may_send = functools.partial(self._may_still_send, slot)
        opened = self._client.open(
            grant.address, call.method, call.target, headers, content, may_send
        )
        async with opened as reply:
            self._results.record_metadata(call.service, grant.address, reply.metadata)
            if is_own_answer(reply.status):
                self._results.record_limit(
                    call.service, grant.address, reply.metadata.pushback, sent_at
                )
            if reply.metadata.not_run:
                self._view.directory.record_refusal(grant.address, trio.current_time())
                raise UpstreamError(
                    Outcome.NOT_RUN,
                    f"{grant.address} refused the request before running it",
                    healthy=True,
                )
            chunks = reply.chunks()
            held, rest = await _read_buffered(chunks)
            answer = Answer(
                reply.status,
                [(n, v) for n, v in reply.headers if n.lower() not in _DROPPED_RESPONSE_HEADERS],
                held,
                rest,
                grant.address,
                grant.region,
            )
            response_state.is_started = rest is not None
            if rest is None:
                self._results.record_success(grant.address)
            await respond(answer)
            if rest is not None:
                self._results.record_success(grant.address)

    def _may_still_send(self, slot: _HeldSlot) -> bool:
        """Check again for a backoff or rate limit once a new connection is established."""
        directory = self._view.directory
        address, now = slot.grant.address, trio.current_time()
        if directory.backoff_left_s(address, now) > 0:
            return False
        if slot.grant.is_counted:
            return True
        if not directory.is_below_limit(address, now):
            return False
        is_counted = directory.take_token(address, now)
        slot.grant = msgspec.structs.replace(slot.grant, is_counted=is_counted)
        return True

    def _request_headers(self, call: Call, body: Body) -> Headers:
        left_ms = max(1, int((call.deadline - trio.current_time()) * 1000))
        headers = [(n, v) for n, v in call.headers if n.lower() not in _DROPPED_REQUEST_HEADERS]
        headers.append((b"host", call.service.encode()))
        headers.append((b"finchway-deadline-ms", str(left_ms).encode()))
        headers.append((b"finchway-organisation", call.organisation.encode()))
        if body.is_whole:
            if body.held or call.method in ("POST", "PUT", "PATCH"):
                headers.append((b"content-length", str(len(body.held)).encode()))
        else:
            headers.append((b"transfer-encoding", b"chunked"))
        return headers


class _QueuedRequest:
    """A queued request; `event` is set once `decision` is available."""

    __slots__ = ("decision", "event")

    def __init__(self) -> None:
        self.event = trio.Event()
        self.decision: Grant | Refusal | None = None


class _HeldSlot:
    """The slot held by one attempt; `was_sent` is false if the request was never sent."""

    __slots__ = ("grant", "was_sent")

    def __init__(self, grant: Grant) -> None:
        self.grant = grant
        self.was_sent = True


class _AttemptHistory:
    """Failed attempts of one request: their count, the upstreams, and whether any may have run."""

    __slots__ = ("count", "excluded", "may_have_run")

    def __init__(self) -> None:
        self.count = 0
        self.excluded: frozenset[str] = frozenset()
        self.may_have_run = False

    def record_failure(self, address: str, outcome: Outcome) -> None:
        self.count += 1
        self.excluded |= {address}
        self.may_have_run = self.may_have_run or outcome is not Outcome.NOT_RUN


class _ResponseState:
    """Whether a streamed response to the caller has been started."""

    __slots__ = ("is_started",)

    def __init__(self) -> None:
        self.is_started = False


async def _read_buffered(chunks: AsyncIterator[bytes]) -> tuple[bytes, AsyncIterator[bytes] | None]:
    """Buffer a response body up to a bound; return it and the unread remainder, if any."""
    held: list[bytes] = []
    size = 0
    async for chunk in chunks:
        held.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_BYTES:
            return b"".join(held), chunks
    return b"".join(held), None


async def _complete_body(answer: Answer, limit: int) -> bytes | None:
    """Return the whole body if it is small enough to be stored; else None."""
    if answer.rest is None and len(answer.held) <= limit:
        return answer.held
    return None


def _with_earlier_attempts(error: CallError, may_have_run: bool) -> CallError:
    """Replace a `not-run` error if an earlier attempt of the same request may have run.

    The status changes too: a client that reads only the status would retry after a 503.
    """
    if not may_have_run or error.outcome is not Outcome.NOT_RUN:
        return error
    return CallError(
        "broken", 502, Outcome.UNKNOWN, f"an earlier attempt may have run; then {error.detail}"
    )


def _as_call_error(error: UpstreamError, call: Call, retry_delay_s: float) -> CallError:
    if error.outcome is Outcome.NOT_RUN:
        detail = f"no upstream accepted the request: {error.detail}"
        return CallError("not-run", 503, Outcome.NOT_RUN, detail, retry_after(retry_delay_s))
    if trio.current_time() >= call.deadline:
        return CallError("deadline", 504, error.outcome, error.detail)
    return CallError("broken", 502, error.outcome, error.detail)
