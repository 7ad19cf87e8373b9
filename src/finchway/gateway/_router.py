"""Selects the service, region and upstream for each request from the gateway's local state."""

from __future__ import annotations

import math
from collections.abc import Callable

import trio

from finchway.catalog import Backend, Route
from finchway.feed import ClusterView, ServiceRate
from finchway.gateway._bounds import Bounds
from finchway.gateway._record import UpstreamRecord
from finchway.gateway._request_context import Choice, ChoiceReason, RequestContext, SkippedUpstreams
from finchway.gateway._service import ServicePlan
from finchway.gateway._table import RegionUpstreams, UpstreamTable
from finchway.policy import UPSTREAMS_PER_KEY, AttemptBudget, Candidate, choose_for_key

# Requests that a gateway may always have in flight at an upstream, however small its share is.
MIN_OWN_REQUESTS = 2
# Requests per slot of an upstream over all gateways. The larger value keeps keys at their home
# upstream; under overload, load reports are late and only these limits bound the queues.
OWN_REQUESTS_PER_SLOT = 2.0
OWN_REQUESTS_PER_SLOT_OVERLOADED = 1.0
# Seconds for which a load report that shows a free slot overrides the gateway's own limit.
FRESH_REPORT_S = 0.3


class Router:
    """The routing decisions of one gateway.

    Bounds over all gateways are divided: each gateway uses its share of the retry budget and of an
    upstream's slots, and computes the same spread over the regions from the same reports.
    """

    def __init__(
        self,
        zone: str,
        zones: Callable[[], dict[str, str]],
        view: ClusterView,
        table: UpstreamTable,
        bounds: Bounds,
    ) -> None:
        self._zone = zone
        self._zones = zones
        self._view = view
        self._table = table
        self._bounds = bounds
        self._plans: dict[str, ServicePlan] = {}
        self._retry_budgets: dict[str, AttemptBudget] = {}
        self._split_credits: dict[str, dict[str, float]] = {}

    def rates(self) -> list[ServiceRate]:
        """Return the rates of callers' requests by service, in requests per second."""
        now = trio.current_time()
        plans = sorted(self._plans.items())
        return [ServiceRate(service, round(plan.rate(now), 2)) for service, plan in plans]

    def count_request(self, context: RequestContext, now: float) -> None:
        """Count a caller's request towards the rate and the retry budget of its service."""
        self._plan(context).count(context)
        self._retry_budget(context.service).count_request(now)

    def select_service(self, name: str, route: Route) -> str:
        """Return the service for a route's next request by smooth weighted round-robin."""
        if len(route.backends) == 1:
            return route.backends[0].service
        credit = self._split_credits.setdefault(name, {})
        total = sum(backend.weight for backend in route.backends)
        best: Backend | None = None
        for backend in route.backends:
            weight = credit.get(backend.service, 0.0) + backend.weight
            credit[backend.service] = weight
            if backend.weight > 0 and (best is None or weight > credit[best.service]):
                best = backend
        credit[best.service] -= total
        return best.service

    def may_retry(self, service: str, now: float) -> bool:
        """Take one retry from this gateway's share of the budget; False if it is used up."""
        return self._retry_budget(service).spend(now, self._view.serving_count(now))

    def record_answer(
        self, context: RequestContext, choice: Choice, status: int, seconds: float, now: float
    ) -> None:
        """Update the service estimate and the upstream's record from an answered attempt.

        A slow answer counts against the upstream only if the key is warm there. Streamed requests
        are not timed, since their duration depends on the caller.
        """
        plan = self._plan(context)
        estimate = plan.estimate
        record = choice.record
        is_warm = record.is_warm(context.key, now)
        record.record_warm_key(context.key, now)
        if status < 300:
            estimate.record_answer(seconds, context.route.target_latency)
            if is_warm and not record.outlier_state.is_suspect:
                plan.record_warm_answer(choice.region, seconds)
        if context.request.is_streamed:
            return
        is_slow = seconds > estimate.slow_after
        if status >= 500:
            record.outlier_state.record(True)
        elif is_warm or not is_slow:
            record.outlier_state.record(is_slow)

    def record_refused(self, record: UpstreamRecord, now: float) -> bool:
        """Record a refusal; return whether the upstream refused although it had free slots.

        Such a refusal counts against the upstream and is no sign of load. Free slots are only
        known if the refusal itself reported the load.
        """
        has_report = record.reported_at >= now
        had_free_slot = has_report and record.estimated_load(now) < record.registration.slots
        if had_free_slot:
            record.outlier_state.record(True)
        return had_free_slot

    def record_broken(self, record: UpstreamRecord) -> None:
        """Record an attempt that failed before a complete answer."""
        record.outlier_state.record(True)

    def record_timeout(self, context: RequestContext, record: UpstreamRecord) -> None:
        """Record an attempt that reached its deadline."""
        record.outlier_state.record(True)
        self._plan(context).estimate.record_timeout()

    def choose(self, context: RequestContext, now: float) -> Choice | None:
        """Return the upstream for an attempt, or None with the reason in `context.refusal`."""
        regions = self._allowed_regions(context, now)
        context.upstream_count = sum(len(upstreams.names) for upstreams in regions.values())
        if not regions:
            context.refusal = "no upstream"
            return None
        order = self._plan(context).regions_for(context, list(regions), now)
        skipped = SkippedUpstreams()
        for region in order:
            is_spilled = region != order[0]
            choice = self._choose_in_region(
                context, region, regions[region], now, is_spilled, skipped
            )
            if choice is not None:
                return choice
            if region == order[0] and self._has_available(regions[region], now):
                break
        if self.available_in(context, now) <= 0:
            context.refusal = "all upstreams for the key are full or resting"
        elif self._all_in_backoff(context, now):
            context.refusal = "all upstreams have asked for rest"
        else:
            context.refusal = "all upstreams rest or are at the limits that they have named"
        return None

    def available_in(self, context: RequestContext, now: float) -> float:
        """Return the seconds until an upstream for a request is available; 0 if one is now."""
        regions = self._allowed_regions(context, now).values()
        record_available_in = self._table.available_in
        return min(
            (upstreams.available_in(record_available_in, now) for upstreams in regions), default=0.0
        )

    def _all_in_backoff(self, context: RequestContext, now: float) -> bool:
        """Return whether all upstreams for a request are in a backoff that they requested."""
        return all(
            self._table.backoffs.remaining_s(record.registration.incarnation, now) > 0
            for upstreams in self._allowed_regions(context, now).values()
            for record in upstreams.records.values()
        )

    def _allowed_regions(self, context: RequestContext, now: float) -> dict[str, RegionUpstreams]:
        """Return the upstreams that may serve a request by region."""
        allowed = context.route.allowed_regions
        regions = self._table.regions(context.service, now)
        if not allowed:
            return regions
        return {name: upstreams for name, upstreams in regions.items() if name in allowed}

    def _has_available(self, upstreams: RegionUpstreams, now: float) -> bool:
        """Return whether any upstream of a region may get a request now.

        If so, the region is only full, and the spread moves requests away gradually. Sending the
        excess to other regions at once would bring its keys to upstreams that are cold for them.
        If not, all further regions are tried.
        """
        return any(self._table.is_available(record, now) for record in upstreams.records.values())

    def _choose_in_region(
        self,
        context: RequestContext,
        region: str,
        upstreams: RegionUpstreams,
        now: float,
        is_spilled: bool,
        skipped: SkippedUpstreams,
    ) -> Choice | None:
        """Return the best upstream for a key in one region; None if none has room."""
        plan = self._plan(context)
        outliers = plan.outliers(now)
        backoffs = self._table.backoffs
        candidates: list[Candidate] = []
        for name in plan.upstreams_for(context, region, upstreams.names):
            record = upstreams.records[name]
            if name in context.tried:
                continue
            if not self._table.is_available(record, now):
                skipped.in_backoff += backoffs.remaining_s(record.registration.incarnation, now) > 0
                skipped.at_limit += (
                    self._table.limits.rate_limiter.wait(record.registration.incarnation, now) > 0
                )
                continue
            if name in outliers and not record.outlier_state.may_try(now):
                continue
            if context.request.is_streamed and backoffs.is_awaiting_trial(
                record.registration.incarnation, now
            ):
                # A streamed body cannot be sent again if the trial request is refused.
                continue
            candidates.append(self._candidate(plan, region, record, now))
            if len(candidates) == UPSTREAMS_PER_KEY:
                break
        chosen = choose_for_key(candidates, is_spilled)
        if chosen is None:
            return None
        record = upstreams.records[chosen.instance]
        incarnation = record.registration.incarnation
        if chosen.instance in outliers:
            record.outlier_state.record_trial(now)
            reason = ChoiceReason.TRIAL
        elif backoffs.is_awaiting_trial(record.registration.incarnation, now):
            reason = ChoiceReason.RETURN
        elif is_spilled:
            reason = ChoiceReason.OTHER_REGION
        else:
            reason = ChoiceReason.HOME if chosen is candidates[0] else ChoiceReason.RELIEF
        return Choice(
            record,
            region,
            reason,
            chosen.in_flight,
            now - record.reported_at,
            now - self._view.last_contact_at,
            plan.local_share,
            backoffs.remaining_s(incarnation, now),
            skipped,
            self._table.limits.named.rate(incarnation),
            self._table.limits.named.age(incarnation, now),
            self._table.limits.rate_limiter.part(incarnation, now),
        )

    def _candidate(
        self, plan: ServicePlan, region: str, record: UpstreamRecord, now: float
    ) -> Candidate:
        """Describe an upstream, with the limit on this gateway's own requests at it.

        Load reports come with answers and are stale when these are late, so under overload the
        queues are bounded by the gateways' own limits. Otherwise a higher limit keeps keys on
        their home upstream, and a fresh report of a free slot needs no limit.
        """
        instance, slots = record.registration.instance, record.registration.slots
        busy = record.estimated_load(now)
        if busy + 1 <= slots and now - record.reported_at <= FRESH_REPORT_S:
            return Candidate(instance, slots, busy, record.in_flight)
        per_slot = (
            OWN_REQUESTS_PER_SLOT_OVERLOADED
            if plan.estimate.is_overloaded
            else OWN_REQUESTS_PER_SLOT
        )
        own_limit = max(MIN_OWN_REQUESTS, math.ceil(slots * per_slot * plan.own_share(region, now)))
        return Candidate(instance, slots, busy, record.in_flight, own_limit)

    def _plan(self, context: RequestContext) -> ServicePlan:
        plan = self._plans.get(context.service)
        if plan is None:
            plan = self._plans[context.service] = ServicePlan(
                context.service,
                context.route.target_latency,
                self._zones().get(self._zone, self._zone),
                self._zones,
                self._view,
                self._table,
                self._bounds,
            )
        return plan

    def _retry_budget(self, service: str) -> AttemptBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = self._retry_budgets[service] = AttemptBudget(
                bounds.repeat_ratio, bounds.repeat_slack, bounds.repeat_window
            )
        return budget
