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
    """Whether requests on a route may run more than once; uploads may not."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


class Backend(Struct, frozen=True, array_like=True):
    """A service that gets `weight` parts of a route's requests."""

    service: str
    weight: float


class Route(Struct, frozen=True, kw_only=True, tag_field="item", tag="route"):
    """Where the requests of a host below a path go.

    `priority` is a rank, 0 first; `allowed_regions` empty means everywhere.
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
    """How the upstreams of a service are to be treated.

    A cold upstream takes `cold_rate` requests a second for `cold_start` seconds after its start.
    """

    health_path: str = "/health"
    max_connections: int = 0
    cold_start: float = 0.0
    cold_rate: float = 0.0


class Limits(Struct, frozen=True, kw_only=True, tag_field="item", tag="limits"):
    """What callers may send, and how long they may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


Spec = Route | ServiceSpec | Limits


class Item(Struct, frozen=True, kw_only=True):
    """One versioned item; without a `spec` it is dropped.

    `source` is the document that the operator sent, given back unchanged on reads.
    """

    kind: ItemKind
    name: str
    version: int
    spec: Spec | None = None
    source: bytes = b""

    @property
    def key(self) -> str:
        """The key under which the catalog holds the item."""
        return f"{self.kind.value}/{self.name}"
