"""Limits that an upstream has named to one gateway, at all gateways of a deployment.

A gateway that sends an upstream nothing hears nothing of its limit, nor of its end. So what one
gateway is told travels by way of the replicas, and every gateway knows who may use the limit; it
must go on while these replicas are lost and started anew.
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


def test_a_limit_named_to_one_gateway_binds_all_until_it_ends(tmp_path):
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
        # One of the holders is answered without a limit, and the others hear of it.
        await scene.press(scene.names, 1.5 * len(scene.names) / LIMIT, RATE)
        await trio.sleep(KNOWN_WITHIN_S)
        for name in scene.names:
            assert set(await scene.press([name], 0.5, RATE)) == {200}

    play(check, tmp_path, 1)


def test_a_limit_is_kept_while_all_replicas_start_anew(tmp_path):
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
