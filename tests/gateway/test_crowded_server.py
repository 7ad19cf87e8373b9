"""A server whose clients hold too much: refusals are true, and all that was drawn is given back."""

from contextlib import asynccontextmanager

import h11
import pytest
import trio
import trio.testing

from bench.deploy import free_ports
from bench.raw import header_of
from finchway.catalog import Limits
from finchway.gateway import HttpServer, Reply
from finchway.transport import ClientBudget

# A budget of 33 MB for bodies.
MEMORY_MB = 165
EVENTS_IN_A_TURN = 16
BUSY_CLIENTS = 20


class Server:
    """A server in this process that answers each request with the size of its body."""

    def __init__(self, limits: Limits) -> None:
        self.budget = ClientBudget(MEMORY_MB)
        self.port = free_ports(1)[0]
        self.served: list[bytes] = []
        self.streams: list[trio.SocketStream] = []
        address = f"127.0.0.1:{self.port}"
        self.http = HttpServer(address, self.serve, lambda: limits, budget=self.budget)

    async def serve(self, connection, request) -> None:
        self.served.append(request.target.encode())
        while request.is_streamed and await connection.read_more() is not None:
            pass
        await connection.reply(Reply(200, b"%d" % len(request.body)))

    async def connect(self, data: bytes = b"") -> trio.SocketStream:
        stream = await trio.open_tcp_stream("127.0.0.1", self.port)
        await stream.send_all(data)
        self.streams.append(stream)
        return stream

    async def wait_until(self, condition) -> None:
        while not condition():
            await trio.sleep(0.01)


@asynccontextmanager
async def server(**limits):
    subject = Server(Limits(**limits))
    with trio.fail_after(20.0):
        async with trio.open_nursery() as nursery:
            await nursery.start(subject.http.run)
            yield subject
            nursery.cancel_scope.cancel()


def head_of(framing: bytes, target: bytes = b"/1") -> bytes:
    return b"POST " + target + b" HTTP/1.1\r\nHost: a\r\n" + framing + b"\r\n\r\n"


def upload(size: int, sent: int) -> bytes:
    """Return a request with a body of a size, of which only a part is sent."""
    return head_of(b"Content-Length: %d" % size) + b"x" * sent


async def fill(subject: Server) -> list[trio.SocketStream]:
    """Fill the budget with uploads that stop early."""
    streams = [await subject.connect(upload(1_000_000, 1000)) for _ in range(33)]
    await subject.wait_until(lambda: subject.budget.state.connections == 33)
    await subject.wait_until(lambda: subject.budget.state.held_bytes > 32_000_000)
    return streams


def test_a_request_without_room_is_refused_and_does_not_run():
    async def run():
        async with server() as subject:
            await fill(subject)
            stream = await subject.connect(upload(1_000_000, 1000))
            answer = await stream.receive_some(4096)
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert 0 < float(header_of(answer, b"retry-after")) <= 1.0
            assert subject.served == []

    trio.run(run)


def test_a_refused_request_holds_nothing_while_its_connection_is_closed():
    async def run():
        async with server(body_bytes=500_000) as subject:
            chunks = b"186a0\r\n" + b"x" * 100_000 + b"\r\n"
            stream = await subject.connect(head_of(b"Transfer-Encoding: chunked") + chunks * 6)
            assert (await stream.receive_some(4096)).startswith(b"HTTP/1.1 413 ")
            assert subject.budget.state.connections == 1
            assert subject.budget.state.held_bytes == 0

    trio.run(run)


def test_the_refusal_arrives_while_the_client_is_still_sending():
    async def run():
        async with server() as subject:
            await fill(subject)
            stream = await subject.connect(head_of(b"Content-Length: 900000"))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_all, stream, b"x" * 900_000)
                answer = await stream.receive_some(4096)
                nursery.cancel_scope.cancel()
            assert answer.startswith(b"HTTP/1.1 503 ")

    trio.run(run)


async def send_all(stream, data: bytes) -> None:
    try:
        await stream.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


def test_uploads_that_have_stalled_make_room_and_are_told():
    async def run():
        async with server() as subject:
            streams = await fill(subject)
            await trio.sleep(1.1)
            stream = await subject.connect(upload(900_000, 900_000))
            assert (await stream.receive_some(4096)).startswith(b"HTTP/1.1 200 ")
            assert (await streams[0].receive_some(4096)).startswith(b"HTTP/1.1 503 ")
            assert subject.served == [b"/1"]

    trio.run(run)


def test_requests_without_a_body_are_served_while_there_is_no_room_for_bodies():
    async def run():
        async with server() as subject:
            await fill(subject)
            stream = await subject.connect(b"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await stream.receive_some(4096)).startswith(b"HTTP/1.1 200 ")

    trio.run(run)


SHORT_BODIES = {
    "with a length": upload(5000, 5000),
    "in chunks": head_of(b"Transfer-Encoding: chunked")
    + b"3e8\r\n"
    + b"x" * 1000
    + b"\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("name", list(SHORT_BODIES))
def test_short_bodies_are_served_while_there_is_no_room_for_others(name):
    async def run():
        async with server() as subject:
            await fill(subject)
            stream = await subject.connect(SHORT_BODIES[name])
            assert (await stream.receive_some(4096)).startswith(b"HTTP/1.1 200 ")

    trio.run(run)


WAYS_OUT = {
    "served": upload(500_000, 500_000),
    "served, in chunks": head_of(b"Transfer-Encoding: chunked")
    + b"1\r\nx\r\n" * 20_000
    + b"0\r\n\r\n",
    "streamed": upload(3_000_000, 3_000_000),
    "left midway": upload(500_000, 100_000),
    "left while streaming": upload(3_000_000, 2_000_000),
    "too long": upload(5_000_000, 100_000),
    "too long, in chunks": head_of(b"Transfer-Encoding: chunked") + b"186a0\r\n" + b"x" * 5_000_000,
    "malformed": head_of(b"Transfer-Encoding: chunked") + b"zz\r\n",
    "pipelined": upload(2, 2) + b"x" * 40_000,
    "a part of a head": b"POST / HTTP/1.1\r\nHost: a\r\n",
    "silent": b"",
}


@pytest.mark.parametrize("name", list(WAYS_OUT))
def test_all_is_given_back_when_the_client_has_gone(name):
    async def run():
        async with server(body_bytes=4_000_000, idle_timeout=1.0) as subject:
            stream = await subject.connect()
            await subject.wait_until(lambda: subject.budget.state.connections == 1)
            await send_all(stream, WAYS_OUT[name])
            if name.startswith("served") or name == "streamed":
                await stream.receive_some(4096)
            await trio.aclose_forcefully(stream)
            await subject.wait_until(lambda: subject.budget.state.connections == 0)
            assert subject.budget.state.held_bytes == 0

    trio.run(run)


def test_a_caller_that_stops_midway_in_a_streamed_body_is_given_up():
    async def run():
        async with server(idle_timeout=0.3) as subject:
            stream = await subject.connect(upload(3_000_000, 2_000_000))
            await subject.wait_until(lambda: subject.served)
            assert await stream.receive_some(4096) == b""

    trio.run(run)


def test_the_end_of_a_server_does_not_wait_for_bodies_that_have_stalled():
    """Only a client that has an answer to read is given time to stop sending."""
    elapsed = []

    async def run():
        async with server() as subject:
            await subject.connect(upload(500_000, 100_000))
            await subject.wait_until(lambda: subject.budget.state.held_bytes)
            ended_at = trio.current_time()
        elapsed.append(trio.current_time() - ended_at)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.1))
    assert elapsed[0] < 0.4


class MostEvents(trio.abc.Instrument):
    """Counts the parser's events between two polls of the event loop."""

    def __init__(self) -> None:
        self.most = 0
        self.events = 0
        self.turns = 0

    def before_io_wait(self, timeout) -> None:
        self.most = max(self.most, self.events)
        self.events = 0
        self.turns += 1


def test_bodies_in_very_small_chunks_leave_turns_to_others(monkeypatch):
    """Only one of the busy connections goes on in a turn beyond its first events."""
    counter = MostEvents()
    next_event = h11.Connection.next_event

    def count(connection):
        event = next_event(connection)
        counter.events += event is not h11.NEED_DATA
        return event

    monkeypatch.setattr(h11.Connection, "next_event", count)

    async def run():
        async with server() as subject:
            data = head_of(b"Transfer-Encoding: chunked") + b"1\r\nx\r\n" * 10_000 + b"0\r\n\r\n"
            streams = [
                await trio.open_tcp_stream("127.0.0.1", subject.port) for _ in range(BUSY_CLIENTS)
            ]
            async with trio.open_nursery() as nursery:
                for stream in streams:
                    nursery.start_soon(send_all, stream, data)
            for stream in streams:
                assert (await stream.receive_some(4096)).endswith(b"10000")

    trio.run(run, instruments=[counter])
    assert counter.most <= (BUSY_CLIENTS + 1) * EVENTS_IN_A_TURN
