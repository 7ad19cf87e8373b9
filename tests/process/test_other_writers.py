"""Thousands of entries that another writer sends, among those of upstreams.

An entry that cannot be believed named an upstream to use, and one with 10**30 slots could not be
passed on to gateways: from then on these heard of no upstream at all. None is kept now, so neither
the gateways nor the replica's memory may show a trace of them.
"""

import itertools
import random
from pathlib import Path

import pytest
import trio

from bench.soak._plan import Shape
from tests.process.mortal import BEAT_S, Scene

pytestmark = pytest.mark.xdist_group("gateway")
ENTRIES = 3_000
CALLERS = 8
# Megabytes by which a replica may grow meanwhile: the queues of its log lines are bounded at less.
MOST_GROWN_MB = 12.0
PATIENCE_S = 90.0
GOOD = {"address": "127.0.0.1:9", "service": "bays", "zone": "z1", "slots": 4, "state": "ready"}
ODD = (
    {"slots": 10**30},
    {"slots": -1},
    {"slots": True},
    {"address": "x"},
    {"address": "127.0.0.1:99999"},
    {"state": "resting"},
    {"service": "nowhere"},
    {"service": ["bays"]},
    {"sequence": -1},
    {"version": [1]},
    {"cold_for": 1e300},
    {"zone": "z" * 2_000},
    {"born": -5},
)


def play(check, folder):
    async def run():
        with trio.fail_after(PATIENCE_S):
            async with trio.open_nursery() as nursery:
                shape = Shape(replicas=1, gateways=1)
                scene = Scene(folder, nursery, 2, False, shape)
                try:
                    await scene.start(nursery)
                    await check(scene)
                finally:
                    scene.machines.stop_all()
                nursery.cancel_scope.cancel()

    trio.run(run)


def resident_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


def test_bad_entries_leave_no_trace(tmp_path):
    async def check(scene):
        pid = scene.machines._running["c1"].pid
        numbers = itertools.count()
        rng = random.Random(5)
        before = resident_mb(pid)

        async def write():
            while (number := next(numbers)) < ENTRIES:
                entry = GOOD | {"sequence": number} | rng.choice(ODD)
                answer = await scene.control.insist(
                    "PUT", f"/v1/steering/upstreams/bad-{number}", entry
                )
                assert answer[0] in (400, 422), (entry, answer)

        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                nursery.start_soon(write)
            for _ in range(20):
                assert await scene.ask("g1", "/safe/well") == 200
                await trio.sleep(0.1)
        status, view = await scene.control.insist("GET", "/v1/steering")
        assert status == 200
        assert b"bad-" not in view
        assert resident_mb(pid) - before < MOST_GROWN_MB
        assert await scene.ask("g1", "/safe/well") == 200

    play(check, tmp_path)


def test_an_upstream_that_comes_before_its_service_is_used_from_its_next_heartbeat_on(tmp_path):
    async def check(scene):
        entry = GOOD | {"service": "later", "sequence": 1}
        path = "/v1/steering/upstreams/early"
        assert (await scene.control.insist("PUT", path, entry))[0] in (400, 422)
        item = {"kind": "service", "name": "later", "version": 1, "spec": {}}
        assert (await scene.control.insist("POST", "/v1/steering/items", [item]))[0] == 200
        await trio.sleep(BEAT_S)
        assert (await scene.control.insist("PUT", path, entry | {"sequence": 2}))[0] == 200
        view = (await scene.control.insist("GET", "/v1/steering"))[1]
        assert b'"early"' in view

    play(check, tmp_path)
