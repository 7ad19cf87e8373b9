"""Which gateways a caller is told to use."""

from __future__ import annotations

from finchway.feed._messages import GatewayBeat

MOST_NAMED = 64
LEAST_NAMED = 2
FAIR_PART = 0.75


def choose_gateways(
    gateways: list[GatewayBeat],
    region: str,
    zone: str,
    allowed: frozenset[str],
    is_pressed: bool = False,
) -> list[str]:
    """Return addresses for a caller of a zone: its own zone's gateways, its region's, or others'.

    A zone's callers ask for the same things, so few gateways see each of them and know best what
    they have sent. A single gateway is not named alone, since its callers would all lose it; nor
    are those of a zone that has lost many, or that is pressed, since its callers are too much for
    them while others of the region may have room.
    `allowed` are the regions that the caller's requests may pass through beside its own; empty
    means all. Gateways that leave or have no configuration are not named while there are others.
    """
    serving = [beat for beat in gateways if beat.ready and not beat.leaving]
    near = [beat for beat in serving if beat.region == region]
    if not near:
        near = [beat for beat in serving if not allowed or beat.region in allowed]
    own = [beat for beat in near if beat.zone == zone]
    mean = len(near) / max(1, len({beat.zone for beat in near}))
    if not is_pressed and len(own) >= max(LEAST_NAMED, FAIR_PART * mean):
        near = own
    return [beat.address for beat in sorted(near, key=lambda b: b.name)[:MOST_NAMED]]
