"""A loopback proxy that spoils what passes through it."""

from __future__ import annotations

import socket
from enum import Enum

import trio

PIECE_BYTES = 64 * 1024
DELAY_S = 0.15
CROWDED_S = 0.7
_RESET_LINGER = b"\x01\x00\x00\x00\x00\x00\x00\x00"


class Mode(Enum):
    """What happens to bytes."""

    PASS = "pass"
    DELAY = "delay"
    CROWDED = "crowded"
    SILENCE = "silence"
    CUT_REQUESTS = "cut-requests"
    CUT_ANSWERS = "cut-answers"


class Direction(Enum):
    """Which bytes of a connection are meant."""

    REQUESTS = Mode.CUT_REQUESTS
    ANSWERS = Mode.CUT_ANSWERS


BOTH = frozenset(Direction)

# What each piece waits: as on a far link, and as on one that is full.
_DELAYS = {Mode.DELAY: DELAY_S, Mode.CROWDED: CROWDED_S}


class _Pair:
    """A caller's connection and the one to the target; `silent` directions never end a wait."""

    __slots__ = ("far", "near", "silent")

    def __init__(self, near: trio.SocketStream, far: trio.SocketStream) -> None:
        self.near = near
        self.far = far
        self.silent: frozenset[Direction] = frozenset()

    @property
    def streams(self) -> tuple[trio.SocketStream, trio.SocketStream]:
        """Both connections."""
        return self.near, self.far


class Proxy:
    """Passes connections on to one target; its mode may change at any time.

    What a cut holds up is passed on once the cut is over, as TCP would send it again. What a
    connection that has gone silent takes in is lost, its end too, while new connections work.
    """

    def __init__(self, listen: str, target: str) -> None:
        self._listen = listen
        self._target = target
        self._mode = Mode.PASS
        self._changed = trio.Event()
        self._open: set[_Pair] = set()

    @property
    def listen(self) -> str:
        """The address that callers of the target use."""
        return self._listen

    @property
    def mode(self) -> Mode:
        """What happens to bytes now."""
        return self._mode

    def set_mode(self, mode: Mode) -> None:
        """Treat all bytes differently from now on."""
        self._mode = mode
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def reset(self) -> None:
        """Break off every connection with a reset."""
        for pair in self._open:
            for stream in pair.streams:
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER)
                stream.socket.close()

    def go_silent(self, directions: frozenset[Direction] = BOTH) -> None:
        """Lose all that the open connections carry from now on, without a reset."""
        for pair in self._open:
            pair.silent = directions

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        host, _, port = self._listen.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        await trio.serve_listeners(self._carry, listeners, task_status=task_status)

    async def _carry(self, near: trio.SocketStream) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            far = await trio.open_tcp_stream(host, int(port))
        except OSError:
            near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER)
            near.socket.close()
            return
        pair = _Pair(near, far)
        self._open.add(pair)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, pair, Direction.REQUESTS, nursery.cancel_scope)
                nursery.start_soon(self._copy, pair, Direction.ANSWERS, nursery.cancel_scope)
        finally:
            self._open.discard(pair)
            for stream in pair.streams:
                await trio.aclose_forcefully(stream)

    async def _copy(self, pair: _Pair, direction: Direction, scope: trio.CancelScope) -> None:
        ways = {Direction.REQUESTS: (pair.near, pair.far), Direction.ANSWERS: (pair.far, pair.near)}
        source, sink = ways[direction]
        try:
            while data := await source.receive_some(PIECE_BYTES):
                if self._mode in _DELAYS:
                    await trio.sleep(_DELAYS[self._mode])
                while self._mode in (direction.value, Mode.SILENCE):
                    await self._changed.wait()
                if direction not in pair.silent:
                    await sink.send_all(data)
            if direction not in pair.silent:
                await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            if not pair.silent:
                scope.cancel()
