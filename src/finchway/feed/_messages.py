"""The messages of the feed; ages are in seconds at the time of sending."""

from __future__ import annotations

from msgspec import Struct

from finchway.registry import Registration
from finchway.state import SteeringImage


class ServiceRate(Struct, frozen=True, array_like=True):
    """Requests a second that callers ask of a service at one gateway."""

    service: str
    rate: float


class GatewayBeat(Struct, frozen=True, kw_only=True):
    """What a gateway says of itself.

    `leaving` means that it must not be named to callers any more; `revision` is the steering
    revision that it has in force.
    """

    name: str
    incarnation: str
    address: str
    zone: str
    region: str
    leaving: bool = False
    ready: bool = False
    revision: int = 0
    sequence: int = 0
    rates: list[ServiceRate] = []


class HeardGateway(Struct, frozen=True, array_like=True):
    """A gateway's newest word and its age."""

    beat: GatewayBeat
    age: float


class HeardUpstream(Struct, frozen=True, array_like=True):
    """An upstream's newest heartbeat and its age."""

    registration: Registration
    age: float


class ReplicaAddress(Struct, frozen=True, array_like=True):
    """A replica and where it is reached by other processes."""

    name: str
    address: str


class Subscribe(Struct, frozen=True, kw_only=True, tag=True):
    """Ask a replica for what is newer; it answers at once, or when something comes up.

    `life` names the replica process that `order` belongs to; another process starts anew. The
    fellow gateways' beats come only where `gateways` asks for them: they are the largest part.
    """

    beat: GatewayBeat
    revision: int
    life: str = ""
    order: int = 0
    gateways: bool = True


class Feed(Struct, frozen=True, kw_only=True, tag=True):
    """What is newer than the question says; `image` holds only that part of the steering state.

    `confirmed` tells whether the replica heard of the leader a moment ago.
    """

    life: str
    order: int
    image: SteeringImage
    upstreams: list[HeardUpstream]
    gateways: list[HeardGateway]
    replicas: list[ReplicaAddress]
    confirmed: bool


class ShareHeard(Struct, frozen=True, kw_only=True, tag=True):
    """Pass on to fellow replicas the heartbeats of upstreams that were heard here."""

    upstreams: list[HeardUpstream]
