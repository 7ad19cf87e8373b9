"""Accepts TCP connections until a graceful shutdown, without losing any established before it.

The kernel completes handshakes on its own: clients may have sent requests on connections that are
still in the accept queue, and closing the listening socket would reset those.

Clients that give up and connect again fill the accept queue of a process that is short of CPU time.
Connections whose clients have closed them are dropped there at little cost, and few are accepted at
a time, so that the process's other tasks go on.
"""

from __future__ import annotations

import enum
import logging
import socket
from collections.abc import Callable

import trio

from finchway.exceptions import TransportError
from finchway.transport._arrivals import AcceptedStream, ArrivalClock, TimedStream
from finchway.transport._sockets import peer_has_closed

_LOG = logging.getLogger(__name__)
BACKLOG = 512
# The kernel closes a connection whose peer acknowledges no data for this long.
TCP_USER_TIMEOUT_MS = 5_000
# Grace period after a connection is opened or a response sent on it, within which the client's next
# request may still be on its way.
NEXT_REQUEST_GRACE_S = 0.5
# The kernel's buffers of a connection, which fill if one side does not read. They allow some
# megabytes a second at the round-trip times to clients.
RECEIVE_BUFFER_BYTES = 64 * 1024
SEND_BUFFER_BYTES = 32 * 1024
_ACCEPT_RETRY_S = 0.05
# Connections accepted before other tasks get their turn.
_ACCEPT_BATCH = 16


class _Queue(enum.Enum):
    """The state of the accept queue after a batch."""

    EMPTY = "empty"
    MORE = "more"
    FAILED = "failed"


class Listener:
    """Listens on an address and passes each connection to `on_connection`, which must not block.

    `on_left` is called for each connection that its client has closed before it was accepted. With
    `times_arrivals`, connections are passed on as `TimedStream`.
    """

    def __init__(
        self,
        address: str,
        on_connection: Callable[[AcceptedStream], None],
        on_left: Callable[[], None] = lambda: None,
        times_arrivals: bool = False,
    ) -> None:
        self._address = address
        self._on_connection = on_connection
        self._on_left = on_left
        self._times_arrivals = times_arrivals
        self._arrivals: ArrivalClock | None = None
        self._socket: socket.socket | None = None
        self._accept_scope = trio.CancelScope()
        self._closed = trio.Event()

    @property
    def is_stopping(self) -> bool:
        """Whether `stop` has been called."""
        return self._accept_scope.cancel_called

    def bind(self) -> None:
        """Start listening; raises `TransportError` if the address cannot be bound."""
        host, _, port = self._address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.socket(family)
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Inherited by the connections that are accepted.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        try:
            listener.bind((host.strip("[]"), int(port)))
        except OSError as error:
            listener.close()
            raise TransportError(f"cannot bind {self._address}: {error}") from error
        if self._times_arrivals:
            self._arrivals = ArrivalClock(trio.current_time())
        listener.listen(BACKLOG)
        self._socket = listener

    async def run(self) -> None:
        """Accept until `stop` is called, or until cancelled."""
        with self._socket:
            with self._accept_scope:
                await self._accept()
            # More connections may have been established since `stop` was called.
            while self._accept_batch() is _Queue.MORE:
                pass
        self._closed.set()

    async def stop(self) -> None:
        """Accept the connections in the queue, then close the listening socket."""
        self._accept_scope.cancel()
        if self._socket is not None:
            await self._closed.wait()

    async def _accept(self) -> None:
        while True:
            await self._wait_readable()
            if self._accept_batch() is _Queue.FAILED:
                await trio.sleep(_ACCEPT_RETRY_S)

    async def _wait_readable(self) -> None:
        if self._arrivals is None:
            await trio.lowlevel.wait_readable(self._socket)
            return
        polls = self._arrivals.before_wait(self._socket.fileno())
        await trio.lowlevel.wait_readable(self._socket)
        self._arrivals.after_wait(polls)

    def _accept_batch(self) -> _Queue:
        """Accept some of the connections in the kernel's queue."""
        for _ in range(_ACCEPT_BATCH):
            try:
                accepted, _ = self._socket.accept()
                accepted.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
                )
            except BlockingIOError:
                return _Queue.EMPTY
            except OSError as error:
                _LOG.warning("accept on %s failed: %s", self._address, error)
                return _Queue.FAILED
            if peer_has_closed(accepted.fileno()):
                accepted.close()
                self._on_left()
                continue
            self._on_connection(self._stream_of(accepted))
        return _Queue.MORE

    def _stream_of(self, accepted: socket.socket) -> AcceptedStream:
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
        if self._arrivals is None:
            return stream
        return TimedStream(stream, self._arrivals.arrived_after)
