"""What the feed costs at a replica and at a gateway, as the number of gateways grows.

Run `python -m bench.feed`: bytes of an answer in calm, of one with the regions' demand and of a
roster, the time to take one in, and what the questions that one gateway keeps open make a second,
both ways, without the framing of the transport.
"""

from __future__ import annotations

import time

import msgspec

from finchway.control._feed import LONG_POLL_S
from finchway.feed import (
    ClusterView,
    Feed,
    GatewayHeartbeat,
    GatewayPeer,
    RegionDemand,
    ReplicaAddress,
    Roster,
    ServiceRate,
    Subscribe,
)
from finchway.gateway._session import DEMAND_INTERVAL_S
from finchway.pushback import LimitLogPosition
from finchway.state import SteeringImage

GATEWAYS = (12, 100, 1_300)
REPLICAS = 5
SERVICES = 3
GATEWAYS_A_REGION = 60
REPEATS = 50
KNOWN = LimitLogPosition("0123456789ab", 1_000)


def make_feed(gateways: int, news: bool) -> Feed:
    """Return an answer in calm, or one with everything that is sent on a change or now and then."""
    plain = Feed(
        life="0123456789ab",
        order=1_000,
        image=SteeringImage(revision=1_000),
        age=0.312,
        held=0.601,
    )
    if not news:
        return plain
    regions = max(3, gateways // GATEWAYS_A_REGION)
    demand = [
        RegionDemand(f"region-{region}", f"service-{service}", 1234.56, 123, 234)
        for region in range(regions)
        for service in range(SERVICES)
    ]
    return msgspec.structs.replace(plain, demand=demand)


def make_roster(gateways: int) -> Roster:
    """Return who is there, as it is sent when a gateway comes or goes."""
    return Roster(
        version=1_000,
        serving=[
            GatewayPeer(f"gateway-{n}", "10.1.250.250:7540", "region-22") for n in range(gateways)
        ],
        replicas=[ReplicaAddress(f"10.0.0.{n}", f"10.0.0.{n}:7540") for n in range(REPLICAS)],
    )


def make_question() -> Subscribe:
    """Return a gateway's question."""
    heartbeat = GatewayHeartbeat(
        name="gateway-1",
        incarnation="0123456789ab",
        address="10.1.250.250:8548",
        zone="zone-60",
        region="region-22",
        ready=True,
        revision=1_000,
        sequence=1_000,
        rates=[ServiceRate(f"service-{n}", 12.34, 123, 234) for n in range(SERVICES)],
    )
    return Subscribe(
        packed=True,
        beat=heartbeat,
        revision=1_000,
        life="0123456789ab",
        order=1_000,
        roster=1_000,
        limits=KNOWN,
    )


def measure(feed: Feed) -> tuple[int, float, float]:
    """Return the bytes of an answer, and the seconds to encode it and to take it in."""
    started = time.perf_counter()
    for _ in range(REPEATS):
        data = msgspec.msgpack.encode(feed)
    encode = (time.perf_counter() - started) / REPEATS
    view = ClusterView()
    started = time.perf_counter()
    for number in range(REPEATS):
        view.merge(msgspec.msgpack.decode(data, type=Feed), float(number))
    return len(data), encode, (time.perf_counter() - started) / REPEATS


def main() -> None:
    """Print the table."""
    print("GATEWAYS     BYTES  WITH DEMAND  ROSTER  TAKE IN MS     KB/S  CORE %")
    question = len(msgspec.msgpack.encode(make_question()))
    plain_bytes, _, plain_take = measure(make_feed(0, news=False))
    for gateways in GATEWAYS:
        size, _, take_in = measure(make_feed(gateways, news=True))
        roster = len(msgspec.msgpack.encode(make_roster(gateways)))
        with_demand = 1 / DEMAND_INTERVAL_S
        answers = REPLICAS / LONG_POLL_S
        plain = answers - with_demand
        rate = (size * with_demand + plain_bytes * plain + question * answers) / 1e3
        core = (take_in * with_demand + plain_take * plain) * 100
        print(
            f"{gateways:>8} {plain_bytes:>9} {size:>12} {roster:>7} {take_in * 1e3:>11.3f} "
            f"{rate:>8.1f} {core:>7.2f}"
        )


if __name__ == "__main__":
    main()
