"""The app server: errors stay within their connection, and a graceful stop drops no request.

Randomised applications are cancelled or raise at any point of a response; clients disconnect early.
"""

from __future__ import annotations

import random
import socket

import pytest
import trio
import trio.testing
from hypercorn.config import Config

from bench.deploy import free_ports
from finchway.transport import AppServer, ClientBudget
from finchway.transport._connection_requests import ConnectionRequests
from finchway.transport._http import Request

REQUEST = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
STOP_DELAYS = 12
PART = b"x" * 100
LEAVING_CLIENTS = 200
MOST_ACCEPTED_AT_ONCE = 32


class Server:
    """An app server in this process, which counts failed connections."""

    def __init__(self, app, memory_mb: int = 300) -> None:
        self.budget = ClientBudget(memory_mb)
        self.address = f"127.0.0.1:{free_ports(1)[0]}"
        self.failures = 0
        self.left = 0
        config = Config()
        config.include_server_header = False
        config.errorlog = None
        self.http = AppServer(
            self.address, app, config, self.budget, self._count_failure, self._count_left
        )

    def _count_failure(self) -> None:
        self.failures += 1

    def _count_left(self) -> None:
        self.left += 1

    def connect(self) -> socket.socket:
        """Return a client connection; the kernel completes it independent of the server."""
        host, _, port = self.address.rpartition(":")
        client = socket.create_connection((host, int(port)))
        client.setblocking(False)
        return client


def run_with_server(app, action, **settings) -> None:
    async def run() -> None:
        server = Server(app, **settings)
        async with trio.open_nursery() as nursery:
            await nursery.start(server.http.run)
            await action(server)
            nursery.cancel_scope.cancel()

    trio.run(run)


async def read_response(client: socket.socket, until: bytes = b"never") -> bytes:
    """Return the data received until the connection ends or the data contains `until`."""
    data = b""
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(client))
    with trio.fail_after(5.0):
        try:
            while until not in data and (part := await stream.receive_some()):
                data += part
        except trio.BrokenResourceError:
            pass
    return data


async def respond_ok(scope, receive, send) -> None:
    await trio.sleep(0.01)
    headers = [(b"content-length", b"2")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"ok", "more_body": False})


def is_complete(response: bytes) -> bool:
    return response.startswith(b"HTTP/1.1 200") and response.endswith(b"ok")


@pytest.mark.parametrize("stop_delay", range(STOP_DELAYS))
@pytest.mark.parametrize("client_count", [1, 5])
def test_a_request_on_a_new_connection_is_answered_whenever_the_stop_comes(
    client_count, stop_delay
):
    """The server stops `stop_delay` scheduler steps after the clients have sent their requests."""

    async def action(server: Server) -> None:
        clients = [server.connect() for _ in range(client_count)]
        for client in clients:
            client.send(REQUEST)
        for _ in range(stop_delay):
            await trio.lowlevel.checkpoint()
        with trio.fail_after(3.0):
            await server.http.stop()
        for client in clients:
            assert is_complete(await read_response(client, b"ok"))

    run_with_server(respond_ok, action)


def test_responses_have_connection_close_while_the_server_drains():
    async def action(server: Server) -> None:
        server.http.begin_drain()
        client = server.connect()
        client.send(REQUEST)
        response = await read_response(client)
        assert is_complete(response) and b"connection: close" in response.lower()

    run_with_server(respond_ok, action)


class RandomApp:
    """An application that randomly times out, raises, or responds a second time."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    async def __call__(self, scope, receive, send) -> None:
        if scope["path"] == "/ok":
            await respond_ok(scope, receive, send)
            return
        with trio.move_on_after(self._rng.random() * 0.004) as deadline:
            await self._respond(send, deadline)
        match self._rng.randrange(4):
            case 0:
                raise ConnectionAbortedError("cut off")
            case 1:
                raise ValueError("an error of the application")
            case 2:
                await self._respond(send, trio.CancelScope())

    async def _respond(self, send, deadline: trio.CancelScope) -> None:
        """Respond in parts; the deadline may expire in a sleep or at a checkpoint within `send`."""
        count = self._rng.randrange(4)
        headers = [(b"content-length", str(count * len(PART)).encode())]
        if self._rng.random() < 0.5:
            headers = []
        await self._wait(0.003, deadline)
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        for _ in range(count):
            await self._wait(0.002, deadline)
            await send({"type": "http.response.body", "body": PART, "more_body": True})
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    async def _wait(self, max_s: float, deadline: trio.CancelScope) -> None:
        if self._rng.random() < 0.1:
            deadline.cancel()
        else:
            await trio.sleep(self._rng.random() * max_s)


@pytest.mark.parametrize("seed", range(10))
def test_no_request_stops_the_server_or_gets_two_response_heads(seed):
    """Clients that disconnect early must not affect one that reads each response to its end."""
    rng = random.Random(seed)
    head_counts: list[int] = []

    async def run_client(server: Server) -> None:
        for _ in range(40):
            client = server.connect()
            client.send(REQUEST)
            with trio.move_on_after(rng.choice([0.001, 0.003, 0.2])):
                response = await read_response(client)
                head_counts.append(response.count(b"HTTP/1.1 "))
            client.close()

    async def action(server: Server) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(run_client, server)
            for _ in range(20):
                client = server.connect()
                client.send(REQUEST.replace(b"/x", b"/ok"))
                assert is_complete(await read_response(client, b"ok"))
                client.close()

    run_with_server(RandomApp(rng), action)
    assert len(head_counts) > 20
    assert max(head_counts) == 1


def test_malformed_input_and_an_invalid_response_head_affect_no_other_connection():
    async def send_invalid_head(scope, receive, send) -> None:
        if scope["path"] == "/ok":
            await respond_ok(scope, receive, send)
            return
        await send({"type": "http.response.start", "status": 200, "headers": [(b"a\r\nb", b"c")]})

    async def action(server: Server) -> None:
        for data in (
            b"\x00\x01\r\n\r\n",
            REQUEST,
            b"PRI * HTTP/2.0\r\n\r\nxx\r\n\r\n" + b"\xff" * 50,
        ):
            client = server.connect()
            client.send(data)
            await read_response(client, b"500")
            client.close()
        client = server.connect()
        client.send(REQUEST.replace(b"/x", b"/ok"))
        assert is_complete(await read_response(client, b"ok"))

    run_with_server(send_invalid_head, action)


def test_an_error_of_a_connection_is_counted_and_affects_no_other(monkeypatch):

    async def fail(self) -> None:
        raise RuntimeError("connection error")

    async def action(server: Server) -> None:
        with monkeypatch.context() as patched:
            patched.setattr("hypercorn.trio.tcp_server.TCPServer.run", fail)
            broken = server.connect()
            broken.send(REQUEST)
            assert await read_response(broken) == b""
        client = server.connect()
        client.send(REQUEST)
        assert is_complete(await read_response(client, b"ok"))
        assert server.failures == 1

    run_with_server(respond_ok, action)


def test_a_connection_is_closed_when_its_client_closes_it():
    """Guards against keep-alive connections that occupy a socket until the idle timeout."""

    async def action(server: Server) -> None:
        clients = [server.connect() for _ in range(20)]
        for client in clients:
            client.send(REQUEST)
        for client in clients:
            assert is_complete(await read_response(client, b"ok"))
            client.close()
        with trio.fail_after(1.0):
            while server.http.connections:
                await trio.sleep(0.01)

    run_with_server(respond_ok, action)


class CountingApp:
    """An application that counts its requests."""

    def __init__(self) -> None:
        self.requests = 0

    async def __call__(self, scope, receive, send) -> None:
        self.requests += 1
        await respond_ok(scope, receive, send)


@pytest.mark.parametrize("is_accepted", [False, True])
def test_requests_of_clients_that_have_left_are_not_served(is_accepted):
    """A process that falls behind does not serve those who gave up before those who wait."""
    app = CountingApp()

    async def action(server: Server) -> None:
        clients = [server.connect() for _ in range(LEAVING_CLIENTS)]
        if is_accepted:
            with trio.fail_after(5.0):
                while server.http.connections < LEAVING_CLIENTS:
                    await trio.sleep(0.01)
        for client in clients:
            client.send(REQUEST)
            client.close()
        patient = server.connect()
        patient.send(REQUEST)
        assert is_complete(await read_response(patient, b"ok"))
        with trio.fail_after(5.0):
            while server.http.connections > 1:
                await trio.sleep(0.01)
        patient.close()
        assert server.left == (0 if is_accepted else LEAVING_CLIENTS)

    run_with_server(app, action)
    assert app.requests == 1


def test_other_tasks_run_while_many_connections_are_accepted():
    """No more than a batch of connections is accepted between two turns of another task."""
    increases = []

    async def action(server: Server) -> None:
        clients = [server.connect() for _ in range(LEAVING_CLIENTS)]
        before = 0
        with trio.fail_after(5.0):
            while before < LEAVING_CLIENTS:
                await trio.lowlevel.checkpoint()
                increases.append(server.http.connections - before)
                before = server.http.connections
        for client in clients:
            client.close()

    run_with_server(respond_ok, action)
    assert max(increases) <= MOST_ACCEPTED_AT_ONCE


async def respond_long(scope, receive, send) -> None:
    """Answer with a megabyte, but shortly to requests for `/short`."""
    body = b"ok" if scope["path"] == "/short" else b"x" * 1_000_000
    headers = [(b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body, "more_body": False})


def test_answers_that_clients_do_not_take_are_bounded_together():
    """Those that have stalled make room for others, and short answers need none."""

    async def action(server: Server) -> None:
        # A fifth of 100 MB is 20 answers.
        clients = [server.connect() for _ in range(30)]
        for client in clients:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.send(REQUEST)
        while server.budget.state.refused_requests < 10:
            await trio.sleep(0.01)
        assert server.budget.state.held_bytes <= 20_000_000
        client = server.connect()
        client.send(b"GET /short HTTP/1.1\r\nHost: a\r\n\r\n")
        assert is_complete(await read_response(client, b"ok"))
        await trio.sleep(1.1)
        client.send(REQUEST)
        assert (await read_response(client, b"x" * 1_000_000)).startswith(b"HTTP/1.1 200")
        assert server.budget.state.ended
        for client in clients:
            client.close()
        while server.budget.state.connections > 1:
            await trio.sleep(0.01)
        assert server.budget.state.held_bytes == 0

    run_with_server(respond_long, action, memory_mb=100)


def test_a_connection_with_other_requests_under_way_is_not_ended():
    """On one of HTTP/2, a request whose body has stalled does not end those beside it."""
    budget = ClientBudget(100)
    ended = []

    async def run() -> None:
        account = budget.open()
        account.on_end(lambda: ended.append(account))
        requests = ConnectionRequests(account)
        asking = budget.open()
        asking.serve()
        with requests.request() as holding:
            assert holding.resize(20_000_000)
            with requests.request(), requests.waiting_for_client():
                await trio.sleep(1.1)
                assert not asking.holding().resize(1)
            assert ended == []
            with requests.waiting_for_client():
                await trio.sleep(1.1)
                assert asking.holding().resize(1)
        assert ended == [account]

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


SHORT_BODIES = {
    "with a length": b"Content-Length: 300\r\n\r\n" + b"x" * 300,
    "in chunks": b"Transfer-Encoding: chunked\r\n\r\n12c\r\n" + b"x" * 300 + b"\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("name", list(SHORT_BODIES))
def test_a_request_with_a_short_body_holds_nothing_once_it_is_read(name):
    held = []

    async def action(server: Server) -> None:
        client = server.connect()
        client.send(b"POST /x HTTP/1.1\r\nHost: a\r\n" + SHORT_BODIES[name])
        assert is_complete(await read_response(client, b"ok"))

    async def app(scope, receive, send) -> None:
        request = Request(scope, receive)
        assert await request.read(1000) == b"x" * 300
        held.append(request.holding.size)
        await respond_ok(scope, receive, send)

    run_with_server(app, action)
    assert held == [0]


def test_a_short_body_with_a_length_is_taken_while_there_is_no_room():
    async def action(server: Server) -> None:
        other = server.budget.open()
        other.serve()
        assert other.holding().resize(server.budget.state.max_bytes)
        client = server.connect()
        client.send(b"POST /x HTTP/1.1\r\nHost: a\r\n" + SHORT_BODIES["with a length"])
        assert is_complete(await read_response(client, b"ok"))

    async def app(scope, receive, send) -> None:
        assert len(await Request(scope, receive).read(1000)) == 300
        await respond_ok(scope, receive, send)

    run_with_server(app, action)
