"""Routing, steering answers, client blocks and hashing."""

from __future__ import annotations

import ipaddress
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from finchway.policy import BlockTable, Caller, Routes, client_block, position, rank, rank_weighted
from finchway.resources import (
    ClientBlocks,
    Division,
    Drain,
    Instance,
    InstanceState,
    Move,
    MoveStatus,
    Phase,
    Pool,
    Region,
    Resource,
    ResourceStore,
    Share,
    Site,
    Upstream,
    Zone,
)

REGIONS = ("north", "south", "east")


def store_of(*extra: Resource, entries: int = 12) -> ResourceStore:
    latency = {"north": {"south": 10.0, "east": 20.0}, "south": {"east": 30.0}, "east": {}}
    found = [Resource("region", r, Region(latency_ms=latency[r]), 1, 1) for r in REGIONS]
    for number, region in enumerate(REGIONS):
        found.append(Resource("zone", f"{region}-a", Zone(region=region), 1, 1))
        found.append(Resource("site", f"{region}-site", Site(region=region), 1, 1))
        blocks = ClientBlocks(site=f"{region}-site", blocks=[f"10.{number}.0.0/16"])
        found.append(Resource("client-blocks", region, blocks, 1, 1))
        upstream = Upstream(address=f"10.9.0.{number + 1}:80", zone=f"{region}-a")
        pool = Pool(service="s", region=region, upstreams=[upstream])
        found.append(Resource("pool", region, pool, 1, 1))
    for number in range(entries):
        found.append(instance(f"e{number}", REGIONS[number % 3]))
    return ResourceStore([*found, *extra], 1)


def instance(name: str, region: str, state: InstanceState = InstanceState.LIVE) -> Resource:
    spec = Instance(
        address="10.8.0.1:80",
        peer="10.8.0.1:81",
        zone=f"{region}-a",
        incarnation="1",
        state=state,
    )
    return Resource("instance", name, spec, 1, 1)


def callers(count: int) -> list[Caller]:
    return [Caller(f"10.0.{n % 250}.{n // 250}/32", "org") for n in range(count)]


def test_a_caller_is_sent_to_the_nearest_region_with_upstreams():
    routes = Routes(store_of())
    assert routes.home_region("10.1.2.3", "north") == "south"
    assert routes.home_region("192.168.0.1", "north") == "north"
    assert routes.nearest("s", "south") == ["south", "north", "east"]
    assert routes.nearest("none", "south") == []


def test_steering_spreads_callers_and_names_another_region_last():
    routes = Routes(store_of())
    firsts = Counter()
    for caller in callers(1000):
        points = routes.steer("s", "north", caller)
        assert len(points) == 4
        assert points[0].region == "north" and points[-1].region == "south"
        firsts[points[0].instance] += 1
    assert set(firsts) == {"e0", "e3", "e6", "e9"}
    assert max(firsts.values()) < 1.3 * min(firsts.values())


def test_steering_names_members_of_the_share_first():
    division = Division(members=["e3", "e6"], slots={})
    share = Share(service="s", region="north", epoch=1, current=division)
    routes = Routes(store_of(Resource("share", "s.north", share, 1, 1)))
    for caller in callers(50):
        points = routes.steer("s", "north", caller)
        assert {p.instance for p in points[:2]} == {"e3", "e6"}


def test_steering_never_names_leaving_silent_or_drained_entries():
    drain = Resource("drain", "d", Drain(target="instance/e9"), 1, 1)
    zone = Resource("drain", "z", Drain(target="zone/south-a"), 1, 1)
    leaving = instance("e0", "north", InstanceState.LEAVING)
    silent = instance("e3", "north", InstanceState.SILENT)
    routes = Routes(store_of(drain, zone, leaving, silent))
    for caller in callers(50):
        named = {p.instance for p in routes.steer("s", "north", caller)}
        assert named.isdisjoint({"e0", "e3", "e9"})
        assert all(p.region != "south" for p in routes.steer("s", "north", caller))


def move_to(percent: float) -> Resource:
    move = Move(service="s", source="north", target="east")
    status = MoveStatus(phase=Phase.RUNNING, percent=percent)
    return Resource("move", "m", move, 1, 1, status)


def test_each_step_of_a_move_adds_callers_and_returns_none():
    moved_before: set[str] = set()
    for percent in (0.0, 10.0, 25.0, 60.0, 100.0):
        routes = Routes(store_of(move_to(percent)))
        moved = {c.block for c in callers(2000) if routes.assigned("s", "north", c) == "east"}
        assert moved_before <= moved
        assert abs(len(moved) / 20 - percent) < 3.5
        moved_before = moved


def test_cyclic_moves_terminate():
    there = Resource(
        "move",
        "a",
        Move(service="s", source="north", target="east"),
        1,
        1,
        MoveStatus(percent=100.0),
    )
    back = Resource(
        "move",
        "b",
        Move(service="s", source="east", target="north"),
        1,
        1,
        MoveStatus(percent=100.0),
    )
    routes = Routes(store_of(there, back))
    assert {routes.assigned("s", "north", c) for c in callers(20)} == {"east"}


def test_unchanged_client_blocks_are_reused():
    store = store_of()
    first = Routes(store)
    second = Routes(store, first)
    assert second._blocks is first._blocks
    changed = ClientBlocks(site="east-site", blocks=["10.0.0.0/16"])
    store.put(Resource("client-blocks", "north", changed, 2, 2))
    third = Routes(store, second)
    assert third.home_region("10.0.0.1", "south") == "east"


NETWORKS = st.lists(
    st.builds(
        lambda value, length: str(ipaddress.ip_network((value, length), strict=False)),
        st.integers(0, 2**32 - 1),
        st.integers(0, 32),
    ),
    max_size=12,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(networks=NETWORKS, addresses=st.lists(st.integers(0, 2**32 - 1), max_size=10))
def test_the_block_table_finds_the_longest_prefix(networks, addresses):
    pairs = [(network, f"site{i}") for i, network in enumerate(dict.fromkeys(networks))]
    table = BlockTable.build(pairs)
    edges = [int(ipaddress.ip_network(n).network_address) for n, _ in pairs]
    lasts = [int(ipaddress.ip_network(n).broadcast_address) for n, _ in pairs]
    for value in [*addresses, *edges, *lasts]:
        address = ipaddress.ip_address(value)
        holding = [
            (ipaddress.ip_network(n).prefixlen, s)
            for n, s in pairs
            if address in ipaddress.ip_network(n)
        ]
        expected = max(holding)[1] if holding else None
        assert table.find(str(address)) == expected


def test_hashes_are_the_same_everywhere():
    assert round(position("bays", "10.1.2.0/24"), 12) == round(position("bays", "10.1.2.0/24"), 12)
    assert rank("k", ["a", "b", "c"]) == rank("k", ["c", "b", "a"])
    without = [m for m in rank("k", ["a", "b", "c", "d"]) if m != "b"]
    assert without == rank("k", ["a", "c", "d"])
    doubled = Counter(rank_weighted(str(n), {"a": 2.0, "b": 1.0})[0] for n in range(3000))
    assert 1.7 < doubled["a"] / doubled["b"] < 2.3
    assert client_block("10.1.2.3") == "10.1.2.0/24"
    assert client_block("::1") == "::1"
