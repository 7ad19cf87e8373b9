"""Plans how a service's requests and keys are spread over regions and upstreams."""

from __future__ import annotations

from collections.abc import Callable

from finchway.feed import ClusterView
from finchway.gateway._bounds import Bounds
from finchway.gateway._estimates import ServiceEstimate
from finchway.gateway._request_context import RequestContext
from finchway.gateway._table import UpstreamTable
from finchway.observe import PlanChanged, RegionPlan
from finchway.policy import (
    GrowthDetector,
    KeyMap,
    LocalFractionLimit,
    RateMeter,
    RegionLoad,
    Spread,
    UpstreamOrders,
    assume_even_demand,
    find_outliers,
    fraction_of_traffic,
    plan_spread,
    rank,
)

# Fraction of a region's slots that a plan fills; the rest absorbs uneven arrivals.
TARGET_UTILISATION = 0.7
PLAN_INTERVAL_S = 0.1
# Fraction of the bound on shifts between regions that plans use.
SHIFT_RATE_FACTOR = 0.5
# Seconds without growth after which the reported demand counts as complete.
DEMAND_STABLE_S = 1.5
# Change of the planned or current local share from which the plan is logged again.
LOG_THRESHOLD = 0.05


class ServicePlan:
    """The plan for one service, computed by each gateway from the same reports."""

    def __init__(
        self,
        service: str,
        target_latency: float,
        home: str,
        zones: Callable[[], dict[str, str]],
        view: ClusterView,
        table: UpstreamTable,
        bounds: Bounds,
    ) -> None:
        self._service = service
        self._home = home
        self._zones = zones
        self._view = view
        self._table = table
        self._estimate = ServiceEstimate(target_latency)
        self._meter = RateMeter()
        speed = SHIFT_RATE_FACTOR * bounds.shift_per_window / bounds.shift_window
        self._spread = Spread(home, speed)
        self._growth = GrowthDetector(DEMAND_STABLE_S)
        self._local_share_limit = LocalFractionLimit()
        self._max_local_share = 1.0
        self._key_map = KeyMap(home)
        self._orders = UpstreamOrders()
        self._outliers: frozenset[str] = frozenset()
        self._outliers_at = float("-inf")
        self._logged_shares = (-1.0, -1.0)
        self._shares: dict[str, float] = {}
        self._shares_at = float("-inf")

    @property
    def home(self) -> str:
        """The gateway's region."""
        return self._home

    @property
    def estimate(self) -> ServiceEstimate:
        """The estimates from the service's answers."""
        return self._estimate

    @property
    def local_share(self) -> float:
        """The share of requests that the home region handles itself at the moment."""
        return self._spread.parts.get(self._home, 0.0)

    def count(self, context: RequestContext) -> None:
        """Count a caller's request and its key."""
        self._meter.add()
        if context.has_key:
            self._key_map.record(context.key)

    def record_warm_answer(self, region: str, seconds: float) -> None:
        """Record the time of an answer for a key that should be warm at the upstream."""
        was_cold = seconds > self._estimate.cold_key_after
        self._local_share_limit.record(region == self._home, was_cold)

    def rate(self, now: float) -> float:
        """Return the rate of callers' requests at this gateway, in requests per second."""
        return self._meter.rate(now)

    def regions_for(self, context: RequestContext, usable: list[str], now: float) -> list[str]:
        """Return the usable regions in order: the planned one, the home region, the others."""
        self._update_spread(now)
        if len(usable) == 1:
            return usable
        if context.has_key:
            first = self._key_map.region_of(context.key)
        else:
            first = self._key_map.next_region()
        others = rank(context.key, [name for name in usable if name not in (first, self._home)])
        return [name for name in dict.fromkeys((first, self._home, *others)) if name in usable]

    def upstreams_for(
        self, context: RequestContext, region: str, names: tuple[str, ...]
    ) -> list[str]:
        """Return a region's upstreams in order of preference, with the key's home first."""
        order = self._orders.order(context.key, names)
        home = self._key_map.balanced_upstream(context.key, region)
        if home is None or home == order[0] or home not in names:
            return order
        return [home, *(name for name in order if name != home)]

    def outliers(self, now: float) -> frozenset[str]:
        """Return the upstreams that answer worse than their peers and are left out."""
        if now - self._outliers_at < PLAN_INTERVAL_S:
            return self._outliers
        self._outliers_at = now
        regions = self._table.regions(self._service, now)
        for found in regions.values():
            for record in found.records.values():
                record.outlier_state.set_overdue(record.overdue(now, self._estimate.slow_after))
        outcomes = {
            region: {name: record.outlier_state for name, record in found.records.items()}
            for region, found in regions.items()
        }
        outliers = find_outliers(outcomes, self._outliers)
        for found in regions.values():
            for name in (outliers ^ self._outliers) & found.records.keys():
                self._table.record_outlier(found.records[name], name in outliers)
        self._outliers = outliers
        return outliers

    def own_share(self, region: str, now: float) -> float:
        """Return this gateway's share of all requests to a region's upstreams."""
        if now - self._shares_at >= PLAN_INTERVAL_S:
            self._shares = {}
            self._shares_at = now
        share = self._shares.get(region)
        if share is None:
            share = self._shares[region] = fraction_of_traffic(
                self._home,
                self._meter.rate(now),
                region,
                self._loads(now),
                self._view.serving_count(now),
            )
        return share

    def _update_spread(self, now: float) -> None:
        """Move the regions' shares and the keys' regions towards the plan."""
        regions = self._table.regions(self._service, now)
        if now - self._spread.followed_at >= PLAN_INTERVAL_S:
            self._estimate.use_fleet_time(self._view.service_time(self._service, now))
            capacity = {name: float(found.slots) for name, found in regions.items()}
            self._spread.record_capacity(capacity, now)
            self._spread.follow(self._plan(now), now)
        names = {name: found.names for name, found in regions.items()}
        self._key_map.follow(self._spread.parts, names, now)

    def _plan(self, now: float) -> dict[str, float]:
        self._max_local_share = self._local_share_limit.max_fraction(now)
        loads = self._loads(now)
        if not self._growth.record(sum(load.demand for load in loads.values()), now):
            loads = assume_even_demand(loads, set(self._zones().values()))
        plan = plan_spread(self._home, loads)
        self._log(loads, plan, now)
        return plan

    def _log(self, loads: dict[str, RegionLoad], plan: dict[str, float], now: float) -> None:
        """Log the plan if the planned or the current local share has changed enough."""
        planned = plan.get(self._home, 0.0)
        before = self._logged_shares
        if max(abs(planned - before[0]), abs(self.local_share - before[1])) < LOG_THRESHOLD:
            return
        self._logged_shares = (planned, self.local_share)
        self._table.decisions.write(
            PlanChanged(
                service=self._service,
                regions={
                    region: RegionPlan(
                        round(load.demand, 1),
                        round(load.capacity, 1),
                        round(plan.get(region, 0.0), 3),
                        round(1000 * self._mean_time(region, now)),
                    )
                    for region, load in sorted(loads.items())
                },
                work_ms=round(1000 * self._estimate.service_time, 1),
                most_kept=round(self._max_local_share, 3),
                kept=round(self.local_share, 3),
                poor=len(self._outliers),
            )
        )

    def _demand(self) -> dict[str, float]:
        """Return the rate of the service's requests by the region of their gateways."""
        return {
            reported.region: reported.rate
            for reported in self._view.demand
            if reported.service == self._service
        }

    def _mean_time(self, region: str, now: float) -> float:
        """Return the mean time of a request in a region, or the service time if not known."""
        mean_time = self._view.mean_time(self._service, region, now)
        return self._estimate.service_time if mean_time is None else mean_time

    def _loads(self, now: float) -> dict[str, RegionLoad]:
        demand = self._demand()
        # Upstreams in backoff, or beyond their named limits, would refuse the requests.
        excluded = self.outliers(now) | self._table.backed_off(now)
        capacity = {}
        for region, found in self._table.regions(self._service, now).items():
            rate_per_slot = TARGET_UTILISATION / self._mean_time(region, now)
            capacity[region] = found.capacity(rate_per_slot, excluded, self._table.limits.named)
        loads = {
            region: RegionLoad(demand.get(region, 0.0), capacity.get(region, 0.0))
            for region in {*demand, *capacity}
        }
        home = loads.get(self._home)
        if home is not None and self._max_local_share < 1.0:
            retained = self._max_local_share * home.demand
            loads[self._home] = RegionLoad(home.demand, min(home.capacity, retained))
        return loads
