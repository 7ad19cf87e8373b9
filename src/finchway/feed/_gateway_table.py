"""The newest heartbeats of gateways, as received by a replica."""

from __future__ import annotations

from msgspec import Struct

from finchway.feed._demand import DemandSums
from finchway.feed._messages import GatewayHeartbeat, GatewayPeer, RegionDemand

# Time for which a zone counts as congested after its gateways have reported it. Its callers are
# sent to the whole region meanwhile, which ends the reports, so a short time causes oscillation.
# Callers keep directory answers for up to 3 s.
CONGESTION_HOLD_S = 8.0
# Fraction of a zone's gateways that must be congested for the zone to count as congested.
CONGESTED_FRACTION = 0.5


class GatewayStatus(Struct, frozen=True):
    """A gateway's newest heartbeat and its age in seconds."""

    heartbeat: GatewayHeartbeat
    age: float


class GatewayTable:
    """The newest heartbeat of each gateway, by name; silent gateways are evicted."""

    def __init__(self, silent_after: float) -> None:
        self._silent_after = silent_after
        self._latest: dict[str, tuple[GatewayHeartbeat, float]] = {}
        self._congested_at: dict[str, float] = {}

    def record(self, heartbeat: GatewayHeartbeat, received_at: float) -> None:
        """Record a heartbeat; an older one of the same incarnation is ignored."""
        previous = self._latest.get(heartbeat.name)
        if previous is not None:
            same_incarnation = previous[0].incarnation == heartbeat.incarnation
            if received_at < previous[1] or (
                same_incarnation and previous[0].sequence > heartbeat.sequence
            ):
                return
        self._latest[heartbeat.name] = (heartbeat, received_at)
        if heartbeat.pressed:
            self._update_congestion(heartbeat.zone, received_at)

    def live(self, now: float) -> list[GatewayStatus]:
        """Return the gateways with a recent heartbeat, sorted by name."""
        self._evict_silent(now)
        return [
            GatewayStatus(heartbeat, round(now - received_at, 3))
            for _, (heartbeat, received_at) in sorted(self._latest.items())
        ]

    def serving(self, now: float) -> list[GatewayPeer]:
        """Return the live gateways that callers are sent to, sorted by name."""
        self._evict_silent(now)
        return [
            GatewayPeer(name, heartbeat.peer, heartbeat.region)
            for name, (heartbeat, _) in sorted(self._latest.items())
            if heartbeat.ready and not heartbeat.leaving and not heartbeat.cut_off
        ]

    def demand(self, now: float) -> list[RegionDemand]:
        """Return what the live gateways report on requests, by region and service."""
        self._evict_silent(now)
        sums = DemandSums()
        for heartbeat, _ in self._latest.values():
            sums.add(heartbeat)
        return sums.by_region()

    def is_congested(self, zone: str, now: float) -> bool:
        """Return whether the links of a zone's gateways are congested."""
        return now - self._congested_at.get(zone, float("-inf")) <= CONGESTION_HOLD_S

    def _update_congestion(self, zone: str, now: float) -> None:
        heartbeats = [heartbeat for heartbeat, _ in self._latest.values() if heartbeat.zone == zone]
        congested = sum(heartbeat.pressed for heartbeat in heartbeats)
        if congested >= CONGESTED_FRACTION * len(heartbeats):
            self._congested_at[zone] = now

    def _evict_silent(self, now: float) -> None:
        oldest = now - self._silent_after
        for name in [n for n, (_, received_at) in self._latest.items() if received_at < oldest]:
            del self._latest[name]
