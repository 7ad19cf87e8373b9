"""What a heartbeat must hold to be believed: other writers may send anything."""

from __future__ import annotations

import math
import re

from finchway.exceptions import Finding
from finchway.registry._upstream import Registration

# Characters of a name: what operators and platforms make up is far shorter.
LONGEST_NAME = 256
# Requests that an upstream can work on at once: a thousand times what the largest are known to.
MOST_SLOTS = 10_000
# Counts and times that every reader of JSON holds exactly.
LARGEST_COUNT = 2**53 - 1
# Seconds that an upstream may be cold, counted from its heartbeat.
LONGEST_COLD_S = 3_600.0
_ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})", re.ASCII)


def check_registration(registration: Registration) -> list[Finding]:
    """Return everything that is wrong with a heartbeat, each with the field's name."""
    findings = []
    for place in ("instance", "service", "zone"):
        if not 0 < len(getattr(registration, place)) <= LONGEST_NAME:
            findings.append(Finding(place, f"must have 1 to {LONGEST_NAME} characters"))
    if len(registration.version) > LONGEST_NAME:
        findings.append(Finding("version", f"must have at most {LONGEST_NAME} characters"))
    if not _is_address(registration.address):
        findings.append(Finding("address", f"{registration.address[:40]!r} is not IP:port"))
    if not 0 < registration.slots <= MOST_SLOTS:
        findings.append(Finding("slots", f"must be 1 to {MOST_SLOTS}"))
    for place in ("sequence", "born"):
        if not 0 <= getattr(registration, place) <= LARGEST_COUNT:
            findings.append(Finding(place, f"must be 0 to {LARGEST_COUNT}"))
    if not (math.isfinite(registration.cold_for) and 0 <= registration.cold_for <= LONGEST_COLD_S):
        findings.append(Finding("cold_for", f"must be 0 to {LONGEST_COLD_S:g} s"))
    return findings


def _is_address(text: str) -> bool:
    match = _ADDRESS.fullmatch(text)
    if match is None:
        return False
    *octets, port = (int(part) for part in match.groups())
    return max(octets) < 256 and 0 < port < 65_536
