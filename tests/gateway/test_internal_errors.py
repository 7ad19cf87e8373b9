"""Errors of a gateway itself while it serves a request."""

from __future__ import annotations

import trio

from tests.gateway.harness import NAMES, Upstream, gateway, on_trio, serve_ok


# Guards against callers whose request ends without an answer for an error of the gateway.
@on_trio
async def test_an_error_of_the_gateway_is_answered_and_logged():
    async with gateway(Upstream("u1", serve_ok)) as subject:
        router = subject.forwarder._router
        choose = router.choose

        def fail(context, now):
            raise ZeroDivisionError("made by the test")

        router.choose = fail
        caller = await subject.connect()
        status, head, _ = await caller.request()
        assert (status, b"connection: close" in head.lower()) == (500, True)
        assert b"failed with ZeroDivisionError" in subject.writer._next_batch()
        assert subject.forwarder.in_flight == 0
        router.choose = choose
        caller = await subject.connect()
        assert (await caller.request())[0] == 200


# A caller whose long body was malformed midway saw its connection end without an answer.
@on_trio
async def test_a_long_body_that_is_malformed_midway_is_answered_as_a_fault_of_its_caller():
    async with gateway(Upstream("u1", serve_ok), type="upload") as subject:
        caller = await subject.connect()
        head = b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\n%s: id-1\r\n%s: 3000\r\n"
        await caller.stream.send_all(head % (NAMES.request_id, NAMES.deadline_ms))
        await caller.stream.send_all(b"Transfer-Encoding: chunked\r\n\r\n")
        await caller.stream.send_all((b"186a0\r\n" + b"x" * 100_000 + b"\r\n") * 12)
        await trio.sleep(0.2)
        await caller.stream.send_all(b"no size\r\n")
        status, head, _ = await caller.receive()
        assert (status, b"connection: close" in head.lower()) == (400, True)
