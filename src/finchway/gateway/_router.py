"""Decides which service, region and upstream get a request, from what this gateway believes."""

from __future__ import annotations

import math
from collections.abc import Callable

import trio

from finchway.catalog import Backend, Route
from finchway.feed import ServiceRate, World
from finchway.gateway._bounds import Bounds
from finchway.gateway._record import UpstreamRecord
from finchway.gateway._service import ServicePlan
from finchway.gateway._table import RegionUpstreams, UpstreamTable
from finchway.gateway._task import Choice, ChoiceReason, PassedOver, Task
from finchway.policy import HOMES, AttemptBudget, Candidate, choose_home

# Requests that a gateway may always have at an upstream, however small its part of the flow is.
OWN_LEAST = 2
# Requests for each slot of an upstream that all gateways' parts of it add up to: in calm the wider
# figure keeps keys at their home; under strain the parts alone bound the queues.
OWN_ADMITTED = 2.0
OWN_ADMITTED_STRAINED = 1.0
# A report of load that is no older than this many seconds is trusted alone: an upstream gets about
# one request from each gateway of its region in this time.
REPORT_NEW_S = 0.3


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
        self._plans: dict[str, ServicePlan] = {}
        self._budgets: dict[str, AttemptBudget] = {}
        self._splits: dict[str, dict[str, float]] = {}

    def rates(self) -> list[ServiceRate]:
        """Return the requests a second that callers ask here, by service."""
        now = trio.current_time()
        plans = sorted(self._plans.items())
        return [ServiceRate(service, round(plan.rate(now), 2)) for service, plan in plans]

    def count_request(self, task: Task, now: float) -> None:
        """Count a request that callers ask of a service."""
        self._plan(task).count(task)
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
        self, task: Task, choice: Choice, status: int, seconds: float, now: float
    ) -> None:
        """Take in how long an answered attempt took, and what it says of the upstream.

        A slow answer speaks against it only if it remembered the key; one whose body was streamed
        took as long as its caller did.
        """
        plan = self._plan(task)
        estimate = plan.estimate
        record = choice.record
        known = record.remembers(task.key, now)
        record.note_key(task.key, now)
        if status < 300:
            estimate.note_answer(seconds, task.route.target_latency)
            if known and not record.standing.is_suspect:
                plan.note_repeat(choice.region, seconds)
        if task.request.more:
            return
        is_slow = seconds > estimate.slow_after
        if status >= 500:
            record.standing.note(True)
        elif known or not is_slow:
            record.standing.note(is_slow)

    def note_refused(self, record: UpstreamRecord, now: float) -> bool:
        """Take in that an upstream refused; tells whether it did so although it had room.

        That speaks against the upstream, and says nothing of its load. Whether it had room is known
        only if the refusal itself told its load.
        """
        has_told = record.reported_at >= now
        had_room = has_told and record.busy(now) < record.registration.slots
        if had_room:
            record.standing.note(True)
        return had_room

    def note_broken(self, record: UpstreamRecord) -> None:
        """Take in that an attempt brought no whole answer."""
        record.standing.note(True)

    def note_unanswered(self, task: Task, record: UpstreamRecord) -> None:
        """Take in an attempt whose time ran out."""
        record.standing.note(True)
        self._plan(task).estimate.note_unanswered()

    def choose(self, task: Task, now: float) -> Choice | None:
        """Return the upstream for an attempt, or None with the reason in `task.refusal`."""
        regions = self._allowed(task, now)
        task.choices = sum(len(upstreams.names) for upstreams in regions.values())
        if not regions:
            task.refusal = "no upstream"
            return None
        order = self._plan(task).regions_for(task, list(regions), now)
        passed = PassedOver()
        for region in order:
            is_spilled = region != order[0]
            choice = self._choose_in(task, region, regions[region], now, is_spilled, passed)
            if choice is not None:
                return choice
            if region == order[0] and self._has_usable(regions[region], now):
                break
        if self.back_in(task, now) <= 0:
            task.refusal = "all upstreams for the key are full or resting"
        elif self._all_rest(task, now):
            task.refusal = "all upstreams have asked for rest"
        else:
            task.refusal = "all upstreams rest or are at the limits that they have named"
        return None

    def back_in(self, task: Task, now: float) -> float:
        """Return the seconds until an upstream for a request wants any; 0 if one does now."""
        regions = self._allowed(task, now).values()
        wanted_in = self._table.wanted_in
        return min((upstreams.back_in(wanted_in, now) for upstreams in regions), default=0.0)

    def _all_rest(self, task: Task, now: float) -> bool:
        """Tell whether all upstreams for a request have asked for rest."""
        return all(
            self._table.rests.left(record.registration.life, now) > 0
            for upstreams in self._allowed(task, now).values()
            for record in upstreams.records.values()
        )

    def _allowed(self, task: Task, now: float) -> dict[str, RegionUpstreams]:
        """Return by region the upstreams that may serve a request."""
        allowed = task.route.allowed_regions
        regions = self._table.regions(task.service, now)
        if not allowed:
            return regions
        return {name: upstreams for name, upstreams in regions.items() if name in allowed}

    def _has_usable(self, upstreams: RegionUpstreams, now: float) -> bool:
        """Tell whether any of a region's upstreams may get something now.

        Then a region is only full, and the spread sees to that, slowly. To send what is too much
        to other regions would bring its keys to upstreams that are not warm for them. What has no
        upstream there at all goes on until it finds a free slot: refused after the first further
        region, it was lost for 0.035 of such a region's requests instead of 0.006 to 0.011.
        """
        return any(self._table.may_get(record, now) for record in upstreams.records.values())

    def _choose_in(
        self,
        task: Task,
        region: str,
        upstreams: RegionUpstreams,
        now: float,
        spilled: bool,
        passed: PassedOver,
    ) -> Choice | None:
        """Return the best home of a key in one region; None if none has room."""
        plan = self._plan(task)
        poor = plan.poor(now)
        rests = self._table.rests
        candidates: list[Candidate] = []
        for name in plan.upstreams_for(task, region, upstreams.names):
            record = upstreams.records[name]
            if name in task.tried:
                continue
            if not self._table.may_get(record, now):
                passed.resting += rests.left(record.registration.life, now) > 0
                passed.at_limit += (
                    self._table.limits.allowances.wait(record.registration.life, now) > 0
                )
                continue
            if name in poor and not record.standing.may_try(now):
                continue
            if task.request.more and rests.is_returning(record.registration.life, now):
                # Its body can be sent only once, so it must not be the one that is turned away.
                continue
            candidates.append(self._candidate(plan, region, record, now))
            if len(candidates) == HOMES:
                break
        chosen = choose_home(candidates, spilled)
        if chosen is None:
            return None
        record = upstreams.records[chosen.instance]
        life = record.registration.life
        if chosen.instance in poor:
            record.standing.note_trial(now)
            reason = ChoiceReason.TRIAL
        elif rests.is_returning(record.registration.life, now):
            reason = ChoiceReason.RETURN
        elif spilled:
            reason = ChoiceReason.OTHER_REGION
        else:
            reason = ChoiceReason.HOME if chosen is candidates[0] else ChoiceReason.RELIEF
        return Choice(
            record,
            region,
            reason,
            chosen.busy,
            now - record.reported_at,
            now - self._world.heard_at,
            plan.kept_part,
            rests.left(life, now),
            passed,
            self._table.limits.words.rate(life),
            self._table.limits.words.age(life, now),
            self._table.limits.allowances.part(life, now),
        )

    def _candidate(
        self, plan: ServicePlan, region: str, record: UpstreamRecord, now: float
    ) -> Candidate:
        """Describe an upstream; while many answers are late, this gateway's part is strict.

        Reports of load come with answers and fail when these come late, so the sum of the parts
        is what then bounds the queues. In calm a wider part keeps keys on their first home, and a
        report from a moment ago that shows a free slot needs no part at all.
        """
        instance, slots = record.registration.instance, record.registration.slots
        busy = record.busy(now)
        if busy + 1 <= slots and now - record.reported_at <= REPORT_NEW_S:
            return Candidate(instance, slots, busy, record.in_flight)
        admitted = OWN_ADMITTED_STRAINED if plan.estimate.is_strained else OWN_ADMITTED
        own_most = max(OWN_LEAST, math.ceil(slots * admitted * plan.share_of(region, now)))
        return Candidate(instance, slots, busy, record.in_flight, own_most)

    def _plan(self, task: Task) -> ServicePlan:
        plan = self._plans.get(task.service)
        if plan is None:
            plan = self._plans[task.service] = ServicePlan(
                task.service,
                task.route.target_latency,
                self._zones().get(self._zone, self._zone),
                self._zones,
                self._world,
                self._table,
                self._bounds,
            )
        return plan

    def _budget(self, service: str) -> AttemptBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = self._budgets[service] = AttemptBudget(
                bounds.repeat_ratio, bounds.repeat_slack, bounds.repeat_window
            )
        return budget
