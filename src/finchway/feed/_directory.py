"""Selection of the gateways that are returned to a caller."""

from __future__ import annotations

from finchway.feed._messages import GatewayHeartbeat

MAX_GATEWAYS = 64
MIN_ZONE_GATEWAYS = 2
MIN_ZONE_FRACTION = 0.75


def choose_gateways(
    gateways: list[GatewayHeartbeat],
    region: str,
    zone: str,
    allowed: frozenset[str],
    is_congested: bool = False,
) -> list[str]:
    """Return gateway addresses for a caller: those of its zone, else its region, else others.

    A zone's own gateways are preferred, since callers of a zone send similar requests and affinity
    works best with few gateways. The whole region is used if the zone has too few gateways or is
    congested. `allowed` are the other regions that the caller's requests may pass through; empty
    means all. Gateways that are leaving or not ready are excluded.
    """
    serving = [gateway for gateway in gateways if gateway.ready and not gateway.leaving]
    candidates = [gateway for gateway in serving if gateway.region == region]
    if not candidates:
        candidates = [gateway for gateway in serving if not allowed or gateway.region in allowed]
    in_zone = [gateway for gateway in candidates if gateway.zone == zone]
    mean = len(candidates) / max(1, len({gateway.zone for gateway in candidates}))
    if not is_congested and len(in_zone) >= max(MIN_ZONE_GATEWAYS, MIN_ZONE_FRACTION * mean):
        candidates = in_zone
    return [gateway.address for gateway in sorted(candidates, key=lambda b: b.name)[:MAX_GATEWAYS]]
