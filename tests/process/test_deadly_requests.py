"""Requests that crash upstreams, sent through several gateways and after a full restart.

Guards against a request that is never quarantined because each gateway sees only one crash, and
against suspects that are lost when the whole deployment restarts.
"""

from __future__ import annotations

import json

import pytest
import trio

from bench.deploy import CREDENTIAL
from finchway.cli import run
from finchway.membership._coordinator import EXPIRE_INTERVAL_S
from finchway.state._suspects import QUARANTINE_THRESHOLD
from tests.process.mortal import play

pytestmark = pytest.mark.xdist_group("gateway")

UPSTREAMS = 9
# Time within which gateways hear of upstreams that a replica knows.
HEARD_WITHIN_S = 1.0
# Time after the third crash that counts within which all gateways must have the quarantine.
KNOWN_WITHIN_S = 3.0
CLOCK_JUMP_S = 3_600.0
CURRENT = frozenset({"suspected", "quarantined", "on-trial"})
QUARANTINED = frozenset({"quarantined"})


def test_crashes_seen_by_different_gateways_quarantine_a_request_also_after_a_restart(
    tmp_path,
):
    async def check(scene):
        await until_all_are_known(scene)
        for crashes, name in enumerate(scene.names, 1):
            await scene.ask(name)
            await until_counted(scene, crashes)
        assert scene.reached == QUARANTINE_THRESHOLD
        assert await suspects(scene, QUARANTINED) != []
        known = scene.reached
        for name in scene.names * 3:
            await scene.ask(name)
            await trio.sleep(0.1)
        assert scene.reached == known
        await scene.restart_all()
        for name in scene.names * 3:
            await scene.ask(name)
            await trio.sleep(0.1)
        assert scene.reached == known
        assert await scene.ask(scene.names[0], "/safe/well") == 200

    play(check, tmp_path, UPSTREAMS)


def test_crashes_at_the_same_time_count_once_and_the_next_ones_quarantine(tmp_path):
    """Guards against crashes that gateways cause at the same time and that never count."""

    async def check(scene):
        await until_all_are_known(scene)
        async with trio.open_nursery() as nursery:
            for name in scene.names:
                nursery.start_soon(scene.ask, name)
        await until_counted(scene, 1)
        before = scene.reached
        for _ in range(QUARANTINE_THRESHOLD - 1):
            await scene.ask(scene.names[0])
            await trio.sleep(KNOWN_WITHIN_S)
        assert await suspects(scene, QUARANTINED) != []
        assert scene.reached - before <= QUARANTINE_THRESHOLD - 1

    play(check, tmp_path, UPSTREAMS)


async def until_counted(scene, crashes: int) -> None:
    """Wait until at least so many crashes of the request count, and gateways have heard of it."""
    counted = 0
    while counted < crashes:
        await trio.sleep(0.05)
        counted = max((ends for _, ends in await suspects(scene)), default=0)
    await trio.sleep(HEARD_WITHIN_S)


async def until_all_are_known(scene):
    """Wait until gateways know all upstreams; with all known ones down, they answer 503 as well."""
    known = 0
    while known < UPSTREAMS:
        _, body = await scene.control.insist("GET", "/v1/steering")
        known = len(json.loads(body)["upstreams"])
    await trio.sleep(HEARD_WITHIN_S)


def test_an_operator_sees_what_is_quarantined_and_releases_it(tmp_path, capsys):
    def call(scene, *arguments):
        api = ",".join(scene.machines.api.values())
        code = run([*arguments, f"--api={api}", f"--credential={CREDENTIAL}", "--timeout=10"])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    async def check(scene):
        await until_all_are_known(scene)
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


def test_a_jump_of_the_wall_clock_clears_no_suspects(tmp_path):
    """Guards against a leader's clock jump that expires all suspects through one log command."""

    async def check(scene):
        while scene.ended < 2:
            await scene.ask(scene.names[0])
        await trio.sleep(1.0)
        before = await suspects(scene)
        assert before
        for name in scene.replicas:
            scene.machines.spoil(name, "clock", CLOCK_JUMP_S)
        # Long enough for the leader to commit an expiry command.
        await trio.sleep(EXPIRE_INTERVAL_S + 1.0)
        assert await suspects(scene) == before
        for name in scene.replicas:
            scene.machines.spoil(name, "clock", 0.0)

    play(check, tmp_path, UPSTREAMS)


async def suspects(scene, states: frozenset[str] = CURRENT) -> list[tuple[str, int]]:
    """Return the requests in one of some states, with the number of crashes of each."""
    status, content = await scene.control.insist("GET", "/v1/steering")
    assert status == 200
    held = json.loads(content)["suspects"]
    return sorted((one["request"], one["ends"]) for one in held if one["state"] in states)
