"""The spec of each kind of resource.

Times are in the unit that the name ends in (`_ms`, `_s`), shares are fractions of one, and
percentages are named so. Addresses are `IP:port`; names of hosts are not resolved.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.:-]{0,62}$")]
Address = Annotated[str, Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")]
Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
Positive = Annotated[int, Meta(ge=1)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Percent = Annotated[float, Meta(gt=0, le=100)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]


class Spec(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The base of all specs: immutable, with named fields, unknown fields refused."""


class Region(Spec):
    """A group of availability zones; `latency_ms` is the one-way time to other regions."""

    latency_ms: dict[Name, Annotated[float, Meta(ge=0)]] = {}


class Zone(Spec):
    """An availability zone and the region it lies in."""

    region: Name


class Site(Spec):
    """A place that client blocks are mapped to; its callers are served from `region` first."""

    region: Name


class ClientBlocks(Spec):
    """Client blocks (`prefix/length`, IPv4) of one site."""

    site: Name
    blocks: list[Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}/\d{1,2}$")]]


class Priority(Spec):
    """A paid priority; the lowest `rank` is served first, the highest is refused first."""

    rank: Annotated[int, Meta(ge=0, le=99)]


class Service(Spec):
    """A service that callers use by its name.

    `once_only` services need an `Idempotency-Key` and are run at most once per key. `entries` is
    how many entry instances share the service's capacity, `floor_fraction` the part of it that
    they own outright; the rest is lent by the leader.
    """

    once_only: bool = False
    repeatable: bool = True
    deadline_ms: Positive = 2_000
    max_request_bytes: Positive = 16_777_216
    queue_limit: Positive = 64
    entries: Positive = 4
    floor_fraction: Fraction = 0.5
    steer_ttl_ms: Positive = 3_000
    retain_s: Seconds = 3_600.0


class Upstream(Spec):
    """One back end of a pool: `slots` requests run at once, `connections` may be open."""

    address: Address
    zone: Name
    slots: Positive = 4
    connections: Positive = 130


class Pool(Spec):
    """The upstreams of a service in one region.

    `queue_allowance` is how much work, as a part of the slots, may wait inside an upstream;
    `ramp_s` is how long a new upstream takes to reach its full share.
    """

    service: Name
    region: Name
    upstreams: list[Upstream]
    queue_allowance: Fraction = 0.25
    ramp_s: Annotated[float, Meta(ge=0, le=3600)] = 5.0


class Capacity(Spec):
    """Limits of a service in a region.

    `headroom` is kept free of the slots. `inbound_percent` caps the callers that all shifts
    together may bring into the region within `window_s`.
    """

    service: Name
    region: Name
    headroom: Annotated[float, Meta(ge=0, lt=1)] = 0.1
    inbound_percent: Percent = 20.0
    window_s: Seconds = 30.0


class Contract(Spec):
    """What an organisation pays for at one service: a priority, up to `rate` requests/s."""

    priority: Name
    rate: Annotated[float, Meta(gt=0)] = 1_000_000.0


class Organisation(Spec):
    """A customer: SHA-256 digests of its credentials, and a contract for each service."""

    credentials: list[Digest]
    contracts: dict[Name, Contract]


class Drain(Spec):
    """A planned stop of `upstream/IP:port`, `zone/NAME`, `region/NAME` or `instance/NAME`."""

    target: Annotated[str, Meta(pattern=r"^(upstream|zone|region|instance)/.+$")]


class Move(Spec):
    """A planned shift of a service's callers from one region to another, in steps.

    A lower goal takes callers back; a move can be deleted once its percentage is zero.
    """

    service: Name
    source: Name
    target: Name
    goal_percent: Annotated[float, Meta(ge=0, le=100)] = 100.0
    step_percent: Percent = 10.0
    interval_s: Seconds = 10.0


class Role(Enum):
    """What an operator may do; `change` includes `read`."""

    READ = "read"
    CHANGE = "change"


class Operator(Spec):
    """A person or program that drives the resource API; its credential is kept as a digest."""

    role: Role
    credential: Digest


class InstanceState(Enum):
    """What the leader knows of an entry instance."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"
    GONE = "gone"


class Instance(Spec):
    """An entry instance, written by the leader from heartbeats and the platform's list."""

    address: Address
    peer: Address
    zone: Name
    incarnation: str
    state: InstanceState = InstanceState.LIVE


class Leaving(Spec):
    """A mark on one incarnation of an upstream, written by the leader: it receives no new work.

    Some entry has learnt it from the upstream or the platform; the mark tells all others.
    """

    incarnation: str = ""


class Division(Spec):
    """How the slots of a service's upstreams in one region are divided among entries.

    `slots` is how many requests all entries together may have in flight at each upstream.
    """

    members: list[str] = []
    slots: dict[Address, int] = {}
    floor_fraction: Fraction = 0.5


class Share(Spec):
    """The division in force for a service in a region, written by the leader.

    While `previous` is set each entry uses the smaller of its floors under both divisions; when
    every holder has shrunk, the leader settles the share by dropping `previous`.
    """

    service: Name
    region: Name
    epoch: int
    current: Division
    previous: Division | None = None


SPECS: dict[str, type[Spec]] = {
    "region": Region,
    "zone": Zone,
    "site": Site,
    "client-blocks": ClientBlocks,
    "priority": Priority,
    "service": Service,
    "pool": Pool,
    "capacity": Capacity,
    "organisation": Organisation,
    "drain": Drain,
    "move": Move,
    "operator": Operator,
    "instance": Instance,
    "share": Share,
    "leaving": Leaving,
}
SYSTEM_KINDS = frozenset({"instance", "share", "leaving"})
OPERATOR_KINDS = tuple(kind for kind in SPECS if kind not in SYSTEM_KINDS)
