"""The checks that a change of the catalog has to pass as a whole."""

from __future__ import annotations

from finchway.catalog._items import Item, Limits, Route, ServiceSpec
from finchway.exceptions import Finding

MAX_TIMEOUT_S = 600.0
# Characters of a name, and the largest number that every reader of JSON holds exactly.
LONGEST_NAME = 256
MAX_COUNT = 2**53 - 1
# Upstreams to which a request may be sent: beyond this a retry has long ceased to help.
MOST_ATTEMPTS = 100
MAX_TARGET_OVER_TIMEOUT_S = 60.0


def check_items(items: list[Item], services: set[str]) -> list[Finding]:
    """Return everything that is wrong with items, given the services that would stand."""
    findings = []
    for position, item in enumerate(items):
        place = f"items[{position}] {item.key[:LONGEST_NAME]}"
        findings += _check_item(place, item)
        match item.spec:
            case Route():
                findings += _check_route(place, item.spec, services)
            case ServiceSpec():
                findings += _check_service(place, item.spec)
            case Limits():
                findings += _check_limits(place, item.spec)
    return findings


def _check_item(place: str, item: Item) -> list[Finding]:
    """Check what is common to all kinds, so that every item that is taken can be passed on."""
    findings = []
    if not 0 < len(item.name) <= LONGEST_NAME:
        findings.append(Finding(f"{place}.name", f"must have 1 to {LONGEST_NAME} characters"))
    if not 0 <= item.version <= MAX_COUNT:
        findings.append(Finding(f"{place}.version", f"must be 0 to {MAX_COUNT}"))
    return findings


def _check_route(place: str, route: Route, services: set[str]) -> list[Finding]:
    findings = []
    if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
        findings.append(Finding(f"{place}.path_prefix", "must begin and end with a slash"))
    if not 0 < route.timeout <= MAX_TIMEOUT_S:
        findings.append(Finding(f"{place}.timeout", f"must be above 0 s, at most {MAX_TIMEOUT_S}"))
    if route.target_latency >= route.timeout + MAX_TARGET_OVER_TIMEOUT_S:
        findings.append(Finding(f"{place}.target_latency", "lies a minute or more over timeout"))
    if not 1 <= route.max_attempts <= MOST_ATTEMPTS:
        findings.append(Finding(f"{place}.max_attempts", f"must be 1 to {MOST_ATTEMPTS}"))
    if abs(route.priority) > MAX_COUNT:
        findings.append(Finding(f"{place}.priority", f"must be at most {MAX_COUNT}"))
    if any(not 0 <= backend.weight <= MAX_COUNT for backend in route.backends):
        findings.append(Finding(f"{place}.backends", "a weight is negative, or no sound number"))
    if sum(backend.weight for backend in route.backends) <= 0:
        findings.append(Finding(f"{place}.backends", "the weights add up to 0"))
    for backend in route.backends:
        if backend.service not in services:
            findings.append(Finding(f"{place}.backends", f"no service {backend.service!r}"))
    return findings


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
