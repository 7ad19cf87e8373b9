"""Validation of a change of the catalog as a whole."""

from __future__ import annotations

from finchway._counts import MAX_COUNT
from finchway.catalog._items import Item, Limits, Route, ServiceSpec
from finchway.exceptions import Finding

MAX_TIMEOUT_S = 600.0
MAX_NAME_LENGTH = 256
# Upstreams for one request; a retry has ceased to help long before.
MAX_ATTEMPTS = 100
MAX_TARGET_OVER_TIMEOUT_S = 60.0


def check_items(items: list[Item], services: set[str]) -> list[Finding]:
    """Return all problems of items, given the names of the services that would then exist."""
    findings = check_values(items)
    for position, item in enumerate(items):
        if isinstance(item.spec, Route):
            findings += _check_services(_place(position, item), item.spec, services)
    return findings


def check_values(items: list[Item]) -> list[Finding]:
    """Return the problems that items have whatever else the catalog holds."""
    findings = []
    for position, item in enumerate(items):
        place = _place(position, item)
        findings += _check_item(place, item)
        match item.spec:
            case Route():
                findings += _check_route(place, item.spec)
            case ServiceSpec():
                findings += _check_service(place, item.spec)
            case Limits():
                findings += _check_limits(place, item.spec)
    return findings


def _place(position: int, item: Item) -> str:
    return f"items[{position}] {item.key[:MAX_NAME_LENGTH]}"


def _check_item(place: str, item: Item) -> list[Finding]:
    """Check the fields that all kinds have in common."""
    findings = []
    if not 0 < len(item.name) <= MAX_NAME_LENGTH:
        findings.append(Finding(f"{place}.name", f"must have 1 to {MAX_NAME_LENGTH} characters"))
    if not 0 <= item.version <= MAX_COUNT:
        findings.append(Finding(f"{place}.version", f"must be 0 to {MAX_COUNT}"))
    return findings


def _check_route(place: str, route: Route) -> list[Finding]:
    findings = []
    if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
        findings.append(Finding(f"{place}.path_prefix", "must begin and end with a slash"))
    if not 0 < route.timeout <= MAX_TIMEOUT_S:
        findings.append(Finding(f"{place}.timeout", f"must be above 0 s, at most {MAX_TIMEOUT_S}"))
    if route.target_latency >= route.timeout + MAX_TARGET_OVER_TIMEOUT_S:
        findings.append(Finding(f"{place}.target_latency", "must be less than 60 s above timeout"))
    if not 1 <= route.max_attempts <= MAX_ATTEMPTS:
        findings.append(Finding(f"{place}.max_attempts", f"must be 1 to {MAX_ATTEMPTS}"))
    if abs(route.priority) > MAX_COUNT:
        findings.append(Finding(f"{place}.priority", f"must be at most {MAX_COUNT}"))
    if any(not 0 <= backend.weight <= MAX_COUNT for backend in route.backends):
        findings.append(Finding(f"{place}.backends", "weights must be 0 to 2**53 - 1"))
    if sum(backend.weight for backend in route.backends) <= 0:
        findings.append(Finding(f"{place}.backends", "the sum of the weights must be above 0"))
    return findings


def _check_services(place: str, route: Route, services: set[str]) -> list[Finding]:
    return [
        Finding(f"{place}.backends", f"no service {backend.service!r}")
        for backend in route.backends
        if backend.service not in services
    ]


def _check_service(place: str, service: ServiceSpec) -> list[Finding]:
    findings = []
    if not service.health_path.startswith("/"):
        findings.append(Finding(f"{place}.health_path", "must begin with a slash"))
    for name in ("max_connections", "cold_start", "cold_rate"):
        if not 0 <= getattr(service, name) <= MAX_COUNT:
            findings.append(Finding(f"{place}.{name}", f"must be 0 to {MAX_COUNT}"))
    return findings


def _check_limits(place: str, limits: Limits) -> list[Finding]:
    values = {
        "header_bytes": limits.header_bytes,
        "body_bytes": limits.body_bytes,
        "header_timeout": limits.header_timeout,
        "idle_timeout": limits.idle_timeout,
    }
    return [
        Finding(f"{place}.{name}", f"must be above 0, at most {MAX_COUNT}")
        for name, value in values.items()
        if not 0 < value <= MAX_COUNT
    ]
