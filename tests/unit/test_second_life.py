"""Two lives of an upstream under one id, told apart by when each was born.

An upstream may start again under the id that it had; its count of heartbeats begins anew then. Its
second life was passed over heartbeat by heartbeat, until the count was beyond that of the first,
and a mark that the first life left stuck to the second for good. What settled it: after heartbeats
1 to 40 of the first life, heartbeats 1, 2 and 3 of the second were all taken for late ones.
"""

import msgspec

from finchway.feed import Feed, HeardUpstream, World
from finchway.gateway import Bounds, UpstreamTable
from finchway.observe import DecisionLog, LogWriter
from finchway.registry import AddressHolders, Registration, Registry
from finchway.state import MarkUpstream, Steering

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
