"""A region whose upstreams broke and work again serves at once; one that is dead holds few callers.

The region counts as down after a run of failures. It may be the only one that there is, so nothing
but its callers can find out early that it is back.
"""

import pytest
import trio

from bench.history import Got
from bench.shapes import ServiceShape, Shape
from bench.virtual import run_virtual
from bench.world import Options, World
from finchway.observe import Event, EventKind
from finchway.policy import Outcome

UPSTREAMS = 4
SERVICE_MS = 5.0
DEADLINE_S = 3.0
SERVICES = (
    ServiceShape("bays", UPSTREAMS, SERVICE_MS, deadline_ms=3_000),
    ServiceShape("reservations", UPSTREAMS, SERVICE_MS, once_only=True, deadline_ms=3_000),
)
ONE_REGION = Shape("one-region", ("north",), 0.0, 0.0, 0.0, SERVICES)
TWO_REGIONS = Shape("two-regions", ("north", "south"), 0.0, 10.0, 0.0, SERVICES)


def play(action, shape: Shape = ONE_REGION, seed: int = 1) -> World:
    """Run an action in a small world with two entries."""
    world: list[World] = []

    async def run() -> None:
        world.append(World(shape, Options(entries=2, seed=seed)))
        async with world[0].running():
            await action(world[0])

    run_virtual(run)
    return world[0]


def set_broken(world: World, is_broken: bool, region: str = "north") -> None:
    """Have each answer of a region break off, or none."""
    for upstream in world.upstreams.values():
        if upstream.region == region:
            upstream.cut_every = int(is_broken)


async def call(world: World, service: str = "bays", number: int = 0) -> Got:
    key = f"key{world.rng.random()}" if service == "reservations" else ""
    return await world.call(service, "gold", "north", "e1", key, number)


async def fail(world: World, service: str = "bays") -> None:
    """Let requests fail until the entry takes the region for down."""
    set_broken(world, True)
    while not world.entries["e1"].view.is_region_down(service, "north"):
        await call(world, service)


async def ask(world: World, rate: float, seconds: float, service: str = "bays") -> None:
    """Send requests at a steady rate, each without waiting for the last."""
    async with trio.open_nursery() as nursery:
        for number in range(int(rate * seconds)):
            nursery.start_soon(call, world, service, number)
            await trio.sleep(1 / rate)


def refused(world: World, since: float) -> list[Got]:
    return [g for g in world.got if g.started >= since and g.outcome == Outcome.NOT_RUN.value]


@pytest.mark.parametrize("service", ["bays", "reservations"])
@pytest.mark.parametrize("seed", range(5))
def test_callers_one_after_the_other_are_served_as_soon_as_upstreams_work_again(service, seed):
    """All upstreams break and work again. A caller that comes then is served, not told to wait."""
    answers: list[Got] = []

    async def action(world: World) -> None:
        await fail(world, service)
        set_broken(world, False)
        await trio.sleep(0.1)
        for _ in range(50):
            answers.append(await call(world, service))

    play(action, seed=seed)
    assert [got.status for got in answers] == [200] * 50


@pytest.mark.parametrize("seed", range(5))
def test_many_callers_are_served_once_the_first_of_them_was(seed):
    """Only those that come while the first request after the return is under way are refused."""
    back: list[float] = []

    async def action(world: World) -> None:
        await fail(world)
        set_broken(world, False)
        back.append(trio.current_time())
        await ask(world, 200, 1.0)

    world = play(action, seed=seed)
    late = [got.started - back[0] for got in refused(world, back[0])]
    assert max(late, default=0.0) < 10 * SERVICE_MS / 1000
    assert sum(got.status == 200 for got in world.got if got.started >= back[0]) >= 150


@pytest.mark.parametrize("seed", range(5))
def test_a_region_that_answers_nothing_holds_one_caller_for_each_upstream(seed):
    """Whoever cannot be served is refused at once; only a few try the region meanwhile."""
    down: list[float] = []

    async def action(world: World) -> None:
        for upstream in world.upstreams.values():
            upstream.silent = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, world, 100, 3 * DEADLINE_S)
            await trio.sleep(DEADLINE_S + 0.5)
            down.append(trio.current_time())

    world = play(action, seed=seed)
    calls = [got for got in world.got if got.started >= down[0]]
    held = [got for got in calls if got.latency_s > 0.01]
    for got in held:
        together = [o for o in held if o.started <= got.started < o.started + o.latency_s]
        assert len(together) <= UPSTREAMS
    assert len(calls) - len(held) > 0.9 * len(calls)
    assert {got.outcome for got in calls if got not in held} == {Outcome.NOT_RUN.value}


@pytest.mark.parametrize("seed", range(5))
def test_few_requests_that_run_once_are_left_in_doubt_by_a_region_that_breaks_them_off(seed):
    """A failed try of such a request leaves its key in doubt, so few of them try the region."""
    down: list[float] = []

    async def action(world: World) -> None:
        await fail(world, "reservations")
        down.append(trio.current_time())
        with trio.move_on_after(2.0):
            await ask(world, 50, 3.0, "reservations")

    world = play(action, seed=seed)
    calls = [got for got in world.got if got.started >= down[0]]
    in_doubt = [got for got in calls if got.outcome == Outcome.UNKNOWN.value]
    assert len(calls) > 80
    assert 1 <= len(in_doubt) <= 2.0 / 0.1 + 1


@pytest.mark.parametrize("seed", range(5))
def test_a_refusal_after_an_attempt_that_may_have_run_has_no_status_that_says_otherwise(seed):
    """The first attempt breaks off, its repeat is refused: 503 would say that nothing has run."""

    async def action(world: World) -> None:
        set_broken(world, True)
        await ask(world, 100, 1.0)

    world = play(action, seed=seed)
    unknown = [got for got in world.got if got.outcome == Outcome.UNKNOWN.value]
    assert unknown
    assert {got.status for got in unknown} <= {502, 504}
    assert {got.status for got in world.got if got.outcome == Outcome.NOT_RUN.value} <= {503}


@pytest.mark.parametrize("seed", range(5))
def test_a_region_is_tried_by_those_that_no_other_region_takes(seed):
    """Another region takes a part of the callers only; the rest are served once theirs is back."""
    back: list[float] = []

    async def action(world: World) -> None:
        await fail(world)
        await ask(world, 100, 0.3)
        set_broken(world, False)
        back.append(trio.current_time())
        await ask(world, 100, 0.3)

    world = play(action, TWO_REGIONS, seed)
    assert max((got.started - back[0] for got in refused(world, back[0])), default=0.0) < 0.1


def test_the_time_line_says_why_a_region_went_down_and_came_back():
    """Its events name the last failure, the run of failures, and how old what was heard is."""
    found: list[Event] = []

    async def action(world: World) -> None:
        await fail(world)
        set_broken(world, False)
        await call(world)
        kinds = (EventKind.REGION_DOWN, EventKind.REGION_UP)
        timeline = world.entries["e1"].timeline
        found.extend(event for event in timeline.since(0, 5_000) if event.kind in kinds)

    play(action)
    down, up = found
    assert (down.subject, up.subject) == ("bays/north", "bays/north")
    assert "cut its answer; 5 failures in a row at " in down.detail
    assert f"of {UPSTREAMS} upstreams, last heard 0." in down.detail and "revision" in down.detail
    assert "an answer came; 0 failures in a row" in up.detail
