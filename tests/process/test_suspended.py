"""Machines that are suspended for seconds, and what their processes say when they wake.

A gateway that had been suspended for five seconds denied a route with 404 right after it woke, from
what it had known before. Ages were read from the steady clock, which stands still while a machine
is suspended, so its knowledge seemed to be milliseconds old. The time since boot counts a
suspension: by it the gateway's newest word was over 5 s old, where 2.5 s are allowed.
"""

import signal

import pytest
import trio

from bench.soak._plan import Shape
from tests.process.mortal import play

pytestmark = pytest.mark.xdist_group("gateway")
SMALL = Shape(replicas=1, gateways=1)
SUSPENDED_S = 5.0


def test_a_gateway_that_wakes_does_not_deny_by_what_it_knew_before(tmp_path):
    async def check(scene):
        assert await scene.ask("g1", "/nowhere/x") == 404
        async with trio.open_nursery() as nursery:
            nursery.start_soon(scene.machines.suspend, "g1", SUSPENDED_S)
            await trio.sleep(SUSPENDED_S / 2)
            # Nothing new can reach it when it wakes.
            scene.machines.signal("c1", signal.SIGSTOP)
        assert await scene.ask("g1", "/nowhere/x") == 503
        scene.machines.signal("c1", signal.SIGCONT)
        while await scene.ask("g1", "/nowhere/x") != 404:
            await trio.sleep(0.05)

    play(check, tmp_path, 1, shape=SMALL)
