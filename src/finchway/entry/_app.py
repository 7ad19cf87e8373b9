"""ASGI application for callers: steering answers and requests to services.

GET /steer/{service}     entries to use, with their time to live and revision
ANY /s/{service}/...     a request to the service, forwarded with the path after its name
GET /healthz /readyz /metrics
"""

from __future__ import annotations

import hashlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import trio
from msgspec import Struct

from finchway.entry._call import Answer, Call, CallError, UpstreamError
from finchway.entry._dispatch import MAX_BUFFERED_BYTES, Dispatcher
from finchway.entry._view import EntryView
from finchway.exceptions import NoRoomError
from finchway.observe import Metrics
from finchway.policy import Caller, Outcome, PlannedStop, client_block
from finchway.transport import STALLED_AFTER_S
from finchway.transport._http import (
    PROMETHEUS_TEXT,
    BodyCollector,
    BodyTooLargeError,
    Problem,
    Request,
    send,
    send_json,
    send_problem,
    send_start,
)

MAX_STEER_ENTRIES = 4
MAX_KEY_LENGTH = 200
# Digits of a caller's timeout in milliseconds; a longer one is beyond every service's deadline.
MAX_TIMEOUT_DIGITS = 15
MAX_CONCURRENT_REQUESTS = 4_000


class SteerPoint(Struct, frozen=True):
    """One entry of a steering answer."""

    instance: str
    address: str
    zone: str
    region: str


class SteerAnswer(Struct, frozen=True):
    """A steering answer; callers may cache it for `ttl_ms`."""

    service: str
    entries: list[SteerPoint]
    ttl_ms: int
    revision: int


class EntryState(Struct):
    """Callbacks to the rest of the process.

    `is_current` returns whether the leader has recently confirmed the entry's revision.
    """

    is_ready: Callable[[], bool]
    is_current: Callable[[], bool]
    is_leaving: Callable[[], bool]
    before_metrics: Callable[[], None]


class CallerBody:
    """A request body that is buffered up to a bound and streamed beyond it."""

    __slots__ = ("_collected", "_held", "_limit", "_has_more", "_receive", "_size", "_is_streamed")

    def __init__(self, receive, limit: int, collected: BodyCollector) -> None:
        self._receive = receive
        self._collected = collected
        self._limit = limit
        self._held = b""
        self._size = 0
        self._has_more = True
        self._is_streamed = False

    @property
    def is_whole(self) -> bool:
        """Whether the whole body is buffered."""
        return not self._has_more

    @property
    def held(self) -> bytes:
        """The buffered part of the body."""
        return self._held

    async def fill(self) -> None:
        """Buffer the body up to the bound; raises `NoRoomError` if there is no room for it."""
        while self._has_more and self._size <= MAX_BUFFERED_BYTES:
            part = await self._next()
            self._collected.append(part, self._has_more)
        self._held = self._collected.take()

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the buffered part, then the remainder as it arrives."""
        if self._is_streamed:
            raise UpstreamError(Outcome.UNKNOWN, "a streamed request body cannot be sent again")
        self._is_streamed = True
        yield self._held
        while self._has_more:
            yield await self._next()

    async def wait_disconnect(self) -> None:
        """Return when the caller disconnects; may be called only after the body has been read."""
        while True:
            event = await self._receive()
            if event["type"] == "http.disconnect":
                return

    async def _next(self) -> bytes:
        event = await self._receive()
        if event["type"] == "http.disconnect":
            raise CallerGoneError
        chunk = event.get("body", b"")
        self._size += len(chunk)
        if self._size > self._limit:
            raise BodyTooLargeError
        self._has_more = event.get("more_body", False)
        return chunk


class CallerGoneError(Exception):
    """The caller disconnected before its request was complete or answered."""


class EntryApp:
    """The caller-facing application of one entry."""

    def __init__(
        self, view: EntryView, dispatcher: Dispatcher, metrics: Metrics, state: EntryState
    ) -> None:
        self._view = view
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._state = state
        self._concurrent_requests = 0
        self._stop: PlannedStop | None = None

    @property
    def concurrent_requests(self) -> int:
        """The number of requests that are being served."""
        return self._concurrent_requests

    def begin_stop(self, stop: PlannedStop) -> None:
        """Refuse requests that come late and may outlast the stop, and shorten the others."""
        self._stop = stop

    async def __call__(self, scope: dict[str, Any], receive, respond) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        request = Request(scope, receive)
        parts = request.path.split("/", 3)
        if request.path == "/healthz":
            await send_json(respond, {"ok": True})
        elif request.path == "/readyz":
            await self._ready(respond)
        elif request.path == "/metrics":
            self._state.before_metrics()
            await send(respond, 200, self._metrics.render(), PROMETHEUS_TEXT)
        elif len(parts) >= 3 and parts[1] == "steer" and request.method == "GET":
            await self._steer(request, parts[2], respond)
        elif len(parts) >= 3 and parts[1] == "s":
            await self._serve(request, parts[2], receive, respond)
        else:
            detail = "use /steer/{service} or /s/{service}/..."
            problem = Problem("not-found", "no such path", 404, detail, outcome="not-run")
            await send_problem(respond, problem)

    async def _ready(self, respond) -> None:
        ready = self._state.is_ready() and not self._state.is_leaving()
        body = {
            "ready": ready,
            "leaving": self._state.is_leaving(),
            "revision": self._view.revision,
        }
        await send_json(respond, body, 200 if ready else 503)

    async def _steer(self, request: Request, service: str, respond) -> None:
        spec = self._view.service(service)
        if spec is None or not self._state.is_ready():
            await self._refuse_service(service, respond)
            return
        client = request.query.get("client") or _client_address(request.scope)
        home = self._view.routes.home_region(client, self._view.region)
        organisation = self._organisation(request) or ""
        caller = Caller(client_block(client), organisation)
        points = self._view.routes.steer(service, home, caller, MAX_STEER_ENTRIES)
        answer = SteerAnswer(
            service,
            [SteerPoint(p.instance, p.address, p.zone, p.region) for p in points],
            spec.steer_ttl_ms,
            self._view.revision,
        )
        self._metrics.count_steering_answer(service)
        max_age = f"max-age={max(1, spec.steer_ttl_ms // 1000)}".encode()
        await send_json(respond, answer, 200, [(b"cache-control", max_age)])

    def _refusal(self, kind: str, status: int, detail: str) -> CallError:
        """Return the error for an unknown resource or a denied request.

        Callers treat a denial as final. Without a recent confirmation by the leader the entry's
        configuration may be stale, so a temporary error is returned instead.
        """
        if self._state.is_current():
            return CallError(kind, status, Outcome.NOT_RUN, detail)
        return CallError(
            "not-current", 503, Outcome.NOT_RUN, f"not confirmed by the leader: {detail}", 1.0
        )

    async def _refuse_service(self, service: str, respond) -> None:
        if self._state.is_ready():
            error = self._refusal("not-found", 404, f"no service {service!r}")
        else:
            error = _not_ready()
        await send_problem(respond, _as_problem(error))

    async def _serve(self, request: Request, service: str, receive, respond) -> None:
        started = trio.current_time()
        response = _CallerResponse(respond, self._view.revision)
        priority, outcome = "none", "not-run"
        self._concurrent_requests += 1
        try:
            call = self._make_call(request, service, started)
            priority = call.priority
            body = await self._read_body(request, call, receive)
            await self._dispatch_body(call, body, response)
            outcome = "ran"
        except CallError as error:
            outcome = error.outcome.value
            await response.send_error(error)
        except BodyTooLargeError:
            error = CallError("too-large", 413, Outcome.NOT_RUN, "the request body is too large")
            if response.dispatched:
                error.outcome = Outcome.UNKNOWN
            outcome = error.outcome.value
            await response.send_error(error)
        except CallerGoneError:
            outcome = "cancelled"
        finally:
            self._concurrent_requests -= 1
            taken = trio.current_time() - started
            self._metrics.count_request(service, priority, outcome, taken)

    def _make_call(self, request: Request, service: str, now: float) -> Call:
        if not self._state.is_ready():
            raise _not_ready()
        if self._concurrent_requests > MAX_CONCURRENT_REQUESTS:
            raise CallError("busy", 503, Outcome.NOT_RUN, "too many concurrent requests", 1.0)
        spec = self._view.service(service)
        if spec is None:
            raise self._refusal("not-found", 404, f"no service {service!r}")
        organisation = self._organisation(request)
        if organisation is None:
            detail = "send an organisation's credential as a bearer token"
            raise self._refusal("denied", 401, detail)
        contract = self._view.contract(organisation, service)
        if contract is None:
            detail = f"{organisation} has no contract for {service}"
            raise self._refusal("denied", 403, detail)
        key = request.headers.get("idempotency-key", "")
        if spec.once_only and not 0 < len(key) <= MAX_KEY_LENGTH:
            detail = f"{service} needs an Idempotency-Key of 1 to {MAX_KEY_LENGTH} characters"
            raise CallError("key-missing", 400, Outcome.NOT_RUN, detail)
        declared = request.headers.get("content-length", "0")
        if declared.isdigit() and int(declared) > spec.max_request_bytes:
            detail = f"{service} takes at most {spec.max_request_bytes} bytes"
            raise CallError("too-large", 413, Outcome.NOT_RUN, detail)
        client = request.headers.get("finchway-client") or _client_address(request.scope)
        return Call(
            service=service,
            organisation=organisation,
            priority=contract.priority,
            rank=self._view.rank_of(organisation, service, contract, now),
            method=request.method,
            target=_upstream_target(request.scope, service),
            headers=[tuple(pair) for pair in request.scope["headers"]],
            client=client,
            home=self._view.routes.home_region(client, self._view.region),
            arrived=now,
            deadline=now + _timeout_s(request, spec.deadline_ms),
            key=key if spec.once_only else "",
        )

    def _organisation(self, request: Request) -> str | None:
        digest = hashlib.sha256(request.bearer.encode()).hexdigest()
        return self._view.organisation_of(digest)

    async def _read_body(self, request: Request, call: Call, receive) -> CallerBody:
        """Buffer the body of a call, or the first part of a long one."""
        spec = self._view.service(call.service)
        collected = BodyCollector(request.holding, request.declared_length)
        body = CallerBody(receive, spec.max_request_bytes, collected)
        with trio.move_on_at(call.deadline) as scope:
            try:
                await body.fill()
            except NoRoomError as error:
                raise CallError(
                    "busy", 503, Outcome.NOT_RUN, error.message, STALLED_AFTER_S
                ) from error
        if scope.cancelled_caught:
            raise CallError(
                "deadline",
                408,
                Outcome.NOT_RUN,
                "the request body did not arrive before the deadline",
            )
        return body

    async def _dispatch_body(self, call: Call, body: CallerBody, response: _CallerResponse) -> None:
        if self._stop is not None:
            self._fit_into_stop(self._stop, call, body)
        response.dispatched = True
        if call.key:
            # Completed even if the caller disconnects, so that the outcome of its key is known.
            await self._dispatch(call, body, response)
            return
        await self._dispatch_while_connected(call, body, response)

    def _fit_into_stop(self, stop: PlannedStop, call: Call, body: CallerBody) -> None:
        """Shorten a request's deadline to the end of the stop; refuse it if it may not be done."""
        now = trio.current_time()
        if not stop.may_take(deadline=call.deadline, now=now, is_complete=body.is_whole):
            detail = "this entry is stopping and may end before the request is answered"
            raise CallError("stopping", 503, Outcome.NOT_RUN, detail)
        call.deadline = stop.upstream_deadline(call.deadline)

    async def _dispatch_while_connected(
        self, call: Call, body: CallerBody, response: _CallerResponse
    ) -> None:
        """Dispatch a request and cancel it if the caller disconnects."""
        failure: Exception | None = None
        finished = False
        async with trio.open_nursery() as nursery:
            if body.is_whole:
                nursery.start_soon(_cancel_on_disconnect, body, nursery.cancel_scope)
            try:
                await self._dispatch(call, body, response)
            except (CallError, BodyTooLargeError, CallerGoneError) as error:
                failure = error
            finished = True
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if not finished:
            raise CallerGoneError

    async def _dispatch(self, call: Call, body: CallerBody, response: _CallerResponse) -> None:
        try:
            await self._dispatcher.serve(call, body, response.send_answer)
        except UpstreamError as error:
            raise CallError("broken", 502, error.outcome, error.detail) from error


class _CallerResponse:
    """The response to one caller; an incomplete one is aborted, so that its caller detects it."""

    def __init__(self, respond, revision: int) -> None:
        self._respond = respond
        self._revision = revision
        self._started = False
        self.dispatched = False

    async def send_answer(self, answer: Answer) -> None:
        """Send an upstream's response; the unbuffered part is streamed as it arrives."""
        self._started = True
        added = [
            (b"finchway-upstream", answer.upstream.encode()),
            (b"finchway-region", answer.region.encode()),
            (b"finchway-revision", str(self._revision).encode()),
        ]
        names = {name.lower() for name, _ in answer.headers}
        if b"finchway-outcome" not in names:
            added.append((b"finchway-outcome", b"ran"))
        if answer.rest is None and b"content-length" not in names:
            added.append((b"content-length", str(len(answer.held)).encode()))
        await send_start(self._respond, answer.status, [*answer.headers, *added])
        more = answer.rest is not None
        await self._send_body(answer.held, more)
        if answer.rest is not None:
            async for chunk in answer.rest:
                await self._send_body(chunk, True)
            await self._send_body(b"", False)

    async def send_error(self, error: CallError) -> None:
        """Send an error response, or abort the connection if a response has been started."""
        if self._started:
            raise ConnectionAbortedError(error.detail)
        problem = _as_problem(error)
        headers = [(b"finchway-outcome", error.outcome.value.encode())]
        headers.append((b"finchway-revision", str(self._revision).encode()))
        await send_problem(self._respond, problem, headers)

    async def _send_body(self, body: bytes, more: bool) -> None:
        await self._respond({"type": "http.response.body", "body": body, "more_body": more})


def _not_ready() -> CallError:
    detail = "this entry has no confirmed configuration yet"
    return CallError("not-ready", 503, Outcome.NOT_RUN, detail, 1.0)


def _as_problem(error: CallError) -> Problem:
    return Problem(
        error.kind,
        error.kind.replace("-", " "),
        error.status,
        error.detail,
        outcome=error.outcome.value,
        retry_after_s=error.retry_after_s,
    )


async def _cancel_on_disconnect(body: CallerBody, scope: trio.CancelScope) -> None:
    await body.wait_disconnect()
    scope.cancel()


def _client_address(scope: dict[str, Any]) -> str:
    client = scope.get("client")
    return client[0] if client else ""


def _upstream_target(scope: dict[str, Any], service: str) -> str:
    raw = scope.get("raw_path", scope["path"].encode()).decode("latin-1")
    rest = raw.partition(f"/s/{service}")[2] or "/"
    query = scope["query_string"].decode("latin-1")
    return f"{rest}?{query}" if query else rest


def _timeout_s(request: Request, max_ms: int) -> float:
    requested = request.headers.get("finchway-timeout-ms", "")
    is_number = requested.isascii() and requested.isdigit()
    if not is_number or len(requested) > MAX_TIMEOUT_DIGITS or int(requested) == 0:
        return max_ms / 1000
    return min(int(requested), max_ms) / 1000
