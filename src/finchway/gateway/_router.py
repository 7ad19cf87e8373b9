"""Decides which service, region and upstream get a request, from what this gateway believes."""

from __future__ import annotations

import math
from collections.abc import Callable

import trio
from msgspec import Struct

from finchway.catalog import Backend, Route
from finchway.feed import ServiceRate, World
from finchway.gateway._bounds import Bounds
from finchway.gateway._http import CallerRequest
from finchway.gateway._table import RegionUpstreams, UpstreamRecord, UpstreamTable
from finchway.policy import (
    AttemptBudget,
    Candidate,
    KeyMap,
    Placement,
    RateMeter,
    RegionLoad,
    Settled,
    Spread,
    assume_even_demand,
    find_poor,
    plan_spread,
    rank,
    share_of_flow,
)

USE_OF_SLOTS = 0.7
WORK_WEIGHT_UP = 0.005
WORK_WEIGHT_DOWN = 0.05
OWN_LEAST = 2
OWN_ADMITTED = 2.0
OWN_ADMITTED_STRAINED = 1.0
STRAINED_ABOVE = 0.3
# A report of load that is no older than this many seconds is trusted alone: an upstream gets about
# one request from each gateway of its region in this time.
REPORT_NEW_S = 0.3
STRAIN_WEIGHT = 0.02
PLAN_EVERY_S = 0.1
# A repeat is slow when it takes this many times the work of a warm one. Work for a key that is not
# remembered takes about 3.4 times as long, on all sites.
SLOW_FACTOR = 3.5
SHIFT_SAFETY = 0.5
DEMAND_SETTLED_S = 1.5


class Task(Struct):
    """A request on its way; `refusal` says why no upstream was chosen.

    `has_key` tells whether the caller named the thing that the request concerns; `key` is the
    request's id otherwise.
    """

    request: CallerRequest
    route_name: str
    route: Route
    service: str
    request_id: str
    key: str
    deadline: float
    attempts: int = 0
    choices: int = 0
    refusal: str = ""
    tried: set[str] = set()
    has_key: bool = True


class Router:
    """The routing decisions of one gateway.

    Sums over all gateways are kept by parts: each takes its part of the budget for repeats and of
    an upstream's slots, and works out the same spread over the regions from the same reports.
    """

    def __init__(
        self,
        zone: str,
        zones: Callable[[], dict[str, str]],
        world: World,
        table: UpstreamTable,
        bounds: Bounds,
    ) -> None:
        self._zone = zone
        self._zones = zones
        self._world = world
        self._table = table
        self._bounds = bounds
        self._placement = Placement()
        self._strain: dict[str, float] = {}
        self._spreads: dict[str, Spread] = {}
        self._key_maps: dict[str, KeyMap] = {}
        self._budgets: dict[str, AttemptBudget] = {}
        self._meters: dict[str, RateMeter] = {}
        self._work: dict[str, float] = {}
        self._poor: dict[str, frozenset[str]] = {}
        self._poor_at: dict[str, float] = {}
        self._splits: dict[str, dict[str, float]] = {}
        self._settled: dict[str, Settled] = {}
        self._shares: dict[tuple[str, str], tuple[float, float]] = {}

    def rates(self) -> list[ServiceRate]:
        """Return the requests a second that callers ask here, by service."""
        now = trio.current_time()
        return [ServiceRate(s, round(m.rate(now), 2)) for s, m in sorted(self._meters.items())]

    def count_request(self, task: Task, now: float) -> None:
        """Count a request that callers ask of a service.

        Until answers tell more, an upstream is taken to work for the route's target latency.
        """
        self._meters.setdefault(task.service, RateMeter()).add()
        if task.has_key:
            self._key_map(task.service).note(task.key)
        self._work.setdefault(task.service, task.route.target_latency)
        self._budget(task.service).count_request(now)

    def split(self, name: str, route: Route) -> str:
        """Divide a route's requests among its services by weight, as evenly as can be."""
        if len(route.backends) == 1:
            return route.backends[0].service
        credit = self._splits.setdefault(name, {})
        total = sum(backend.weight for backend in route.backends)
        best: Backend | None = None
        for backend in route.backends:
            held = credit.get(backend.service, 0.0) + backend.weight
            credit[backend.service] = held
            if backend.weight > 0 and (best is None or held > credit[best.service]):
                best = backend
        credit[best.service] -= total
        return best.service

    def may_repeat(self, service: str, now: float) -> bool:
        """Take one repeat from this gateway's part of the budget; False if it is used up."""
        return self._budget(service).spend(now, self._world.serving_count(now))

    def note_answer(
        self, task: Task, record: UpstreamRecord, status: int, seconds: float, now: float
    ) -> None:
        """Take in how long an answered attempt took, and what it says of the upstream."""
        known = record.remembers(task.key, now)
        record.note_key(task.key, now)
        if status < 300:
            self._note_work(task, seconds)
        if task.request.more:
            return
        is_slow = seconds > SLOW_FACTOR * self._work[task.service]
        if status >= 500:
            record.standing.note(True)
        elif known or not is_slow:
            record.standing.note(is_slow)

    def note_refused(self, record: UpstreamRecord, now: float) -> None:
        """Take in that an upstream refused; that speaks against it if it had room."""
        if record.busy(now) < record.registration.slots:
            record.standing.note(True)

    def note_broken(self, record: UpstreamRecord) -> None:
        """Take in that an attempt brought no whole answer."""
        record.standing.note(True)

    def note_unanswered(self, task: Task, record: UpstreamRecord) -> None:
        """Take in an attempt whose time ran out."""
        record.standing.note(True)
        self._note_strain(task.service, True)

    def _note_work(self, task: Task, seconds: float) -> None:
        """Follow the lower part of the times; what is above was mostly spent waiting."""
        held = self._work[task.service]
        weight = WORK_WEIGHT_UP if seconds > held else WORK_WEIGHT_DOWN
        self._work[task.service] = held + weight * (seconds - held)
        self._note_strain(task.service, seconds > task.route.target_latency)

    def _note_strain(self, service: str, late: bool) -> None:
        held = self._strain.get(service, 1.0)
        self._strain[service] = held + STRAIN_WEIGHT * (late - held)

    def choose(self, task: Task, now: float) -> UpstreamRecord | None:
        """Return the upstream for an attempt, or None with the reason in `task.refusal`."""
        regions = {
            name: upstreams
            for name, upstreams in self._table.regions(task.service, now).items()
            if not task.route.allowed_regions or name in task.route.allowed_regions
        }
        task.choices = sum(len(upstreams.names) for upstreams in regions.values())
        if not regions:
            task.refusal = "no upstream"
            return None
        for position, region in enumerate(self._region_order(task, regions, now)):
            record = self._choose_in(task, region, regions[region], now, position > 0)
            if record is not None:
                return record
            if self._has_usable(regions[region], now):
                break
        task.refusal = "all upstreams for the key are full or resting"
        return None

    def _has_usable(self, upstreams: RegionUpstreams, now: float) -> bool:
        """Tell whether any of a region's upstreams may get something now.

        Then a region is only full, and the spread sees to that, slowly. To send what is too much
        to other regions would bring its keys to upstreams that are not warm for them.
        """
        return any(self._table.may_get(record, now) for record in upstreams.records.values())

    def _choose_in(
        self,
        task: Task,
        region: str,
        upstreams: RegionUpstreams,
        now: float,
        spilled: bool,
    ) -> UpstreamRecord | None:
        """Return the best home of a key in one region; None if none has room."""
        ordered = []
        share = self._share(task.service, region, now)
        poor = self._poor_ones(task.service, now)
        for name in self._order(task, region, upstreams.names):
            record = upstreams.records[name]
            if name in task.tried or not self._table.may_get(record, now):
                continue
            if name in poor and not record.standing.may_try(now):
                continue
            ordered.append(self._candidate(task.service, record, share, now))
            if len(ordered) == self._placement.homes:
                break
        chosen = self._placement.choose(ordered, spilled)
        if chosen is None:
            return None
        record = upstreams.records[chosen.instance]
        if chosen.instance in poor:
            record.standing.note_trial(now)
        return record

    def _poor_ones(self, service: str, now: float) -> frozenset[str]:
        """Return the upstreams that are left out since they answer worse than their fellows."""
        held = self._poor.get(service, frozenset())
        if now - self._poor_at.get(service, float("-inf")) < PLAN_EVERY_S:
            return held
        self._poor_at[service] = now
        records = {
            name: record
            for found in self._table.regions(service, now).values()
            for name, record in found.records.items()
        }
        poor = find_poor(
            {
                region: {name: record.standing for name, record in found.records.items()}
                for region, found in self._table.regions(service, now).items()
            },
            held,
        )
        for name in poor ^ held:
            if name in records:
                self._table.note_standing(records[name], name in poor)
        self._poor[service] = poor
        return poor

    def _candidate(
        self, service: str, record: UpstreamRecord, share: float, now: float
    ) -> Candidate:
        """Describe an upstream; while many answers are late, this gateway's part is strict.

        Reports of load come with answers and fail when these come late, so the sum of the parts
        is what then bounds the queues. In calm a wider part keeps keys on their first home, and a
        report from a moment ago that shows a free slot needs no part at all.
        """
        slots = record.registration.slots
        busy = record.busy(now)
        if busy + 1 <= slots and now - record.reported_at <= REPORT_NEW_S:
            return Candidate(record.registration.instance, slots, busy, record.in_flight)
        strained = self._strain.get(service, 1.0) > STRAINED_ABOVE
        admitted = OWN_ADMITTED_STRAINED if strained else OWN_ADMITTED
        own_most = max(OWN_LEAST, math.ceil(slots * admitted * share))
        return Candidate(record.registration.instance, slots, busy, record.in_flight, own_most)

    def _share(self, service: str, region: str, now: float) -> float:
        """Return this gateway's part of what a region's upstreams get; worked out now and then."""
        held = self._shares.get((service, region))
        if held is not None and now - held[1] < PLAN_EVERY_S:
            return held[0]
        loads = self._loads(service, now)
        meter = self._meters.get(service)
        share = share_of_flow(
            self._zones().get(self._zone, self._zone),
            meter.rate(now) if meter else 0.0,
            region,
            loads,
            self._world.serving_count(now),
        )
        self._shares[service, region] = (share, now)
        return share

    def _order(self, task: Task, region: str, names: tuple[str, ...]) -> list[str]:
        """Return the order in which a region's upstreams are asked: the key's home comes first."""
        order = self._placement.order(task.key, names)
        home = self._key_map(task.service).home_of(task.key, region)
        if home is None or home == order[0] or home not in names:
            return order
        return [home, *(name for name in order if name != home)]

    def _region_order(self, task: Task, regions: dict, now: float) -> list[str]:
        """Return the region whose turn it is, then the home region, then the others."""
        home = self._home_region()
        spread = self._follow(task.service, home, now)
        key_map = self._key_map(task.service)
        key_map.follow(spread.parts, self._names(task.service, now), now)
        if len(regions) == 1:
            return list(regions)
        first = key_map.region_of(task.key) if task.has_key else key_map.region_in_turn()
        others = rank(task.key, [name for name in regions if name not in (first, home)])
        return [name for name in dict.fromkeys((first, home, *others)) if name in regions]

    def _names(self, service: str, now: float) -> dict[str, tuple[str, ...]]:
        return {name: held.names for name, held in self._table.regions(service, now).items()}

    def _home_region(self) -> str:
        return self._zones().get(self._zone, self._zone)

    def _key_map(self, service: str) -> KeyMap:
        key_map = self._key_maps.get(service)
        if key_map is None:
            key_map = self._key_maps[service] = KeyMap(self._home_region())
        return key_map

    def _follow(self, service: str, home: str, now: float) -> Spread:
        """Return the parts of the regions, moved towards the plan now and then."""
        spread = self._spreads.get(service)
        if spread is None:
            speed = SHIFT_SAFETY * self._bounds.shift_per_window / self._bounds.shift_window
            spread = self._spreads[service] = Spread(home, speed)
        if now - spread.followed_at >= PLAN_EVERY_S:
            held = self._table.regions(service, now)
            spread.note_capacity({name: float(found.slots) for name, found in held.items()}, now)
            spread.follow(self._plan(home, service, now), now)
        return spread

    def _plan(self, home: str, service: str, now: float) -> dict[str, float]:
        loads = self._loads(service, now)
        watch = self._settled.setdefault(service, Settled(DEMAND_SETTLED_S))
        if not watch.note(sum(load.demand for load in loads.values()), now):
            loads = assume_even_demand(loads, set(self._zones().values()))
        return plan_spread(home, loads)

    def _loads(self, service: str, now: float) -> dict[str, RegionLoad]:
        demand: dict[str, float] = {}
        for asked in self._world.demand:
            if asked.service == service:
                demand[asked.region] = asked.rate
        poor = self._poor_ones(service, now)
        slots = {
            region: upstreams.slots_without(poor)
            for region, upstreams in self._table.regions(service, now).items()
        }
        work = self._work[service]
        return {
            region: RegionLoad(
                demand.get(region, 0.0), slots.get(region, 0.0) * USE_OF_SLOTS / work
            )
            for region in {*demand, *slots}
        }

    def _budget(self, service: str) -> AttemptBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = self._budgets[service] = AttemptBudget(
                bounds.repeat_ratio, bounds.repeat_slack, bounds.repeat_window
            )
        return budget
