"""The users' sizes of today, as data: Lankaspark and Kalabaw."""

from __future__ import annotations

import hashlib
from typing import Any

from msgspec import Struct


class ServiceShape(Struct, frozen=True):
    """A service: its workers over all regions, mean service time, and how callers use it."""

    name: str
    workers: int
    service_ms: float
    once_only: bool = False
    body_bytes: int = 0
    deadline_ms: int = 2_000


class Shape(Struct, frozen=True):
    """A user's deployment: regions with two availability zones each, latencies, services."""

    name: str
    regions: tuple[str, ...]
    zone_ms: float
    region_ms: float
    client_ms: float
    services: tuple[ServiceShape, ...]


LANKASPARK = Shape(
    "lankaspark",
    ("colombo", "kandy", "galle"),
    1.0,
    10.0,
    3.0,
    (
        ServiceShape("bays", 20, 20.0),
        ServiceShape("reservations", 13, 30.0, once_only=True),
        ServiceShape("uploads", 12, 60.0, body_bytes=200_000, deadline_ms=10_000),
    ),
)
KALABAW = Shape(
    "kalabaw",
    ("luzon", "visayas", "mindanao"),
    0.5,
    35.0,
    1.0,
    (
        ServiceShape("ledger", 20, 20.0),
        ServiceShape("intake", 12, 30.0, once_only=True),
        ServiceShape("files", 12, 60.0, body_bytes=200_000, deadline_ms=10_000),
    ),
)
SHAPES = {shape.name: shape for shape in (LANKASPARK, KALABAW)}
PRIORITIES = {"gold": 0, "silver": 1, "bronze": 2}


def zones_of(shape: Shape) -> list[tuple[str, str]]:
    """Return (availability zone, region) for all zones of a shape."""
    return [(f"{region}-{letter}", region) for region in shape.regions for letter in "ab"]


def credential_of(priority: str) -> str:
    """Return the credential of the organisation that pays for a priority."""
    return f"secret-{priority}"


def client_of(region: str, number: int, shape: Shape) -> str:
    """Return a client address that belongs to a region's site."""
    return f"10.{shape.regions.index(region)}.{number % 250}.7"


def resources_of(
    shape: Shape, addresses: dict[tuple[str, str], list[str]], **overrides: Any
) -> list[dict[str, Any]]:
    """Return the resources that declare a shape.

    `addresses` maps (service, zone) to its upstreams; `overrides` changes fields of all services.
    """
    found = [_item("region", region, _latencies(shape, region)) for region in shape.regions]
    found += [_item("zone", zone, {"region": region}) for zone, region in zones_of(shape)]
    for index, region in enumerate(shape.regions):
        found.append(_item("site", f"{region}-site", {"region": region}))
        blocks = {"site": f"{region}-site", "blocks": [f"10.{index}.0.0/16"]}
        found.append(_item("client-blocks", f"{region}-blocks", blocks))
    found += [_item("priority", name, {"rank": rank}) for name, rank in PRIORITIES.items()]
    for service in shape.services:
        spec = {"once_only": service.once_only, "deadline_ms": service.deadline_ms}
        found.append(_item("service", service.name, {**spec, **overrides}))
        found += _pools(shape, service, addresses)
    for priority in PRIORITIES:
        digest = hashlib.sha256(credential_of(priority).encode()).hexdigest()
        contracts = {service.name: {"priority": priority} for service in shape.services}
        organisation = {"credentials": [digest], "contracts": contracts}
        found.append(_item("organisation", f"org-{priority}", organisation))
    return found


def _latencies(shape: Shape, region: str) -> dict[str, Any]:
    others = {other: shape.region_ms for other in shape.regions if other != region}
    return {"latency_ms": others}


def _pools(shape: Shape, service: ServiceShape, addresses) -> list[dict[str, Any]]:
    pools = []
    for region in shape.regions:
        upstreams = [
            {"address": address, "zone": zone}
            for zone, owner in zones_of(shape)
            if owner == region
            for address in addresses.get((service.name, zone), [])
        ]
        spec = {"service": service.name, "region": region, "upstreams": upstreams, "ramp_s": 2.0}
        pools.append(_item("pool", f"{service.name}.{region}", spec))
    return pools


def _item(kind: str, name: str, spec: dict[str, Any]) -> dict[str, Any]:
    return {"kind": kind, "name": name, "spec": spec}
