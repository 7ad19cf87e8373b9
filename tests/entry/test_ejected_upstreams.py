"""Guards against callers that wait or are refused while only ejected upstreams could serve them."""

import pytest
import trio

from bench.world import World
from finchway.observe import Event, EventKind
from finchway.policy import Outcome
from tests.entry.test_region_recovery import DEADLINE_S, call, run_world, send_at_rate

BACKOFF_S = 30.0


async def leave_only_ejected(world: World) -> None:
    """Have two of four upstreams ejected for longer than a deadline, and the others rest."""
    directory = world.entries["e1"].view.directory
    addresses = sorted(a for a, u in world.upstreams.items() if u.service == "bays")
    broken, resting = addresses[:2], addresses[2:]
    for address in broken:
        world.upstreams[address].cut_every = 1
    while not all(
        directory.get(a).ejected_until - trio.current_time() > DEADLINE_S for a in broken
    ):
        await call(world)
        await trio.sleep(0.05)
    for address in resting:
        directory.record_backoff(address, BACKOFF_S, trio.current_time())


def set_serving(world: World) -> None:
    for upstream in world.upstreams.values():
        upstream.cut_every = 0


@pytest.mark.parametrize("seed", range(5))
def test_callers_are_served_once_a_trial_of_an_ejected_upstream_succeeds(seed):
    """The upstreams work again long before their ejections end."""
    since: list[float] = []
    events: list[Event] = []

    async def action(world: World) -> None:
        await leave_only_ejected(world)
        set_serving(world)
        since.append(trio.current_time())
        await send_at_rate(world, 50, 1.5)
        timeline = world.entries["e1"].timeline
        events.extend(timeline.since(0, 5_000))

    world = run_world(action, seed=seed)
    calls = [got for got in world.got if got.started >= since[0]]
    refused = [got for got in calls if got.outcome == Outcome.NOT_RUN.value]
    assert max((got.started - since[0] for got in refused), default=0.0) < 0.1
    assert sum(got.status == 200 for got in calls) > 60
    assert any(event.kind is EventKind.UPSTREAM_RETURNED for event in events)


@pytest.mark.parametrize("seed", range(5))
def test_callers_are_refused_at_once_while_ejected_upstreams_still_fail(seed):
    """They must not wait until their deadlines for upstreams that will not serve by then."""
    since: list[float] = []

    async def action(world: World) -> None:
        await leave_only_ejected(world)
        since.append(trio.current_time())
        await send_at_rate(world, 50, 1.0)

    world = run_world(action, seed=seed)
    calls = [got for got in world.got if got.started >= since[0]]
    held = [got for got in calls if got.latency_s > 0.1]
    assert len(held) <= 4
    assert sum(got.outcome == Outcome.NOT_RUN.value for got in calls) > 40
