"""Guards against regions that recover late, or delay many callers while they are down."""

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


def run_world(action, shape: Shape = ONE_REGION, seed: int = 1) -> World:
    """Run an action in a simulated deployment with two entries."""
    world: list[World] = []

    async def run() -> None:
        world.append(World(shape, Options(entries=2, seed=seed)))
        async with world[0].running():
            await action(world[0])

    run_virtual(run)
    return world[0]


def set_truncating(world: World, is_truncating: bool, region: str = "north") -> None:
    """Truncate all responses of a region's upstreams, or none."""
    for upstream in world.upstreams.values():
        if upstream.region == region:
            upstream.cut_every = int(is_truncating)


async def call(world: World, service: str = "bays", number: int = 0) -> Got:
    key = f"key{world.rng.random()}" if service == "reservations" else ""
    return await world.call(service, "gold", "north", "e1", key, number)


async def take_region_down(world: World, service: str = "bays") -> None:
    """Send failing requests until the entry considers the region down."""
    set_truncating(world, True)
    while not world.entries["e1"].view.is_region_down(service, "north"):
        await call(world, service)


async def send_at_rate(world: World, rate: float, seconds: float, service: str = "bays") -> None:
    """Send requests at a fixed rate without waiting for responses."""
    async with trio.open_nursery() as nursery:
        for number in range(int(rate * seconds)):
            nursery.start_soon(call, world, service, number)
            await trio.sleep(1 / rate)


def refused(world: World, since: float) -> list[Got]:
    return [g for g in world.got if g.started >= since and g.outcome == Outcome.NOT_RUN.value]


@pytest.mark.parametrize("service", ["bays", "reservations"])
@pytest.mark.parametrize("seed", range(5))
def test_sequential_requests_are_served_as_soon_as_upstreams_recover(service, seed):
    """Guards against refusals after all upstreams of a region failed and recovered."""
    answers: list[Got] = []

    async def action(world: World) -> None:
        await take_region_down(world, service)
        set_truncating(world, False)
        await trio.sleep(0.1)
        for _ in range(50):
            answers.append(await call(world, service))

    run_world(action, seed=seed)
    assert [got.status for got in answers] == [200] * 50


@pytest.mark.parametrize("seed", range(5))
def test_concurrent_requests_are_served_once_a_trial_succeeded(seed):
    """Only requests that arrive during the first trial after the recovery are refused."""
    recovered_at: list[float] = []

    async def action(world: World) -> None:
        await take_region_down(world)
        set_truncating(world, False)
        recovered_at.append(trio.current_time())
        await send_at_rate(world, 200, 1.0)

    world = run_world(action, seed=seed)
    late = [got.started - recovered_at[0] for got in refused(world, recovered_at[0])]
    assert max(late, default=0.0) < 10 * SERVICE_MS / 1000
    assert sum(got.status == 200 for got in world.got if got.started >= recovered_at[0]) >= 150


@pytest.mark.parametrize("seed", range(5))
def test_an_unresponsive_region_delays_at_most_one_caller_per_upstream(seed):
    """Other callers are refused immediately while the region is down."""
    down: list[float] = []

    async def action(world: World) -> None:
        for upstream in world.upstreams.values():
            upstream.silent = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_at_rate, world, 100, 3 * DEADLINE_S)
            await trio.sleep(DEADLINE_S + 0.5)
            down.append(trio.current_time())

    world = run_world(action, seed=seed)
    calls = [got for got in world.got if got.started >= down[0]]
    held = [got for got in calls if got.latency_s > 0.01]
    for got in held:
        together = [o for o in held if o.started <= got.started < o.started + o.latency_s]
        assert len(together) <= UPSTREAMS
    assert len(calls) - len(held) > 0.9 * len(calls)
    assert {got.outcome for got in calls if got not in held} == {Outcome.NOT_RUN.value}


@pytest.mark.parametrize("seed", range(5))
def test_trials_of_a_failing_region_leave_few_once_only_requests_unknown(seed):
    """A failed trial leaves the outcome of its key unknown, so trials are rate-limited."""
    down: list[float] = []

    async def action(world: World) -> None:
        await take_region_down(world, "reservations")
        down.append(trio.current_time())
        with trio.move_on_after(2.0):
            await send_at_rate(world, 50, 3.0, "reservations")

    world = run_world(action, seed=seed)
    calls = [got for got in world.got if got.started >= down[0]]
    in_doubt = [got for got in calls if got.outcome == Outcome.UNKNOWN.value]
    assert len(calls) > 80
    assert 1 <= len(in_doubt) <= 2.0 / 0.1 + 1


@pytest.mark.parametrize("seed", range(5))
def test_a_refusal_after_an_attempt_that_may_have_run_is_not_a_503(seed):
    """A 503 would state that nothing has run although the first attempt may have."""

    async def action(world: World) -> None:
        set_truncating(world, True)
        await send_at_rate(world, 100, 1.0)

    world = run_world(action, seed=seed)
    unknown = [got for got in world.got if got.outcome == Outcome.UNKNOWN.value]
    assert unknown
    assert {got.status for got in unknown} <= {502, 504}
    assert {got.status for got in world.got if got.outcome == Outcome.NOT_RUN.value} <= {503}


@pytest.mark.parametrize("seed", range(5))
def test_callers_without_failover_detect_the_recovery_of_their_region(seed):
    """Failover takes only some callers; the others are served once their region recovers."""
    recovered_at: list[float] = []

    async def action(world: World) -> None:
        await take_region_down(world)
        await send_at_rate(world, 100, 0.3)
        set_truncating(world, False)
        recovered_at.append(trio.current_time())
        await send_at_rate(world, 100, 0.3)

    world = run_world(action, TWO_REGIONS, seed)
    assert (
        max((got.started - recovered_at[0] for got in refused(world, recovered_at[0])), default=0.0)
        < 0.1
    )


def test_events_state_why_a_region_went_down_and_came_up():
    """They have the last failure, the number of failures and the age of the latest report."""
    found: list[Event] = []

    async def action(world: World) -> None:
        await take_region_down(world)
        set_truncating(world, False)
        await call(world)
        kinds = (EventKind.REGION_DOWN, EventKind.REGION_UP)
        timeline = world.entries["e1"].timeline
        found.extend(event for event in timeline.since(0, 5_000) if event.kind in kinds)

    run_world(action)
    down, up = found
    assert (down.subject, up.subject) == ("bays/north", "bays/north")
    assert "cut its answer; 5 failures in a row at " in down.detail
    assert f"of {UPSTREAMS} upstreams, last heard 0." in down.detail and "revision" in down.detail
    assert "an answer came; 0 failures in a row" in up.detail
