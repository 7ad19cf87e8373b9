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
    means all. Gateways that are leaving or not ready are excluded, and those that are cut off from
    all upstreams are named only if there are no others.
    """
    serving = [gateway for gateway in gateways if gateway.ready and not gateway.leaving]
    reaching = [gateway for gateway in serving if not gateway.cut_off]
    candidates = _candidates(reaching, region, allowed) or _candidates(serving, region, allowed)
    in_zone = [gateway for gateway in candidates if gateway.zone == zone]
    mean = len(candidates) / max(1, len({gateway.zone for gateway in candidates}))
    if not is_congested and len(in_zone) >= max(MIN_ZONE_GATEWAYS, MIN_ZONE_FRACTION * mean):
        candidates = in_zone
    return [gateway.address for gateway in sorted(candidates, key=lambda b: b.name)[:MAX_GATEWAYS]]


def _candidates(
    gateways: list[GatewayHeartbeat], region: str, allowed: frozenset[str]
) -> list[GatewayHeartbeat]:
    """Return the gateways of a region, or those of other allowed regions if it has none."""
    in_region = [gateway for gateway in gateways if gateway.region == region]
    if in_region:
        return in_region
    return [gateway for gateway in gateways if not allowed or gateway.region in allowed]
