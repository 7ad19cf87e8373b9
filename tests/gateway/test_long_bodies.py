"""Bodies that are passed on as they arrive: those over the limit, and callers that leave midway."""

import trio

from finchway.catalog import Limits
from tests.gateway.harness import NAMES, Upstream, gateway, on_trio

LIMIT = 3_000_000
CHUNK = b"186a0\r\n" + b"x" * 100_000 + b"\r\n"
# Chunks of a body over the limit, and over the part that is buffered.
TOO_MANY_CHUNKS = 40
STREAMED_CHUNKS = 15
HEAD = (
    b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\n%s: id-1\r\n%s: 3000\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n" % (NAMES.request_id, NAMES.deadline_ms)
)


class ReadingUpstream(Upstream):
    """An upstream that reads whatever arrives, and answers nothing."""

    def __init__(self) -> None:
        super().__init__("i-1", None)
        self.received = b""
        self.has_ended = trio.Event()

    async def _serve(self, stream) -> None:
        try:
            while part := await stream.receive_some(65536):
                self.received += part
        except trio.BrokenResourceError:
            return
        finally:
            self.has_ended.set()


@on_trio
async def test_a_body_over_the_limit_that_is_just_sent_is_refused():
    upstream = ReadingUpstream()
    async with gateway(upstream, type="upload", limits=Limits(body_bytes=LIMIT)) as subject:
        caller = await subject.connect()
        await caller.stream.send_all(HEAD + CHUNK * TOO_MANY_CHUNKS + b"0\r\n\r\n")
        status, head, _ = await caller.receive()
        assert status == 413
        assert b"connection: close" in head.lower()
        await upstream.has_ended.wait()
        assert not upstream.received.endswith(b"0\r\n\r\n")


@on_trio
async def test_a_body_within_the_limit_is_passed_on_whole():
    upstream = ReadingUpstream()
    async with gateway(upstream, type="upload", limits=Limits(body_bytes=LIMIT)) as subject:
        caller = await subject.connect()
        await caller.stream.send_all(HEAD + CHUNK * (LIMIT // 100_000) + b"0\r\n\r\n")
        while not upstream.received.endswith(b"\r\n0\r\n\r\n"):
            await trio.sleep(0.01)
        body = upstream.received.partition(b"\r\n\r\n")[2]
        assert body.count(b"x") == LIMIT


def test_a_caller_that_leaves_midway_is_no_unexpected_error(caplog):
    upstream = ReadingUpstream()

    @on_trio
    async def run():
        async with gateway(upstream, type="upload") as subject:
            caller = await subject.connect()
            await caller.stream.send_all(HEAD + CHUNK * STREAMED_CHUNKS)
            while not upstream.received:
                await trio.sleep(0.01)
            await trio.aclose_forcefully(caller.stream)
            await upstream.has_ended.wait()
            while subject.server.connections:
                await trio.sleep(0.01)

    run()
    assert not caplog.records
