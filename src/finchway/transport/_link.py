"""Typed messages between processes, over pyzmq on trio.

Each process binds one ROUTER socket and connects one DEALER socket to each peer it sends to.
Queues are bounded, and messages are queued for established connections only. ZeroMQ's heartbeats
close the connection to an unresponsive peer, so no stale messages arrive after a long partition.
"""

from __future__ import annotations

import itertools
import logging
from collections.abc import Awaitable, Callable

import msgspec
import trio
import zmq

from finchway.exceptions import (
    ConflictError,
    DeniedError,
    EncodingError,
    FinchwayError,
    GoneError,
    NotFoundError,
    NotLeaderError,
    OrderExpiredError,
    TransportError,
    UnavailableError,
)
from finchway.observe import LogicalClock
from finchway.transport._keys import Keys, start_authenticator
from finchway.transport._messages import AnyBody, Envelope, Failure

_LOG = logging.getLogger(__name__)
_HIGH_WATER_MARK = 1_000
_MAX_CONCURRENT_HANDLERS = 2_000
_HEARTBEAT_INTERVAL_MS = 500
_HEARTBEAT_TIMEOUT_MS = 1_500
_CONNECT_TIMEOUT_MS = 300
_TCP_RETRANSMIT_TIMEOUT_MS = 2_000
_RECONNECT_INTERVAL_MS = 50
_MAX_RECONNECT_INTERVAL_MS = 400
_SEND_RETRY_INTERVAL_S = 0.02
IDLE_TIMEOUT_S = 120.0
_MAX_MESSAGE_BYTES = 256 * 1024 * 1024

Handler = Callable[[AnyBody, str], Awaitable[AnyBody | None]]

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)
_ERROR_TYPES: dict[str, type[FinchwayError]] = {
    error.__name__: error
    for error in (
        ConflictError,
        DeniedError,
        NotFoundError,
        NotLeaderError,
        OrderExpiredError,
        UnavailableError,
    )
}


class Link:
    """The connections of this process to its peers.

    async with trio.open_nursery() as nursery:
        link = Link("e1", "127.0.0.1:7001", handler, clock)
        await nursery.start(link.run)
        reply = await link.request("127.0.0.1:7002", Confirm(), timeout=1.0)
    """

    def __init__(
        self,
        name: str,
        address: str,
        handler: Handler,
        clock: LogicalClock,
        keys: Keys | None = None,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
    ) -> None:
        self._idle_timeout_s = idle_timeout_s
        self._name = name
        self._address = address
        self._handler = handler
        self._clock = clock
        self._keys = keys
        self._context = zmq.Context()
        self._server: zmq.Socket | None = None
        self._peers: dict[str, zmq.Socket] = {}
        self._last_used: dict[str, float] = {}
        self._pending: dict[int, _PendingReply] = {}
        self._correlations = itertools.count(1)
        self._nursery: trio.Nursery | None = None
        self._handler_limiter = trio.CapacityLimiter(_MAX_CONCURRENT_HANDLERS)
        self._sent_bytes = 0
        self._received_bytes = 0

    @property
    def peers(self) -> list[str]:
        """Addresses of the peers with an open connection."""
        return sorted(self._peers)

    @property
    def sent_bytes(self) -> int:
        """Total bytes of messages sent."""
        return self._sent_bytes

    @property
    def received_bytes(self) -> int:
        """Total bytes of messages received."""
        return self._received_bytes

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Bind the address and serve until cancelled; raises `TransportError` if it is in use."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                if self._keys is not None:
                    start_authenticator(self._context, self._keys, nursery)
                self._server = self._open(zmq.ROUTER)
                if self._keys is not None:
                    self._keys.protect_server(self._server)
                try:
                    self._server.bind(f"tcp://{self._address}")
                except zmq.ZMQError as error:
                    raise TransportError(f"cannot bind {self._address}: {error}") from error
                nursery.start_soon(self._read, self._server)
                nursery.start_soon(self._close_idle)
                task_status.started()
                await trio.sleep_forever()
        finally:
            self._close()

    async def request(
        self, address: str, body: AnyBody, timeout: float, send_timeout: float = float("inf")
    ) -> AnyBody:
        """Send a request and return the reply.

        Raises the error that the peer replied with, or `TransportError` if there is no reply
        within `timeout` seconds, in which case the peer may have acted on the request. Raises
        `TransportError` early if no connection accepts the request within `send_timeout` seconds,
        and `EncodingError` if no message can carry it.
        """
        correlation = next(self._correlations)
        reply = self._pending[correlation] = _PendingReply()
        try:
            with trio.move_on_after(timeout):
                with trio.move_on_after(send_timeout) as send_scope:
                    await self._send_with_retry(address, correlation, body)
                if send_scope.cancelled_caught:
                    raise TransportError(f"no connection to {address} within {send_timeout:g} s")
                await reply.event.wait()
        finally:
            del self._pending[correlation]
        if reply.body is None:
            raise TransportError(f"no answer from {address} within {timeout:g} s")
        if isinstance(reply.body, Failure):
            raise _as_error(reply.body)
        return reply.body

    def post(self, address: str, body: AnyBody) -> bool:
        """Send a message without waiting for a reply; return False if it was dropped."""
        try:
            return self._send(address, 0, body)
        except EncodingError as error:
            _LOG.error("dropped a message: %s", error)
            return False

    def _open(self, kind: int) -> zmq.Socket:
        socket = self._context.socket(kind)
        socket.linger = 0
        socket.sndhwm = socket.rcvhwm = _HIGH_WATER_MARK
        socket.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
        socket.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, _CONNECT_TIMEOUT_MS)
        socket.setsockopt(zmq.TCP_MAXRT, _TCP_RETRANSMIT_TIMEOUT_MS)
        return socket

    async def _close_idle(self) -> None:
        """Close the connections to peers that nothing was sent to within the idle timeout."""
        while True:
            await trio.sleep(self._idle_timeout_s / 4)
            cutoff = trio.current_time() - self._idle_timeout_s
            for address in [a for a, at in self._last_used.items() if at < cutoff]:
                del self._last_used[address]
                socket = self._peers.pop(address)
                trio.lowlevel.notify_closing(socket.get(zmq.FD))
                socket.close(linger=0)

    def _peer(self, address: str) -> zmq.Socket:
        self._last_used[address] = trio.current_time()
        socket = self._peers.get(address)
        if socket is None:
            socket = self._open(zmq.DEALER)
            socket.setsockopt(zmq.IMMEDIATE, 1)
            socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_INTERVAL_MS)
            socket.setsockopt(zmq.RECONNECT_IVL_MAX, _MAX_RECONNECT_INTERVAL_MS)
            if self._keys is not None:
                self._keys.protect_client(socket)
            socket.connect(f"tcp://{address}")
            self._peers[address] = socket
            self._nursery.start_soon(self._read, socket)
        return socket

    async def _send_with_retry(self, address: str, correlation: int, body: AnyBody) -> None:
        while not self._send(address, correlation, body):
            await trio.sleep(_SEND_RETRY_INTERVAL_S)

    def _send(self, address: str, correlation: int, body: AnyBody) -> bool:
        if self._nursery is None:
            return False
        data = self._encode(correlation, False, body)
        return self._send_frames(self._peer(address), [data])

    def _encode(self, correlation: int, is_reply: bool, body: AnyBody) -> bytes:
        """Encode a message; raises `EncodingError` if that is impossible."""
        envelope = Envelope(self._name, correlation, is_reply, self._clock.tick(), body)
        try:
            return _ENCODER.encode(envelope)
        except (OverflowError, ValueError) as error:
            raise EncodingError(type(body).__name__, error) from error

    def _send_frames(self, socket: zmq.Socket, frames: list[bytes]) -> bool:
        try:
            socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        self._sent_bytes += len(frames[-1])
        # The descriptor is edge-triggered: sending can consume the edge that `_read` waits for.
        self._receive_pending(socket)
        return True

    async def _read(self, socket: zmq.Socket) -> None:
        while not socket.closed:
            self._receive_pending(socket)
            try:
                await trio.lowlevel.wait_readable(socket.get(zmq.FD))
            except (trio.ClosedResourceError, zmq.ZMQError):
                return

    def _receive_pending(self, socket: zmq.Socket) -> None:
        while not socket.closed and socket.get(zmq.EVENTS) & zmq.POLLIN:
            try:
                frames = socket.recv_multipart(zmq.NOBLOCK)
            except zmq.ZMQError:
                return
            self._dispatch(socket, frames)

    def _dispatch(self, socket: zmq.Socket, frames: list[bytes]) -> None:
        self._received_bytes += len(frames[-1])
        try:
            envelope = _DECODER.decode(frames[-1])
        except (msgspec.MsgspecError, RecursionError) as error:
            _LOG.warning("dropped malformed message: %s", error)
            return
        self._clock.witness(envelope.clock)
        if envelope.is_reply:
            reply = self._pending.get(envelope.correlation)
            if reply is not None:
                reply.body = envelope.body
                reply.event.set()
            return
        self._nursery.start_soon(self._handle, socket, frames[:-1], envelope)

    async def _handle(self, socket: zmq.Socket, route: list[bytes], envelope: Envelope) -> None:
        async with self._handler_limiter:
            try:
                body = await self._handler(envelope.body, envelope.sender)
            except FinchwayError as error:
                body = _as_failure(error)
            except Exception as error:
                _LOG.exception("handler for %s failed", type(envelope.body).__name__)
                body = Failure(code="FinchwayError", message=f"internal error: {error}")
        if envelope.correlation == 0 or body is None or socket.closed:
            return
        try:
            data = self._encode(envelope.correlation, True, body)
        except EncodingError as error:
            _LOG.error("cannot reply to %s: %s", type(envelope.body).__name__, error)
            failure = Failure(code=UnavailableError.__name__, message="the reply has no encoding")
            data = self._encode(envelope.correlation, True, failure)
        self._send_frames(socket, [*route, data])

    def _close(self) -> None:
        for socket in [*self._peers.values(), self._server]:
            if socket is not None:
                socket.close(linger=0)
        self._peers = {}
        self._nursery = None
        self._context.destroy(linger=0)


class _PendingReply:
    """A request whose reply has not arrived yet; `event` is set on its arrival."""

    __slots__ = ("body", "event")

    def __init__(self) -> None:
        self.event = trio.Event()
        self.body: AnyBody | None = None


def _as_failure(error: FinchwayError) -> Failure:
    leader = error.leader or "" if isinstance(error, NotLeaderError) else ""
    return Failure(code=type(error).__name__, message=error.message, leader=leader)


def _as_error(failure: Failure) -> FinchwayError:
    if failure.code == NotLeaderError.__name__:
        return NotLeaderError(failure.leader or None)
    if failure.code == GoneError.__name__:
        return FinchwayError(failure.message)
    return _ERROR_TYPES.get(failure.code, FinchwayError)(failure.message)
