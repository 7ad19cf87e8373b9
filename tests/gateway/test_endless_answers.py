"""Upstreams in trouble whose bytes have no end: the gateway stops reading, and serves others."""

from __future__ import annotations

import functools

import pytest
import trio

from tests.gateway.harness import NAMES, Upstream, gateway, on_trio, serve_ok
from tests.gateway.test_broken_answers import head_of

TIMEOUT_S = 1.0
# Time after the route's timeout by which callers must see an end.
ENDED_WITHIN_S = 0.5
# Far above what a gateway needs to find that bytes are no answer.
MAX_TAKEN_BYTES = 8_000_000
LENGTH = 600_000


class EndlessUpstream(Upstream):
    """An upstream that answers with a head and then with the same bytes until nobody reads."""

    def __init__(self, head, part: bytes, most: int | None = None) -> None:
        super().__init__("i-1", self._send)
        self._head = head
        self._part = part
        self._most = most
        self.sent = 0

    async def _send(self, upstream, stream, request) -> None:
        if b"/x/ok" in request.partition(b"\r\n")[0]:
            await serve_ok(upstream, stream, request)
            return
        await stream.send_all(self._head(request))
        while self._most is None or self.sent < self._most:
            await stream.send_all(self._part)
            self.sent += len(self._part)
        await stream.receive_some(1)


def without_length(status: bytes, request: bytes) -> bytes:
    return head_of(request, b"HTTP/1.1 " + status) + b"\r\n"


def in_chunks(request: bytes) -> bytes:
    return head_of(request) + b"Transfer-Encoding: chunked\r\n\r\n"


def with_length(request: bytes) -> bytes:
    return head_of(request) + b"Content-Length: %d\r\n\r\n" % LENGTH


def stray(request: bytes) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\n"
        + NAMES.request_id
        + b": another\r\nTransfer-Encoding: chunked\r\n\r\n"
    )


CHUNKS = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
TINY_CHUNKS = b"1\r\nx\r\n" * 5_000
LONG_BODIES = {
    "no-length": (functools.partial(without_length, b"200 OK"), b"x" * 65_536, None),
    "no-length-503": (functools.partial(without_length, b"503 Busy"), b"x" * 65_536, None),
    "chunks": (in_chunks, CHUNKS, None),
    "tiny-chunks": (in_chunks, TINY_CHUNKS, None),
    "cut-short-and-silent": (with_length, b"x" * 50_000, LENGTH - 50_000),
}
NO_ANSWERS = {
    "informational-heads": (lambda request: b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1_000),
    "stray-body": (stray, CHUNKS),
    "stray-tiny-chunks": (stray, TINY_CHUNKS),
}


async def read_to_end(caller) -> bytes:
    """Return the last of what a caller gets until its connection ends, or it is refused."""
    data = b""
    while b"HTTP/1.1 504" not in data:
        try:
            part = await caller.stream.receive_some(65_536)
        except trio.BrokenResourceError:
            return data
        if not part:
            return data
        data = (data + part)[-1_000:]
    return data


# Callers waited for as long as they liked for the rest of an answer above 256 KiB.
@pytest.mark.parametrize("shape", LONG_BODIES)
@on_trio
async def test_an_answer_without_end_is_cut_at_the_deadline_and_does_not_look_whole(shape):
    upstream = EndlessUpstream(*LONG_BODIES[shape])
    async with gateway(upstream, timeout=TIMEOUT_S) as subject:
        caller = await subject.connect()
        await caller.send()
        with trio.fail_after(TIMEOUT_S + ENDED_WITHIN_S):
            data = await read_to_end(caller)
        assert not data.endswith(b"\r\n0\r\n\r\n")
        lines = subject.writer._next_batch()
        assert b"cut short: not whole at its deadline" in lines or b"504" in lines
        with trio.fail_after(ENDED_WITHIN_S):
            await upstream.ended.wait()


# A gateway read informational heads, or the body of a stray answer, for as long as they came.
@pytest.mark.parametrize("shape", NO_ANSWERS)
@on_trio
async def test_bytes_without_end_that_are_no_answer_are_not_read_on(shape):
    upstream = EndlessUpstream(*NO_ANSWERS[shape])
    async with gateway(upstream, timeout=4.0, type="unsafe") as subject:
        caller = await subject.connect()
        with trio.fail_after(2.0):
            status, _, _ = await caller.request(deadline_ms=b"4000")
        assert status == 502
        assert upstream.sent < MAX_TAKEN_BYTES


# A few such answers left other callers without the gateway's processor.
@pytest.mark.parametrize("shape", ["tiny-chunks", "chunks"])
@on_trio
async def test_others_are_served_beside_answers_without_end(shape):
    upstream = EndlessUpstream(*LONG_BODIES[shape])
    async with gateway(upstream, timeout=2.0) as subject, trio.open_nursery() as nursery:
        for number in range(3):
            caller = await subject.connect()
            await caller.send(request_id=b"long-%d" % number)
            nursery.start_soon(read_to_end, caller)
        await trio.sleep(0.2)
        for number in range(5):
            caller = await subject.connect()
            with trio.fail_after(1.0):
                status, _, _ = await caller.request(path=b"/x/ok", request_id=b"ok-%d" % number)
            assert status == 200


# A caller that left during a long answer kept its upstream busy while that was silent.
@on_trio
async def test_a_caller_that_leaves_during_a_long_answer_ends_it_upstream():
    upstream = EndlessUpstream(*LONG_BODIES["cut-short-and-silent"])
    async with gateway(upstream, timeout=10.0) as subject:
        caller = await subject.connect()
        await caller.send(deadline_ms=b"10000")
        await trio.sleep(0.3)
        await caller.stream.aclose()
        with trio.fail_after(ENDED_WITHIN_S):
            await upstream.ended.wait()
