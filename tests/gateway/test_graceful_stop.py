"""A graceful stop answers every request that was sent before it.

Connections in the listen queue, accepted ones without a request yet and those with an unread or
partial request are not idle.
"""

import random
import socket

import pytest
import trio

from bench.deploy import free_ports
from finchway.gateway import CallerConnection, CallerRequest, HttpServer

REQUEST = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
SERVE_S = 0.01
# Exceeds the checkpoints between a connection's arrival in the listen queue and its first read.
MAX_CHECKPOINTS = 12


class Server:
    """A server in this process whose requests take a short time."""

    def __init__(self) -> None:
        self.address = f"127.0.0.1:{free_ports(1)[0]}"
        self.http = HttpServer(self.address, self._serve)
        self.served = 0
        self.may_answer = trio.Event()
        self.may_answer.set()

    async def _serve(self, connection: CallerConnection, request: CallerRequest) -> None:
        self.served += 1
        await self.may_answer.wait()
        await trio.sleep(SERVE_S)
        await connection.send_whole(200, b"OK", [(b"Content-Length", b"2")], b"ok")

    def connect(self) -> socket.socket:
        """Connect as a caller; the kernel completes the connection without the server."""
        host, _, port = self.address.rpartition(":")
        caller = socket.create_connection((host, int(port)))
        caller.setblocking(False)
        return caller


async def read_answer(caller: socket.socket) -> bytes:
    """Return all data until the connection ends, including data received before a reset."""
    data = b""
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
    with trio.fail_after(5.0):
        try:
            while part := await stream.receive_some():
                data += part
        except trio.BrokenResourceError:
            pass
    return data


def run_with_server(action) -> None:
    """Run an action beside a server."""

    async def run() -> None:
        server = Server()
        async with trio.open_nursery() as nursery:
            await nursery.start(server.http.run)
            await action(server)
            nursery.cancel_scope.cancel()

    trio.run(run)


async def pass_checkpoints(count: int) -> None:
    for _ in range(count):
        await trio.lowlevel.checkpoint()


def is_whole(answer: bytes) -> bool:
    return answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"ok")


@pytest.mark.parametrize("steps", range(MAX_CHECKPOINTS))
@pytest.mark.parametrize("callers", [1, 5])
def test_request_on_a_new_connection_is_answered_whenever_the_stop_begins(callers, steps):
    """The stop begins some checkpoints after the callers have connected and sent."""

    async def action(server: Server) -> None:
        server.may_answer = trio.Event()
        sockets = [server.connect() for _ in range(callers)]
        for caller in sockets:
            caller.send(REQUEST)
        await pass_checkpoints(steps)
        server.may_answer.set()
        await server.http.stop()
        assert server.http.connections == 0
        for caller in sockets:
            answer = await read_answer(caller)
            assert is_whole(answer) and b"connection: close" in answer.lower()

    run_with_server(action)


@pytest.mark.parametrize("steps", range(MAX_CHECKPOINTS))
def test_request_on_a_reused_connection_is_answered_whenever_the_stop_begins(steps):
    """A second request is sent on an idle connection some checkpoints before the stop."""

    async def action(server: Server) -> None:
        caller = server.connect()
        caller.send(REQUEST)
        while server.served < 1:
            await trio.sleep(0.001)
        await trio.sleep(5 * SERVE_S)
        assert is_whole(caller.recv(1000))
        caller.send(REQUEST)
        await pass_checkpoints(steps)
        await server.http.stop()
        assert is_whole(await read_answer(caller))

    run_with_server(action)


@pytest.mark.parametrize("received", range(1, len(REQUEST)))
def test_partially_received_request_is_read_to_its_end(received):
    """The rest of the request arrives after the stop has begun."""

    async def action(server: Server) -> None:
        caller = server.connect()
        caller.send(REQUEST[:received])
        await trio.sleep(0.005)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.http.stop)
            await trio.sleep(0.005)
            caller.send(REQUEST[received:])
            assert is_whole(await read_answer(caller))

    run_with_server(action)


def test_new_connection_gets_time_to_send_its_request():
    """The connection is open before the stop; its request arrives shortly after."""

    async def action(server: Server) -> None:
        caller = server.connect()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.http.stop)
            await trio.sleep(0.05)
            caller.send(REQUEST)
            assert is_whole(await read_answer(caller))

    run_with_server(action)


def test_idle_connections_do_not_delay_a_stop():
    """One connection was used and is idle, the other has never sent anything."""

    async def action(server: Server) -> None:
        used, silent = server.connect(), server.connect()
        used.send(REQUEST)
        await trio.sleep(5 * SERVE_S)
        with trio.fail_after(1.0):
            await server.http.stop()
        assert is_whole(await read_answer(used))
        assert await read_answer(silent) == b""

    run_with_server(action)


def test_no_connection_is_accepted_once_a_stop_has_begun():
    async def action(server: Server) -> None:
        caller = server.connect()
        caller.send(REQUEST)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.http.stop)
            await trio.sleep(SERVE_S / 2)
            with pytest.raises(ConnectionRefusedError):
                server.connect()
            assert is_whole(await read_answer(caller))

    run_with_server(action)


def test_connection_stays_open_after_an_answer_without_connection_close():
    """Its head was sent without `Connection: close`, so the caller may send another request."""

    async def action(server: Server) -> None:
        head_sent, may_end = trio.Event(), trio.Event()

        async def serve(connection: CallerConnection, request: CallerRequest) -> None:
            await connection.send_head(200, b"OK", [(b"Content-Length", b"2")])
            head_sent.set()
            await may_end.wait()
            await connection.send_part(b"ok")
            await connection.send_end()

        server.http._serve = serve
        caller = server.connect()
        caller.send(REQUEST)
        await head_sent.wait()
        server.http.begin_drain()
        may_end.set()
        await trio.sleep(0.01)
        assert is_whole(caller.recv(1000))
        caller.send(REQUEST)
        answer = await read_answer(caller)
        assert is_whole(answer) and b"connection: close" in answer.lower()

    run_with_server(action)


@pytest.mark.parametrize("seed", range(20))
def test_stop_at_a_random_time_drops_no_request(seed):
    """The stop begins while twelve callers connect and send repeatedly."""
    rng = random.Random(seed)
    answers: list[bytes] = []
    has_sent = trio.Event()

    async def send_request(server: Server, stopped: trio.Event) -> None:
        while not stopped.is_set():
            await trio.sleep(rng.random() * 0.003)
            if stopped.is_set():
                return
            caller = server.connect()
            caller.send(REQUEST)
            has_sent.set()
            answers.append(await read_one(caller))

    async def read_one(caller: socket.socket) -> bytes:
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
        try:
            async with stream:
                return await stream.receive_some()
        except trio.BrokenResourceError:
            return b""

    async def action(server: Server) -> None:
        stopped = trio.Event()
        async with trio.open_nursery() as nursery:
            for _ in range(12):
                nursery.start_soon(send_request, server, stopped)
            # A stalled process could otherwise stop the server before any caller has connected.
            await has_sent.wait()
            await trio.sleep(0.02 + rng.random() * 0.01)
            stopped.set()
            await server.http.stop()

    run_with_server(action)
    assert answers
    assert all(is_whole(answer) for answer in answers)
