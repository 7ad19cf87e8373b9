"""What the feed costs at a replica and at a gateway, as the number of gateways grows.

Run `python -m bench.feed`: bytes and processor time of one answer, encoded and taken in, and what
that makes a second with the questions that one gateway keeps open.
"""

from __future__ import annotations

import time

import msgspec

from finchway.control._feed import HOLD_S
from finchway.feed import (
    Feed,
    GatewayBeat,
    HeardGateway,
    HeardUpstream,
    ReplicaAddress,
    ServiceRate,
    World,
)
from finchway.gateway._session import GATEWAYS_EVERY_S
from finchway.registry import Registration, UpstreamState
from finchway.state import SteeringImage

GATEWAYS = (12, 100, 1_300)
REPLICAS = 5
SERVICES = 3
UPSTREAMS_HEARD = 13
REPEATS = 50


def make_feed(gateways: int) -> Feed:
    """Return an answer in calm: some gateways' beats, and the heartbeats of one holding time."""
    rates = [ServiceRate(f"service-{n}", 12.34) for n in range(SERVICES)]
    beats = [
        GatewayBeat(
            name=f"gateway-{n}",
            incarnation="0123456789ab",
            address=f"10.1.{n % 250}.{n // 250}:8548",
            zone=f"zone-{n % 60}",
            region=f"region-{n % 22}",
            ready=True,
            revision=1_000,
            sequence=1_000,
            rates=rates,
        )
        for n in range(gateways)
    ]
    heard = [
        Registration(
            instance=f"i-{n:010x}",
            address=f"10.128.0.{n}:8080",
            service="service-1",
            zone="zone-1",
            slots=6,
            state=UpstreamState.READY,
            sequence=100,
            version="v1",
        )
        for n in range(UPSTREAMS_HEARD)
    ]
    return Feed(
        life="0123456789ab",
        order=1_000,
        image=SteeringImage(revision=1_000),
        upstreams=[HeardUpstream(registration, 0.1) for registration in heard],
        gateways=[HeardGateway(beat, 0.1) for beat in beats],
        replicas=[ReplicaAddress(f"10.0.0.{n}", f"10.0.0.{n}:7540") for n in range(REPLICAS)],
        confirmed=True,
    )


def measure(feed: Feed) -> tuple[int, float, float]:
    """Return the bytes of an answer, and the seconds to encode it and to take it in."""
    started = time.perf_counter()
    for _ in range(REPEATS):
        data = msgspec.msgpack.encode(feed)
    encode = (time.perf_counter() - started) / REPEATS
    world = World()
    started = time.perf_counter()
    for number in range(REPEATS):
        world.learn(msgspec.msgpack.decode(data, type=Feed), float(number))
    return len(data), encode, (time.perf_counter() - started) / REPEATS


def main() -> None:
    """Print the table."""
    print("GATEWAYS     BYTES ENCODE MS TAKE IN MS     KB/S  CORE %")
    plain_bytes, _, plain_take = measure(make_feed(0))
    for gateways in GATEWAYS:
        size, encode, take_in = measure(make_feed(gateways))
        with_beats = 1 / GATEWAYS_EVERY_S
        plain = REPLICAS / HOLD_S - with_beats
        rate = (size * with_beats + plain_bytes * plain) / 1e3
        core = (take_in * with_beats + plain_take * plain) * 100
        print(
            f"{gateways:>8} {size:>9} {encode * 1e3:>9.3f} {take_in * 1e3:>10.3f} "
            f"{rate:>8.1f} {core:>7.2f}"
        )


if __name__ == "__main__":
    main()
