"""HTTP/1.1 server for callers, based on h11 and trio streams.

hypercorn does not expose connections: a caller's disconnect, pipelined data, or flow control of
request bodies. A gateway depends on these, so it uses h11 directly. The same server handles the
requests to control, directory and readiness.
"""

from __future__ import annotations

import logging
import random
import select
import socket
from collections.abc import Awaitable, Callable

import h11
import trio
from msgspec import Struct

from finchway.catalog import Limits
from finchway.gateway._body_buffer import (
    BUFFERED_BODY_BYTES,
    READ_BYTES,
    UNPARSED_BYTES,
    BodyBuffer,
)
from finchway.policy import return_after
from finchway.transport import (
    EVENTS_PER_TURN,
    NEXT_REQUEST_GRACE_S,
    SEND_BUFFER_BYTES,
    SMALL_BODY_BYTES,
    STALLED_AFTER_S,
    AcceptedStream,
    Account,
    CallOrigin,
    ClientBudget,
    Listener,
    Turns,
    has_event,
    origin_of,
    peer_has_closed,
)

_LOG = logging.getLogger(__name__)
_RANDOM = random.Random()
# Data behind a request that is read before the request is answered.
_MAX_PIPELINED_BYTES = 16 * 1024
# Bytes read at once of a head or a short body.
_SHORT_READ_BYTES = 16 * 1024
# Part of an answer for which its caller may take as long as it may remain idle.
_SEND_BYTES = 64 * 1024
_CLOSE_TIMEOUT_S = 0.5
# Answer to a request that an error of this process ended. It promises nothing: the request may have
# been sent to an upstream.
_INTERNAL_ERROR = 500
_REFUSAL_REASONS = {
    408: "the body did not arrive in time",
    413: "the body is too long",
    503: "other clients leave no room for the body",
}
# Limits for servers whose requests need no body.
NO_BODY_LIMITS = Limits(body_bytes=1024)
# Limits for servers that take each body whole.
WHOLE_BODY_LIMITS = Limits(body_bytes=BUFFERED_BODY_BYTES)
# Interval of checks for idle connections while the server stops.
STOP_CHECK_INTERVAL_S = 0.02

Headers = list[tuple[bytes, bytes]]


class CallerLeftError(Exception):
    """The caller closed its connection."""


class BodyTooLongError(Exception):
    """More of a streamed body has arrived than the limits allow."""


class Reply(Struct, frozen=True):
    """A complete answer."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()
    content_type: bytes = b"application/json"


class CallerRequest(Struct):
    """A caller's request; if `is_streamed` is set, `body` has only the first part of a long body.

    `caller` is the remote address without the port.
    """

    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    arrived_at: float
    is_streamed: bool = False
    caller: str = ""

    @property
    def path(self) -> str:
        """The target without the query string."""
        return self.target.partition("?")[0]

    def header(self, name: bytes) -> str | None:
        """Return the value of a header by its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return None


Serve = Callable[["CallerConnection", CallerRequest], Awaitable[None]]
Refused = Callable[[CallerRequest, int, str], None]


def _ignore_refused(request: CallerRequest, status: int, reason: str) -> None:
    pass


class CallerConnection:
    """A caller's connection, and the request that is being handled on it."""

    def __init__(
        self,
        stream: AcceptedStream,
        limits: Callable[[], Limits],
        account: Account,
        turns: Turns,
        on_refused: Refused,
    ) -> None:
        self._stream = stream
        self._caller = _address_of(stream)
        self._limits = limits
        self._account = account
        self._holding = account.holding()
        self._turns = turns
        self._on_refused = on_refused
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=max(limits().header_bytes, 1024)
        )
        self._scope = trio.CancelScope()
        self._body_scope: trio.CancelScope | None = None
        self._streamed_bytes = 0
        self._events = 0
        self._closing = False
        self._close_announced = False
        self._head_sent = False
        self._is_answering = False
        self._in_request = False
        self._idle_since = trio.current_time()

    @property
    def scope(self) -> trio.CancelScope:
        """The scope in which the connection is served; cancelling it ends the connection."""
        return self._scope

    @property
    def has_answered(self) -> bool:
        """Whether the head of the answer to the current request has been sent."""
        return self._head_sent

    @property
    def has_left(self) -> bool:
        """Whether the caller has closed its connection."""
        return peer_has_closed(self._stream.socket.fileno())

    @property
    def origin(self) -> CallOrigin:
        """What is known about the caller of the request that was read last."""
        return origin_of(self._stream)

    def close_after_answer(self) -> None:
        """Close the connection after the next answer, which announces it."""
        self._closing = True

    def end_early(self) -> None:
        """End the connection, which waits for its caller, to make room for others.

        A request of which a part was read is refused. An answer that was begun is cut off.
        """
        if self._body_scope is not None:
            self._body_scope.cancel()
            return
        if self._in_request:
            self._reset_on_close()
        self._scope.cancel()

    def is_idle(self, now: float) -> bool:
        """Return whether the connection can be closed without cutting off a request.

        It cannot while a request is handled or has unread data, nor shortly after it was opened or
        used, since the caller may be sending the next request.
        """
        if self._in_request or self._http.trailing_data[0]:
            return False
        if now - self._idle_since < NEXT_REQUEST_GRACE_S:
            return False
        return not has_event(self._stream.socket.fileno(), select.POLLIN)

    async def read(self) -> CallerRequest | None:
        """Return the next request, or None if the connection has ended.

        A request that exceeds a limit is refused here, and the connection ends.
        """
        limits = self._limits()
        head = None
        self._events = 0
        self._account.wait_for_request()
        with trio.move_on_after(limits.idle_timeout):
            if not self._http.trailing_data[0] and not await self._receive():
                return None
            self._account.wait_for_more()
            with trio.move_on_after(limits.header_timeout) as timeout:
                head = await self._next_event()
            if timeout.cancelled_caught:
                await self.reply(Reply(408), close=True)
                return None
        if not isinstance(head, h11.Request):
            return None
        self._in_request = True
        self._head_sent = False
        return await self._read_request(head, limits)

    async def _read_request(self, head: h11.Request, limits: Limits) -> CallerRequest | None:
        """Return the request with its body, or None if it was refused."""
        request = CallerRequest(
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            "",
            list(head.headers),
            b"",
            trio.current_time(),
            caller=self._caller,
        )
        request.host = (request.header(b"host") or "").partition(":")[0]
        refusal = await self._read_body(request, limits)
        self._account.serve()
        if refusal is not None:
            self._holding.release()
            self._on_refused(request, refusal.status, _REFUSAL_REASONS[refusal.status])
            await self.reply(refusal, close=True)
            return None
        return request

    async def _read_body(self, request: CallerRequest, limits: Limits) -> Reply | None:
        """Read the body, or the first part of a long one; return the refusal if there is one."""
        declared = _declared_length(request)
        if declared is not None and declared > limits.body_bytes:
            return Reply(413)
        body = BodyBuffer(self._holding, declared)
        if not body.reserve():
            return _no_room()
        if self._http.they_are_waiting_for_100_continue:
            await self._send(h11.InformationalResponse(status_code=100, headers=[]))
        with trio.CancelScope() as self._body_scope:
            refusal = await self._fill(body, request, limits)
        was_ended = self._body_scope.cancelled_caught
        self._body_scope = None
        if was_ended:
            return _no_room()
        request.body = body.finish()
        return refusal

    async def _fill(self, body: BodyBuffer, request: CallerRequest, limits: Limits) -> Reply | None:
        """Buffer the body as it arrives; return the refusal if it can't be taken."""
        while True:
            event = await self._next_event(limits.idle_timeout)
            if event is None:
                return Reply(408)
            if isinstance(event, h11.EndOfMessage):
                return None
            if not isinstance(event, h11.Data):
                raise CallerLeftError
            body.append(event.data)
            if body.size > limits.body_bytes:
                return Reply(413)
            if body.size > BUFFERED_BODY_BYTES:
                request.is_streamed = True
                self._streamed_bytes = body.size
                return None
            if not body.reserve():
                return _no_room()

    async def read_more(self) -> bytes | None:
        """Return the next part of a streamed body, or None at its end.

        Raises `CallerLeftError` if it breaks off or stalls, `BodyTooLongError` beyond the limit.
        """
        limits = self._limits()
        event = await self._next_event(limits.idle_timeout)
        if isinstance(event, h11.Data):
            self._streamed_bytes += len(event.data)
            if self._streamed_bytes > limits.body_bytes:
                raise BodyTooLongError
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise CallerLeftError

    def release_body(self) -> None:
        """Give back what was drawn for the first part of a streamed body, which was passed on."""
        self._holding.resize(UNPARSED_BYTES)

    async def wait_closed(self) -> None:
        """Return once the caller has closed its connection; data received until then is kept.

        A caller for whose further data there is no room counts as one that has left.
        """
        held = self._holding.size
        pending = 0
        while pending < _MAX_PIPELINED_BYTES:
            try:
                await trio.lowlevel.wait_readable(self._stream.socket)
                if not self._holding.resize(held + UNPARSED_BYTES):
                    return
                data = await self._stream.receive_some(_MAX_PIPELINED_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            pending += len(data)
            self._http.receive_data(data)
        await trio.sleep_forever()

    async def reply(self, reply: Reply, close: bool = False) -> None:
        """Send a complete answer."""
        headers = [(b"Content-Length", str(len(reply.body)).encode()), *reply.headers]
        if reply.body:
            headers.append((b"Content-Type", reply.content_type))
        await self.send_whole(reply.status, b"", headers, reply.body, close=close)

    async def send_whole(
        self, status: int, reason: bytes, headers: Headers, body: bytes, close: bool = False
    ) -> None:
        """Send the head and body of an answer; a short one in one write."""
        await self._reserve_answer(len(body))
        parts = [self._head(status, reason, headers, close)]
        for event in (h11.Data(data=body), h11.EndOfMessage()):
            parts += self._http.send_with_data_passthrough(event)
        if len(body) <= SMALL_BODY_BYTES:
            parts = [b"".join(parts)]
        for part in parts:
            await self._write(part)
        self._is_answering = False

    async def send_head(self, status: int, reason: bytes, headers: Headers) -> None:
        """Send the head of an answer with a streamed body."""
        await self._reserve_answer(UNPARSED_BYTES)
        await self._write(self._head(status, reason, headers, False))

    async def send_part(self, data: bytes) -> None:
        """Send a part of a streamed body."""
        await self._send(h11.Data(data=data))

    async def send_end(self) -> None:
        """End a streamed body."""
        await self._send(h11.EndOfMessage())
        self._is_answering = False

    async def _reserve_answer(self, size: int) -> None:
        """Draw what an answer needs until its caller has taken it; without room, it is cut off.

        One that fits into the kernel's buffer needs nothing.
        """
        if size <= SEND_BUFFER_BYTES or self._holding.resize(self._holding.size + size):
            return
        await self.abort()
        raise CallerLeftError

    def _head(self, status: int, reason: bytes, headers: Headers, close: bool) -> bytes:
        self._closing = self._closing or close
        if self._http.their_state is not h11.DONE and self._http.their_state is not h11.MUST_CLOSE:
            self._closing = True
        if self._closing:
            self._close_announced = True
            headers = [*headers, (b"Connection", b"close")]
        self._head_sent = self._is_answering = True
        return self._http.send(h11.Response(status_code=status, reason=reason, headers=headers))

    async def finish(self) -> bool:
        """Prepare for the next request; return False if the connection must end.

        Without an announced close the connection stays open, since the caller may have sent another
        request.
        """
        self._in_request = False
        self._idle_since = trio.current_time()
        self._holding.release()
        if self._close_announced or self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def close(self) -> None:
        """Close gracefully, so that the answer arrives even if the caller is still sending.

        An answer that is not sent completely is cut off by a reset.
        """
        if self._is_answering:
            await self.abort()
            return
        unread = self._head_sent and self._http.their_state is h11.SEND_BODY
        with trio.move_on_after(_CLOSE_TIMEOUT_S if unread else 0.05):
            try:
                await self._stream.send_eof()
                while unread and await self._stream.receive_some(READ_BYTES):
                    pass
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
        await trio.aclose_forcefully(self._stream)

    async def abort(self) -> None:
        """Reset the connection, so that a truncated answer does not look complete."""
        self._is_answering = False
        self._reset_on_close()
        await trio.aclose_forcefully(self._stream)

    def _reset_on_close(self) -> None:
        self._stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00"
        )

    async def _next_event(self, timeout: float = float("inf")):
        """Return the parser's next event; None if nothing arrives within `timeout`.

        Raises `CallerLeftError` at the end of the connection.
        """
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                await self._count_event()
                return event
            data = None
            with trio.move_on_after(timeout):
                data = await self._receive()
            if data is None:
                return None
            if not data:
                raise CallerLeftError

    async def _count_event(self) -> None:
        """Let others run between the events of a request that has very many."""
        self._events += 1
        if self._events % EVENTS_PER_TURN == 0:
            await self._turns.wait()

    async def _receive(self) -> bytes | bytearray:
        # What is read of a body for which nothing is drawn must fit into its connection's share.
        size = READ_BYTES if self._holding.size else _SHORT_READ_BYTES
        data = await self._stream.receive_some(size)
        self._http.receive_data(data)
        self._account.record_progress(len(data))
        return data

    async def _send(self, event) -> None:
        await self._write(self._http.send(event) or b"")

    async def _write(self, data: bytes) -> None:
        """Send data; a caller that takes none of it for the idle timeout is cut off."""
        self._account.wait_for_more()
        view = memoryview(data)
        for start in range(0, len(data), _SEND_BYTES):
            part = view[start : start + _SEND_BYTES]
            with trio.move_on_after(self._limits().idle_timeout) as timeout:
                await self._send_part(part)
            if timeout.cancelled_caught:
                await self.abort()
                raise CallerLeftError
            self._account.record_progress(len(part))
        self._account.serve()

    async def _send_part(self, part: memoryview) -> None:
        try:
            await self._stream.send_all(part)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerLeftError from error


def cause_of(error: Exception) -> Exception:
    """Return the error itself, or the first one of those that a nursery has raised."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    return error


def status_of_error(error: Exception) -> int:
    """Return the status that answers a request which an error has ended."""
    cause = cause_of(error)
    if isinstance(cause, h11.RemoteProtocolError):
        return cause.error_status_hint
    return _INTERNAL_ERROR


def _declared_length(request: CallerRequest) -> int | None:
    """Return the length of a request's body; None if it comes in chunks."""
    if request.header(b"transfer-encoding") is not None:
        return None
    return int(request.header(b"content-length") or 0)


def _no_room() -> Reply:
    """Return the refusal of a request that other clients leave no room for.

    It has not run. Room is made by then, since clients that have stalled are ended for others.
    """
    after = return_after(0.0, STALLED_AFTER_S, _RANDOM)
    return Reply(503, headers=((b"Retry-After", f"{after:.2f}".encode()),))


def _address_of(stream: AcceptedStream) -> str:
    """Return the remote address of a connection; empty if it is closed."""
    try:
        return str(stream.socket.getpeername()[0])
    except OSError:
        return ""


class HttpServer:
    """Listens on an address and passes each request to `serve`.

    What its clients hold is drawn from `budget`, which all servers of a process share. `on_left` is
    called for each connection that its caller has closed before it was accepted. With
    `times_arrivals`, `CallerConnection.origin` bounds the age of a request, as servers that take
    orders need it: one that may have any age is not carried out. `on_refused` is called for each
    request that is refused before its body was read, with the status and the reason.
    """

    def __init__(
        self,
        address: str,
        serve: Serve,
        limits: Callable[[], Limits] = Limits,
        on_left: Callable[[], None] = lambda: None,
        times_arrivals: bool = False,
        budget: ClientBudget | None = None,
        on_refused: Refused = _ignore_refused,
    ) -> None:
        self._serve = serve
        self._limits = limits
        self._budget = budget or ClientBudget()
        self._on_refused = on_refused
        self._connections: set[CallerConnection] = set()
        self._listener = Listener(address, self._accept, on_left, times_arrivals)
        self._nursery: trio.Nursery | None = None
        self._leaving = False
        self._drained = trio.Event()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def is_leaving(self) -> bool:
        """Whether connections are closed after their next answer."""
        return self._leaving

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Accept and serve until cancelled."""
        self._listener.bind()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await self._listener.run()

    def _accept(self, stream: AcceptedStream) -> None:
        """Start the task of a connection, which counts as open even before the task runs."""
        account = self._budget.open()
        if account is None:
            stream.socket.close()
            return
        connection = CallerConnection(
            stream, self._limits, account, self._budget.turns, self._on_refused
        )
        account.on_end(connection.end_early)
        if self._leaving:
            connection.close_after_answer()
        self._connections.add(connection)
        self._nursery.start_soon(self._handle, connection, account)

    def begin_drain(self) -> None:
        """Close each connection after its next answer; new ones are still accepted."""
        self._leaving = True
        for connection in self._connections:
            connection.close_after_answer()

    async def stop(self) -> None:
        """Stop accepting, close idle connections, and return once all have ended.

        Connections in the kernel's accept queue are still served, since they may hold requests.
        """
        self.begin_drain()
        await self._listener.stop()
        while self._connections:
            self._close_idle(trio.current_time())
            with trio.move_on_after(STOP_CHECK_INTERVAL_S):
                await self._drained.wait()

    def _close_idle(self, now: float) -> None:
        for connection in self._connections:
            if connection.is_idle(now):
                connection.scope.cancel()

    async def _handle(self, connection: CallerConnection, account: Account) -> None:
        try:
            with connection.scope:
                await self._serve_all(connection)
        except (CallerLeftError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception as error:
            status = status_of_error(error)
            if status == _INTERNAL_ERROR:
                _LOG.exception("unexpected error on a caller's connection")
            await self._answer_error(connection, status)
        finally:
            # It counts as open until closed, since an exit before that would reset its last answer.
            with trio.CancelScope(shield=True):
                await connection.close()
            account.close()
            self._connections.discard(connection)
            if self._listener.is_stopping and not self._connections:
                self._drained.set()

    async def _serve_all(self, connection: CallerConnection) -> None:
        while True:
            request = await connection.read()
            if request is None:
                return
            await self._serve(connection, request)
            if not await connection.finish():
                return

    async def _answer_error(self, connection: CallerConnection, status: int) -> None:
        """Answer a request that failed, unless an answer was begun."""
        if connection.has_answered:
            return
        try:
            with trio.move_on_after(_CLOSE_TIMEOUT_S):
                await connection.reply(Reply(status), close=True)
        except (CallerLeftError, h11.LocalProtocolError):
            _LOG.debug("could not answer a failed request with %s", status)
