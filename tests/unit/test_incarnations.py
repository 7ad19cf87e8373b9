"""Incarnations of an upstream under one id, told apart by their start times.

Guards against heartbeats of a restarted upstream that are ignored as late, since its sequence
starts anew, and against a mark of the first incarnation that also binds the second.
"""

import msgspec

from finchway.feed import ClusterView, Feed, Roster, UpstreamHeartbeat
from finchway.gateway import Bounds, UpstreamTable
from finchway.observe import DecisionLog, LogWriter
from finchway.registry import AddressOwners, MarkKind, Registration, Registry
from finchway.registry._registry import LATER_INCARNATION_TIMEOUT_S
from finchway.state import MarkUpstream, Steering, SteeringImage

OWNER_TIMEOUT_S = 3.75
FIRST, SECOND = 1_000_000, 1_009_000


def heartbeat(sequence, born=FIRST, instance="i", **fields):
    values = {
        "instance": instance,
        "address": "127.0.0.1:1",
        "service": "s",
        "zone": "z",
        "slots": 4,
        "state": "ready",
        "sequence": sequence,
        "born": born,
    } | fields
    return msgspec.convert(values, Registration)


def new_registry():
    return Registry(120.0, AddressOwners(OWNER_TIMEOUT_S))


def known_sequence(registry):
    return registry.get("i").registration.sequence


def test_the_second_incarnation_is_accepted_from_its_first_heartbeat():
    registry = new_registry()
    registry.record(heartbeat(40), 100.0)
    order = registry.order
    assert registry.record(heartbeat(1, SECOND), 109.0)
    assert known_sequence(registry) == 1
    assert [h.registration.sequence for h in registry.since(order)] == [1]
    assert registry.record(heartbeat(2, SECOND), 110.0)


def test_a_mark_applies_only_to_the_marked_incarnation():
    view = ClusterView()
    table = UpstreamTable("g", lambda: {"z": "r"}, view, Bounds(), DecisionLog("g", LogWriter()))
    steering = Steering()
    command = {"now_ms": 0, "instance": "i", "kind": "gone", "born": FIRST}
    steering.mark_upstream(msgspec.convert(command, MarkUpstream))
    states = []
    for order, born in enumerate((FIRST, SECOND)):
        upstreams = [UpstreamHeartbeat(heartbeat(50 + order, born), 0.0)]
        feed = Feed(life="k", order=order, image=steering.image(), age=0.0, upstreams=upstreams)
        view.merge(feed, float(order))
        table.refresh(float(order))
        states.append(table.states())
    assert states == [{"gone": 1}, {"in use": 1}]


def test_a_late_heartbeat_of_the_first_incarnation_is_ignored():
    registry = new_registry()
    registry.record(heartbeat(1, SECOND), 109.0)
    assert not registry.record(heartbeat(41), 109.5)
    assert registry.get("i").registration.born == SECOND


def test_the_second_incarnation_replaces_a_first_known_by_a_late_heartbeat():
    registry = new_registry()
    assert registry.record(heartbeat(41), 109.0)
    assert registry.record(heartbeat(1, SECOND), 109.5)
    assert not registry.record(heartbeat(42), 110.0)
    assert registry.get("i").registration.born == SECOND


def test_an_earlier_start_time_is_accepted_once_the_later_incarnation_is_silent():
    registry = new_registry()
    registry.record(heartbeat(40, SECOND), 100.0)
    assert not registry.record(heartbeat(1, FIRST), 100.0 + LATER_INCARNATION_TIMEOUT_S - 0.1)
    assert registry.record(heartbeat(2, FIRST), 100.0 + LATER_INCARNATION_TIMEOUT_S)
    assert registry.get("i").registration.born == FIRST


def test_a_heartbeat_without_start_time_belongs_to_the_known_incarnation():
    registry = new_registry()
    registry.record(heartbeat(3, SECOND), 100.0)
    assert registry.record(heartbeat(4, 0), 101.0)
    assert registry.get("i").registration.born == SECOND
    assert not registry.record(heartbeat(3, 0), 102.0)


def test_heartbeats_without_any_start_time_are_ordered_by_sequence():
    registry = new_registry()
    assert registry.record(heartbeat(1, 0), 100.0)
    assert registry.record(heartbeat(2, 0), 101.0)
    assert not registry.record(heartbeat(1, 0), 102.0)
    assert registry.get("i").registration.incarnation == "i"


def test_of_two_incarnations_at_one_address_the_later_start_time_owns_it():
    registry = new_registry()
    registry.record(heartbeat(1, SECOND, instance="new"), 109.0)
    assert not registry.record(heartbeat(40, FIRST, instance="old"), 109.5)
    registry = new_registry()
    registry.record(heartbeat(40, FIRST, instance="old"), 109.5)
    registry.record(heartbeat(41, FIRST, instance="old"), 110.0)
    assert registry.record(heartbeat(1, SECOND, instance="new"), 110.5)
    assert [h.registration.instance for h in registry.silent(110.6, OWNER_TIMEOUT_S)] == ["old"]


def test_marks_of_both_incarnations_are_kept_in_any_order():
    steering = Steering()
    for born in (SECOND, FIRST):
        steering.mark_upstream(MarkUpstream(now_ms=0, instance="i", kind=MarkKind.GONE, born=born))
    copy = Steering(steering.image())
    assert copy.mark_of(heartbeat(1, FIRST)).kind is MarkKind.GONE
    assert copy.mark_of(heartbeat(1, SECOND)).kind is MarkKind.GONE
    assert copy.mark_of(heartbeat(1, SECOND + 1)) is None


def test_a_mark_without_start_time_applies_to_all_incarnations():
    steering = Steering()
    steering.mark_upstream(MarkUpstream(now_ms=0, instance="i", kind=MarkKind.GONE))
    assert steering.mark_of(heartbeat(1, FIRST)) is not None
    assert steering.mark_of(heartbeat(1, 0)) is not None


def test_a_gateway_keeps_no_state_of_the_first_incarnation():
    view = ClusterView()
    table = UpstreamTable("g", lambda: {"z": "r"}, view, Bounds(), DecisionLog("g", LogWriter()))
    ended = []
    table.on_replaced(ended.append)
    records = []
    for order, born in enumerate((FIRST, SECOND)):
        upstreams = [UpstreamHeartbeat(heartbeat(1, born), 0.0)]
        feed = Feed(life="k", order=order, image=SteeringImage(), age=0.0, upstreams=upstreams)
        view.merge(feed, float(order))
        table.refresh(float(order))
        record = table.get("i")
        record.record_warm_key("k", float(order))
        record.in_flight += 1
        records.append(record)
    first, second = records
    assert ended == [first]
    assert table.was_replaced(first)
    assert not table.was_replaced(second)
    assert second.in_flight == 1


def test_a_silent_first_incarnation_does_not_make_the_second_silent():
    view = ClusterView()
    roster = Roster(version=1, silent=[heartbeat(1, FIRST).incarnation])
    upstreams = [UpstreamHeartbeat(heartbeat(1, SECOND), 0.0)]
    feed = Feed(
        life="k", order=1, image=SteeringImage(), age=0.0, upstreams=upstreams, roster=roster
    )
    view.merge(feed, 1.0)
    assert view.is_silent(heartbeat(1, FIRST).incarnation)
    assert not view.is_silent(heartbeat(1, SECOND).incarnation)
    view.remove_silent(100.0)
    assert view.registry.get("i") is not None
