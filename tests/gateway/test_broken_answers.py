"""Upstreams in trouble whose bytes are no answer, or not a whole one, must not reach callers."""

import functools

import pytest
import trio

from bench.raw import header_of
from tests.gateway.harness import NAMES, Upstream, gateway, on_trio

BUFFERED_UPLOAD = 900_000
STREAMED_UPLOAD = 4_000_000
SHORT_ANSWER = 4
LONG_ANSWER = 400_000


class EarlyUpstream(Upstream):
    """An upstream that handles each request once its head has arrived; `script` gets that head."""

    async def _serve(self, stream) -> None:
        self.connections += 1
        head = b""
        try:
            while b"\r\n\r\n" not in head:
                part = await stream.receive_some(4096)
                if not part:
                    return
                head += part
            await self.script(self, stream, head.partition(b"\r\n\r\n")[0] + b"\r\n\r\n")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


def head_of(request: bytes, status_line: bytes = b"HTTP/1.1 200 OK") -> bytes:
    """Return the first lines of an answer to a request."""
    identity = header_of(request, NAMES.request_id) or b""
    lines = [status_line, NAMES.request_id + b": " + identity, NAMES.signature + b": signed"]
    return b"\r\n".join(lines) + b"\r\n"


async def answer_and_reset(size, pause_s, upstream, stream, request) -> None:
    """Answer without a length, and reset the connection with the upload unread."""
    await stream.send_all(head_of(request) + b"\r\n" + b"p" * size)
    await trio.sleep(pause_s)
    await trio.aclose_forcefully(stream)


async def send_upload(caller, size: int) -> None:
    """Send an upload; the gateway may stop reading it at any moment."""
    head = (
        b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\n"
        b"%s: id-1\r\n%s: 3000\r\nContent-Length: %d\r\n\r\n"
        % (NAMES.request_id, NAMES.deadline_ms, size)
    )
    try:
        await caller.stream.send_all(head)
        for _ in range(size // 20_000):
            await caller.stream.send_all(b"u" * 20_000)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


async def read_all(stream) -> tuple[bytes, bool]:
    """Return what arrives until the connection ends, and whether it was reset."""
    data = b""
    try:
        while part := await stream.receive_some(65536):
            data += part
            if is_whole(data):
                return data, False
    except trio.BrokenResourceError:
        return data, True
    return data, False


def is_whole(data: bytes) -> bool:
    """Return whether an answer is complete for its reader."""
    head, found, body = data.partition(b"\r\n\r\n")
    if not found:
        return False
    length = header_of(head + b"\r\n\r\n", b"content-length")
    if length is not None:
        return len(body) >= int(length)
    return body.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("upload", [BUFFERED_UPLOAD, STREAMED_UPLOAD])
@pytest.mark.parametrize("size", [SHORT_ANSWER, LONG_ANSWER])
@pytest.mark.parametrize("pause_s", [0.0, 0.05, 0.3])
@on_trio
async def test_an_answer_that_is_reset_under_an_upload_is_not_whole(upload, size, pause_s):
    """A failed write takes the reset's error, so that reading then ends as if in order."""
    script = functools.partial(answer_and_reset, size, pause_s)
    async with gateway(EarlyUpstream("i-1", script), type="upload") as subject:
        caller = await subject.connect()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_upload, caller, upload)
            with trio.move_on_after(4.0):
                data, _ = await read_all(caller.stream)
            nursery.cancel_scope.cancel()
        assert not (data.startswith(b"HTTP/1.1 200") and is_whole(data))


@on_trio
async def test_an_answer_without_a_length_is_whole_at_the_end_of_its_connection():
    async def script(upstream, stream, request):
        await stream.send_all(head_of(request) + b"\r\nhello")
        await stream.send_eof()

    async with gateway(EarlyUpstream("i-1", script)) as subject:
        caller = await subject.connect()
        status, _, body = await caller.request()
        assert (status, body) == (200, b"hello")


ODD_HEADS = {
    "status 000": b"HTTP/1.1 000 OK\r\n@Content-Length: 2\r\n\r\n",
    "status 099": b"HTTP/1.1 099 OK\r\n@Content-Length: 2\r\n\r\n",
    "status 600": b"HTTP/1.1 600 OK\r\n@Content-Length: 2\r\n\r\n",
    "status 999": b"HTTP/1.1 999 OK\r\n@Content-Length: 2\r\n\r\n",
    "status of two digits": b"HTTP/1.1 20 OK\r\n@Content-Length: 2\r\n\r\n",
    "version 2.0": b"HTTP/2.0 200 OK\r\n@Content-Length: 2\r\n\r\n",
    "version 0.9": b"HTTP/0.9 200 OK\r\n@Content-Length: 2\r\n\r\n",
    "control byte in the reason": b"HTTP/1.1 200 O\x01K\r\n@Content-Length: 2\r\n\r\n",
    "blank in a name": b"HTTP/1.1 200 OK\r\n@X Foo: 1\r\nContent-Length: 2\r\n\r\n",
    "control byte in a name": b"HTTP/1.1 200 OK\r\n@X\x01Foo: 1\r\nContent-Length: 2\r\n\r\n",
    "blank before the colon": b"HTTP/1.1 200 OK\r\n@X-Foo : 1\r\nContent-Length: 2\r\n\r\n",
    "blank at the start of a line": b"HTTP/1.1 200 OK\r\n@X-Foo: 1\r\n Content-Length: 2\r\n\r\n",
    "tab at the start of a line": (
        b"HTTP/1.1 200 OK\r\n@X-Foo: 1\r\n\tX-Bar: 2\r\nContent-Length: 2\r\n\r\n"
    ),
    "blank after a bare line feed": (
        b"HTTP/1.1 200 OK\n@X-Foo: 1\n X-Bar: 2\nContent-Length: 2\n\n"
    ),
    "control byte in a value": b"HTTP/1.1 200 OK\r\n@X-Foo: a\x01b\r\nContent-Length: 2\r\n\r\n",
    "delete in a value": b"HTTP/1.1 200 OK\r\n@X-Foo: a\x7fb\r\nContent-Length: 2\r\n\r\n",
    "bare return in a value": b"HTTP/1.1 200 OK\r\n@X-Foo: a\rb\r\nContent-Length: 2\r\n\r\n",
    "two lengths": b"HTTP/1.1 200 OK\r\n@Content-Length: 2\r\nContent-Length: 3\r\n\r\n",
    "length with a sign": b"HTTP/1.1 200 OK\r\n@Content-Length: +2\r\n\r\n",
    "length of 5,000 digits": (b"HTTP/1.1 200 OK\r\n@Content-Length: " + b"1" * 5000 + b"\r\n\r\n"),
    "a length and chunks": (
        b"HTTP/1.1 200 OK\r\n@Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n"
    ),
    "chunks in version 1.0": b"HTTP/1.0 200 OK\r\n@Transfer-Encoding: chunked\r\n\r\n2\r\n",
    "another encoding": b"HTTP/1.1 200 OK\r\n@Transfer-Encoding: gzip, chunked\r\n\r\n2\r\n",
    "an odd head before the answer": (
        b"HTTP/1.1 100 Continue\r\nX-Foo: 1\r\n X-Bar: 2\r\n\r\n"
        b"HTTP/1.1 200 OK\r\n@Content-Length: 2\r\n\r\n"
    ),
    "an unasked change of protocol": b"HTTP/1.1 101 Switching\r\n@\r\n",
}
SOUND_HEADS = {
    "no reason": b"HTTP/1.1 200\r\n@Content-Length: 2\r\n\r\n",
    "version 1.0": b"HTTP/1.0 200 OK\r\n@Content-Length: 2\r\n\r\n",
    "bytes above 127": b"HTTP/1.1 200 OK\r\n@X-Foo: \xc3\xa9\r\nContent-Length: 2\r\n\r\n",
    "tab in a value": b"HTTP/1.1 200 OK\r\n@X-Foo: a\tb\r\nContent-Length: 2\r\n\r\n",
    "empty value": b"HTTP/1.1 200 OK\r\n@X-Foo:\r\nContent-Length: 2\r\n\r\n",
    "hints before the answer": (
        b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
        b"HTTP/1.1 200 OK\r\n@Content-Length: 2\r\n\r\n"
    ),
}


def script_of(head: bytes):
    """Return the script of an upstream that sends this head; `@` stands for the usual headers."""

    async def script(upstream, stream, request):
        lines = head_of(request).partition(b"\r\n")[2]
        await stream.send_all(head.replace(b"@", lines) + b"ok")
        if b"chunked" in head:
            await stream.send_all(b"\r\n0\r\n\r\n")
        await stream.send_eof()

    return script


@pytest.mark.parametrize("name", list(ODD_HEADS))
@on_trio
async def test_an_odd_head_is_no_answer(name):
    async with gateway(EarlyUpstream("i-1", script_of(ODD_HEADS[name])), type="unsafe") as subject:
        caller = await subject.connect()
        status, head, body = await caller.request()
        assert status == 502
        assert header_of(head + b"\r\n\r\n", NAMES.signature) is None
        assert body == b""


@pytest.mark.parametrize("name", list(SOUND_HEADS))
@on_trio
async def test_a_sound_head_is_an_answer(name):
    async with gateway(EarlyUpstream("i-1", script_of(SOUND_HEADS[name]))) as subject:
        caller = await subject.connect()
        status, _, body = await caller.request()
        assert (status, body) == (200, b"ok")
