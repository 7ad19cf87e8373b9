"""The checks that a change of the catalog has to pass as a whole."""

from __future__ import annotations

from finchway.catalog._items import Item, Limits, Route, ServiceSpec
from finchway.exceptions import Finding

MAX_TIMEOUT_S = 600.0
MAX_TARGET_OVER_TIMEOUT_S = 60.0


def check_items(items: list[Item], services: set[str]) -> list[Finding]:
    """Return everything that is wrong with items, given the services that would stand."""
    findings = []
    for position, item in enumerate(items):
        place = f"items[{position}] {item.key}"
        match item.spec:
            case Route():
                findings += _check_route(place, item.spec, services)
            case ServiceSpec():
                findings += _check_service(place, item.spec)
            case Limits():
                findings += _check_limits(place, item.spec)
    return findings


def _check_route(place: str, route: Route, services: set[str]) -> list[Finding]:
    findings = []
    if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
        findings.append(Finding(f"{place}.path_prefix", "must begin and end with a slash"))
    if not 0 < route.timeout <= MAX_TIMEOUT_S:
        findings.append(Finding(f"{place}.timeout", f"must be above 0 s, at most {MAX_TIMEOUT_S}"))
    if route.target_latency >= route.timeout + MAX_TARGET_OVER_TIMEOUT_S:
        findings.append(Finding(f"{place}.target_latency", "lies a minute or more over timeout"))
    if route.max_attempts < 1:
        findings.append(Finding(f"{place}.max_attempts", "must be 1 or more"))
    if any(backend.weight < 0 for backend in route.backends):
        findings.append(Finding(f"{place}.backends", "a weight is negative"))
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
    if service.max_connections < 0:
        findings.append(Finding(f"{place}.max_connections", "must not be negative"))
    if service.cold_start < 0 or service.cold_rate < 0:
        findings.append(Finding(f"{place}.cold_start", "must not be negative"))
    return findings


def _check_limits(place: str, limits: Limits) -> list[Finding]:
    values = {
        "header_bytes": limits.header_bytes,
        "body_bytes": limits.body_bytes,
        "header_timeout": limits.header_timeout,
        "idle_timeout": limits.idle_timeout,
    }
    return [
        Finding(f"{place}.{name}", "must be above 0")
        for name, value in values.items()
        if value <= 0
    ]
