"""Messages of the feed between this build and the one before, while both run.

The types of the build before are kept here as they were on the wire.
"""

from __future__ import annotations

import msgspec
import pytest
from msgspec import Struct

from finchway.control._orders import LeaderClock
from finchway.feed import (
    Feed,
    GatewayHeartbeat,
    RegionDemand,
    ServiceRate,
    Subscribe,
    choose_gateways,
    pack,
)
from finchway.membership import Heartbeat
from finchway.state import AnyCommand, SetEvacuation, SteeringImage
from finchway.transport import CallOrigin, Confirmed, Submit, Validity
from tests.unit.test_packing import feed_with_routes


class ServiceRateBefore(Struct, frozen=True, array_like=True):
    service: str
    rate: float


class RegionDemandBefore(Struct, frozen=True, array_like=True):
    region: str
    service: str
    rate: float


class HeartbeatBefore(Struct, frozen=True, kw_only=True):
    name: str
    incarnation: str
    address: str
    zone: str
    region: str
    peer: str = ""
    leaving: bool = False
    ready: bool = False
    revision: int = 0
    sequence: int = 0
    rates: list[ServiceRateBefore] = []
    pressed: bool = False
    limits: list[list] = []


class SubscribeBefore(Struct, frozen=True, kw_only=True, tag="Subscribe"):
    beat: HeartbeatBefore
    revision: int
    life: str = ""
    order: int = 0
    roster: int = 0
    demand: bool = True
    rest: bool = False
    limits: tuple[str, int] = ("", 0)


class FeedBefore(Struct, frozen=True, kw_only=True, tag="Feed"):
    life: str
    order: int
    image: SteeringImage
    age: float
    held: float = 0.0
    upstreams: list[list] = []
    more: bool = False
    roster: dict | None = None
    demand: list[RegionDemandBefore] | None = None
    limits: list | None = None


HEARTBEAT = {
    "name": "g1",
    "incarnation": "1",
    "address": "a",
    "zone": "z",
    "region": "r",
    "ready": True,
    "sequence": 7,
}


def recode(message, as_type):
    """Return a message as a process with another type of it reads it."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=as_type)


def test_a_replica_of_the_build_before_reads_the_poll_of_this_one():
    beat = GatewayHeartbeat(rates=[ServiceRate("s", 5.0, 480, 610)], **HEARTBEAT)
    read = recode(Subscribe(beat=beat, revision=3, packed=True), SubscribeBefore)
    assert read.beat.rates == [ServiceRateBefore("s", 5.0)]
    assert (read.revision, read.demand, read.beat.ready, read.beat.sequence) == (3, True, True, 7)
    assert (read.beat.leaving, read.beat.limits, read.rest) == (False, [], False)


def test_a_gateway_of_the_build_before_is_not_taken_for_cut_off():
    read = recode(SubscribeBefore(beat=HeartbeatBefore(**HEARTBEAT), revision=3), Subscribe)
    assert not read.beat.cut_off
    assert choose_gateways([read.beat], "r", "z", frozenset()) == ["a"]


def test_a_replica_of_the_build_before_passes_over_that_a_gateway_is_cut_off():
    beat = GatewayHeartbeat(cut_off=True, **HEARTBEAT)
    read = recode(Subscribe(beat=beat, revision=3), SubscribeBefore)
    assert (read.beat.ready, read.beat.leaving) == (True, False)


def test_a_heartbeat_of_an_entry_of_the_build_before_is_read():
    before = {"instance": "e", "incarnation": "1", "address": "a", "peer": "p", "zone": "z"}
    encoded = msgspec.msgpack.encode({"type": "Heartbeat", "sequence": 1, "revision": 2} | before)
    assert not msgspec.msgpack.decode(encoded, type=Heartbeat).cut_off


def test_a_replica_of_this_build_reads_the_poll_of_the_one_before():
    beat = HeartbeatBefore(rates=[ServiceRateBefore("s", 5.0)], **HEARTBEAT)
    read = recode(SubscribeBefore(beat=beat, revision=3), Subscribe)
    assert read.beat.rates == [ServiceRate("s", 5.0)]
    assert not read.packed
    assert read.large_images


def test_a_gateway_of_the_build_before_reads_the_answer_of_this_one():
    demand = [RegionDemand("r", "s", 5.0, 480, 610)]
    feed = Feed(life="1", order=2, image=SteeringImage(4), age=0.1, demand=demand)
    read = recode(feed, FeedBefore)
    assert read.demand == [RegionDemandBefore("r", "s", 5.0)]
    assert (read.image.revision, read.more, read.upstreams, read.held) == (4, False, [], 0.0)


def test_a_gateway_of_this_build_reads_the_answer_of_the_one_before():
    demand = [RegionDemandBefore("r", "s", 5.0)]
    feed = FeedBefore(life="1", order=2, image=SteeringImage(4), age=0.1, demand=demand)
    assert recode(feed, Feed).demand == [RegionDemand("r", "s", 5.0)]


def test_a_packed_answer_cannot_be_read_by_the_build_before():
    """So it is sent only to who asks for it; a peer of the build before cannot pass it on."""
    with pytest.raises(msgspec.ValidationError):
        recode(pack(feed_with_routes(100)), FeedBefore)


class SubmitBefore(Struct, frozen=True, kw_only=True, tag="Submit"):
    command: AnyCommand


class ConfirmedBefore(Struct, frozen=True, kw_only=True, tag="Confirmed"):
    revision: int
    index: int
    age: float = 0.0


def test_orders_pass_between_builds():
    command = SetEvacuation(now_ms=0, zone="z", active=True)
    order = Submit(command=command, validity=Validity(3, 10.0))
    assert recode(order, SubmitBefore).command == command
    assert recode(SubmitBefore(command=command), Submit).validity is None


def test_validity_that_a_leader_of_the_build_before_is_asked_for_is_of_no_term():
    clock = LeaderClock()
    clock.record(recode(ConfirmedBefore(revision=1, index=2), Confirmed), 5.0)
    assert clock.validity_of(CallOrigin(5.0, lambda: False)).term == 0
