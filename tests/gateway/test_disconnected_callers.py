"""Callers that disconnect before or while an upstream handles their request.

Their requests must not be sent, and those in flight must be cancelled, also after a streamed body.
"""

import os

import trio

from finchway.gateway._http import BUFFERED_BODY_BYTES
from tests.gateway.harness import NAMES, Upstream, gateway, serve_ok

CALLERS = 20
REQUEST = b"GET /x/1 HTTP/1.1\r\nHost: a.example\r\n" + NAMES.request_id + b": id-1\r\n\r\n"
# Maximum time from a caller's disconnect until its request is cancelled at the upstream.
MAX_CANCEL_DELAY_S = 0.5


def test_request_of_a_disconnected_caller_is_not_sent():
    async def check():
        upstream = Upstream("i-1", serve_ok)
        async with gateway(upstream) as subject:
            warm = [await subject.connect() for _ in range(4)]
            async with trio.open_nursery() as nursery:
                for caller in warm:
                    nursery.start_soon(caller.request)
            callers = [await subject.connect() for _ in range(CALLERS)]
            before = len(upstream.requests)
            # No checkpoint: the gateway runs in this thread and reads only afterwards.
            for caller in callers:
                os.write(caller.stream.socket.fileno(), REQUEST)
                caller.stream.socket.close()
            await trio.sleep(0.3)
            assert len(upstream.requests) == before

    trio.run(check)


def test_disconnect_after_a_long_body_cancels_the_request():
    started = trio.Event()

    async def wait(upstream, stream, request):
        started.set()
        assert await stream.receive_some(1) == b""
        return False

    async def check():
        upstream = Upstream("i-1", wait)
        async with gateway(upstream, timeout=5.0) as subject:
            caller = await subject.connect()
            await caller.send(b"POST", body=b"x" * (BUFFERED_BODY_BYTES + 1), deadline_ms=b"5000")
            await started.wait()
            await caller.stream.aclose()
            with trio.fail_after(MAX_CANCEL_DELAY_S):
                await upstream.ended.wait()

    trio.run(check)
