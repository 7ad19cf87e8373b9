"""HTTP/1.1 server for callers, based on h11 and trio streams.

hypercorn does not expose connections: a caller's disconnect, pipelined data, or flow control of
request bodies. A gateway depends on these, so it uses h11 directly. The same server handles the
requests to control, directory and readiness.
"""

from __future__ import annotations

import logging
import select
import socket
from collections.abc import Awaitable, Callable

import h11
import trio
from msgspec import Struct

from finchway.catalog import Limits
from finchway.transport import (
    NEXT_REQUEST_GRACE_S,
    AcceptedStream,
    CallOrigin,
    Listener,
    has_event,
    origin_of,
    peer_has_closed,
)

_LOG = logging.getLogger(__name__)
READ_BYTES = 64 * 1024
BUFFERED_BODY_BYTES = 1024 * 1024
_MAX_PIPELINED_BYTES = 64 * 1024
_CLOSE_TIMEOUT_S = 0.5
# Interval of checks for idle connections while the server stops.
STOP_CHECK_INTERVAL_S = 0.02

Headers = list[tuple[bytes, bytes]]


class CallerLeftError(Exception):
    """The caller closed its connection."""


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


class CallerConnection:
    """A caller's connection, and the request that is being handled on it."""

    def __init__(self, stream: AcceptedStream, limits: Callable[[], Limits]) -> None:
        self._stream = stream
        self._caller = _address_of(stream)
        self._limits = limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=max(limits().header_bytes, 1024)
        )
        self._closing = False
        self._close_announced = False
        self._head_sent = False
        self._in_request = False
        self._idle_since = trio.current_time()

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
        with trio.move_on_after(limits.idle_timeout):
            if not self._http.trailing_data[0] and not await self._receive():
                return None
            with trio.move_on_after(limits.header_timeout) as timeout:
                head = await self._next_event()
            if timeout.cancelled_caught:
                await self.reply(Reply(408), close=True)
                return None
        if not isinstance(head, h11.Request):
            return None
        self._in_request = True
        self._head_sent = False
        return await self._read_body(head, limits)

    async def _read_body(self, head: h11.Request, limits: Limits) -> CallerRequest | None:
        arrived_at = trio.current_time()
        request = CallerRequest(
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            "",
            list(head.headers),
            b"",
            arrived_at,
            caller=self._caller,
        )
        request.host = (request.header(b"host") or "").partition(":")[0]
        declared = request.header(b"content-length")
        if declared is not None and int(declared) > limits.body_bytes:
            await self.reply(Reply(413), close=True)
            return None
        if self._http.they_are_waiting_for_100_continue:
            await self._send(h11.InformationalResponse(status_code=100, headers=[]))
        parts = []
        size = 0
        while True:
            event = None
            with trio.move_on_after(limits.idle_timeout):
                event = await self._next_event()
            if event is None:
                await self.reply(Reply(408), close=True)
                return None
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return None
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > limits.body_bytes:
                await self.reply(Reply(413), close=True)
                return None
            if size > BUFFERED_BODY_BYTES:
                request.is_streamed = True
                break
        request.body = b"".join(parts)
        return request

    async def read_more(self) -> bytes | None:
        """Return the next part of a streamed body, or None at its end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise CallerLeftError

    async def wait_closed(self) -> None:
        """Return once the caller has closed its connection; data received until then is kept."""
        pending = 0
        while pending < _MAX_PIPELINED_BYTES:
            try:
                data = await self._stream.receive_some(READ_BYTES)
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
        """Send the head and body of an answer in one write."""
        data = self._head(status, reason, headers, close)
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        await self._write(data)

    async def send_head(self, status: int, reason: bytes, headers: Headers) -> None:
        """Send the head of an answer with a streamed body."""
        await self._write(self._head(status, reason, headers, False))

    async def send_part(self, data: bytes) -> None:
        """Send a part of a streamed body."""
        await self._send(h11.Data(data=data))

    async def send_end(self) -> None:
        """End a streamed body."""
        await self._send(h11.EndOfMessage())

    def _head(self, status: int, reason: bytes, headers: Headers, close: bool) -> bytes:
        self._closing = self._closing or close
        if self._http.their_state is not h11.DONE and self._http.their_state is not h11.MUST_CLOSE:
            self._closing = True
        if self._closing:
            self._close_announced = True
            headers = [*headers, (b"Connection", b"close")]
        self._head_sent = True
        return self._http.send(h11.Response(status_code=status, reason=reason, headers=headers))

    async def finish(self) -> bool:
        """Prepare for the next request; return False if the connection must end.

        Without an announced close the connection stays open, since the caller may have sent another
        request.
        """
        self._in_request = False
        self._idle_since = trio.current_time()
        if self._close_announced or self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def close(self) -> None:
        """Close gracefully, so that the answer arrives even if the caller is still sending."""
        unread = self._http.their_state is h11.SEND_BODY
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
        self._stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00"
        )
        await trio.aclose_forcefully(self._stream)

    async def _next_event(self):
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if not await self._receive():
                raise CallerLeftError

    async def _receive(self) -> bool:
        data = await self._stream.receive_some(READ_BYTES)
        self._http.receive_data(data)
        return bool(data)

    async def _send(self, event) -> None:
        await self._write(self._http.send(event) or b"")

    async def _write(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerLeftError from error


def _address_of(stream: AcceptedStream) -> str:
    """Return the remote address of a connection; empty if it is closed."""
    try:
        return str(stream.socket.getpeername()[0])
    except OSError:
        return ""


Serve = Callable[[CallerConnection, CallerRequest], Awaitable[None]]


class HttpServer:
    """Listens on an address and passes each request to `serve`.

    `on_left` is called for each connection that its caller has closed before it was accepted. With
    `times_arrivals`, `CallerConnection.origin` bounds the age of a request, as servers that take
    orders need it: one that may have any age is not carried out.
    """

    def __init__(
        self,
        address: str,
        serve: Serve,
        limits: Callable[[], Limits] = Limits,
        max_connections: int = 3_000,
        on_left: Callable[[], None] = lambda: None,
        times_arrivals: bool = False,
    ) -> None:
        self._serve = serve
        self._limits = limits
        self._max_connections = max_connections
        self._connections: dict[CallerConnection, trio.CancelScope] = {}
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
        if len(self._connections) >= self._max_connections:
            stream.socket.close()
            return
        connection = CallerConnection(stream, self._limits)
        if self._leaving:
            connection.close_after_answer()
        scope = self._connections[connection] = trio.CancelScope()
        self._nursery.start_soon(self._handle, connection, scope)

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
        for connection, scope in self._connections.items():
            if connection.is_idle(now):
                scope.cancel()

    async def _handle(self, connection: CallerConnection, scope: trio.CancelScope) -> None:
        try:
            with scope:
                await self._serve_all(connection)
        except (CallerLeftError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except h11.RemoteProtocolError as error:
            with trio.move_on_after(_CLOSE_TIMEOUT_S):
                await self._refuse_malformed(connection, error)
        except Exception:
            _LOG.exception("unexpected error on a caller's connection")
        finally:
            # It counts as open until closed, since an exit before that would reset its last answer.
            with trio.CancelScope(shield=True):
                await connection.close()
            del self._connections[connection]
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

    async def _refuse_malformed(
        self, connection: CallerConnection, error: h11.RemoteProtocolError
    ) -> None:
        if connection.has_answered:
            return
        try:
            await connection.reply(Reply(error.error_status_hint), close=True)
        except (CallerLeftError, h11.LocalProtocolError):
            _LOG.debug("could not answer a malformed request: %s", error)
