"""Machines that are suspended for seconds.

A resumed gateway must not answer 404 from state that went stale during the suspension, which the
monotonic clock does not count.
"""

import signal

import pytest
import trio

from bench.soak._plan import Shape
from tests.process.mortal import play

pytestmark = pytest.mark.xdist_group("gateway")
SMALL = Shape(replicas=1, gateways=1)
SUSPENDED_S = 5.0


def test_resumed_gateway_does_not_answer_404_from_stale_state(tmp_path):
    async def check(scene):
        assert await scene.ask("g1", "/nowhere/x") == 404
        async with trio.open_nursery() as nursery:
            nursery.start_soon(scene.machines.suspend, "g1", SUSPENDED_S)
            await trio.sleep(SUSPENDED_S / 2)
            # The gateway gets no updates when it resumes.
            scene.machines.signal("c1", signal.SIGSTOP)
        assert await scene.ask("g1", "/nowhere/x") == 503
        scene.machines.signal("c1", signal.SIGCONT)
        while await scene.ask("g1", "/nowhere/x") != 404:
            await trio.sleep(0.05)

    play(check, tmp_path, 1, shape=SMALL)
