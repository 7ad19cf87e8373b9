"""HTTP client for upstreams with persistent httpcore connections.

Idle connections are kept in a list per upstream, because httpcore's own pool scans all connections
for every request. httpcore closes a connection whose response was not read to its end. Responses
need a Content-Length or chunked encoding, so that a truncated response is detected.

Each request carries an id of its own. An upstream that repeats it in its answers lets the client
tell one answer too many, which arrives late, from the answer to the next request.
"""

from __future__ import annotations

import itertools
import socket
import uuid
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import httpcore
import trio

from finchway._clock import WALL_CLOCK
from finchway.entry._call import Headers, ResponseMetadata, UpstreamError
from finchway.policy import Outcome
from finchway.pushback import read_pushback
from finchway.transport import HeadScanner, find_fault

_CONNECT_TIMEOUT_S = 1.0
_KEEPALIVE_S = 30.0
_MAX_IDLE_CONNECTIONS = 16
# The kernel's buffers of a connection, which fill if the upstream or the caller is slow to read.
_SOCKET_BUFFER_BYTES = 128 * 1024
_SOCKET_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BUFFER_BYTES),
    (socket.SOL_SOCKET, socket.SO_SNDBUF, _SOCKET_BUFFER_BYTES),
]
_LEAVING_HEADER = b"finchway-leaving"
_LIMIT_HEADER = b"finchway-limit"
_ATTEMPT_ID_HEADER = b"finchway-attempt-id"
_NO_BODY_STATUSES = frozenset({204, 304})


class Reply:
    """An upstream's response with an unread body."""

    __slots__ = ("_response", "metadata", "headers", "status")

    def __init__(self, response: httpcore.Response) -> None:
        self._response = response
        self.status = response.status
        self.headers = response.headers
        self.metadata = read_metadata(response.status, response.headers)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise `UpstreamError` if it is truncated."""
        try:
            async for chunk in self._response.aiter_stream():
                yield chunk
        except (httpcore.ProtocolError, httpcore.NetworkError, httpcore.TimeoutException) as error:
            detail = f"the response was truncated: {error}"
            raise UpstreamError(Outcome.UNKNOWN, detail) from error


class _SendNotAllowedError(httpcore.ConnectError):
    """The request may no longer be sent although the connection was established."""


class _CheckedStream(httpcore.AsyncNetworkStream):
    """A connection's stream that refuses heads which no answer may have.

    Each write belongs to a new request, since an answer is read only once its request is sent.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._heads = HeadScanner()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Receive data; raises `httpcore.RemoteProtocolError` if it is no answer."""
        data = await self._stream.read(max_bytes, timeout)
        fault = self._heads.feed(data)
        if fault:
            raise httpcore.RemoteProtocolError(fault)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send data, as in `httpcore.AsyncNetworkStream`."""
        self._heads = HeadScanner()
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection, as in `httpcore.AsyncNetworkStream`."""
        await self._stream.aclose()

    def get_extra_info(self, info: str):
        """Return information on the connection, as in `httpcore.AsyncNetworkStream`."""
        return self._stream.get_extra_info(info)


class _CheckingBackend(httpcore.AsyncNetworkBackend):
    """Network backend that closes a new connection if `may_send` returns false."""

    def __init__(self, may_send: Callable[[], bool]) -> None:
        self._backend = httpcore.TrioBackend()
        self._may_send = may_send

    async def connect_tcp(self, host, port, **options) -> httpcore.AsyncNetworkStream:
        """Connect to an upstream; raise an error if the request may no longer be sent."""
        stream = await self._backend.connect_tcp(host, port, **options)
        if self._may_send():
            return _CheckedStream(stream)
        await stream.aclose()
        raise _SendNotAllowedError("asked for backoff or named a limit while connecting")

    async def sleep(self, seconds: float) -> None:
        """Sleep between connection attempts."""
        await self._backend.sleep(seconds)


class UpstreamClient:
    """Sends requests to upstreams and reuses their idle connections."""

    def __init__(self) -> None:
        self._client_id = uuid.uuid4().hex[:12]
        self._attempts = itertools.count(1)
        self._idle: dict[str, list[httpcore.AsyncHTTPConnection]] = {}

    @asynccontextmanager
    async def open(
        self,
        address: str,
        method: str,
        target: str,
        headers: Headers,
        body: AsyncIterator[bytes] | bytes,
        may_send: Callable[[], bool] = lambda: True,
    ) -> AsyncIterator[Reply]:
        """Send a request and yield the response once its headers have arrived.

        `may_send` is called after a new connection is established: by then the upstream may have
        requested a backoff or named a rate limit. Raises `UpstreamError`, with the outcome
        `not-run` if no connection was made or `may_send` returned false, else `unknown`.
        """
        connection, origin = await self._acquire(address, may_send)
        attempt_id = f"{self._client_id}-{next(self._attempts)}".encode()
        url = httpcore.URL(
            scheme=b"http", host=origin.host, port=origin.port, target=target.encode("latin-1")
        )
        request = httpcore.Request(
            method,
            url,
            headers=_with_attempt_id(headers, attempt_id),
            content=body,
            extensions={"timeout": {"connect": _CONNECT_TIMEOUT_S, "pool": _CONNECT_TIMEOUT_S}},
        )
        try:
            response = await connection.handle_async_request(request)
        except _SendNotAllowedError as error:
            detail = f"{address}: {error}"
            raise UpstreamError(Outcome.NOT_RUN, detail, True, was_sent=False) from error
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
            detail = f"no connection to {address}: {error}"
            raise UpstreamError(Outcome.NOT_RUN, detail, was_sent=False) from error
        except (httpcore.ProtocolError, httpcore.NetworkError, httpcore.TimeoutException) as error:
            detail = f"{address} failed before responding: {error}"
            raise UpstreamError(Outcome.UNKNOWN, detail) from error
        try:
            _check_head(address, response)
            _check_attempt_id(address, attempt_id, response)
            _check_length(address, method, response)
            yield Reply(response)
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()
                await self._release(address, connection)

    async def close_idle(self, address: str) -> None:
        """Close the idle connections to an upstream."""
        for connection in self._idle.pop(address, []):
            await connection.aclose()

    async def keep_only(self, addresses: set[str]) -> None:
        """Close the idle connections to all other upstreams."""
        for address in [a for a in self._idle if a not in addresses]:
            await self.close_idle(address)

    async def _acquire(
        self, address: str, may_send: Callable[[], bool]
    ) -> tuple[httpcore.AsyncHTTPConnection, httpcore.Origin]:
        """Return the most recently used idle connection that is usable, or a new one."""
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.strip("[]").encode(), int(port))
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_available() and not connection.has_expired():
                return connection, origin
            await connection.aclose()
        connection = httpcore.AsyncHTTPConnection(
            origin,
            keepalive_expiry=_KEEPALIVE_S,
            network_backend=_CheckingBackend(may_send),
            socket_options=_SOCKET_OPTIONS,
        )
        return connection, origin

    async def _release(self, address: str, connection: httpcore.AsyncHTTPConnection) -> None:
        idle = self._idle.setdefault(address, [])
        if connection.is_idle() and len(idle) < _MAX_IDLE_CONNECTIONS:
            idle.append(connection)
        else:
            await connection.aclose()


def read_metadata(status: int, headers: Headers) -> ResponseMetadata:
    """Read the finchway headers and the pushback from an upstream's response headers."""
    incarnation, load, not_run = "", None, False
    lowered = [(name.lower(), value) for name, value in headers]
    for name, value in lowered:
        match name:
            case b"finchway-incarnation":
                incarnation = value.decode("latin-1")
            case b"finchway-load":
                load = _number(value)
            case b"finchway-outcome":
                not_run = status == 503 and value == b"not-run"
    pushback = read_pushback(status, lowered, _LEAVING_HEADER, _LIMIT_HEADER, WALL_CLOCK.now())
    return ResponseMetadata(incarnation, load, not_run, pushback)


def _number(value: bytes) -> float | None:
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < 1e6 else None


def _with_attempt_id(headers: Headers, attempt_id: bytes) -> Headers:
    kept = [(name, value) for name, value in headers if name.lower() != _ATTEMPT_ID_HEADER]
    return [*kept, (_ATTEMPT_ID_HEADER, attempt_id)]


def _check_head(address: str, response: httpcore.Response) -> None:
    """Raise `UpstreamError` if the head is none that an answer may have."""
    version = response.extensions["http_version"].removeprefix(b"HTTP/")
    reason = response.extensions.get("reason_phrase", b"")
    fault = find_fault(version, response.status, reason, response.headers)
    if fault:
        raise UpstreamError(Outcome.UNKNOWN, f"{address} sent no answer: {fault}")


def _check_attempt_id(address: str, attempt_id: bytes, response: httpcore.Response) -> None:
    """Raise `UpstreamError` for the answer to another request; an id need not be repeated."""
    for name, value in response.headers:
        if name.lower() == _ATTEMPT_ID_HEADER and value != attempt_id:
            raise UpstreamError(Outcome.UNKNOWN, f"{address} answered another request")


def _check_length(address: str, method: str, response: httpcore.Response) -> None:
    if method == "HEAD" or response.status in _NO_BODY_STATUSES:
        return
    names = {name.lower() for name, _ in response.headers}
    if not names & {b"content-length", b"transfer-encoding"}:
        raise UpstreamError(Outcome.UNKNOWN, f"{address} did not say where its answer ends")
