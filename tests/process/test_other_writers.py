"""Thousands of invalid heartbeats, sent by another client among those of upstreams.

Guards against invalid entries that reach gateways, block the feed or use up a replica's memory.
"""

import itertools
import random
from pathlib import Path

import pytest
import trio

from bench.soak._plan import Shape
from tests.process.mortal import BEAT_S, play

pytestmark = pytest.mark.xdist_group("gateway")
SMALL = Shape(replicas=1, gateways=1)
ENTRIES = 1_500
CALLERS = 8
# Memory by which a replica may grow more under invalid entries than under as many valid ones, since
# each call uses some memory for as long as its connection is kept alive.
MAX_EXTRA_GROWTH_MB = 6.0
VALID = {"address": "127.0.0.1:9", "service": "bays", "zone": "z1", "slots": 4, "state": "ready"}
INVALID_FIELDS = (
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


def resident_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


def test_invalid_entries_are_not_kept(tmp_path):
    async def check(scene):
        pid = scene.machines._running["c1"].pid
        rng = random.Random(5)

        async def write(numbers, name, invalid, statuses):
            while (number := next(numbers)) < ENTRIES:
                entry = (
                    VALID | {"sequence": number} | (rng.choice(INVALID_FIELDS) if invalid else {})
                )
                path = f"/v1/steering/upstreams/{name}-{number if invalid else 0}"
                answer = await scene.control.insist("PUT", path, entry)
                assert answer[0] in statuses, (entry, answer)

        async def write_all(*chosen):
            before = resident_mb(pid)
            numbers = itertools.count()
            async with trio.open_nursery() as nursery:
                for _ in range(CALLERS):
                    nursery.start_soon(write, numbers, *chosen)
                for _ in range(20):
                    assert await scene.ask("g1", "/safe/well") == 200
                    await trio.sleep(0.05)
            return resident_mb(pid) - before

        by_good = await write_all("good", False, (200,))
        by_bad = await write_all("bad", True, (400, 422))
        assert by_bad - by_good < MAX_EXTRA_GROWTH_MB
        status, view = await scene.control.insist("GET", "/v1/steering")
        assert status == 200
        assert b"good-0" in view
        assert b"bad-" not in view
        assert await scene.ask("g1", "/safe/well") == 200

    play(check, tmp_path, 2, shape=SMALL)


def test_an_upstream_that_starts_before_its_service_is_accepted_with_its_next_heartbeat(tmp_path):
    async def check(scene):
        entry = VALID | {"service": "later", "sequence": 1}
        path = "/v1/steering/upstreams/early"
        assert (await scene.control.insist("PUT", path, entry))[0] in (400, 422)
        item = {"kind": "service", "name": "later", "version": 1, "spec": {}}
        assert (await scene.control.insist("POST", "/v1/steering/items", [item]))[0] == 200
        await trio.sleep(BEAT_S)
        assert (await scene.control.insist("PUT", path, entry | {"sequence": 2}))[0] == 200
        view = (await scene.control.insist("GET", "/v1/steering"))[1]
        assert b'"early"' in view

    play(check, tmp_path, 2, shape=SMALL)
