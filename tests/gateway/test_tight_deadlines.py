"""Callers that give their requests less time than upstreams take must not cost others theirs."""

import functools

import pytest
import trio

from tests.gateway.harness import Calls, Upstream, answer, gateway, on_trio, serve_ok

SERVICE_S = 0.1
TIGHT_MS = (b"20", b"60", b"90")
# One upstream has four slots, of which these calls take up to 2.3.
TIGHT_CALLS_PER_S = 25


async def serve_in_service_time(upstream, stream, request):
    await trio.sleep(SERVICE_S)
    await serve_ok(upstream, stream, request)


async def call_repeatedly(calls, seconds, rate, **fields):
    async with trio.open_nursery() as nursery:
        for number in range(int(seconds * rate)):
            key = b"k-%d" % (number % 7)
            nursery.start_soon(functools.partial(calls.call, affinity_key=key, **fields))
            await trio.sleep(1 / rate)


@pytest.mark.parametrize("count", [1, 3])
@pytest.mark.parametrize("tight_ms", TIGHT_MS)
@on_trio
async def test_regular_callers_are_served_beside_tight_deadlines(count, tight_ms):
    """Healthy upstreams must not be backed off, or left out as outliers, for such callers."""
    upstreams = [Upstream(f"i-{n}", serve_in_service_time) for n in range(count)]
    async with gateway(*upstreams) as subject:
        await call_repeatedly(Calls(subject), 1.0, 20)
        tight, regular = Calls(subject), Calls(subject)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                functools.partial(
                    call_repeatedly, tight, 3.0, TIGHT_CALLS_PER_S, deadline_ms=tight_ms
                )
            )
            nursery.start_soon(call_repeatedly, regular, 3.0, 5)
        assert set(regular.statuses) == {200}


@on_trio
async def test_silent_upstream_is_still_noticed():
    """Requests with enough time that get no answer count as before."""
    is_silent = False

    async def serve_or_not(upstream, stream, request):
        if is_silent:
            await trio.sleep_forever()
        await stream.send_all(answer(request))

    async with gateway(Upstream("i-1", serve_or_not), timeout=0.3) as subject:
        await call_repeatedly(Calls(subject), 1.0, 20)
        is_silent = True
        calls = Calls(subject)
        await call_repeatedly(calls, 2.0, 10)
        assert 503 in calls.statuses
