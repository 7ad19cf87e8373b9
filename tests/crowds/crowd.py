"""A crowd of clients that send large, endless or malformed bodies and keep their connections."""

from __future__ import annotations

import os
import socket
from enum import Enum

import trio
from msgspec import Struct

MEGABYTE = 1_000_000
# Time for which a crowd is watched at most; no check depends on how far it came.
WATCH_S = 8.0
SAMPLE_INTERVAL_S = 0.1
_LISTENING = "0A"


class Shape(Enum):
    """What each client of a crowd sends. Those that are not `whole` keep waiting at the end."""

    LARGE_CHUNKS = "ten chunks of 100 KB, no end"
    TINY_CHUNKS = "400 KB in chunks of 2 bytes, no end"
    ONE_BYTE_CHUNKS = "100 KB in chunks of 1 byte, no end"
    BUT_A_BYTE = "1 MB but for a byte"
    WHOLE = "1 MB, whole"
    PIECES = "1 MB but for a byte, in pieces of 20 KB, all clients in turn"
    LONG = "8 MB but for a byte"
    ANNOUNCED = "70 MB announced, of which 2 MB are sent"
    JUST_SENT = "70 MB in chunks"
    PIPELINED = "a request, and 60 KB of the next one behind it"
    HEADS = "15 KB of a head, no end"
    UNREAD = "three requests for 200 KB each, whose answers it does not read"
    SILENT = "nothing"


class Crowd(Struct):
    """Clients of one shape, which all send at once to one address."""

    address: tuple[str, int]
    shape: Shape
    clients: int
    path: str = "/lepu270/1"
    host: str = "jepu9.example"
    headers: tuple[str, ...] = ()
    method: str = "POST"

    async def send(self, streams: list[trio.SocketStream]) -> None:
        """Connect and send; returns when all have sent what they have, or were closed."""
        async with trio.open_nursery() as nursery:
            for number in range(self.clients):
                nursery.start_soon(self._send_one, number, streams)

    async def _send_one(self, number: int, streams: list[trio.SocketStream]) -> None:
        try:
            stream = await trio.open_tcp_stream(*self.address)
        except OSError:
            return
        streams.append(stream)
        try:
            for part in self._parts(number):
                await stream.send_all(part)
                if self.shape is Shape.PIECES:
                    await trio.sleep(0.02)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    def _parts(self, number: int):
        head = self._head(number)
        match self.shape:
            case Shape.LARGE_CHUNKS:
                yield head("Transfer-Encoding: chunked")
                for _ in range(10):
                    yield b"186a0\r\n" + b"x" * 100_000 + b"\r\n"
            case Shape.TINY_CHUNKS:
                yield head("Transfer-Encoding: chunked") + b"2\r\nxx\r\n" * 200_000
            case Shape.ONE_BYTE_CHUNKS:
                yield head("Transfer-Encoding: chunked") + b"1\r\nx\r\n" * 100_000
            case Shape.BUT_A_BYTE:
                yield head(f"Content-Length: {MEGABYTE + 1}") + b"x" * MEGABYTE
            case Shape.WHOLE:
                yield head(f"Content-Length: {MEGABYTE}") + b"x" * MEGABYTE
            case Shape.PIECES:
                yield head(f"Content-Length: {MEGABYTE + 1}")
                for _ in range(50):
                    yield b"x" * 20_000
            case Shape.LONG:
                yield head(f"Content-Length: {8 * MEGABYTE + 1}")
                for _ in range(80):
                    yield b"x" * 100_000
            case Shape.ANNOUNCED:
                yield head(f"Content-Length: {70 * MEGABYTE}") + b"x" * 2 * MEGABYTE
            case Shape.JUST_SENT:
                yield head("Transfer-Encoding: chunked")
                for _ in range(700):
                    yield b"186a0\r\n" + b"x" * 100_000 + b"\r\n"
            case Shape.PIPELINED:
                yield head("Content-Length: 2") + b"ok" + head("Content-Length: 900000")
                yield b"x" * 60_000
            case Shape.HEADS:
                yield head("X-Long: " + "x" * 15_000)[:-4]
            case Shape.UNREAD:
                yield head("Content-Length: 0") * 3
            case Shape.SILENT:
                return

    def _head(self, number: int):
        lines = [
            f"{self.method} {self.path} HTTP/1.1",
            f"Host: {self.host}",
            f"X-Finchway-Request-Id: crowd-{number}",
            "X-Finchway-Deadline-Ms: 9000",
            *self.headers,
        ]
        return lambda framing: "\r\n".join([*lines, framing, "", ""]).encode()


class Use(Struct):
    """The most that a process has used while it was watched."""

    bytes: int = 0
    descriptors: int = 0


async def watch(process, port: int, use: Use) -> None:
    """Record what a process holds until cancelled: memory, queued bytes and descriptors."""
    while process.poll() is None:
        held = resident_bytes(process.pid) + queued_bytes(process.pid, port)
        use.bytes = max(use.bytes, held)
        use.descriptors = max(use.descriptors, len(_descriptors(process.pid)))
        await trio.sleep(SAMPLE_INTERVAL_S)


def resident_bytes(pid: int) -> int:
    """Return the largest resident memory that a process has had."""
    with open(f"/proc/{pid}/status") as status:
        line = next(line for line in status if line.startswith("VmHWM"))
    return int(line.split()[1]) * 1024


def queued_bytes(pid: int, port: int) -> int:
    """Return the bytes in the kernel that a process has not read, or its peers not taken.

    Those on connections to `port` that it has not accepted yet are counted as well.
    """
    own = {link[8:-1] for link in _descriptors(pid).values() if link.startswith("socket:")}
    total = 0
    with open("/proc/net/tcp") as table:
        next(table)
        for line in table:
            fields = line.split()
            is_waiting = fields[9] == "0" and int(fields[1].partition(":")[2], 16) == port
            if fields[3] != _LISTENING and (fields[9] in own or is_waiting):
                unsent, _, unread = fields[4].partition(":")
                total += int(unsent, 16) + int(unread, 16)
    return total


def _descriptors(pid: int) -> dict[str, str]:
    folder = f"/proc/{pid}/fd"
    found = {}
    for name in os.listdir(folder):
        try:
            found[name] = os.readlink(f"{folder}/{name}")
        except OSError:
            continue
    return found


async def play(crowd: Crowd, process, then) -> Use:
    """Play a crowd beside `then`, which is run while all its connections stay open."""
    use = Use()
    streams: list[trio.SocketStream] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch, process, crowd.address[1], use)
        async with trio.open_nursery() as clients:
            with trio.move_on_after(WATCH_S):
                await crowd.send(streams)
                await trio.sleep(1.0)
            assert process.poll() is None, "the process has ended"
            await then()
            clients.cancel_scope.cancel()
        nursery.cancel_scope.cancel()
    assert process.poll() is None, "the process has ended"
    for stream in streams:
        abort(stream)
    return use


def abort(stream: trio.SocketStream) -> None:
    """Reset a connection."""
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()
