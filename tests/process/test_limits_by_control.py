"""Rate limits that an upstream returns to one gateway, enforced at all gateways of a deployment.

Guards against limits, or their end, that do not reach gateways without traffic to the upstream, and
against limits that are lost when all replicas restart.
"""

from __future__ import annotations

import pytest
import trio

from tests.limits import KNOWN_WITHIN_S, WINDOW_S, borne
from tests.process.mortal import play

pytestmark = pytest.mark.xdist_group("gateway")

LIMIT = 0.5
RATE = 20


def served_between(upstream, since, until):
    return sum(since <= at < until for at in upstream.served_at)


def test_a_limit_returned_to_one_gateway_applies_to_all_until_it_is_removed(tmp_path):
    async def check(scene):
        (upstream,) = scene.upstreams
        upstream.limit = str(LIMIT)
        await scene.press(scene.names[:1], 0.5, RATE)
        await trio.sleep(KNOWN_WITHIN_S)
        start = trio.current_time()
        statuses = await scene.press(scene.names[1:], WINDOW_S, RATE)
        assert served_between(upstream, start, start + WINDOW_S) <= borne(LIMIT)
        assert statuses.count(503) > len(statuses) / 2
        upstream.limit = ""
        # One gateway gets a response without a limit, which is passed on to the others.
        await scene.press(scene.names, 1.5 * len(scene.names) / LIMIT, RATE)
        await trio.sleep(KNOWN_WITHIN_S)
        for name in scene.names:
            assert set(await scene.press([name], 0.5, RATE)) == {200}

    play(check, tmp_path, 1)


def test_a_limit_is_kept_while_all_replicas_restart(tmp_path):
    async def check(scene):
        (upstream,) = scene.upstreams
        upstream.limit = str(LIMIT)
        await scene.press(scene.names, 1.0, RATE)
        await trio.sleep(KNOWN_WITHIN_S)
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(scene.press, scene.names, 2.5 * WINDOW_S, RATE)
            await trio.sleep(0.5)
            await scene.restart_replicas()
        at = start
        while at < start + 1.5 * WINDOW_S:
            assert served_between(upstream, at, at + WINDOW_S) <= borne(LIMIT)
            at += 0.5

    play(check, tmp_path, 1)
