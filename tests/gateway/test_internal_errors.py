"""Errors of a gateway itself while it serves a request."""

from __future__ import annotations

from tests.gateway.harness import Upstream, gateway, on_trio, serve_ok


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
        assert b"internal error: ZeroDivisionError" in subject.writer._next_batch()
        assert subject.forwarder.in_flight == 0
        router.choose = choose
        caller = await subject.connect()
        assert (await caller.request())[0] == 200
