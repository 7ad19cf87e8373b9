"""Steps of `promises.feature`; each scenario builds a script and runs it once on virtual time."""

from __future__ import annotations

from collections import Counter

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when

from bench.history import Leaving, check
from bench.shapes import LANKASPARK, PRIORITIES
from bench.world import World
from finchway.policy import Caller
from tests.features.faults import inject, live_entries
from tests.features.story import ONCE, SERVICE, Story, add_load

scenarios("promises.feature")


@pytest.fixture
def story() -> Story:
    return Story()


# Given


@given("the Lankaspark deployment")
def _(story):
    pass


@given(
    parsers.parse("the Lankaspark deployment with a cap of {percent:d} percent in {s:d} seconds")
)
def _(story, percent, s):
    story.options.inbound_percent = float(percent)
    story.options.window_s = float(s)


@given("the Lankaspark deployment with small capacity")
def _(story):
    def slow(world: World) -> None:
        for upstream in world.upstreams.values():
            upstream.mean_s = 0.4

    story.before.append(slow)


@given("the Lankaspark deployment with answers that break off and come late")
def _(story):
    def unreliable(world: World) -> None:
        for number, upstream in enumerate(world.upstreams.values()):
            upstream.cut_every = 12 + number % 5
            upstream.late_every = 9 + number % 7

    story.before.append(unreliable)


@given(parsers.parse("callers look up bays {rate:d} times a second"))
def _(story, rate):
    add_load(story, rate)


@given("callers look up bays 1.5 times as often as capacity allows, mostly in colombo")
def _(story):
    add_load(story, 1.5 * 80 / 0.4, {"colombo": 3.0, "kandy": 1.0, "galle": 1.0})


@given(parsers.parse("callers reserve {rate:d} times a second and resend through other entries"))
def _(story, rate):
    async def reserve(world: World) -> None:
        async with trio.open_nursery() as nursery:
            number = 0
            while True:
                await trio.sleep(world.rng.expovariate(rate))
                number += 1
                nursery.start_soon(reserve_once, world, f"key{number}")

    async def reserve_once(world: World, key: str) -> None:
        region = world.rng.choice(LANKASPARK.regions)
        for entry in ("", *world.rng.sample(sorted(world.entries), 3)):
            got = await world.call(ONCE, "gold", region, entry, key)
            if got.status == 200 and world.rng.random() < 0.7:
                return
            await trio.sleep(0.3)

    story.actions.append(reserve)


# When


@when(
    parsers.parse("an operator moves bays from {source} to {target} in steps of {step:d} percent")
)
def _(story, source, target, step):
    async def move(world: World) -> None:
        spec = {
            "service": SERVICE,
            "source": source,
            "target": target,
            "step_percent": step,
            "interval_s": 1.0,
            "goal_percent": 60.0,
        }
        world.control.put("move", f"{source}.{target}", spec)

    async def watch_callers(world: World) -> None:
        """Note for a sample of callers where the newest configuration sends them."""
        seen = story.notes.setdefault("assigned", {})
        while True:
            newest = max(world.entries.values(), key=lambda e: e.view.revision)
            for number in range(60):
                caller = Caller(f"10.0.{number}.0/24", "")
                region = newest.view.routes.assigned(SERVICE, source, caller)
                seen.setdefault((source, number), []).append(region)
            await trio.sleep(0.5)

    story.actions += [move, watch_callers]


@when(parsers.parse("during that, {fault}"))
def _(story, fault):
    async def fail(world: World) -> None:
        await trio.sleep(2.0)
        await inject(world, fault)

    story.actions.append(fail)


@when(parsers.parse("the upstreams of kandy fail for good, and {fault}"))
def _(story, fault):
    async def fail(world: World) -> None:
        await trio.sleep(2.0)
        story.notes["failed_at"] = trio.current_time()
        for upstream in world.upstreams.values():
            if upstream.region == "kandy":
                upstream.die()
        await inject(world, fault)

    story.actions.append(fail)


@when(parsers.parse("{seconds:d} seconds pass"))
def _(story, seconds):
    story.seconds = float(seconds)


@when(parsers.parse("an upstream of bays leaves, as said by {signal} only"))
def _(story, signal):
    async def leave(world: World) -> None:
        await trio.sleep(3.0)
        upstream = next(u for u in world.upstreams.values() if u.service == SERVICE)
        world.leaving.append(Leaving(upstream.address, trio.current_time(), 4.0))
        match signal:
            case "the operator":
                world.control.put("drain", "d", {"target": f"upstream/{upstream.address}"})
            case "its answers":
                upstream.leaving = True
            case "its health":
                upstream.leaving_in_health = True
            case "a flipping list":
                await flip_list(world, upstream.address)

    async def flip_list(world: World, address: str) -> None:
        """The list says leaving once, then an old list says live again and again."""
        world.listing.leaving.append(address)
        await trio.sleep(2.0)
        world.listing.leaving.clear()

    story.actions.append(leave)


@when("entry e2 stops as planned")
def _(story):
    async def stop(world: World) -> None:
        await trio.sleep(1.0)
        await world.entries["e2"].leave()
        story.notes["stopped_at"] = trio.current_time()

    story.actions.append(stop)


@when("an operator changes the configuration every second")
def _(story):
    async def change(world: World) -> None:
        number = 0
        while True:
            number += 1
            world.control.put("service", SERVICE, {"queue_limit": 100 + number})
            await trio.sleep(1.0)

    async def settle(world: World) -> None:
        answer = world.control.put("service", SERVICE, {"queue_limit": 500})
        await trio.sleep(5.0)
        story.notes["behind"] = [
            e.name for e in live_entries(world) if e.view.revision < answer.revision
        ]
        story.notes["limits"] = {e.view.service(SERVICE).queue_limit for e in live_entries(world)}

    story.actions.append(change)
    story.after = settle


# Then


@then("every promise was kept")
def _(story):
    story.run()
    assert story.history.got, "nothing was sent"
    assert check(story.history) == []


@then("kandy never took more than its cap")
def _(story):
    world = story.run()
    moved = [s for s in story.history.shifts if s.region == "kandy"]
    assert moved, "no step was ever made"
    assert sum(s.percent for s in moved) > 10
    assert [v for v in check(story.history) if v.rule == "cap of a shift"] == []
    assert max(e.view.routes.move_percent_into(SERVICE, "kandy") for e in world.entries.values())


@then("callers of kandy were served elsewhere, step by step under the cap")
def _(story):
    """The cap of 20% is divided among two other regions: 10% of kandy's callers a window."""
    story.run()
    failed_at = story.notes["failed_at"]
    parts = []
    for window in range(2):
        start = failed_at + 10.0 * window + 1.5
        calls = [g for g in story.history.got if g.home == "kandy"]
        calls = [g for g in calls if start <= g.started < start + 8.0]
        served = sum(1 for g in calls if g.region not in ("", "kandy"))
        parts.append(100 * served / len(calls))
    assert 4.0 < parts[0] <= 20.0, parts
    assert parts[0] + 3.0 < parts[1] <= 40.0, parts


@then("no caller was moved back")
def _(story):
    story.run()
    for regions in story.notes["assigned"].values():
        changes = [b for a, b in zip(regions, regions[1:], strict=False) if a != b]
        assert len(changes) <= 1, f"a caller flapped: {regions}"


@then("no upstream had more in flight than its limit")
def _(story):
    story.run()
    assert max(limit.peak for limit in story.history.limits) >= 3, "there was hardly any load"
    assert [limit for limit in story.history.limits if limit.peak > limit.limit] == []


@then("paid priorities were served before cheap ones")
def _(story):
    """Callers of a region that failed may leave it only under the cap, whatever they pay."""
    world = story.run()
    calls = [g for g in story.history.got if g.home not in world.failed_regions]
    answered = Counter(g.priority for g in calls if g.status == 200)
    sent = Counter(g.priority for g in calls)
    parts = {priority: answered[priority] / sent[priority] for priority in PRIORITIES}
    assert parts["gold"] >= parts["silver"] >= parts["bronze"], parts
    assert parts["gold"] > 0.75, parts
    refused = [g for g in story.history.got if g.outcome == "not-run"]
    assert refused, "there was no shortage"


@then("most look-ups were answered")
def _(story):
    story.run()
    answered = sum(1 for g in story.history.got if g.status == 200)
    assert answered > 0.75 * len(story.history.got), Counter(
        (g.status, g.outcome, g.error) for g in story.history.got
    )


@then("resends were answered alike")
def _(story):
    story.run()
    echoes: dict[str, set[str]] = {}
    for got in story.history.got:
        if got.status == 200:
            echoes.setdefault(got.key, set()).add(got.echo)
    assert len(echoes) > 50
    assert [key for key, found in echoes.items() if len(found) > 1] == []
    resent = Counter(g.key for g in story.history.got if g.status == 200)
    assert max(resent.values()) > 1, "nothing was resent"


@then("the upstream received nothing new 4 seconds after that")
def _(story):
    story.run()
    leaving = story.history.leaving[0]
    before = [r for r in story.history.ran if r.upstream == leaving.upstream]
    assert [r for r in before if r.started < leaving.at], "it had no work before"
    assert [v for v in check(story.history) if v.rule.startswith("no new work")] == []


@then("e2 ended and no call through it broke off")
def _(story):
    story.run()
    assert "stopped_at" in story.notes, "e2 did not end"
    broken = [g for g in story.history.got if g.error in ("broken off", "no connection")]
    assert broken == []


@then("no entry ever applied an older revision than it had")
def _(story):
    world = story.run()
    for entry in world.entries.values():
        assert entry.revisions == sorted(entry.revisions)


@then("the last change is in force at every live entry 5 seconds later")
def _(story):
    world = story.run()
    assert story.notes["behind"] == []
    assert story.notes["limits"] == {500}
    assert len(live_entries(world)) >= 8
