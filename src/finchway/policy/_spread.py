"""Distribution of a region's requests for a service over the regions.

A region serves its own callers up to its capacity and passes the excess to regions with spare
capacity. The parts change at a bounded rate, so that traffic shifts stay under their cap. Each
gateway computes them independently from the same reports.

Callers come in waves. A small region that took requests back in each trough would pass them on too
late in the next wave, at a bounded rate, and both ways meet cold upstreams. It takes back only what
it could have served throughout the last seconds.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct

# Assumed fraction of total capacity in use until the demand is known.
ASSUMED_UTILISATION = 0.8


class RegionLoad(Struct, frozen=True):
    """A region's demand for a service and the capacity of its upstreams, in requests per second."""

    demand: float
    capacity: float


def plan_spread(home: str, loads: dict[str, RegionLoad]) -> dict[str, float]:
    """Return the fraction of the home region's requests that each region should serve.

    Excess requests are divided in proportion to the other regions' capacity, up to their free
    capacity. Dividing by free capacity would move keys with every fluctuation of demand.

    plan_spread("north", {"north": RegionLoad(90, 60), "south": RegionLoad(30, 60)})
    # {"north": 0.67, "south": 0.33}
    """
    total = sum(load.capacity for load in loads.values())
    if total <= 0:
        return {home: 1.0}
    # If demand exceeds total capacity, all regions are overloaded by the same factor.
    scale = max(1.0, sum(load.demand for load in loads.values()) / total)
    loads = {r: RegionLoad(load.demand, load.capacity * scale) for r, load in loads.items()}
    own = loads.get(home, RegionLoad(0.0, 0.0))
    if own.demand <= own.capacity:
        return {home: 1.0}
    excess = sum(max(0.0, load.demand - load.capacity) for load in loads.values())
    room = {
        r: load.capacity - load.demand for r, load in loads.items() if load.capacity > load.demand
    }
    taken = _fill(excess, room, {region: loads[region].capacity for region in room})
    passed_fraction = 1.0 - own.capacity / own.demand
    parts = {region: passed_fraction * value / excess for region, value in taken.items()}
    parts[home] = 1.0 - sum(parts.values())
    return parts


def _fill(amount: float, room: dict[str, float], weights: dict[str, float]) -> dict[str, float]:
    """Divide an amount by weight, up to the room of each region; the excess is dropped."""
    taken = dict.fromkeys(room, 0.0)
    remaining = amount
    open_regions = [region for region in room if room[region] > 0 and weights[region] > 0]
    while open_regions and remaining > 1e-9:
        weight = sum(weights[region] for region in open_regions)
        share = min(
            remaining / weight,
            min((room[region] - taken[region]) / weights[region] for region in open_regions),
        )
        for region in open_regions:
            taken[region] += share * weights[region]
        remaining -= share * weight
        open_regions = [region for region in open_regions if room[region] - taken[region] > 1e-9]
    return taken


def assume_even_demand(loads: dict[str, RegionLoad], regions: set[str]) -> dict[str, RegionLoad]:
    """Return loads with equal demand from every region, for use until the demand is known.

    Later changes of the parts are rate-limited, so the initial ones must already suit regions that
    have few upstreams.
    """
    demand = (
        ASSUMED_UTILISATION * sum(load.capacity for load in loads.values()) / max(len(regions), 1)
    )
    return {
        region: RegionLoad(demand, loads[region].capacity if region in loads else 0.0)
        for region in regions | set(loads)
    }


def fraction_of_traffic(
    home: str, own_rate: float, target: str, loads: dict[str, RegionLoad], gateways: int
) -> float:
    """Return one gateway's fraction of all requests that are sent to a target region.

    Without any demand it is an equal part among all gateways, `gateways` in number.
    """
    flow = sum(
        load.demand * plan_spread(region, loads).get(target, 0.0)
        for region, load in loads.items()
        if load.demand > 0
    )
    if flow <= 0:
        return 1.0 / max(gateways, 1)
    own = own_rate * plan_spread(home, loads).get(target, 0.0)
    return min(1.0, own / flow)


class Spread:
    """The current parts, which follow the plan at a bounded rate."""

    # Seconds for which plans must have allowed the home region a larger part before it grows.
    RETURN_AFTER_S = 10.0
    # Relative change of a region's capacity that allows fast changes: the loss or return of a zone,
    # not the replacement of some upstreams.
    CAPACITY_CHANGE = 0.3
    # Duration in seconds and speed-up of fast changes: enough to move all of a region's requests.
    FAST_DURATION_S = 4.0
    FAST_FACTOR = 8.0

    def __init__(self, home: str, speed: float) -> None:
        self._home = home
        self._speed = speed
        self._capacity: dict[str, float] = {}
        self._fast_until = float("-inf")
        self._parts: dict[str, float] | None = None
        self._planned: deque[tuple[float, float]] = deque()
        self._followed_at = float("-inf")

    @property
    def followed_at(self) -> float:
        """The time of the last call of `follow`."""
        return self._followed_at

    @property
    def parts(self) -> dict[str, float]:
        """The current parts, by region."""
        return dict(self._parts or {self._home: 1.0})

    def record_capacity(self, capacity: dict[str, float], now: float) -> None:
        """Record the regions' capacities; a large change allows fast changes of the parts.

        When a zone or region fails, its callers cannot wait for the parts to change at the normal
        rate.
        """
        if not self._capacity:
            self._capacity = dict(capacity)
            return
        regions = set(capacity) | set(self._capacity)
        if any(self._has_changed(capacity, region) for region in regions):
            self._capacity = dict(capacity)
            self._fast_until = now + self.FAST_DURATION_S

    def _has_changed(self, capacity: dict[str, float], region: str) -> bool:
        """Return whether a region's capacity has changed by a large fraction."""
        before, after = self._capacity.get(region, 0.0), capacity.get(region, 0.0)
        return abs(after - before) >= self.CAPACITY_CHANGE * max(before, after, 1.0)

    def follow(self, plan: dict[str, float], now: float) -> None:
        """Move the parts towards a plan, by at most `speed` per second in total."""
        lowest = self._lowest_planned(plan.get(self._home, 0.0), now)
        if self._parts is None:
            self._parts = dict(plan)
            self._followed_at = now
            return
        is_fast = now < self._fast_until
        if not is_fast:
            plan = self._without_early_return(plan, lowest)
        speed = self._speed * (self.FAST_FACTOR if is_fast else 1.0)
        step = speed * max(0.0, now - self._followed_at)
        self._followed_at = now
        regions = set(plan) | set(self._parts)
        wanted = {r: plan.get(r, 0.0) - self._parts.get(r, 0.0) for r in regions}
        moved = sum(abs(value) for value in wanted.values()) / 2
        scale = min(1.0, step / moved) if moved > 0 else 0.0
        parts = {r: self._parts.get(r, 0.0) + wanted[r] * scale for r in regions}
        self._parts = {r: part for r, part in parts.items() if part > 1e-6}

    def _lowest_planned(self, part: float, now: float) -> float:
        """Return the smallest part that the home region was to keep in the last seconds."""
        while self._planned and self._planned[-1][1] >= part:
            self._planned.pop()
        self._planned.append((now, part))
        while self._planned[0][0] < now - self.RETURN_AFTER_S:
            self._planned.popleft()
        return self._planned[0][1]

    def _without_early_return(self, plan: dict[str, float], lowest: float) -> dict[str, float]:
        """Return a plan in which the home region's part grows no further than to the lowest."""
        current = self._parts.get(self._home, 0.0)
        growth = plan.get(self._home, 0.0) - current
        if growth <= 0:
            return plan
        fraction = max(0.0, lowest - current) / growth
        return {
            region: (1 - fraction) * self._parts.get(region, 0.0) + fraction * plan.get(region, 0.0)
            for region in set(plan) | set(self._parts)
        }
