"""The messages of the feed; ages are in seconds at the time of sending."""

from __future__ import annotations

from msgspec import Struct

from finchway.pushback import LimitLogEntries, LimitLogPosition, LimitReport
from finchway.registry import Registration
from finchway.state import RequestReport, SteeringImage


class ServiceRate(Struct, frozen=True, array_like=True):
    """The rate in requests per second for a service at one gateway.

    `service_ms` is the gateway's estimate of its time, and `mean_ms` the mean of the answers from
    the gateway's region; 0 if it has seen too few.
    """

    service: str
    rate: float
    service_ms: int = 0
    mean_ms: int = 0


class GatewayHeartbeat(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A gateway's heartbeat.

    `address` is for callers and `peer` for finchway's processes. `leaving` excludes it from the
    directory; `revision` is the steering revision that it applies. `pressed` means that its link
    is congested, judged by the latency of control's answers. `limits` are the request rates that
    upstreams have returned to it. `cut_off` means that it can connect to no upstream; it is then
    named to callers only if that is so of all gateways.
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
    limits: list[LimitReport] = []
    cut_off: bool = False


class RegionDemand(Struct, frozen=True, array_like=True):
    """The rate in requests per second for a service, over all gateways of a region.

    `service_ms` is the median of the estimates of all gateways, of any region, and `mean_ms` the
    median of the means of the region's gateways; 0 if there are none.
    """

    region: str
    service: str
    rate: float
    service_ms: int = 0
    mean_ms: int = 0


class UpstreamHeartbeat(Struct, frozen=True, array_like=True):
    """An upstream's newest heartbeat and its age."""

    registration: Registration
    age: float


class GatewayPeer(Struct, frozen=True, array_like=True):
    """A gateway with its peer address and region."""

    name: str
    address: str
    region: str = ""


class ReplicaAddress(Struct, frozen=True, array_like=True):
    """A replica with its peer address."""

    name: str
    address: str


class Roster(Struct, frozen=True, kw_only=True):
    """The live processes as seen by one replica; sent in full, and only when it has changed.

    `serving` are the gateways that callers are sent to, sorted by name; `silent` are the
    incarnations of upstreams without recent heartbeats; `version` counts the changes in this
    replica process.
    """

    version: int = 0
    serving: list[GatewayPeer] = []
    silent: list[str] = []
    replicas: list[ReplicaAddress] = []


class Subscribe(Struct, frozen=True, kw_only=True, tag=True, omit_defaults=True):
    """A gateway's long poll of a replica for changes.

    `life` identifies the replica process that `order` and `roster` refer to; another process
    ignores them and sends everything. `demand` requests the regions' demand as well, and `rest`
    the remainder of the last answer, without delay. `limits` is the position up to which changes
    of upstreams' limits are known. `packed` says that the gateway reads a `PackedFeed`. Without
    `large_images`, a large image is only announced.
    """

    beat: GatewayHeartbeat
    revision: int
    life: str = ""
    order: int = 0
    roster: int = 0
    demand: bool = True
    rest: bool = False
    limits: LimitLogPosition = LimitLogPosition()
    packed: bool = False
    large_images: bool = True


class Feed(Struct, frozen=True, kw_only=True, tag=True, omit_defaults=True):
    """The changes since the position in a request; `image` holds the newer steering state.

    `upstreams` are those that are new or have changed; `roster` is set if it differs from the
    requested version, and `demand` if it was requested. `held` is how long the request was held
    open. Every change accepted `age` seconds before the answer was sent, or earlier, is included;
    it is infinite if no leader has confirmed the state yet. With `more`, the next answer continues
    with the upstreams after `order`. `limits` are upstreams' changed limits, if there are any.
    `announced` is the revision of a large image that was left out; the state in such an answer is
    of infinite age.
    """

    life: str
    order: int
    image: SteeringImage
    age: float
    held: float = 0.0
    upstreams: list[UpstreamHeartbeat] = []
    more: bool = False
    roster: Roster | None = None
    demand: list[RegionDemand] | None = None
    limits: LimitLogEntries | None = None
    announced: int = 0


class ReportedRequests(Struct, frozen=True, kw_only=True, tag=True):
    """A request to commit reports on requests during which upstreams crashed."""

    reports: list[RequestReport]


class ShareHeartbeats(Struct, frozen=True, kw_only=True, tag="ShareHeard"):
    """Upstreams' heartbeats that a replica passes on to its peers."""

    upstreams: list[UpstreamHeartbeat]
