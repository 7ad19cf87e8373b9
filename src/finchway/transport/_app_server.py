"""Serves an ASGI application on one address, using hypercorn for HTTP/1.1, HTTP/2 and TLS.

This replaces hypercorn's own server, in which an error in one connection terminates the process
and a graceful shutdown drops requests that clients have already sent.
"""

from __future__ import annotations

import contextlib
import functools
import logging
import socket
import ssl
from collections.abc import Callable
from typing import Any

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.events import Closed, RawData
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState

from finchway.transport._arrivals import AcceptedStream, origin_of
from finchway.transport._client_budget import Account, ClientBudget, Holding
from finchway.transport._connection_requests import ConnectionRequests
from finchway.transport._http import HOLDING, ORIGIN, RECEIVE_BYTES, REQUESTS
from finchway.transport._listener import NEXT_REQUEST_GRACE_S, SEND_BUFFER_BYTES, Listener
from finchway.transport._sockets import peer_has_closed

_LOG = logging.getLogger(__name__)
# Limit for sending one part of a response, which cancellation of its request does not interrupt.
_SEND_TIMEOUT_S = 5.0
_STOP_POLL_INTERVAL_S = 0.02
_CONNECTION_CLOSE = (b"connection", b"close")


class _Connection(TCPServer):
    """A connection that is closed as soon as the client closes it.

    hypercorn's `TCPServer` keeps it until the idle timeout, so that many short connections can
    exhaust the process's file descriptors. It also serves what a client sent before it closed, and
    under load the process would spend its time on requests whose clients have left.

    Each request's scope has its `CallOrigin` in the state, and its connection's
    `ConnectionRequests`.
    """

    async def _read_data(self) -> None:
        requests: ConnectionRequests = self.state[REQUESTS]
        try:
            while data := await self.stream.receive_some(RECEIVE_BYTES):
                if self._client_has_left():
                    break
                self.state[ORIGIN] = origin_of(self._socket_stream)
                requests.record_progress(len(data))
                await self.protocol.handle(RawData(bytes(data)))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            _LOG.debug("a client reset its connection")
        # The end of the data keeps the protocol from waiting for another request.
        await self.protocol.handle(RawData(b""))
        await self.protocol.handle(Closed())
        await self.idle_task.stop()

    @property
    def _socket_stream(self) -> AcceptedStream:
        return getattr(self.stream, "transport_stream", self.stream)

    def _client_has_left(self) -> bool:
        return peer_has_closed(self._socket_stream.socket.fileno())


class AppServer:
    """Listens on one address and serves its requests with an ASGI application.

    What its clients hold is drawn from `budget`, which all servers of a process share. `on_failure`
    is called once for each connection that is closed by an error, `on_left` for each that its
    client has closed before it was accepted. With `times_arrivals`, the `CallOrigin` of a request
    bounds its age.
    """

    def __init__(
        self,
        address: str,
        app: Any,
        config: Config,
        budget: ClientBudget,
        on_failure: Callable[[], None],
        on_left: Callable[[], None] = lambda: None,
        times_arrivals: bool = False,
    ) -> None:
        self._app = app
        self._config = config
        self._budget = budget
        self._on_failure = on_failure
        self._tls: ssl.SSLContext | None = None
        self._asgi = ASGIWrapper(self._serve)
        self._context = WorkerContext(None)
        self._listener = Listener(address, self._start_connection, on_left, times_arrivals)
        self._nursery: trio.Nursery | None = None
        self._draining = False
        self._connections = 0

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return self._connections

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; raises `TransportError` if the address cannot be bound."""
        self._tls = self._config.create_ssl_context()
        self._listener.bind()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await self._listener.run()

    def begin_drain(self) -> None:
        """Send `Connection: close` with each response; new connections are still accepted."""
        self._draining = True

    async def stop(self) -> None:
        """Stop accepting connections, and return once all of them are closed.

        Open connections get `NEXT_REQUEST_GRACE_S` to send a request that may be on its way.
        """
        self.begin_drain()
        await self._listener.stop()
        if self._connections:
            await trio.sleep(NEXT_REQUEST_GRACE_S)
        await self._context.terminated.set()
        while self._connections:
            await trio.sleep(_STOP_POLL_INTERVAL_S)

    def _start_connection(self, stream: AcceptedStream) -> None:
        account = self._budget.open()
        if account is None:
            stream.socket.close()
            return
        self._connections += 1
        self._nursery.start_soon(self._handle, stream, account)

    async def _handle(self, stream: AcceptedStream, account: Account) -> None:
        """Serve one connection; its errors are logged and affect no other connection."""
        try:
            with trio.CancelScope() as scope:
                account.on_end(functools.partial(_end_early, stream, scope))
                await _Connection(
                    self._asgi,
                    self._config,
                    self._context,
                    ConnectionState({REQUESTS: ConnectionRequests(account)}),
                    self._with_tls(stream),
                )
        except* Exception as group:
            self._on_failure()
            causes = "; ".join(sorted({repr(error) for error in _flatten(group)}))
            _LOG.warning("connection closed by an error: %s", causes)
        finally:
            await trio.aclose_forcefully(stream)
            account.close()
            self._connections -= 1

    def _with_tls(self, stream: AcceptedStream) -> AcceptedStream | trio.SSLStream:
        if self._tls is None:
            return stream
        return trio.SSLStream(stream, self._tls, server_side=True, https_compatible=True)

    async def _serve(self, scope: dict[str, Any], receive, send) -> None:
        """Serve a request, and give back what it has drawn from the budget."""
        requests: ConnectionRequests = scope["state"][REQUESTS]
        with requests.request() as holding:
            receiver = _BodyReceiver(requests, receive)
            sender = _AnswerSender(requests, holding, send)
            await self._run_app({**scope, HOLDING: holding}, receiver.receive, sender.send)

    async def _run_app(self, scope: dict[str, Any], receive, send) -> None:
        """Run the application, shielding the sending of each part of the response.

        A deadline or a disconnected client can cancel the application at any time. Between two
        parts that truncates the response. Within one, hypercorn could miss that it has sent the
        response head already, and send a second one.
        """

        async def send_part(event: dict[str, Any]) -> None:
            with trio.CancelScope(shield=True) as send_scope:
                send_scope.deadline = trio.current_time() + _SEND_TIMEOUT_S
                await send(self._with_close(scope, event))
            if send_scope.cancelled_caught:
                raise ConnectionAbortedError("the caller does not take its answer")

        try:
            await self._app(scope, receive, send_part)
        except ConnectionAbortedError as error:
            # hypercorn closes the connection of an incomplete response.
            _LOG.debug("an answer was cut off: %s", error)

    def _with_close(self, scope: dict[str, Any], event: dict[str, Any]) -> dict[str, Any]:
        """Add `Connection: close` to the response head of an HTTP/1 connection while draining."""
        is_head = event["type"] == "http.response.start"
        if not self._draining or not is_head or scope["http_version"] not in ("1.0", "1.1"):
            return event
        return event | {"headers": [*event["headers"], _CONNECTION_CLOSE]}


class _BodyReceiver:
    """Receives a request's body, and notes that its connection waits for the client meanwhile."""

    def __init__(self, requests: ConnectionRequests, receive) -> None:
        self._requests = requests
        self._receive = receive
        self._is_whole = False

    async def receive(self) -> dict[str, Any]:
        """Return the next part of the body, or the disconnection that follows it."""
        if self._is_whole:
            return await self._receive()
        with self._requests.waiting_for_client():
            event = await self._receive()
        self._is_whole = not event.get("more_body", False)
        return event


class _AnswerSender:
    """Sends a response, each part of which draws on the budget until the client has taken it."""

    def __init__(self, requests: ConnectionRequests, holding: Holding, send) -> None:
        self._requests = requests
        self._holding = holding
        self._send = send

    async def send(self, event: dict[str, Any]) -> None:
        """Send a part; raises `ConnectionAbortedError` if there is no room to hold it.

        A part that fits into the kernel's buffer needs nothing.
        """
        size = len(event.get("body", b""))
        held = self._holding.size
        needed = held + size if size > SEND_BUFFER_BYTES else held
        if not self._holding.resize(needed):
            raise ConnectionAbortedError("other clients leave no room for the answer")
        with self._requests.waiting_for_client():
            await self._send(event)
        self._holding.resize(held)


def _end_early(stream: AcceptedStream, scope: trio.CancelScope) -> None:
    """End a connection, also one that is shielded while it sends a part of an answer."""
    scope.cancel()
    with contextlib.suppress(OSError):
        stream.socket.shutdown(socket.SHUT_RDWR)


def _flatten(group: BaseExceptionGroup) -> list[BaseException]:
    errors: list[BaseException] = []
    for error in group.exceptions:
        errors += _flatten(error) if isinstance(error, BaseExceptionGroup) else [error]
    return errors
