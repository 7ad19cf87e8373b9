"""Heartbeat relays: fewer messages to the leader, with leases kept even if a relay dies."""

from __future__ import annotations

import trio

from bench.history import check
from bench.shapes import LANKASPARK
from bench.virtual import run_virtual
from bench.world import Options, World
from finchway.entry._relay import GROUP_SIZE, relay_of
from finchway.resources import Instance, Resource, ResourceStore


def store_of(count: int, zone: str = "za") -> ResourceStore:
    resources = [
        Resource(
            "instance",
            f"e{i}",
            Instance(address="10.0.0.1:1", peer=f"10.0.0.1:{i + 1}", zone=zone, incarnation="1"),
            1,
            i + 1,
        )
        for i in range(count)
    ]
    return ResourceStore(resources, count)


def test_small_deployments_use_no_relays():
    assert relay_of(store_of(12), "e1", "za", 32) is None


def test_each_group_has_one_relay_that_contacts_control_directly():
    count = 100
    store = store_of(count)
    relays = [relay_of(store, f"e{i}", "za", 32) for i in range(count)]
    direct = [i for i, relay in enumerate(relays) if relay is None]
    assert len(direct) == -(-count // GROUP_SIZE)
    assert {relay for relay in relays if relay} <= {f"10.0.0.1:{i + 1}" for i in direct}


def run_world(relay_above: int, kill_relay: bool) -> World:
    world = World(LANKASPARK, Options(entries=24, relay_above=relay_above))

    async def main() -> None:
        async with world.running():
            world.control.asked = 0
            async with trio.open_nursery() as nursery:
                rates = {"gold": 100.0}
                spread = dict.fromkeys(LANKASPARK.regions, 1.0)
                nursery.start_soon(world.load, "bays", rates, 10.0, spread)
                await trio.sleep(2.0)
                if kill_relay:
                    relays = [e for e in world.entries.values() if has_no_relay(world, e)]
                    relays[0].kill()
                await trio.sleep(8.0)
            world.leases = [
                e.session.has_lease for e in world.entries.values() if e.dispatcher is not None
            ]

    run_virtual(main)
    return world


def has_no_relay(world: World, entry) -> bool:
    return relay_of(entry.view.store, entry.name, entry.zone, 4) is None


def test_relays_reduce_messages_and_preserve_leases():
    direct = run_world(32, kill_relay=False)
    relayed = run_world(4, kill_relay=False)
    assert all(direct.leases) and all(relayed.leases)
    assert relayed.control.asked < 0.6 * direct.control.asked
    assert check(relayed.history()) == []


def test_group_members_keep_their_leases_if_their_relay_dies():
    world = run_world(4, kill_relay=True)
    assert len(world.leases) == 23 and all(world.leases)
    assert check(world.history()) == []
