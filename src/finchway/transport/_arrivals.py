"""Bounds on when data arrived at this machine, for a process that may have read it much later.

A process that was frozen, or short of CPU time, finds calls in its sockets whose callers have long
moved on. The time of reading says nothing about that. What bounds a call's age is the last time at
which its socket was seen without data.
"""

from __future__ import annotations

import math
import select
from collections.abc import Callable

import trio
from msgspec import Struct

from finchway.transport._sockets import has_event, peer_has_closed


class CallOrigin(Struct, frozen=True):
    """What the connection of a call tells about its caller.

    The call cannot have arrived before `arrived_after`, a time on the event loop's clock.
    """

    arrived_after: float
    has_left: Callable[[], bool]


# That of a call which may have arrived at any time.
UNKNOWN_ORIGIN = CallOrigin(-math.inf, lambda: False)


class PollTimes(trio.abc.Instrument):
    """Notes when the event loop asked the kernel for events, most recently and before that.

    A task that is woken by the newest poll waited for what the one before it did not report.
    """

    __slots__ = ("_count", "_newest", "_previous")

    def __init__(self) -> None:
        self._count = 0
        self._newest = self._previous = trio.current_time()

    @property
    def count(self) -> int:
        """The number of polls so far."""
        return self._count

    @property
    def previous(self) -> float:
        """When the poll before the newest one began."""
        return self._previous

    def before_io_wait(self, timeout: float) -> None:
        """Note the begin of a poll; called by the event loop."""
        self._count += 1
        self._previous, self._newest = self._newest, trio.current_time()


_POLLS: trio.lowlevel.RunVar[PollTimes] = trio.lowlevel.RunVar("polls")


def _polls_of_this_loop() -> PollTimes:
    try:
        return _POLLS.get()
    except LookupError:
        polls = PollTimes()
        trio.lowlevel.add_instrument(polls)
        _POLLS.set(polls)
        return polls


class ArrivalClock:
    """Bounds when the data that was read from one socket had arrived.

    Encloses each wait for the socket, which must consist of trio's own operation alone:

        polls = arrivals.before_wait(descriptor)
        data = await stream.receive_some()
        arrivals.after_wait(polls)
    """

    __slots__ = ("_empty_at", "_polls")

    def __init__(self, empty_at: float) -> None:
        self._polls = _polls_of_this_loop()
        self._empty_at = empty_at

    @property
    def arrived_after(self) -> float:
        """The last time at which the newest data was known not to have arrived."""
        return self._empty_at

    def before_wait(self, descriptor: int) -> int:
        """Look whether the socket is readable already; return the argument of `after_wait`."""
        looked_at = trio.current_time()
        if not has_event(descriptor, select.POLLIN):
            self._empty_at = looked_at
        return self._polls.count

    def after_wait(self, polls_before: int) -> None:
        """Take a wait into account: every poll but the last one found the socket empty.

        After a single poll the socket may have been readable all along.
        """
        if self._polls.count > polls_before + 1:
            self._empty_at = self._polls.previous


class TimedStream(trio.abc.HalfCloseableStream):
    """A socket's stream that bounds when the data read from it had arrived.

    `opened_after` is a time at which the connection did not exist yet.
    """

    __slots__ = ("_arrivals", "_stream")

    def __init__(self, stream: trio.SocketStream, opened_after: float) -> None:
        self._stream = stream
        self._arrivals = ArrivalClock(opened_after)

    @property
    def socket(self) -> trio.socket.SocketType:
        """The socket, as in `trio.SocketStream`."""
        return self._stream.socket

    @property
    def arrived_after(self) -> float:
        """The last time at which the newest data was known not to have arrived."""
        return self._arrivals.arrived_after

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        """Receive data and bound when it arrived."""
        polls = self._arrivals.before_wait(self._stream.socket.fileno())
        data = await self._stream.receive_some(max_bytes)
        self._arrivals.after_wait(polls)
        return data

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send data, as in `trio.SocketStream`."""
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until there is room to send, as in `trio.SocketStream`."""
        await self._stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """Close the sending half, as in `trio.SocketStream`."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection, as in `trio.SocketStream`."""
        await self._stream.aclose()

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """Set an option of the socket, as in `trio.SocketStream`."""
        self._stream.setsockopt(level, option, value)


AcceptedStream = trio.SocketStream | TimedStream


def origin_of(stream: AcceptedStream) -> CallOrigin:
    """Return what is known about the caller of what was read last from a stream."""
    if not isinstance(stream, TimedStream):
        return UNKNOWN_ORIGIN
    return CallOrigin(stream.arrived_after, lambda: peer_has_closed(stream.socket.fileno()))
