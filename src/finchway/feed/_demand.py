"""The demand of a fleet: its gateways' reports, summed by region and service.

A gateway of a large fleet sees few answers. Their service times are therefore combined as well, by
the median, which does not follow a few gateways that saw slow upstreams or report nonsense.
"""

from __future__ import annotations

from statistics import median_low

from finchway.feed._messages import GatewayHeartbeat, RegionDemand

# Reported if no gateway has an estimate.
_UNKNOWN_MS = 0


class DemandSums:
    """The reports of some gateways.

    sums = DemandSums()
    sums.add(heartbeat)
    sums.by_region()  # [RegionDemand("north", "bays", 5.0, 480, 610)]
    """

    __slots__ = ("_means", "_rates", "_times")

    def __init__(self) -> None:
        self._rates: dict[tuple[str, str], float] = {}
        self._times: dict[str, list[int]] = {}
        self._means: dict[tuple[str, str], list[int]] = {}

    def add(self, heartbeat: GatewayHeartbeat) -> None:
        """Add a gateway's heartbeat."""
        for reported in heartbeat.rates:
            key = (heartbeat.region, reported.service)
            self._rates[key] = self._rates.get(key, 0.0) + reported.rate
            if reported.service_ms > 0:
                self._times.setdefault(reported.service, []).append(reported.service_ms)
            if reported.mean_ms > 0:
                self._means.setdefault(key, []).append(reported.mean_ms)

    def by_region(self) -> list[RegionDemand]:
        """Return the demand of each region for each service."""
        times = {service: median_low(reported) for service, reported in self._times.items()}
        means = {key: median_low(reported) for key, reported in self._means.items()}
        return [
            RegionDemand(
                region,
                service,
                round(rate, 2),
                times.get(service, _UNKNOWN_MS),
                means.get((region, service), _UNKNOWN_MS),
            )
            for (region, service), rate in sorted(self._rates.items())
        ]
