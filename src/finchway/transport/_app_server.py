"""Serves an ASGI application on one address; hypercorn speaks HTTP/1.1, HTTP/2 and TLS.

Connections are accepted here and not by hypercorn's own server, for two reasons. What fails in one
connection ends there: hypercorn's server lets it end the process. And a planned stop cuts off no
request that was sent before it.
"""

from __future__ import annotations

import logging
import ssl
from collections.abc import Callable
from typing import Any

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState

from finchway.transport._listener import NEXT_REQUEST_S, Listener

_LOG = logging.getLogger(__name__)
# Seconds that a part of an answer may take to go out, whatever becomes of its request meanwhile.
_SEND_PATIENCE_S = 5.0
_STOP_CHECK_S = 0.02
_CLOSE = (b"connection", b"close")


class _Connection(TCPServer):
    """A connection that ends when its caller closes it.

    hypercorn's own waits until its idle time is over, so that many short connections use up the
    process's descriptors.
    """

    async def _read_data(self) -> None:
        await super()._read_data()
        await self.idle_task.stop()


class AppServer:
    """Listens on one address and has each request served by an application.

    `on_failure` is called once for each connection that ended by an error of its own.
    """

    def __init__(
        self, address: str, app: Any, config: Config, on_failure: Callable[[], None]
    ) -> None:
        self._app = app
        self._config = config
        self._on_failure = on_failure
        self._tls: ssl.SSLContext | None = None
        self._wrapped = ASGIWrapper(self._serve)
        self._context = WorkerContext(None)
        self._listener = Listener(address, self._begin)
        self._nursery: trio.Nursery | None = None
        self._leaving = False
        self._connections = 0

    @property
    def connections(self) -> int:
        """How many connections are open."""
        return self._connections

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Accept and serve until cancelled; raises `TransportError` if it cannot listen."""
        self._tls = self._config.create_ssl_context()
        self._listener.bind()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await self._listener.run()

    def begin_drain(self) -> None:
        """Have each answer say that its connection ends; new connections are still taken."""
        self._leaving = True

    async def stop(self) -> None:
        """Take no new connection, and return when the last one has ended.

        Callers that have connected, or have just been answered, have a moment to send a request.
        """
        self.begin_drain()
        await self._listener.stop()
        if self._connections:
            await trio.sleep(NEXT_REQUEST_S)
        await self._context.terminated.set()
        while self._connections:
            await trio.sleep(_STOP_CHECK_S)

    def _begin(self, stream: trio.SocketStream) -> None:
        self._connections += 1
        self._nursery.start_soon(self._handle, stream)

    async def _handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection; whatever it raises ends here, and costs nobody else anything."""
        try:
            await _Connection(
                self._wrapped,
                self._config,
                self._context,
                ConnectionState({}),
                self._secure(stream),
            )
        except* Exception as group:
            self._on_failure()
            causes = "; ".join(sorted({repr(error) for error in _leaves(group)}))
            _LOG.warning("a connection ended by an error: %s", causes)
        finally:
            await trio.aclose_forcefully(stream)
            self._connections -= 1

    def _secure(self, stream: trio.SocketStream) -> trio.SocketStream | trio.SSLStream:
        if self._tls is None:
            return stream
        return trio.SSLStream(stream, self._tls, server_side=True, https_compatible=True)

    async def _serve(self, scope: dict[str, Any], receive, send) -> None:
        """Have the application serve a request, and each part of its answer go out whole.

        A deadline, or a caller that leaves, cancels the application at any moment. Between two
        parts that cuts off the answer; amid one it would leave hypercorn believing that a head has
        not been sent which has, and it would send a second one.
        """

        async def send_part(event: dict[str, Any]) -> None:
            with trio.CancelScope(shield=True) as sending:
                sending.deadline = trio.current_time() + _SEND_PATIENCE_S
                await send(self._with_close(scope, event))
            if sending.cancelled_caught:
                raise ConnectionAbortedError("the caller does not take its answer")

        try:
            await self._app(scope, receive, send_part)
        except ConnectionAbortedError as error:
            # hypercorn closes the connection of an answer that is not complete.
            _LOG.debug("an answer was cut off: %s", error)

    def _with_close(self, scope: dict[str, Any], event: dict[str, Any]) -> dict[str, Any]:
        """Add that the connection ends to the head of an answer, where HTTP says so in a header."""
        is_head = event["type"] == "http.response.start"
        if not self._leaving or not is_head or scope["http_version"] not in ("1.0", "1.1"):
            return event
        return event | {"headers": [*event["headers"], _CLOSE]}


def _leaves(group: BaseExceptionGroup) -> list[BaseException]:
    found: list[BaseException] = []
    for error in group.exceptions:
        found += _leaves(error) if isinstance(error, BaseExceptionGroup) else [error]
    return found
