"""The spec of each kind of resource.

The suffix of a field is its unit (`_ms`, `_s`, `_percent`); other shares are fractions of one.
Addresses are `IP:port`; host names are not resolved.
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
    """Base class of specs: immutable; unknown fields are rejected."""


class Region(Spec):
    """A group of availability zones; `latency_ms` is the one-way latency to other regions."""

    latency_ms: dict[Name, Annotated[float, Meta(ge=0)]] = {}


class Zone(Spec):
    """An availability zone and its region."""

    region: Name


class Site(Spec):
    """A location that client blocks map to; `region` is the preferred region of its callers."""

    region: Name


class ClientBlocks(Spec):
    """IPv4 blocks (`prefix/length`) of the clients at a site."""

    site: Name
    blocks: list[Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}/\d{1,2}$")]]


class Priority(Spec):
    """A paid priority: the lowest `rank` is served first, the highest is shed first."""

    rank: Annotated[int, Meta(ge=0, le=99)]


class Service(Spec):
    """A service that callers address by name.

    Requests to `once_only` services need an `Idempotency-Key` and run at most once per key.
    `entries` is the number of entry instances that share the service's capacity. They own
    `floor_fraction` of it permanently; the leader lends out the rest.
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
    """A back end of a pool, with limits on concurrent requests (`slots`) and open connections."""

    address: Address
    zone: Name
    slots: Positive = 4
    connections: Positive = 130


class Pool(Spec):
    """The upstreams of a service in one region.

    `queue_allowance` is the number of requests, as a fraction of the slots, that may queue inside
    an upstream; `ramp_s` is the slow-start period of a new upstream.
    """

    service: Name
    region: Name
    upstreams: list[Upstream]
    queue_allowance: Fraction = 0.25
    ramp_s: Annotated[float, Meta(ge=0, le=3600)] = 5.0


class Capacity(Spec):
    """Limits of a service in a region.

    `headroom` is the fraction of the slots that is kept free. `inbound_percent` limits the callers
    that all moves together may shift into the region within `window_s`.
    """

    service: Name
    region: Name
    headroom: Annotated[float, Meta(ge=0, lt=1)] = 0.1
    inbound_percent: Percent = 20.0
    window_s: Seconds = 30.0


class Contract(Spec):
    """An organisation's terms at a service: a priority for up to `rate` requests per second."""

    priority: Name
    rate: Annotated[float, Meta(gt=0)] = 1_000_000.0


class Organisation(Spec):
    """A customer, with the SHA-256 digests of its credentials and a contract per service."""

    credentials: list[Digest]
    contracts: dict[Name, Contract]


class Drain(Spec):
    """A graceful drain of `upstream/IP:port`, `zone/NAME`, `region/NAME` or `instance/NAME`."""

    target: Annotated[str, Meta(pattern=r"^(upstream|zone|region|instance)/.+$")]


class Move(Spec):
    """A gradual shift of a service's callers from one region to another.

    Lowering the goal shifts callers back; a move can be deleted once its percentage is zero.
    """

    service: Name
    source: Name
    target: Name
    goal_percent: Annotated[float, Meta(ge=0, le=100)] = 100.0
    step_percent: Percent = 10.0
    interval_s: Seconds = 10.0


class Role(Enum):
    """Permissions of an operator; `CHANGE` includes `READ`."""

    READ = "read"
    CHANGE = "change"


class Operator(Spec):
    """A user of the resource API; `credential` is the digest of its token."""

    role: Role
    credential: Digest


class InstanceState(Enum):
    """State of an entry instance as seen by the leader."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"
    GONE = "gone"


class Instance(Spec):
    """An entry instance, maintained by the leader from heartbeats and the platform's list."""

    address: Address
    peer: Address
    zone: Name
    incarnation: str
    state: InstanceState = InstanceState.LIVE


class LeavingMark(Spec):
    """Marks one incarnation of an upstream as leaving, so that it gets no new requests.

    An entry learns this from the upstream or the platform; the leader's mark informs the others.
    """

    incarnation: str = ""


class Division(Spec):
    """The division of the slots of a service's upstreams in one region among entries.

    `slots` is the number of requests that all entries together may have in flight per upstream.
    """

    members: list[str] = []
    slots: dict[Address, int] = {}
    floor_fraction: Fraction = 0.5


class Share(Spec):
    """The division in force for a service in a region, maintained by the leader.

    While `previous` is set, each entry uses the smaller of its floors under both divisions. Once
    every holder has reduced its floor, the leader settles the share by removing `previous`.
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
    "leaving": LeavingMark,
}
SYSTEM_KINDS = frozenset({"instance", "share", "leaving"})
OPERATOR_KINDS = tuple(kind for kind in SPECS if kind not in SYSTEM_KINDS)
