"""Validation of upstreams' heartbeats, which arbitrary clients may send."""

from __future__ import annotations

import math
import re

from finchway._counts import MAX_COUNT
from finchway.exceptions import Finding
from finchway.registry._upstream import Registration

MAX_NAME_CHARS = 256
# A thousand times what the largest known upstreams process at once.
MAX_SLOTS = 10_000
MAX_COLD_S = 3_600.0
_ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})", re.ASCII)


def check_registration(registration: Registration) -> list[Finding]:
    """Return a finding for every invalid field of a heartbeat."""
    findings = []
    for place in ("instance", "service", "zone"):
        if not 0 < len(getattr(registration, place)) <= MAX_NAME_CHARS:
            findings.append(Finding(place, f"must have 1 to {MAX_NAME_CHARS} characters"))
    if len(registration.version) > MAX_NAME_CHARS:
        findings.append(Finding("version", f"must have at most {MAX_NAME_CHARS} characters"))
    if not _is_address(registration.address):
        findings.append(Finding("address", f"{registration.address[:40]!r} is not IP:port"))
    if not 0 < registration.slots <= MAX_SLOTS:
        findings.append(Finding("slots", f"must be 1 to {MAX_SLOTS}"))
    for place in ("sequence", "born"):
        if not 0 <= getattr(registration, place) <= MAX_COUNT:
            findings.append(Finding(place, f"must be 0 to {MAX_COUNT}"))
    if not (math.isfinite(registration.cold_for) and 0 <= registration.cold_for <= MAX_COLD_S):
        findings.append(Finding("cold_for", f"must be 0 to {MAX_COLD_S:g} s"))
    return findings


def _is_address(text: str) -> bool:
    match = _ADDRESS.fullmatch(text)
    if match is None:
        return False
    *octets, port = (int(part) for part in match.groups())
    return max(octets) < 256 and 0 < port < 65_536
