"""What one connection raises ends that connection; a stop answers what was sent before it.

The states of an answer are played at random: applications that are cancelled, that raise or go on
after any part of an answer, callers that send, wait or leave.
"""

from __future__ import annotations

import random
import socket

import pytest
import trio
from hypercorn.config import Config

from bench.deploy import free_ports
from finchway.transport import AppServer

REQUEST = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
MOMENTS = 12
PART = b"x" * 100


class Server:
    """A server in this process; `app` serves its requests."""

    def __init__(self, app) -> None:
        self.address = f"127.0.0.1:{free_ports(1)[0]}"
        self.failures = 0
        config = Config()
        config.include_server_header = False
        config.errorlog = None
        self.http = AppServer(self.address, app, config, self._count)

    def _count(self) -> None:
        self.failures += 1

    def connect(self) -> socket.socket:
        """Connect as a caller does; the kernel completes it whatever the server does meanwhile."""
        host, _, port = self.address.rpartition(":")
        caller = socket.create_connection((host, int(port)))
        caller.setblocking(False)
        return caller


def play(app, action) -> None:
    async def run() -> None:
        server = Server(app)
        async with trio.open_nursery() as nursery:
            await nursery.start(server.http.run)
            await action(server)
            nursery.cancel_scope.cancel()

    trio.run(run)


async def read_answer(caller: socket.socket, enough: bytes = b"never") -> bytes:
    """Return what comes until the connection ends, or until `enough` is in it."""
    data = b""
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
    with trio.fail_after(5.0):
        try:
            while enough not in data and (part := await stream.receive_some()):
                data += part
        except trio.BrokenResourceError:
            pass
    return data


async def serve_well(scope, receive, send) -> None:
    await trio.sleep(0.01)
    headers = [(b"content-length", b"2")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"ok", "more_body": False})


def is_whole(answer: bytes) -> bool:
    return answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"ok")


@pytest.mark.parametrize("moment", range(MOMENTS))
@pytest.mark.parametrize("callers", [1, 5])
def test_a_request_on_a_new_connection_is_answered_in_whatever_moment_the_stop_comes(
    callers, moment
):
    """The callers connect and send, and the stop comes so many steps of the server later."""

    async def action(server: Server) -> None:
        sockets = [server.connect() for _ in range(callers)]
        for caller in sockets:
            caller.send(REQUEST)
        for _ in range(moment):
            await trio.lowlevel.checkpoint()
        with trio.fail_after(3.0):
            await server.http.stop()
        for caller in sockets:
            assert is_whole(await read_answer(caller, b"ok"))

    play(serve_well, action)


def test_an_answer_says_that_its_connection_ends_once_the_server_leaves():
    async def action(server: Server) -> None:
        server.http.begin_drain()
        caller = server.connect()
        caller.send(REQUEST)
        answer = await read_answer(caller)
        assert is_whole(answer) and b"connection: close" in answer.lower()

    play(serve_well, action)


class Capricious:
    """An application that does at random what one may do, in whatever state its answer is."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    async def __call__(self, scope, receive, send) -> None:
        if scope["path"] == "/patient":
            await serve_well(scope, receive, send)
            return
        with trio.move_on_after(self._rng.random() * 0.004) as deadline:
            await self._answer(send, deadline)
        match self._rng.randrange(4):
            case 0:
                raise ConnectionAbortedError("cut off")
            case 1:
                raise ValueError("an error of the application")
            case 2:
                await self._answer(send, trio.CancelScope())

    async def _answer(self, send, deadline: trio.CancelScope) -> None:
        """Answer in parts; the deadline may pass while the application waits, or as it runs.

        What runs notices it at its next checkpoint, which is within the sending of a part.
        """
        count = self._rng.randrange(4)
        headers = [(b"content-length", str(count * len(PART)).encode())]
        if self._rng.random() < 0.5:
            headers = []
        await self._pass_time(0.003, deadline)
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        for _ in range(count):
            await self._pass_time(0.002, deadline)
            await send({"type": "http.response.body", "body": PART, "more_body": True})
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    async def _pass_time(self, most_s: float, deadline: trio.CancelScope) -> None:
        if self._rng.random() < 0.1:
            deadline.cancel()
        else:
            await trio.sleep(self._rng.random() * most_s)


@pytest.mark.parametrize("seed", range(10))
def test_no_request_ends_the_server_or_is_answered_by_two_heads(seed):
    """Hasty callers, some of whom leave, beside a patient one who is served each time."""
    rng = random.Random(seed)
    heads: list[int] = []

    async def hurry(server: Server) -> None:
        for _ in range(40):
            caller = server.connect()
            caller.send(REQUEST)
            with trio.move_on_after(rng.choice([0.001, 0.003, 0.2])):
                answer = await read_answer(caller)
                heads.append(answer.count(b"HTTP/1.1 "))
            caller.close()

    async def action(server: Server) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(hurry, server)
            for _ in range(20):
                caller = server.connect()
                caller.send(REQUEST.replace(b"/x", b"/patient"))
                assert is_whole(await read_answer(caller, b"ok"))
                caller.close()

    play(Capricious(rng), action)
    assert len(heads) > 20
    assert max(heads) == 1


def test_what_a_connection_raises_is_counted_and_harms_no_other():
    """Bytes that are none, a head twice, a body before the head."""

    async def answer_twice(scope, receive, send) -> None:
        if scope["path"] == "/patient":
            await serve_well(scope, receive, send)
            return
        await send({"type": "http.response.start", "status": 200, "headers": [(b"a\r\nb", b"c")]})

    async def action(server: Server) -> None:
        for data in (
            b"\x00\x01\r\n\r\n",
            REQUEST,
            b"PRI * HTTP/2.0\r\n\r\nxx\r\n\r\n" + b"\xff" * 50,
        ):
            caller = server.connect()
            caller.send(data)
            await read_answer(caller, b"500")
            caller.close()
        caller = server.connect()
        caller.send(REQUEST.replace(b"/x", b"/patient"))
        assert is_whole(await read_answer(caller, b"ok"))

    play(answer_twice, action)


def test_an_error_of_a_connection_is_counted(monkeypatch):
    """An error that hypercorn raises out of its connection ends just that connection."""

    async def fail(self) -> None:
        raise RuntimeError("amid a connection")

    async def action(server: Server) -> None:
        with monkeypatch.context() as patched:
            patched.setattr("hypercorn.trio.tcp_server.TCPServer.run", fail)
            broken = server.connect()
            broken.send(REQUEST)
            assert await read_answer(broken) == b""
        caller = server.connect()
        caller.send(REQUEST)
        assert is_whole(await read_answer(caller, b"ok"))
        assert server.failures == 1

    play(serve_well, action)


def test_a_connection_ends_when_its_caller_closes_it():
    """One that was kept holds its socket otherwise until its idle time is over."""

    async def action(server: Server) -> None:
        callers = [server.connect() for _ in range(20)]
        for caller in callers:
            caller.send(REQUEST)
        for caller in callers:
            assert is_whole(await read_answer(caller, b"ok"))
            caller.close()
        with trio.fail_after(1.0):
            while server.http.connections:
                await trio.sleep(0.01)

    play(serve_well, action)
