"""The items of the traffic catalog; all times are in seconds."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class ItemKind(Enum):
    """What an item describes."""

    ROUTE = "route"
    SERVICE = "service"
    LIMITS = "limits"


class RouteType(Enum):
    """Whether the requests of a route are safe to retry; `UPLOAD` requests are not."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


class Backend(Struct, frozen=True, array_like=True):
    """A service that gets a fraction of a route's requests in proportion to `weight`."""

    service: str
    weight: float


class Route(Struct, frozen=True, kw_only=True, tag_field="item", tag="route"):
    """Maps the requests of a host below a path prefix to services.

    `priority` is a rank, 0 being the highest; empty `allowed_regions` means all regions.
    """

    host: str
    path_prefix: str
    type: RouteType
    timeout: float
    target_latency: float
    priority: int = 0
    backends: tuple[Backend, ...] = ()
    max_attempts: int = 1
    affinity: bool = False
    allowed_regions: tuple[str, ...] = ()


class ServiceSpec(Struct, frozen=True, kw_only=True, tag_field="item", tag="service"):
    """Settings for the upstreams of a service.

    An upstream gets at most `cold_rate` requests per second for `cold_start` seconds after its
    start.
    """

    health_path: str = "/health"
    max_connections: int = 0
    cold_start: float = 0.0
    cold_rate: float = 0.0


class Limits(Struct, frozen=True, kw_only=True, tag_field="item", tag="limits"):
    """Size limits and timeouts for callers' requests."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


Spec = Route | ServiceSpec | Limits


class Item(Struct, frozen=True, kw_only=True):
    """A versioned item; one without a `spec` is deleted.

    `source` is the operator's document, returned unchanged on reads.
    """

    kind: ItemKind
    name: str
    version: int
    spec: Spec | None = None
    source: bytes = b""

    @property
    def key(self) -> str:
        """The item's key in the catalog."""
        return f"{self.kind.value}/{self.name}"
