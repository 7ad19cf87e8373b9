"""Which gateways a caller is told to use."""

from __future__ import annotations

from finchway.feed._messages import GatewayBeat

MOST_NAMED = 64


def choose_gateways(
    gateways: list[GatewayBeat], region: str, zone: str, allowed: frozenset[str]
) -> list[str]:
    """Return addresses for a caller of a zone: its own region's gateways, else the others'.

    `allowed` are the regions that the caller's requests may pass through beside its own; empty
    means all. Gateways that leave or have no configuration are not named while there are others.
    """
    serving = [beat for beat in gateways if beat.ready and not beat.leaving]
    near = [beat for beat in serving if beat.region == region]
    if not near:
        near = [beat for beat in serving if not allowed or beat.region in allowed]
    own_zone_first = sorted(near, key=lambda beat: (beat.zone != zone, beat.name))
    return [beat.address for beat in own_zone_first[:MOST_NAMED]]
