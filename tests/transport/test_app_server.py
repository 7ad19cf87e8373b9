"""A stop of a server for applications answers what callers had sent before it."""

from __future__ import annotations

import socket

import pytest
import trio
from hypercorn.config import Config

from bench.deploy import free_ports
from finchway.transport import AppServer

REQUEST = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
MOMENTS = 12


class Server:
    """A server in this process; `app` serves its requests."""

    def __init__(self, app) -> None:
        self.address = f"127.0.0.1:{free_ports(1)[0]}"
        config = Config()
        config.include_server_header = False
        config.errorlog = None
        self.http = AppServer(self.address, app, config)

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
        server.http.leave()
        caller = server.connect()
        caller.send(REQUEST)
        answer = await read_answer(caller)
        assert is_whole(answer) and b"connection: close" in answer.lower()

    play(serve_well, action)
