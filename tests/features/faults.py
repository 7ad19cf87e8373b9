"""The failures of the brief, each as something that happens to a world on virtual time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from bench.world import CONTROL, World
from finchway.resources import InstanceState

FAULT_S = 6.0


async def nothing(world: World) -> None:
    """Everything works."""


async def reports_stop(world: World) -> None:
    """Measurements stop arriving: upstreams' load reports freeze at what they said last."""
    for upstream in world.upstreams.values():
        upstream.frozen = True


async def reports_mislead(world: World) -> None:
    """Half of the upstreams claim to be idle and healthy whatever they do."""
    for upstream in list(world.upstreams.values())[::2]:
        upstream.misleading = True


async def entry_dies(world: World) -> None:
    """A process dies, and comes back as a new life of it some seconds later."""
    world.entries["e1"].kill()
    await trio.sleep(FAULT_S)
    world.start_entry("e1")


async def two_entries_die(world: World) -> None:
    """Two processes die within a second; one comes back, the other is gone for good."""
    world.entries["e1"].kill()
    await trio.sleep(1.0)
    world.entries["e4"].kill()
    await trio.sleep(FAULT_S)
    world.start_entry("e1")
    world.platform_drops("e4")


async def region_fails(world: World) -> None:
    """A whole region fails: its upstreams and its entries."""
    region = world.shape.regions[1]
    world.failed_regions.add(region)
    for upstream in world.upstreams.values():
        if upstream.region == region:
            upstream.die()
    for entry in list(world.entries.values()):
        if entry.region == region:
            entry.kill()
    await trio.sleep(FAULT_S)
    for entry in list(world.entries.values()):
        if entry.region == region:
            world.start_entry(entry.name)
    for upstream in world.upstreams.values():
        if upstream.region == region:
            upstream.restart()


async def control_cut_off(world: World) -> None:
    """Control is cut off from every entry in silence, and comes back."""
    world.network.isolate(CONTROL)
    await trio.sleep(FAULT_S)
    world.network.heal()


async def control_cut_off_one_way(world: World) -> None:
    """Control hears the entries, but its answers are lost in silence."""
    world.network.isolate(CONTROL, both=False)
    await trio.sleep(FAULT_S)
    world.network.heal()


async def leader_changes(world: World) -> None:
    """A new leader takes over that knows the replicated state alone."""
    world.control.elect()
    await trio.sleep(2.0)
    world.control.elect()


async def entry_cut_off(world: World) -> None:
    """One entry is cut off from control and from its fellows in silence, for a long time."""
    world.network.isolate("e1")
    await trio.sleep(2 * FAULT_S)
    world.network.heal()


async def operators_race(world: World) -> None:
    """Two operators change the same things with equal numbers, and resend after lost answers."""
    service = world.shape.services[0].name
    for number in range(20):
        held = world.control.machine.store.get("service", service)
        for limit in (32 + number, 48 + number):
            spec = {"queue_limit": limit}
            change_id = f"race{number}/{limit}"
            for _ in range(2):
                world.control.put("service", service, spec, held.generation, change_id)
        await trio.sleep(0.2)


async def restart_after_changes(world: World) -> None:
    """An entry restarts after hundreds of changes have passed it by."""
    zone = world.entries["e1"].zone
    world.entries["e1"].kill()
    for number in range(600):
        world.control.put("region", f"extra{number % 7}", {"latency_ms": {"a": number}})
    await trio.sleep(2.0)
    world.start_entry("e1", zone)


FAULTS: dict[str, Callable[[World], Awaitable[None]]] = {
    "nothing fails": nothing,
    "load reports stop": reports_stop,
    "load reports mislead": reports_mislead,
    "an entry dies": entry_dies,
    "two entries die": two_entries_die,
    "a region fails": region_fails,
    "control is cut off in silence": control_cut_off,
    "control is heard by nobody": control_cut_off_one_way,
    "the leader changes": leader_changes,
    "an entry is cut off in silence": entry_cut_off,
    "operators race and resend": operators_race,
    "an entry restarts after hundreds of changes": restart_after_changes,
}


async def inject(world: World, names: str) -> None:
    """Bring about one fault, or several named with `and also` between them, at once."""
    async with trio.open_nursery() as nursery:
        for name in names.split(" and also "):
            nursery.start_soon(FAULTS[name], world)


def live_entries(world: World) -> list:
    """Return the entries that the leader holds to be live."""
    store = world.control.machine.store
    return [
        world.entries[i.name]
        for i in store.of_kind("instance")
        if i.spec.state is InstanceState.LIVE
    ]
