"""Callers in a hurry say nothing of upstreams; those that give them enough time do.

A caller that gives an upstream less time than it usually takes gets no answer, however well the
upstream is. Counted as failures, a few such callers have upstreams ejected for everybody.
"""

import msgspec
import pytest
import trio

from bench.shapes import ServiceShape, Shape
from bench.virtual import run_virtual
from bench.world import Options, WholeBody, World
from finchway.entry import CallError
from finchway.observe import EventKind

USUAL_S = 0.1
SHAPE = Shape("one-region", ("north",), 0.0, 0.0, 0.0, (ServiceShape("bays", 4, 1000 * USUAL_S),))


async def call_within(world: World, seconds: float, number: int) -> bool:
    """Call with a deadline; tells whether an answer came."""
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


def play(action, seed: int) -> list[EventKind]:
    """Play an action once usual times are known; returns what was said of upstreams and regions."""
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
def test_callers_in_a_hurry_have_no_upstream_ejected_and_no_region_closed(seed):
    served: list[bool] = []

    async def action(world: World) -> None:
        for number in range(100):
            await call_within(world, USUAL_S / 20, number)
            if number % 10 == 0:
                served.append(await call_within(world, 20 * USUAL_S, 1_000 + number))

    events = play(action, seed)
    assert EventKind.UPSTREAM_EJECTED not in events and EventKind.REGION_DOWN not in events
    assert served == [True] * 10


@pytest.mark.parametrize("seed", range(5))
def test_upstreams_that_do_not_answer_in_ample_time_are_ejected(seed):
    async def action(world: World) -> None:
        for upstream in world.upstreams.values():
            upstream.silent = True
        for number in range(20):
            await call_within(world, 5 * USUAL_S, number)

    events = play(action, seed)
    assert EventKind.UPSTREAM_EJECTED in events and EventKind.REGION_DOWN in events
