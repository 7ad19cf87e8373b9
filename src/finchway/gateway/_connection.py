"""Connections to upstreams: one request at a time, and answers told apart by request id."""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable
from enum import Enum

import h11
import trio
from msgspec import Struct

from finchway.gateway._http import READ_BYTES, Headers

CONNECT_TIMEOUT_S = 0.4
USER_TIMEOUT_MS = 3_000
# Probes of a connection at rest: seconds of rest before the first and between two, and how many may
# stay unanswered. One that went silent is closed after 3 s at most, for one empty packet a second.
PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
PROBES_LOST = 2
DEFAULT_IDLE_S = 4.0
IDLE_FRACTION = 0.75
BUFFERED_ANSWER_BYTES = 256 * 1024
_HEAD_BYTES = 64 * 1024
_PIECE_BYTES = 16 * 1024
_STRAYS_READ = 3
_COUNT_DIGITS = 9


class Failure(Enum):
    """How an attempt failed: before anything was sent, or after; `SILENT` for want of any sign.

    `REFUSED` is a connection that was not made since nothing listens at the address. `UNWANTED` is
    a request that did not go out since its upstream has asked for rest, or leaves, meanwhile.
    """

    NOT_CONNECTED = "not-connected"
    REFUSED = "refused"
    UNWANTED = "unwanted"
    BROKEN = "broken"
    SILENT = "silent"


class AttemptError(Exception):
    """An attempt brought no answer."""

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(detail)
        self.failure = failure
        self.detail = detail


class Answer(Struct):
    """The head of an upstream's answer, with the body as far as it was buffered."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes = b""
    complete: bool = False

    def header(self, name: bytes) -> str | None:
        """Return the value of a header by its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return None


def _hear_nothing(answer: Answer) -> None:
    """Take no notice of an answer's head."""


class UpstreamConnection:
    """One connection to one upstream."""

    def __init__(self, stream: trio.SocketStream, instance: str) -> None:
        self._stream = stream
        self._instance = instance
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=_HEAD_BYTES)
        self._idle_until = float("inf")
        self._idle_for = DEFAULT_IDLE_S
        self._keep = True
        self._sent_whole = False
        self._unsent = b""
        self._is_kept = False
        self._hear = _hear_nothing

    @classmethod
    async def open(cls, address: str, instance: str) -> UpstreamConnection:
        """Connect; raises `AttemptError` if that fails or takes long."""
        host, _, port = address.rpartition(":")
        sock = trio.socket.socket()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES_LOST)
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
        return cls(trio.SocketStream(sock), instance)

    @property
    def instance(self) -> str:
        """The upstream that the connection was opened for."""
        return self._instance

    @property
    def is_kept(self) -> bool:
        """Whether an earlier request was answered on it."""
        return self._is_kept

    def is_usable(self, now: float) -> bool:
        """Tell whether an idle connection is still young, open, and without unasked bytes."""
        if now >= self._idle_until:
            return False
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    async def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send a request whose body is at hand.

        A body that does not fit at once goes out in pieces while `receive` waits for the answer.
        """
        data = self._http.send(h11.Request(method=method, target=target, headers=headers))
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._unsent = data

    async def send_start(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send the head and the first part of a body that `send_part` goes on with."""
        data = self._http.send(h11.Request(method=method, target=target, headers=headers))
        data += self._http.send(h11.Data(data=body)) or b""
        self._unsent = b""
        await self._write(data)

    async def send_part(self, data: bytes) -> None:
        """Send a further part of the body."""
        await self._write(self._http.send(h11.Data(data=data)) or b"")

    async def send_end(self) -> None:
        """End the body."""
        await self._write(self._http.send(h11.EndOfMessage()) or b"")
        self._sent_whole = True

    async def receive(
        self, id_header: bytes, request_id: str, hear: Callable[[Answer], None] = _hear_nothing
    ) -> Answer:
        """Return the answer to the request; raises `AttemptError` if there is none.

        The body is read whole if it is short enough; otherwise `read_part` goes on. Answers with
        another request's id are passed over. `hear` is given the head of each answer as it comes:
        what the upstream says there holds, whatever becomes of the body.
        """
        self._hear = hear
        if len(self._unsent) <= _PIECE_BYTES:
            await self._write(self._unsent)
            self._sent_whole = True
            return await self._receive(id_header, request_id)
        answer = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_pieces)
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
        """Return the next part of a long body, None at its end; raises `AttemptError`."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise AttemptError(Failure.BROKEN, "the answer broke off")

    def release(self, now: float) -> bool:
        """Make ready for another request; False if the connection has to be closed."""
        whole = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if not (whole and self._keep and self._sent_whole) or self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        self._sent_whole = False
        self._is_kept = True
        self._idle_until = now + self._idle_for * IDLE_FRACTION
        return True

    def close(self) -> None:
        """Close at once; what is under way at the upstream is cancelled by it."""
        self._stream.socket.close()

    async def _send_pieces(self) -> None:
        try:
            await self._stream.send_all(self._unsent)
            self._sent_whole = True
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._keep = False

    async def _receive(self, id_header: bytes, request_id: str) -> Answer:
        for _ in range(_STRAYS_READ):
            answer = await self._read_answer()
            got = answer.header(id_header)
            if got is None or got == request_id:
                return answer
            while not answer.complete:
                answer.complete = await self.read_part() is None
            self._restart()
        raise AttemptError(Failure.BROKEN, "only answers to other requests came")

    def _restart(self) -> None:
        """Parse what follows a stray answer as the answer to the same request."""
        rest, closed = self._http.trailing_data
        if self._http.their_state is not h11.DONE:
            raise AttemptError(Failure.BROKEN, "an answer to another request, and the end")
        self._keep = False
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=_HEAD_BYTES)
        self._http.send(h11.Request(method="GET", target="/", headers=[("Host", "stray")]))
        self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)
        if closed:
            self._http.receive_data(b"")

    async def _read_answer(self) -> Answer:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                break
            if not isinstance(event, h11.InformationalResponse):
                raise AttemptError(Failure.BROKEN, "closed without an answer")
        answer = Answer(event.status_code, bytes(event.reason), list(event.headers))
        self._note_keeping(answer)
        self._hear(answer)
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

    def _note_keeping(self, answer: Answer) -> None:
        if (answer.header(b"connection") or "").lower() == "close":
            self._keep = False
        for word in (answer.header(b"keep-alive") or "").split(","):
            name, _, value = word.strip().partition("=")
            seconds = read_count(value)
            if name.lower() == "timeout" and seconds is not None:
                self._idle_for = float(seconds)

    async def _next_event(self):
        try:
            while True:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._http.receive_data(await self._stream.receive_some(READ_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise AttemptError(_failure_of(error), f"read: {error!r}") from error
        except h11.RemoteProtocolError as error:
            raise AttemptError(Failure.BROKEN, f"not an answer: {error}") from error

    async def _write(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The answer may be there already; whoever reads next finds out.
            self._keep = False


def read_count(text: str) -> int | None:
    """Return the whole number that a header tells; None if it is none, or beyond all sense.

    `isdigit` alone takes signs such as "²", which are no numbers.
    """
    text = text.strip()
    if not (text.isascii() and text.isdigit() and len(text) <= _COUNT_DIGITS):
        return None
    return int(text)


def _failure_of(error: Exception) -> Failure:
    """Tell a connection on which nothing was acknowledged for long from one that was broken off."""
    cause = error.__cause__
    if isinstance(cause, OSError) and cause.errno == errno.ETIMEDOUT:
        return Failure.SILENT
    return Failure.BROKEN
