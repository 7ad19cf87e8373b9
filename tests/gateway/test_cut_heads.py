"""Answers that end in the middle of their head, or that the gateway ends before they are whole."""

from __future__ import annotations

import pytest
import trio

from bench.raw import answer
from finchway.gateway._connection import AttemptError, UpstreamConnection
from tests.gateway.harness import BOUNDS, NAMES, GatewayUnderTest, Upstream, on_trio
from tests.gateway.test_broken_answers import head_of

ID = b"finchway-request-id"
HEAD = b"HTTP/1.1 200 OK\r\n" + ID + b": id-1\r\nContent-Length: 2\r\n\r\n"
LONG_HEAD = HEAD.replace(b"Content-Length: 2", b"Content-Length: 400000")
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n" + ID + b": id-1\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
STRAY = b"HTTP/1.1 200 OK\r\n" + ID + b": other\r\nContent-Length: 2\r\n\r\nok"
USED = b"HTTP/1.1 200 OK\r\n" + ID + b": id-0\r\nContent-Length: 2\r\n\r\nok"
UPLOAD = b"u" * 300_000
# What comes before the head, the head, and the body of the request.
PLACES = {
    "plain": (b"", HEAD, b""),
    "without-length": (b"", WITHOUT_LENGTH, b""),
    "long": (b"", LONG_HEAD, b""),
    "behind-hints": (HINTS, HEAD, b""),
    "behind-a-stray": (STRAY, HEAD, b""),
    "behind-a-stray-and-hints": (STRAY + HINTS, WITHOUT_LENGTH, b""),
    "under-an-upload": (b"", HEAD, UPLOAD),
    "under-an-upload-without-length": (b"", WITHOUT_LENGTH, UPLOAD),
}


class CuttingUpstream:
    """An upstream that sends some bytes once it gets a request, and closes or resets."""

    def __init__(self) -> None:
        self.data = b""
        self.is_reset = False
        self.is_used = False
        self.address = ""

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        await trio.serve_listeners(self._serve, listeners, task_status=task_status)

    async def _serve(self, stream) -> None:
        if self.is_used:
            await stream.receive_some(65_536)
            await stream.send_all(USED)
        await stream.receive_some(65_536)
        await stream.send_all(self.data)
        if self.is_reset:
            await trio.aclose_forcefully(stream)
            return
        await stream.send_eof()
        while await stream.receive_some(65_536):
            pass


async def fetch(connection: UpstreamConnection, identity: bytes, body: bytes):
    headers = [(b"host", b"a"), (b"content-length", b"%d" % len(body))]
    await connection.send("POST", "/", headers, body)
    return await connection.receive(ID, identity.decode())


# Clients got a 200 with an empty or short body, framed as whole.
@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("is_used", [False, True], ids=["new", "used"])
@on_trio
async def test_a_head_that_is_cut_after_any_byte_is_no_answer(place, is_reset, is_used):
    before, head, body = PLACES[place]
    upstream = CuttingUpstream()
    upstream.is_reset, upstream.is_used = is_reset, is_used
    with trio.fail_after(30.0):
        async with trio.open_nursery() as nursery:
            await nursery.start(upstream.run)
            for size in range(len(head)):
                upstream.data = before + head[:size]
                connection = await UpstreamConnection.open(upstream.address, "i-1")
                if is_used:
                    assert (await fetch(connection, b"id-0", b"")).body == b"ok"
                    assert connection.release(trio.current_time())
                with pytest.raises(AttemptError):
                    await fetch(connection, b"id-1", body)
                connection.close()
            nursery.cancel_scope.cancel()


async def send_half(upstream, stream, request) -> None:
    """Send the first part of an answer that ends with its connection, and then nothing."""
    await stream.send_all(head_of(request) + b"\r\n" + b"x" * 400_000)
    await trio.sleep_forever()


async def send_much(upstream, stream, request) -> None:
    """Send an answer that does not fit into the kernel's buffers of a caller that does not read."""
    await stream.send_all(answer(request, b"y" * 250_000))
    await trio.sleep_forever()


# A caller of HTTP/1.0 took the first part of an answer for whole as the gateway ended.
@pytest.mark.parametrize("script", [send_half, send_much], ids=["streamed", "not-read"])
def test_an_answer_that_a_gateway_ends_midway_is_reset(script):
    async def test():
        upstream = Upstream("i-1", script)
        with trio.fail_after(10.0):
            async with trio.open_nursery() as nursery:
                await nursery.start(upstream.run)
                stop = trio.CancelScope()

                async def run_gateway(task_status=trio.TASK_STATUS_IGNORED):
                    with stop:
                        async with trio.open_nursery() as inner:
                            subject = GatewayUnderTest(inner, BOUNDS)
                            await subject.start()
                            subject.configure(timeout=9.0)
                            subject.apply_feed([upstream.registration()])
                            task_status.started(subject)

                subject = await nursery.start(run_gateway)
                caller = await subject.connect()
                head = b"GET /x/1 HTTP/1.0\r\nHost: a.example\r\n%s: id-1\r\n\r\n"
                await caller.stream.send_all(head % NAMES.request_id)
                await trio.sleep(0.5)
                stop.cancel()
                await trio.sleep(0.2)
                with pytest.raises(trio.BrokenResourceError):
                    while await caller.stream.receive_some(65_536):
                        pass
                nursery.cancel_scope.cancel()

    trio.run(test)
