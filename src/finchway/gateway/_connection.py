"""Connections to upstreams: one request at a time, with answers matched by request id."""

from __future__ import annotations

import errno
import itertools
import select
import socket
from collections.abc import Callable
from enum import Enum

import h11
import trio
from msgspec import Struct

from finchway.gateway._body_buffer import READ_BYTES
from finchway.gateway._http import Headers
from finchway.transport import EVENTS_PER_TURN, HeadScanner, Turns, find_fault

CONNECT_TIMEOUT_S = 0.4
USER_TIMEOUT_MS = 3_000
# TCP keepalive: an idle connection whose peer is gone is closed after 3 s. It costs one empty
# packet a second.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
DEFAULT_IDLE_S = 4.0
IDLE_FRACTION = 0.75
BUFFERED_ANSWER_BYTES = 256 * 1024
_MAX_HEAD_BYTES = 64 * 1024
# The kernel's buffers of a connection, which fill if the upstream or the caller is slow to read.
_SOCKET_BUFFER_BYTES = 128 * 1024
_MAX_INLINE_SEND_BYTES = 16 * 1024
# Stray answers that are skipped for each request that a connection has carried.
_MAX_STRAYS_PER_REQUEST = 2
# Bytes and parts of the body of a stray answer that are read to get to the next answer.
_MAX_STRAY_BYTES = 1024 * 1024
_MAX_STRAY_PARTS = 1_000
_MAX_COUNT_DIGITS = 9


class Failure(Enum):
    """How an attempt failed: before anything was sent, or after.

    NOT_CONNECTED: the connection failed. REFUSED: nothing listens at the address. UNWANTED: the
    upstream became unavailable while the connection was made. BROKEN: the connection or the answer
    broke off. SILENT: the peer acknowledged nothing until the TCP timeout.
    """

    NOT_CONNECTED = "not-connected"
    REFUSED = "refused"
    UNWANTED = "unwanted"
    BROKEN = "broken"
    SILENT = "silent"


class AttemptError(Exception):
    """An attempt failed without a complete answer."""

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(detail)
        self.failure = failure
        self.detail = detail


class Answer(Struct):
    """The head of an upstream's answer, and its body or the buffered part of it.

    A stray answer is not the one to the current request, but usually to an earlier one.
    """

    status: int
    reason: bytes
    headers: Headers
    body: bytes = b""
    complete: bool = False
    is_stray: bool = False

    def header(self, name: bytes) -> str | None:
        """Return the value of a header by its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return None


def _ignore_head(answer: Answer) -> None:
    pass


class UpstreamConnection:
    """A connection to an upstream that carries one request at a time."""

    _numbers = itertools.count(1)

    def __init__(
        self, stream: trio.SocketStream, instance: str, turns: Turns | None = None
    ) -> None:
        self._number = next(self._numbers)
        self._turns = turns or Turns()
        self._events = 0
        self._requests = 0
        self._stray_answers = 0
        self._stream = stream
        self._instance = instance
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._idle_until = float("inf")
        self._idle_timeout = DEFAULT_IDLE_S
        self._is_reusable = True
        self._request_sent = False
        self._has_failed_write = False
        self._has_ended = False
        self._heads = HeadScanner()
        self._unsent: list[bytes] = []
        self._is_reused = False
        self._on_head = _ignore_head

    @classmethod
    async def open(
        cls, address: str, instance: str, turns: Turns | None = None
    ) -> UpstreamConnection:
        """Connect; raises `AttemptError` on failure or timeout.

        Connections with the same `turns` take turns with answers of very many parts.
        """
        host, _, port = address.rpartition(":")
        sock = trio.socket.socket()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BUFFER_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SOCKET_BUFFER_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await sock.connect((host, int(port)))
        except ConnectionRefusedError as error:
            sock.close()
            raise AttemptError(Failure.REFUSED, f"connect: {error!r}") from error
        except (OSError, trio.TooSlowError) as error:
            sock.close()
            raise AttemptError(Failure.NOT_CONNECTED, f"connect: {error!r}") from error
        except BaseException:
            sock.close()
            raise
        return cls(trio.SocketStream(sock), instance, turns)

    @property
    def instance(self) -> str:
        """The instance that the connection was opened to."""
        return self._instance

    @property
    def number(self) -> int:
        """The number of the connection, which no other one of the process has."""
        return self._number

    @property
    def stray_answers(self) -> int:
        """How many answers to other requests have been skipped on the connection."""
        return self._stray_answers

    @property
    def is_reused(self) -> bool:
        """Whether an earlier request was answered on the connection."""
        return self._is_reused

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection is open, not expired, and has no unread bytes."""
        if now >= self._idle_until:
            return False
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    async def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Prepare a request with a complete body; `receive` sends it.

        Large requests are sent while `receive` already waits for the answer.
        """
        events = [h11.Request(method=method, target=target, headers=headers)]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        # A body with a length is passed through, not copied.
        self._unsent = [
            part for event in events for part in self._http.send_with_data_passthrough(event)
        ]

    async def send_start(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send the head and the first part of a streamed body; `send_part` sends the rest."""
        data = self._http.send(h11.Request(method=method, target=target, headers=headers))
        data += self._http.send(h11.Data(data=body)) or b""
        self._unsent = []
        await self._write(data)

    async def send_part(self, data: bytes) -> None:
        """Send a further part of the body."""
        await self._write(self._http.send(h11.Data(data=data)) or b"")

    async def send_end(self) -> None:
        """End the streamed body."""
        await self._write(self._http.send(h11.EndOfMessage()) or b"")
        self._request_sent = True

    async def receive(
        self, id_header: bytes, request_id: str, on_head: Callable[[Answer], None] = _ignore_head
    ) -> Answer:
        """Return the answer to the request; raises `AttemptError` if there is none.

        A short body is read completely; `read_part` reads the rest of a longer one. Answers to
        other requests are skipped. `on_head` is called with the head of each answer before
        the body is read, since the upstream's pushback applies even if the body is cut off.
        """
        self._on_head = on_head
        self._requests += 1
        if sum(map(len, self._unsent)) <= _MAX_INLINE_SEND_BYTES:
            await self._write(b"".join(self._unsent))
            self._request_sent = True
            return await self._receive(id_header, request_id)
        answer = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_unsent)
            try:
                answer = await self._receive(id_header, request_id)
            except AttemptError as error:
                failed: AttemptError | None = error
            else:
                failed = None
            nursery.cancel_scope.cancel()
        if failed is not None:
            raise failed
        return answer

    async def read_part(self) -> bytes | None:
        """Return the next part of a long body, or None at its end; raises `AttemptError`."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise AttemptError(Failure.BROKEN, "answer ended before its body was complete")

    def release(self, now: float) -> bool:
        """Prepare for another request; return False if the connection must be closed."""
        whole = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if not (whole and self._is_reusable and self._request_sent) or self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        self._heads = HeadScanner()
        self._request_sent = False
        self._is_reused = True
        self._idle_until = now + self._idle_timeout * IDLE_FRACTION
        return True

    def close(self) -> None:
        """Close at once, which cancels a request in flight at the upstream."""
        self._stream.socket.close()

    async def _send_unsent(self) -> None:
        try:
            for part in self._unsent:
                await self._stream.send_all(part)
            self._request_sent = True
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._record_failed_write()

    async def _receive(self, id_header: bytes, request_id: str) -> Answer:
        while self._stray_answers <= _MAX_STRAYS_PER_REQUEST * self._requests:
            answer = await self._read_answer(id_header, request_id)
            if not answer.is_stray:
                return answer
            self._stray_answers += 1
            await self._skip_body()
            self._restart()
        raise AttemptError(Failure.BROKEN, "received only answers to other requests")

    async def _skip_body(self) -> None:
        """Read the body of a stray answer."""
        size = 0
        for _ in range(_MAX_STRAY_PARTS):
            part = await self.read_part()
            if part is None:
                return
            size += len(part)
            if size > _MAX_STRAY_BYTES:
                break
        raise AttemptError(Failure.BROKEN, "an answer to another request does not end")

    def _is_awaited(self, answered_id: str | None, request_id: str) -> bool:
        """Return whether an answer is the one to the current request.

        Upstreams need not repeat ids, but only the first answer on a connection can then be told
        from one too many, so such a connection is not used again.
        """
        if answered_id is not None:
            return answered_id == request_id
        self._is_reusable = False
        return not self._is_reused

    def _restart(self) -> None:
        """Parse the data after a stray answer as the answer to the current request."""
        rest, closed = self._http.trailing_data
        if self._http.their_state is not h11.DONE:
            raise AttemptError(
                Failure.BROKEN, "connection ended after an answer to another request"
            )
        self._is_reusable = False
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._http.send(h11.Request(method="GET", target="/", headers=[("Host", "stray")]))
        self._http.send(h11.EndOfMessage())
        self._heads = HeadScanner()
        if rest:
            self._feed(rest)
        if closed:
            self._http.receive_data(b"")

    async def _read_head(self) -> h11.Response:
        while True:
            event = await self._next_event()
            if not isinstance(event, h11.Response | h11.InformationalResponse):
                raise AttemptError(Failure.BROKEN, "closed without an answer")
            _check_head(event)
            if isinstance(event, h11.Response):
                return event

    async def _read_answer(self, id_header: bytes, request_id: str) -> Answer:
        head = await self._read_head()
        answer = Answer(head.status_code, bytes(head.reason), list(head.headers))
        answer.is_stray = not self._is_awaited(answer.header(id_header), request_id)
        self._record_keep_alive(answer)
        self._on_head(answer)
        if answer.is_stray:
            return answer
        parts = []
        size = 0
        while size <= BUFFERED_ANSWER_BYTES:
            part = await self.read_part()
            if part is None:
                answer.complete = True
                break
            parts.append(part)
            size += len(part)
        answer.body = b"".join(parts)
        return answer

    def _record_keep_alive(self, answer: Answer) -> None:
        if (answer.header(b"connection") or "").lower() == "close":
            self._is_reusable = False
        for word in (answer.header(b"keep-alive") or "").split(","):
            name, _, value = word.strip().partition("=")
            seconds = read_count(value)
            if name.lower() == "timeout" and seconds is not None:
                self._idle_timeout = float(seconds)

    async def _next_event(self):
        try:
            while True:
                event = self._http.next_event()
                if isinstance(event, h11.EndOfMessage):
                    self._check_end()
                if event is not h11.NEED_DATA:
                    await self._count_event()
                    return event
                self._feed(await self._stream.receive_some(READ_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise AttemptError(_failure_of(error), f"read: {error!r}") from error
        except h11.RemoteProtocolError as error:
            raise AttemptError(Failure.BROKEN, f"not an answer: {error}") from error

    async def _count_event(self) -> None:
        """Let others run between the events of an answer that has very many."""
        self._events += 1
        if self._events % EVENTS_PER_TURN == 0:
            await self._turns.wait()

    def _feed(self, data: bytes) -> None:
        """Pass received bytes on to the parser; none mean that the connection has ended."""
        fault = self._heads.feed(data)
        if fault:
            raise AttemptError(Failure.BROKEN, f"not an answer: {fault}")
        self._has_ended = self._has_ended or not data
        self._http.receive_data(data)

    def _check_end(self) -> None:
        """Raise `AttemptError` if an answer that ends with its connection may not be whole.

        A reset is reported once, to a write as well as to a read. After a failed write, or while
        the request is still being sent, the end of the connection does not tell how it ended.
        """
        if self._has_ended and (self._has_failed_write or not self._request_sent):
            raise AttemptError(
                Failure.BROKEN, "the connection ended before the request was sent completely"
            )

    async def _write(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The answer may have arrived already; the next read shows it or fails.
            self._record_failed_write()

    def _record_failed_write(self) -> None:
        self._has_failed_write = True
        self._is_reusable = False


def _check_head(head: h11.Response | h11.InformationalResponse) -> None:
    """Raise `AttemptError` if a head is none that an answer may have."""
    fault = find_fault(head.http_version, head.status_code, head.reason, list(head.headers))
    if fault:
        raise AttemptError(Failure.BROKEN, f"not an answer: {fault}")


def read_count(text: str) -> int | None:
    """Return the whole number in a header's text; None if it is not one, or too long.

    `isdigit` alone accepts characters such as "²", which `int` rejects.
    """
    text = text.strip()
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_COUNT_DIGITS):
        return None
    return int(text)


def _failure_of(error: Exception) -> Failure:
    """Distinguish a TCP timeout from a connection that the peer closed or reset."""
    cause = error.__cause__
    if isinstance(cause, OSError) and cause.errno == errno.ETIMEDOUT:
        return Failure.SILENT
    return Failure.BROKEN
