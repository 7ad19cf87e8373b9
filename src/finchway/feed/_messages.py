"""The messages of the feed; ages are in seconds at the time of sending."""

from __future__ import annotations

from msgspec import Struct

from finchway.pushback import LimitsHeard, LimitsKnown, NamedLimit
from finchway.registry import Registration
from finchway.state import RequestReport, SteeringImage


class ServiceRate(Struct, frozen=True, array_like=True):
    """Requests a second that callers ask of a service at one gateway."""

    service: str
    rate: float


class GatewayBeat(Struct, frozen=True, kw_only=True):
    """What a gateway says of itself.

    `address` is for callers and `peer` for finchway's processes. `leaving` means that it must not
    be named to callers any more; `revision` is the steering revision that it has in force.
    `pressed` tells that its link is full: even the quickest answer of control is long on the way.
    `limits` are what upstreams have told it that they take.
    """

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
    rates: list[ServiceRate] = []
    pressed: bool = False
    limits: list[NamedLimit] = []


class RegionDemand(Struct, frozen=True, array_like=True):
    """Requests a second that the callers of a region ask of a service, over all its gateways."""

    region: str
    service: str
    rate: float


class HeardUpstream(Struct, frozen=True, array_like=True):
    """An upstream's newest heartbeat and its age."""

    registration: Registration
    age: float


class GatewayPeer(Struct, frozen=True, array_like=True):
    """A gateway, where it is reached by other processes, and its region."""

    name: str
    address: str
    region: str = ""


class ReplicaAddress(Struct, frozen=True, array_like=True):
    """A replica and where it is reached by other processes."""

    name: str
    address: str


class Roster(Struct, frozen=True, kw_only=True):
    """Who is there, as one replica sees it; it is sent whole, and only when it has changed.

    `serving` are the gateways that take callers, in order of their names; `silent` are the lives
    of upstreams whose heartbeats stopped; `version` counts this replica process's changes.
    """

    version: int = 0
    serving: list[GatewayPeer] = []
    silent: list[str] = []
    replicas: list[ReplicaAddress] = []


class Subscribe(Struct, frozen=True, kw_only=True, tag=True):
    """Ask a replica for what is newer; it answers at once, or when something comes up.

    `life` names the replica process that `order` and `roster` belong to; another process starts
    anew. `demand` asks for the regions' demand as well, and `rest` for what the last answer left
    out, at once. `limits` tells which news of upstreams' limits are known.
    """

    beat: GatewayBeat
    revision: int
    life: str = ""
    order: int = 0
    roster: int = 0
    demand: bool = True
    rest: bool = False
    limits: LimitsKnown = LimitsKnown()


class Feed(Struct, frozen=True, kw_only=True, tag=True):
    """What is newer than the question says; `image` holds only that part of the steering state.

    `upstreams` are those that are new or say something new of themselves, `roster` is there if
    it is another than the question's, and `demand` if it was asked for. `held` is how long the
    question waited for news. What was accepted `age` seconds before the answer was sent, and
    earlier, is in the replica's state for sure; infinite if no leader has confirmed it yet.
    `more` tells that there are further upstreams, which the next answer goes on with after `order`.
    `limits` are what upstreams have newly told any gateway that they take, if there is such news.
    """

    life: str
    order: int
    image: SteeringImage
    age: float
    held: float = 0.0
    upstreams: list[HeardUpstream] = []
    more: bool = False
    roster: Roster | None = None
    demand: list[RegionDemand] | None = None
    limits: LimitsHeard | None = None


class ReportedRequests(Struct, frozen=True, kw_only=True, tag=True):
    """Have reports on requests under which upstreams ended committed."""

    reports: list[RequestReport]


class ShareHeard(Struct, frozen=True, kw_only=True, tag=True):
    """Pass on to fellow replicas the heartbeats of upstreams that were heard here."""

    upstreams: list[HeardUpstream]
