"""Two lives of an upstream under one id, told apart by when each was born.

An upstream may start again under the id that it had; its count of heartbeats begins anew then. Its
second life was passed over heartbeat by heartbeat, until the count was beyond that of the first,
and a mark that the first life left stuck to the second for good. What settled it: after heartbeats
1 to 40 of the first life, heartbeats 1, 2 and 3 of the second were all taken for late ones.
"""

import msgspec

from finchway.feed import Feed, HeardUpstream, Roster, World
from finchway.gateway import Bounds, UpstreamTable
from finchway.observe import DecisionLog, LogWriter
from finchway.registry import AddressHolders, MarkKind, Registration, Registry
from finchway.registry._registry import LATER_LIFE_HEARD_S
from finchway.state import MarkUpstream, Steering, SteeringImage

HELD_FOR_S = 3.75
FIRST, SECOND = 1_000_000, 1_009_000


def beat(sequence, born=FIRST, instance="i", **fields):
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
    return Registry(120.0, AddressHolders(HELD_FOR_S))


def live_sequence(registry):
    return registry.get("i").registration.sequence


def test_the_second_life_is_heard_from_its_first_heartbeat():
    registry = new_registry()
    registry.record(beat(40), 100.0)
    order = registry.order
    assert registry.record(beat(1, SECOND), 109.0)
    assert live_sequence(registry) == 1
    assert [h.registration.sequence for h in registry.since(order)] == [1]
    assert registry.record(beat(2, SECOND), 110.0)


def test_a_mark_binds_the_life_that_was_marked():
    world = World()
    table = UpstreamTable("g", lambda: {"z": "r"}, world, Bounds(), DecisionLog("g", LogWriter()))
    steering = Steering()
    command = {"now_ms": 0, "instance": "i", "kind": "gone", "born": FIRST}
    steering.mark_upstream(msgspec.convert(command, MarkUpstream))
    states = []
    for place, born in enumerate((FIRST, SECOND)):
        heard = [HeardUpstream(beat(50 + place, born), 0.0)]
        feed = Feed(life="k", order=place, image=steering.image(), age=0.0, upstreams=heard)
        world.learn(feed, float(place))
        table.refresh(float(place))
        states.append(table.states())
    assert states == [{"gone": 1}, {"in use": 1}]


def test_a_late_heartbeat_of_the_first_life_changes_nothing():
    registry = new_registry()
    registry.record(beat(1, SECOND), 109.0)
    assert not registry.record(beat(41), 109.5)
    assert registry.get("i").registration.born == SECOND


def test_a_late_heartbeat_that_is_the_first_to_be_heard_ends_with_the_second_life():
    registry = new_registry()
    assert registry.record(beat(41), 109.0)
    assert registry.record(beat(1, SECOND), 109.5)
    assert not registry.record(beat(42), 110.0)
    assert registry.get("i").registration.born == SECOND


def test_a_clock_that_was_set_back_between_two_lives_heals_within_seconds():
    registry = new_registry()
    registry.record(beat(40, SECOND), 100.0)
    assert not registry.record(beat(1, FIRST), 100.0 + LATER_LIFE_HEARD_S - 0.1)
    assert registry.record(beat(2, FIRST), 100.0 + LATER_LIFE_HEARD_S)
    assert registry.get("i").registration.born == FIRST


def test_a_heartbeat_without_word_of_its_life_is_of_the_one_that_is_known():
    registry = new_registry()
    registry.record(beat(3, SECOND), 100.0)
    assert registry.record(beat(4, 0), 101.0)
    assert registry.get("i").registration.born == SECOND
    assert not registry.record(beat(3, 0), 102.0)


def test_heartbeats_that_never_tell_their_life_go_by_their_count():
    registry = new_registry()
    assert registry.record(beat(1, 0), 100.0)
    assert registry.record(beat(2, 0), 101.0)
    assert not registry.record(beat(1, 0), 102.0)
    assert registry.get("i").registration.life == "i"


def test_of_two_at_one_address_that_tell_their_start_the_later_has_it():
    registry = new_registry()
    registry.record(beat(1, SECOND, instance="new"), 109.0)
    assert not registry.record(beat(40, FIRST, instance="old"), 109.5)
    registry = new_registry()
    registry.record(beat(40, FIRST, instance="old"), 109.5)
    registry.record(beat(41, FIRST, instance="old"), 110.0)
    assert registry.record(beat(1, SECOND, instance="new"), 110.5)
    assert [h.registration.instance for h in registry.silent(110.6, HELD_FOR_S)] == ["old"]


def test_marks_of_both_lives_are_held_whichever_comes_first():
    steering = Steering()
    for born in (SECOND, FIRST):
        steering.mark_upstream(MarkUpstream(now_ms=0, instance="i", kind=MarkKind.GONE, born=born))
    copy = Steering(steering.image())
    assert copy.mark_of(beat(1, FIRST)).kind is MarkKind.GONE
    assert copy.mark_of(beat(1, SECOND)).kind is MarkKind.GONE
    assert copy.mark_of(beat(1, SECOND + 1)) is None


def test_a_mark_that_does_not_tell_the_life_binds_all_of_them():
    steering = Steering()
    steering.mark_upstream(MarkUpstream(now_ms=0, instance="i", kind=MarkKind.GONE))
    assert steering.mark_of(beat(1, FIRST)) is not None
    assert steering.mark_of(beat(1, 0)) is not None


def test_a_gateway_keeps_nothing_of_the_first_life():
    world = World()
    table = UpstreamTable("g", lambda: {"z": "r"}, world, Bounds(), DecisionLog("g", LogWriter()))
    ended = []
    table.watch_replaced(ended.append)
    records = []
    for place, born in enumerate((FIRST, SECOND)):
        heard = [HeardUpstream(beat(1, born), 0.0)]
        feed = Feed(life="k", order=place, image=SteeringImage(), age=0.0, upstreams=heard)
        world.learn(feed, float(place))
        table.refresh(float(place))
        record = table.get("i")
        record.note_warm_key("k", float(place))
        record.in_flight += 1
        records.append(record)
    first, second = records
    assert ended == [first]
    assert table.was_replaced(first)
    assert not table.was_replaced(second)
    assert second.in_flight == 1


def test_silence_of_the_first_life_does_not_keep_the_second_from_requests():
    world = World()
    roster = Roster(version=1, silent=[beat(1, FIRST).life])
    heard = [HeardUpstream(beat(1, SECOND), 0.0)]
    feed = Feed(life="k", order=1, image=SteeringImage(), age=0.0, upstreams=heard, roster=roster)
    world.learn(feed, 1.0)
    assert world.is_silent(beat(1, FIRST).life)
    assert not world.is_silent(beat(1, SECOND).life)
    world.forget_silent(100.0)
    assert world.registry.get("i") is not None
