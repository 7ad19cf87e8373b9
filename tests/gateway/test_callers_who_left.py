"""Callers who are gone before an upstream has begun to work for them, or while it does.

Symptom: upstreams work on requests whose callers have closed their connections. Sequences: a caller
sends a request and leaves before the gateway gets to read it, since that was frozen, or short of
its processor; a caller sends a body too long to be held and leaves while the upstream works on it.
Cause: the end of a connection was looked for beside an attempt, so an attempt on a kept connection
was sent before anyone had looked; and not at all once a long body had been passed on. What settled
it: the requests that the upstream got, and whether the gateway's connection to it had ended.
"""

import os

import trio

from finchway.gateway._http import BUFFERED_BODY_BYTES
from tests.gateway.harness import NAMES, Upstream, gateway, serve_well

CALLERS = 20
REQUEST = b"GET /x/1 HTTP/1.1\r\nHost: a.example\r\n" + NAMES.request_id + b": id-1\r\n\r\n"
# Seconds after a caller has left within which its upstream may still be at work.
STOPPED_WITHIN_S = 0.5


def test_a_request_whose_caller_has_left_is_not_sent():
    async def check():
        upstream = Upstream("i-1", serve_well)
        async with gateway(upstream) as subject:
            warm = [await subject.connect() for _ in range(4)]
            async with trio.open_nursery() as nursery:
                for caller in warm:
                    nursery.start_soon(caller.ask)
            callers = [await subject.connect() for _ in range(CALLERS)]
            before = len(upstream.requests)
            # No checkpoint: the gateway shares this thread, and comes to read only afterwards.
            for caller in callers:
                os.write(caller.stream.socket.fileno(), REQUEST)
                caller.stream.socket.close()
            await trio.sleep(0.3)
            assert len(upstream.requests) == before

    trio.run(check)


def test_a_caller_that_leaves_after_a_long_body_cancels_its_work():
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
            with trio.fail_after(STOPPED_WITHIN_S):
                await upstream.ended.wait()

    trio.run(check)
