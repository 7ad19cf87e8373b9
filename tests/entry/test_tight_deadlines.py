"""Guards against ejecting healthy upstreams because of timeouts with tight deadlines."""

import msgspec
import pytest
import trio

from bench.shapes import ServiceShape, Shape
from bench.virtual import run_virtual
from bench.world import Options, WholeBody, World
from finchway.entry import CallError
from finchway.observe import EventKind

SERVICE_TIME_S = 0.1
SHAPE = Shape(
    "one-region", ("north",), 0.0, 0.0, 0.0, (ServiceShape("bays", 4, 1000 * SERVICE_TIME_S),)
)


async def call_with_timeout(world: World, seconds: float, number: int) -> bool:
    """Send a request with a deadline; return whether a response arrived."""
    entry = world.entries["e1"]
    made = world._make_call(entry, "bays", "gold", "10.0.0.1", f"hasty{number}", "")
    made = msgspec.structs.replace(made, deadline=trio.current_time() + seconds)
    answers = []

    async def respond(answer) -> None:
        answers.append(answer)

    try:
        await entry.dispatcher.serve(made, WholeBody(), respond)
    except CallError:
        return False
    return bool(answers)


def run_action(action, seed: int) -> list[EventKind]:
    """Run an action once the mean service time is known; return the events that it caused."""
    found: list[EventKind] = []

    async def run() -> None:
        world = World(SHAPE, Options(entries=2, seed=seed))
        async with world.running():
            for _ in range(100):
                await world.call("bays", "gold", "north", "e1", "", 0)
            since = world.entries["e1"].timeline.last
            await action(world)
            found.extend(event.kind for event in world.entries["e1"].timeline.since(since))

    run_virtual(run)
    return found


@pytest.mark.parametrize("seed", range(5))
def test_tight_deadlines_neither_eject_upstreams_nor_take_a_region_down(seed):
    served: list[bool] = []

    async def action(world: World) -> None:
        for number in range(100):
            await call_with_timeout(world, SERVICE_TIME_S / 20, number)
            if number % 10 == 0:
                served.append(await call_with_timeout(world, 20 * SERVICE_TIME_S, 1_000 + number))

    events = run_action(action, seed)
    assert EventKind.UPSTREAM_EJECTED not in events and EventKind.REGION_DOWN not in events
    assert served == [True] * 10


@pytest.mark.parametrize("seed", range(5))
def test_upstreams_that_time_out_with_ample_deadlines_are_ejected(seed):
    async def action(world: World) -> None:
        for upstream in world.upstreams.values():
            upstream.silent = True
        for number in range(20):
            await call_with_timeout(world, 5 * SERVICE_TIME_S, number)

    events = run_action(action, seed)
    assert EventKind.UPSTREAM_EJECTED in events and EventKind.REGION_DOWN in events
