"""One service as a gateway sees it: demand, capacity, and where its keys and requests belong."""

from __future__ import annotations

from collections.abc import Callable

from finchway.feed import World
from finchway.gateway._bounds import Bounds
from finchway.gateway._estimates import ServiceEstimate
from finchway.gateway._table import UpstreamTable
from finchway.gateway._task import Task
from finchway.observe import PlanChanged, RegionShare
from finchway.policy import (
    KeepLimit,
    KeyMap,
    RateMeter,
    RegionLoad,
    Settled,
    Spread,
    UpstreamOrders,
    assume_even_demand,
    find_poor,
    plan_spread,
    rank,
    share_of_flow,
)

# Part of a region's slots that a plan fills: the rest takes what comes unevenly.
USE_OF_SLOTS = 0.7
# Seconds between two plans.
PLAN_EVERY_S = 0.1
# Part of the cap on shifts that the plans of all gateways together may use up.
SHIFT_SAFETY = 0.5
# Seconds without growth after which the reported demand is taken as the demand.
DEMAND_SETTLED_S = 1.5
# Change of the kept part, planned or in use, after which the plan is logged again.
LOGGED_CHANGE = 0.05


class ServicePlan:
    """The plan for one service, worked out now and then from the same reports at all gateways."""

    def __init__(
        self,
        service: str,
        target_latency: float,
        home: str,
        zones: Callable[[], dict[str, str]],
        world: World,
        table: UpstreamTable,
        bounds: Bounds,
    ) -> None:
        self._service = service
        self._home = home
        self._zones = zones
        self._world = world
        self._table = table
        self._estimate = ServiceEstimate(target_latency)
        self._meter = RateMeter()
        speed = SHIFT_SAFETY * bounds.shift_per_window / bounds.shift_window
        self._spread = Spread(home, speed)
        self._settled = Settled(DEMAND_SETTLED_S)
        self._keep_limit = KeepLimit()
        self._most_kept = 1.0
        self._key_map = KeyMap(home)
        self._orders = UpstreamOrders()
        self._poor: frozenset[str] = frozenset()
        self._poor_at = float("-inf")
        self._logged = (-1.0, -1.0)
        self._shares: dict[str, float] = {}
        self._shares_at = float("-inf")

    @property
    def estimate(self) -> ServiceEstimate:
        """What the answers tell of the service's work."""
        return self._estimate

    @property
    def kept_part(self) -> float:
        """The part of the requests that the home region keeps at the moment."""
        return self._spread.parts.get(self._home, 0.0)

    def count(self, task: Task) -> None:
        """Count a request that callers ask of the service."""
        self._meter.add()
        if task.has_key:
            self._key_map.note(task.key)

    def note_repeat(self, region: str, seconds: float) -> None:
        """Take in the time of an answer for a key that the upstream has answered a moment ago."""
        has_forgotten = seconds > self._estimate.forgotten_after
        self._keep_limit.note(region == self._home, has_forgotten)

    def rate(self, now: float) -> float:
        """Return the requests a second that callers ask here."""
        return self._meter.rate(now)

    def regions_for(self, task: Task, usable: list[str], now: float) -> list[str]:
        """Return the usable regions: the one whose turn it is, the home region, the others."""
        self._follow(now)
        if len(usable) == 1:
            return usable
        if task.has_key:
            first = self._key_map.region_of(task.key)
        else:
            first = self._key_map.region_in_turn()
        others = rank(task.key, [name for name in usable if name not in (first, self._home)])
        return [name for name in dict.fromkeys((first, self._home, *others)) if name in usable]

    def upstreams_for(self, task: Task, region: str, names: tuple[str, ...]) -> list[str]:
        """Return a region's upstreams in the order they are asked: the key's home comes first."""
        order = self._orders.order(task.key, names)
        home = self._key_map.home_of(task.key, region)
        if home is None or home == order[0] or home not in names:
            return order
        return [home, *(name for name in order if name != home)]

    def poor(self, now: float) -> frozenset[str]:
        """Return the upstreams that are left out since they answer worse than their fellows."""
        if now - self._poor_at < PLAN_EVERY_S:
            return self._poor
        self._poor_at = now
        regions = self._table.regions(self._service, now)
        for found in regions.values():
            for record in found.records.values():
                record.standing.note_overdue(record.overdue(now, self._estimate.slow_after))
        standings = {
            region: {name: record.standing for name, record in found.records.items()}
            for region, found in regions.items()
        }
        poor = find_poor(standings, self._poor)
        for found in regions.values():
            for name in (poor ^ self._poor) & found.records.keys():
                self._table.note_standing(found.records[name], name in poor)
        self._poor = poor
        return poor

    def share_of(self, region: str, now: float) -> float:
        """Return this gateway's part of all that a region's upstreams get."""
        if now - self._shares_at >= PLAN_EVERY_S:
            self._shares = {}
            self._shares_at = now
        share = self._shares.get(region)
        if share is None:
            share = self._shares[region] = share_of_flow(
                self._home,
                self._meter.rate(now),
                region,
                self._loads(now),
                self._world.serving_count(now),
            )
        return share

    def _follow(self, now: float) -> None:
        """Move the parts of the regions towards the plan, and the keys' places with them."""
        regions = self._table.regions(self._service, now)
        if now - self._spread.followed_at >= PLAN_EVERY_S:
            capacity = {name: float(found.slots) for name, found in regions.items()}
            self._spread.note_capacity(capacity, now)
            self._spread.follow(self._plan(now), now)
        names = {name: found.names for name, found in regions.items()}
        self._key_map.follow(self._spread.parts, names, now)

    def _plan(self, now: float) -> dict[str, float]:
        self._most_kept = self._keep_limit.most_kept(now)
        loads = self._loads(now)
        if not self._settled.note(sum(load.demand for load in loads.values()), now):
            loads = assume_even_demand(loads, set(self._zones().values()))
        plan = plan_spread(self._home, loads)
        self._log(loads, plan)
        return plan

    def _log(self, loads: dict[str, RegionLoad], plan: dict[str, float]) -> None:
        """Log the plan when it, or the part that is kept, is another than when it was logged."""
        planned = plan.get(self._home, 0.0)
        before = self._logged
        if max(abs(planned - before[0]), abs(self.kept_part - before[1])) < LOGGED_CHANGE:
            return
        self._logged = (planned, self.kept_part)
        self._table.decisions.write(
            PlanChanged(
                service=self._service,
                regions={
                    region: RegionShare(
                        round(load.demand, 1),
                        round(load.capacity, 1),
                        round(plan.get(region, 0.0), 3),
                    )
                    for region, load in sorted(loads.items())
                },
                work_ms=round(1000 * self._estimate.work, 1),
                most_kept=round(self._most_kept, 3),
                kept=round(self.kept_part, 3),
                poor=len(self._poor),
            )
        )

    def _loads(self, now: float) -> dict[str, RegionLoad]:
        demand = {
            asked.region: asked.rate
            for asked in self._world.demand
            if asked.service == self._service
        }
        # Demand that stayed with upstreams that rest, or beyond the limits that upstreams name,
        # would be refused.
        left_out = self.poor(now) | self._table.resting(now)
        a_slot = USE_OF_SLOTS / self._estimate.work
        capacity = {
            region: found.capacity(a_slot, left_out, self._table.limits.words)
            for region, found in self._table.regions(self._service, now).items()
        }
        loads = {
            region: RegionLoad(demand.get(region, 0.0), capacity.get(region, 0.0))
            for region in {*demand, *capacity}
        }
        home = loads.get(self._home)
        if home is not None and self._most_kept < 1.0:
            remembered = self._most_kept * home.demand
            loads[self._home] = RegionLoad(home.demand, min(home.capacity, remembered))
        return loads
