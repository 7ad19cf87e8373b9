"""The upstream registry, the gateway table, the directory and a gateway's cluster view."""

from math import inf

from finchway.feed import (
    ClusterView,
    Feed,
    GatewayHeartbeat,
    GatewayPeer,
    GatewayTable,
    RegionDemand,
    ReplicaAddress,
    Roster,
    ServiceRate,
    UpstreamHeartbeat,
    choose_gateways,
)
from finchway.feed._gateway_table import CONGESTION_HOLD_S
from finchway.registry import Registration, Registry, UpstreamState
from finchway.state import Steering
from tests.unit.test_catalog import change, route, service


def registration(instance="i", sequence=1, **fields):
    values = {
        "instance": instance,
        "address": "127.0.0.1:1",
        "service": "s",
        "zone": "z",
        "slots": 4,
        "state": UpstreamState.READY,
        "sequence": sequence,
    } | fields
    return Registration(**values)


def gateway_heartbeat(name="g", **fields):
    values = {
        "name": name,
        "incarnation": "1",
        "address": f"{name}:1",
        "zone": "z",
        "region": "north",
        "ready": True,
    } | fields
    return GatewayHeartbeat(**values)


def feed(**fields):
    values = {
        "life": "l",
        "order": 0,
        "image": Steering().image(),
        "age": 0.0,
    } | fields
    return Feed(**values)


def test_a_late_heartbeat_is_ignored():
    registry = Registry(10.0)
    assert registry.record(registration(sequence=5), 1.0)
    assert not registry.record(registration(sequence=4, state=UpstreamState.DRAINING), 2.0)
    assert registry.get("i").registration.state is UpstreamState.READY


def test_since_returns_changed_upstreams_in_order():
    registry = Registry(10.0)
    registry.record(registration("a"), 1.0)
    registry.record(registration("b"), 1.0)
    registry.record(registration("c"), 1.0)
    mark = registry.order
    assert registry.record(registration("b", 2), 2.0)
    assert registry.record(registration("c", 2, state=UpstreamState.DRAINING), 2.1)
    assert registry.record(registration("a", 2, zone="y"), 2.2)
    assert [heard.registration.instance for heard in registry.since(mark)] == ["c", "a"]
    assert registry.get("b").received_at == 2.0


def test_only_a_new_end_of_the_cold_start_is_a_change():
    registry = Registry(10.0)
    registry.record(registration(cold_for=3.0), 1.0)
    mark = registry.order
    registry.record(registration(sequence=2, cold_for=1.6), 2.5)
    registry.record(registration(sequence=3), 4.1)
    assert registry.order == mark
    registry.record(registration(sequence=4, cold_for=3.0), 5.6)
    assert registry.order == mark + 1


def test_upstreams_are_silent_only_while_others_are_live():
    registry = Registry(10.0)
    registry.record(registration("a"), 1.0)
    registry.record(registration("b"), 4.0)
    assert [heard.registration.instance for heard in registry.silent(5.0, 3.0)] == ["a"]
    assert registry.silent(9.0, 3.0) is None


def test_silent_upstreams_are_removed():
    registry = Registry(10.0)
    registry.record(registration(), 1.0)
    assert registry.remove_silent(11.5) == ["i"]
    assert len(registry) == 0


def test_silent_gateways_are_evicted_and_late_heartbeats_ignored():
    table = GatewayTable(2.0)
    table.record(gateway_heartbeat(sequence=2, leaving=True), 1.0)
    table.record(gateway_heartbeat(sequence=1), 1.5)
    assert table.live(1.5)[0].heartbeat.leaving
    assert table.live(3.5) == []


def test_a_gateway_table_sums_the_demand_of_each_region():
    table = GatewayTable(2.0)
    table.record(gateway_heartbeat("a", rates=[ServiceRate("s", 2.0), ServiceRate("t", 1.0)]), 1.0)
    table.record(gateway_heartbeat("b", rates=[ServiceRate("s", 3.0)], leaving=True), 1.0)
    table.record(
        gateway_heartbeat("c", rates=[ServiceRate("s", 4.0)], region="south", ready=False), 1.0
    )
    assert table.demand(1.0) == [
        RegionDemand("north", "s", 5.0),
        RegionDemand("north", "t", 1.0),
        RegionDemand("south", "s", 4.0),
    ]
    assert [peer.name for peer in table.serving(1.0)] == ["a"]
    assert table.demand(3.5) == []


def test_a_restarted_gateway_replaces_its_earlier_incarnation():
    table = GatewayTable(2.0)
    table.record(gateway_heartbeat(sequence=9, leaving=True), 1.0)
    table.record(gateway_heartbeat(sequence=1, incarnation="2"), 1.2)
    assert not table.live(1.2)[0].heartbeat.leaving


def test_the_directory_prefers_the_callers_region_and_excludes_leaving_gateways():
    gateways = [
        gateway_heartbeat("a"),
        gateway_heartbeat("b", leaving=True),
        gateway_heartbeat("c", ready=False),
        gateway_heartbeat("d", zone="y"),
        gateway_heartbeat("e", region="south"),
    ]
    assert choose_gateways(gateways, "north", "y", frozenset()) == ["a:1", "d:1"]
    more = [*gateways, gateway_heartbeat("f", zone="y")]
    assert choose_gateways(more, "north", "y", frozenset()) == ["d:1", "f:1"]
    assert choose_gateways(more, "north", "z", frozenset()) == ["a:1", "d:1", "f:1"]
    assert choose_gateways(gateways, "west", "", frozenset()) == ["a:1", "d:1", "e:1"]
    assert choose_gateways(gateways, "west", "", frozenset({"south"})) == ["e:1"]


def test_callers_of_a_zone_with_few_gateways_get_those_of_the_region():
    whole = [gateway_heartbeat(f"w{n}", zone="y") for n in range(8)]
    left = [gateway_heartbeat(f"l{n}", zone="z") for n in range(3)]
    assert len(choose_gateways([*whole, *left], "north", "z", frozenset())) == 11
    assert len(choose_gateways([*whole, *left], "north", "y", frozenset())) == 8
    even = [gateway_heartbeat(f"l{n}", zone="z") for n in range(6)]
    assert len(choose_gateways([*whole, *even], "north", "z", frozenset())) == 6


def test_callers_of_a_congested_zone_get_the_regions_gateways_for_a_while():
    table = GatewayTable(100.0)
    others = [gateway_heartbeat(f"w{n}", zone="y") for n in range(4)]
    for number in range(4):
        table.record(
            gateway_heartbeat(f"l{number}", zone="z", pressed=number == 3, sequence=1), 1.0
        )
    for other in others:
        table.record(other, 1.0)

    def gateway_count(zone, now):
        beats = [heard.heartbeat for heard in table.live(now)]
        return len(
            choose_gateways(beats, "north", zone, frozenset(), table.is_congested(zone, now))
        )

    assert gateway_count("z", 1.0) == 4
    table.record(gateway_heartbeat("l1", zone="z", pressed=True, sequence=2), 2.0)
    assert (gateway_count("z", 2.0), gateway_count("y", 2.0)) == (8, 4)
    for number in range(4):
        table.record(gateway_heartbeat(f"l{number}", zone="z", sequence=3), 3.0)
    assert gateway_count("z", 9.0) == 8
    assert gateway_count("z", 2.0 + CONGESTION_HOLD_S + 0.1) == 4


def test_the_view_accounts_for_ages_and_never_goes_back():
    steering = Steering()
    steering.change_items(change(service(), route()))
    view = ClusterView()
    assert not view.is_ready
    assert view.merge(feed(image=steering.image()), 10.0)
    assert not view.merge(feed(), 11.0)
    assert view.is_ready
    view.merge(feed(upstreams=[UpstreamHeartbeat(registration(), 2.0)]), 12.0)
    assert view.registry.get("i").received_at == 10.0


def peers(*names):
    return [GatewayPeer(name, f"{name}:9") for name in names]


def roster(version=1, **fields):
    return Roster(version=version, **fields)


def test_gateways_are_those_that_any_fresh_replica_lists():
    view = ClusterView()
    view.merge(feed(life="k", roster=roster(serving=peers("a", "b"))), 1.0)
    view.merge(feed(life="l", roster=roster(serving=peers("b", "c"))), 1.5)
    assert view.serving == ("a", "b", "c")
    assert view.peers == {"a": "a:9", "b": "b:9", "c": "c:9"}
    assert (view.roster_version("k"), view.roster_version("m")) == (1, 0)
    view.merge(feed(life="l"), 3.5)
    assert view.serving == ("b", "c")
    assert view.roster_version("k") == 0


def test_the_last_reports_stay_in_use_when_control_is_lost():
    view = ClusterView()
    demand = [RegionDemand("north", "s", 5.0)]
    view.merge(feed(roster=roster(serving=peers("a", "b")), demand=demand), 1.0)
    assert (view.serving, view.demand) == (("a", "b"), demand)
    assert view.serving_count(500.0) == 2


def test_the_serving_count_is_the_recent_maximum():
    view = ClusterView()
    assert view.serving_count(0.0) == 1
    view.merge(feed(life="k", roster=roster(serving=peers("a", "b", "c"))), 1.0)
    view.merge(feed(life="l", roster=roster(serving=peers("a"))), 4.0)
    assert view.serving == ("a",)
    assert view.serving_count(5.0) == 3
    assert view.serving_count(15.0) == 1


def test_demand_is_taken_from_the_replica_that_lists_most_gateways():
    view = ClusterView()
    few = [RegionDemand("north", "s", 1.0)]
    most = [RegionDemand("north", "s", 5.0)]
    view.merge(feed(life="k", roster=roster(serving=peers("a", "b")), demand=most), 1.0)
    view.merge(feed(life="l", roster=roster(serving=peers("a")), demand=few), 1.5)
    assert view.demand == most


def test_an_upstream_is_silent_when_all_fresh_replicas_report_it():
    view = ClusterView()
    view.merge(feed(upstreams=[UpstreamHeartbeat(registration(), 0.0)]), 1.0)
    view.merge(feed(life="k", roster=roster(silent=["i"])), 1.0)
    view.merge(feed(life="l", roster=roster(silent=[])), 1.5)
    assert not view.is_silent("i")
    view.merge(feed(life="l", roster=roster(2, silent=["i"])), 2.0)
    assert view.is_silent("i")
    changes = view.changes
    view.merge(feed(life="l", roster=roster(3, silent=[])), 2.5)
    assert not view.is_silent("i")
    assert view.changes > changes


def test_an_upstream_that_stays_silent_is_removed():
    view = ClusterView()
    view.merge(feed(upstreams=[UpstreamHeartbeat(registration(), 0.0)]), 1.0)
    view.merge(feed(roster=roster(silent=["i"])), 2.0)
    view.remove_silent(31.0)
    assert view.registry.get("i") is not None
    view.remove_silent(33.0)
    assert view.registry.get("i") is None


def test_an_unconfirmed_roster_only_adds_replicas():
    view = ClusterView()
    view.merge(
        feed(roster=roster(replicas=[ReplicaAddress("a", "a:1"), ReplicaAddress("b", "b:1")])), 1.0
    )
    view.merge(feed(roster=roster(2, replicas=[ReplicaAddress("c", "c:1")]), age=inf), 2.0)
    assert sorted(view.replicas) == ["a", "b", "c"]
    view.merge(feed(roster=roster(3, replicas=[ReplicaAddress("c", "c:1")])), 3.0)
    assert sorted(view.replicas) == ["c"]


def test_an_unconfirmed_configuration_is_used_only_after_a_wait():
    steering = Steering()
    steering.change_items(change(service(), route()))
    view = ClusterView()
    view.merge(feed(image=steering.image(), age=inf), 10.0)
    assert not view.is_ready
    view.merge(feed(age=inf), 13.5)
    assert view.is_ready
    other = ClusterView()
    other.merge(feed(image=steering.image(), age=inf), 10.0)
    other.merge(feed(), 10.1)
    assert other.is_ready
