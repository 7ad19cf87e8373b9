"""Routes whose target latency is 0, or so short that no answer attains it."""

from __future__ import annotations

import pytest
import trio

from tests.gateway.harness import Calls, Upstream, gateway, on_trio, serve_ok

UNATTAINABLE_S = [0.0, 5e-324, 1e-9]


# Guards against requests that end without an answer, since an estimate of 0 s is divided by.
@pytest.mark.parametrize("target_latency", [*UNATTAINABLE_S, 0.001, -1.0])
@on_trio
async def test_requests_are_served_where_the_first_route_asked_has_no_target(target_latency):
    upstreams = [Upstream(name, serve_ok) for name in ("u1", "u2")]
    async with gateway(*upstreams, target_latency=target_latency) as subject:
        calls = Calls(subject)
        await calls.run_for(0.5)
        assert calls.statuses == [200] * 20


# Guards against requests that are refused since their answers cannot be on time.
@pytest.mark.parametrize("target_latency", UNATTAINABLE_S)
@on_trio
async def test_late_answers_alone_do_not_make_requests_refused(target_latency):
    async def serve_late(upstream, stream, request):
        await trio.sleep(0.05)
        return await serve_ok(upstream, stream, request)

    async with gateway(
        Upstream("u1", serve_late), Upstream("u2", serve_late), target_latency=target_latency
    ) as subject:
        calls = Calls(subject)
        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(calls.call)
                await trio.sleep(0.02 if number % 4 else 0.1)
        assert set(calls.statuses) == {200}
