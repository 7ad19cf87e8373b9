"""How a region's requests for a service are spread over the regions.

A region serves its own callers as far as its upstreams have room, and passes the rest to regions
with room to spare. The parts move slowly, so that no shift of traffic exceeds its cap, and each
gateway works them out alone from the same reports.
"""

from __future__ import annotations

from msgspec import Struct

# Part of all capacity that is taken to be asked for until the demand is known.
ASSUMED_USE = 0.8


class RegionLoad(Struct, frozen=True):
    """What a region's callers ask of a service, and what its upstreams can bear, per second."""

    demand: float
    capacity: float


def plan_spread(home: str, loads: dict[str, RegionLoad]) -> dict[str, float]:
    """Return the parts of the home region's requests that each region should serve.

    What a region passes on is divided by the others' capacity, as far as they have room: a
    division by room would change with every wave of demand, and each key that moves is slow once.

    plan_spread("north", {"north": RegionLoad(90, 60), "south": RegionLoad(30, 60)})
    # {"north": 0.67, "south": 0.33}
    """
    total = sum(load.capacity for load in loads.values())
    if total <= 0:
        return {home: 1.0}
    # When all regions together fall short, all are filled above their capacity alike.
    scale = max(1.0, sum(load.demand for load in loads.values()) / total)
    loads = {r: RegionLoad(load.demand, load.capacity * scale) for r, load in loads.items()}
    own = loads.get(home, RegionLoad(0.0, 0.0))
    if own.demand <= own.capacity:
        return {home: 1.0}
    over = sum(max(0.0, load.demand - load.capacity) for load in loads.values())
    room = {
        r: load.capacity - load.demand for r, load in loads.items() if load.capacity > load.demand
    }
    taken = _fill(over, room, {region: loads[region].capacity for region in room})
    passed = 1.0 - own.capacity / own.demand
    parts = {region: passed * value / over for region, value in taken.items()}
    parts[home] = 1.0 - sum(parts.values())
    return parts


def _fill(amount: float, room: dict[str, float], weights: dict[str, float]) -> dict[str, float]:
    """Divide an amount by weight, nowhere above the room; what does not fit is left."""
    taken = dict.fromkeys(room, 0.0)
    left = amount
    open_ones = [region for region in room if room[region] > 0 and weights[region] > 0]
    while open_ones and left > 1e-9:
        weight = sum(weights[region] for region in open_ones)
        share = min(
            left / weight,
            min((room[region] - taken[region]) / weights[region] for region in open_ones),
        )
        for region in open_ones:
            taken[region] += share * weights[region]
        left -= share * weight
        open_ones = [region for region in open_ones if room[region] - taken[region] > 1e-9]
    return taken


def assume_even_demand(loads: dict[str, RegionLoad], regions: set[str]) -> dict[str, RegionLoad]:
    """Return loads as they would be if every region asked alike of well-used upstreams.

    It is the plan until demand is known: later changes of the parts are bounded, so the first
    ones must already suit regions that have few upstreams.
    """
    demand = ASSUMED_USE * sum(load.capacity for load in loads.values()) / max(len(regions), 1)
    return {
        region: RegionLoad(demand, loads[region].capacity if region in loads else 0.0)
        for region in regions | set(loads)
    }


def share_of_flow(
    home: str, own_rate: float, target: str, loads: dict[str, RegionLoad], fellows: int
) -> float:
    """Return one gateway's part of all requests that the regions send to a target region.

    Without any demand yet the gateways, `fellows` in all, count alike.
    """
    flow = sum(
        load.demand * plan_spread(region, loads).get(target, 0.0)
        for region, load in loads.items()
        if load.demand > 0
    )
    if flow <= 0:
        return 1.0 / max(fellows, 1)
    own = own_rate * plan_spread(home, loads).get(target, 0.0)
    return min(1.0, own / flow)


class Spread:
    """The parts in use, which follow the plan at a bounded speed."""

    # Part of a region's capacity that must be lost or return for the parts to hurry: a zone of two
    # or three, not some upstreams that are replaced.
    CAPACITY_CHANGE = 0.3
    # Seconds of hurry, and how many times faster the parts move then: all of a region in that time.
    HURRY_S = 4.0
    HURRY = 8.0

    def __init__(self, home: str, speed: float) -> None:
        self._home = home
        self._speed = speed
        self._capacity: dict[str, float] = {}
        self._hurry_until = float("-inf")
        self._parts: dict[str, float] | None = None
        self._at = float("-inf")

    @property
    def followed_at(self) -> float:
        """When the parts last followed a plan."""
        return self._at

    @property
    def parts(self) -> dict[str, float]:
        """The parts in use, by region."""
        return dict(self._parts or {self._home: 1.0})

    def note_capacity(self, capacity: dict[str, float], now: float) -> None:
        """Take in the regions' capacities; when much of one is lost or returns, the parts hurry.

        The bound on their speed is for changes of traffic and of some upstreams; when a zone or
        region is gone, its callers cannot wait for it.
        """
        if not self._capacity:
            self._capacity = dict(capacity)
            return
        regions = set(capacity) | set(self._capacity)
        if any(self._changed(capacity, region) for region in regions):
            self._capacity = dict(capacity)
            self._hurry_until = now + self.HURRY_S

    def _changed(self, capacity: dict[str, float], region: str) -> bool:
        """Tell whether a region's capacity is another by a large part of the larger value."""
        before, after = self._capacity.get(region, 0.0), capacity.get(region, 0.0)
        return abs(after - before) >= self.CAPACITY_CHANGE * max(before, after, 1.0)

    def follow(self, plan: dict[str, float], now: float) -> None:
        """Move the parts towards a plan, by at most `speed` a second in all."""
        if self._parts is None:
            self._parts = dict(plan)
            self._at = now
            return
        speed = self._speed * (self.HURRY if now < self._hurry_until else 1.0)
        step = speed * max(0.0, now - self._at)
        self._at = now
        regions = set(plan) | set(self._parts)
        wanted = {r: plan.get(r, 0.0) - self._parts.get(r, 0.0) for r in regions}
        moved = sum(abs(value) for value in wanted.values()) / 2
        scale = min(1.0, step / moved) if moved > 0 else 0.0
        parts = {r: self._parts.get(r, 0.0) + wanted[r] * scale for r in regions}
        self._parts = {r: part for r, part in parts.items() if part > 1e-6}
