"""Requests that end upstreams, sent at any gateway of a deployment, also after a restart of all.

A look-up that ended each upstream was sent at gateways of all regions: of 12 tries within four
seconds ten gateways had one or two each. So each of them may have seen only one upstream end, and
only their sum shows what the request does. A deployment that has lost all of its processes since
must still know it: else three more upstreams are lost to find out again.
"""

from __future__ import annotations

import itertools
import json

import pytest
import trio

from bench.deploy import CREDENTIAL
from finchway.cli import run
from finchway.membership._coordinator import EXPIRE_INTERVAL_S
from tests.process.mortal import play

pytestmark = pytest.mark.xdist_group("gateway")

UPSTREAMS = 9
# Seconds after the third end from which every gateway must know.
KNOWN_WITHIN_S = 3.0
# Seconds by which the time of day jumps.
CLOCK_JUMP_S = 3_600.0


def test_what_gateways_saw_singly_keeps_a_request_from_upstreams_also_after_a_restart_of_all(
    tmp_path,
):
    async def check(scene):
        for name in itertools.cycle(scene.names):
            await scene.ask(name)
            if scene.ended >= 3:
                break
        await trio.sleep(KNOWN_WITHIN_S)
        before = scene.reached
        for name in scene.names * 3:
            await scene.ask(name)
            await trio.sleep(0.1)
        # The first tries followed each other so closely that the later ones may not have counted.
        assert scene.reached - before <= 1
        known = scene.reached
        await scene.restart_all()
        for name in scene.names * 3:
            await scene.ask(name)
            await trio.sleep(0.1)
        assert scene.reached == known
        assert await scene.ask(scene.names[0], "/safe/well") == 200

    play(check, tmp_path, UPSTREAMS)


def test_an_operator_sees_what_is_quarantined_and_releases_it(tmp_path, capsys):
    def call(scene, *arguments):
        api = ",".join(scene.machines.api.values())
        code = run([*arguments, f"--api={api}", f"--credential={CREDENTIAL}", "--timeout=10"])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    async def check(scene):
        while await scene.ask("g1") != 503:
            await trio.sleep(0.3)
        _, out, _ = await trio.to_thread.run_sync(call, scene, "steering", "-o", "json")
        (suspect,) = json.loads(out)["suspects"]
        assert (suspect["state"], suspect["ends"]) == ("quarantined", 3)
        assert len(suspect["ended"]) > 0
        _, out, _ = await trio.to_thread.run_sync(call, scene, "steering")
        assert suspect["request"] in out
        before = scene.reached
        code, _, _ = await trio.to_thread.run_sync(call, scene, "release", suspect["request"])
        assert code == 0
        await trio.sleep(0.3)
        await scene.ask("g1")
        assert scene.reached > before
        code, _, err = await trio.to_thread.run_sync(call, scene, "release", "0123456789abcdef")
        assert code == 5
        assert "no request '0123456789abcdef' is suspected" in err

    play(check, tmp_path, UPSTREAMS)


def test_a_jump_of_the_time_of_day_forgets_nothing(tmp_path):
    """A leader's time of day jumped an hour ahead for 0.3 s, and all suspects were cleared.

    One of them had ended two upstreams by then and ended two more afterwards, as if it were new.
    The log's clock is the latest time that any command names, so one command from that moment
    ended everything that is kept for a time, and held the clock an hour ahead. The lines were
    `subject=request/8ae9... now=cleared` at 996.6 s and an order of the leader at 4,596.7 s, 2.1 s
    after its last one.
    """

    async def check(scene):
        while scene.ended < 2:
            await scene.ask(scene.names[0])
        await trio.sleep(1.0)
        before = await suspects(scene)
        assert before
        for name in scene.replicas:
            scene.machines.spoil(name, "clock", CLOCK_JUMP_S)
        # Long enough for the leader to let time pass in the log.
        await trio.sleep(EXPIRE_INTERVAL_S + 1.0)
        assert await suspects(scene) == before
        for name in scene.replicas:
            scene.machines.spoil(name, "clock", 0.0)

    play(check, tmp_path, UPSTREAMS)


async def suspects(scene) -> list[tuple[str, int]]:
    """Return the requests against which something speaks, and how many upstreams ended."""
    status, content = await scene.control.call("GET", "/v1/steering")
    assert status == 200
    held = json.loads(content)["suspects"]
    return sorted((one["request"], one["ends"]) for one in held if one["state"] != "cleared")
