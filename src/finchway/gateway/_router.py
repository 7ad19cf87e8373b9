"""Selects the service, region and upstream for each request from the gateway's local state."""

from __future__ import annotations

from collections.abc import Callable

import trio

from finchway.catalog import Backend, Route
from finchway.feed import ClusterView, ServiceRate
from finchway.gateway._bounds import Bounds
from finchway.gateway._record import UpstreamRecord
from finchway.gateway._request_context import Choice, RequestContext
from finchway.gateway._selector import UpstreamSelector
from finchway.gateway._service import ServicePlan
from finchway.gateway._table import RegionUpstreams, UpstreamTable
from finchway.policy import AttemptBudget, BudgetState, KnownGateways

# An attempt that had less than this multiple of the service time tells nothing by its timeout.
TIGHT_DEADLINE_FACTOR = 2.0


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
        self._selector = UpstreamSelector(view, table)
        self._plans: dict[str, ServicePlan] = {}
        self._retry_budgets: dict[str, AttemptBudget] = {}
        self._split_credits: dict[str, dict[str, float]] = {}

    def rates(self) -> list[ServiceRate]:
        """Return the rate of callers' requests and the estimated time of each service."""
        now = trio.current_time()
        return [
            ServiceRate(
                service,
                round(plan.rate(now), 2),
                round(1000 * plan.estimate.reported_time(now)),
                round(1000 * plan.estimate.reported_mean(now)),
            )
            for service, plan in sorted(self._plans.items())
        ]

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
        return self._retry_budget(service).spend(now, self._known_gateways(now))

    def budget_state(self, service: str, now: float) -> BudgetState:
        """Return what decisions on a service's retries are based on."""
        return self._retry_budget(service).state(now, self._known_gateways(now))

    def budget_states(self, now: float) -> dict[str, BudgetState]:
        """Return the state of this gateway's share of the retry budget by service."""
        return {service: self.budget_state(service, now) for service in self._retry_budgets}

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
            is_home = choice.region == plan.home
            estimate.record_answer(seconds, context.route.target_latency, now, is_home)
            if is_warm and not record.outlier_state.is_suspect:
                plan.record_warm_answer(choice.region, seconds)
        if context.request.is_streamed:
            return
        if status >= 500:
            record.record_failed_request()
            return
        record.answer_s = seconds
        is_slow = seconds > estimate.slow_after
        if is_warm or not is_slow:
            record.outlier_state.record(is_slow)

    def record_refused(self, record: UpstreamRecord, now: float) -> bool:
        """Record a refusal; return whether the upstream refused although it had free slots.

        Such a refusal counts against the upstream and is no sign of load. Free slots are only
        known if the refusal itself reported the load.
        """
        has_report = record.reported_at >= now
        had_free_slot = has_report and record.estimated_load(now) < record.registration.slots
        if had_free_slot:
            record.record_failed_request()
        return had_free_slot

    def record_broken(self, record: UpstreamRecord) -> None:
        """Record an attempt that failed before a complete answer."""
        record.record_failed_request()

    def had_tight_deadline(self, context: RequestContext, started: float) -> bool:
        """Return whether an attempt had too little time to count against its upstream.

        Otherwise a few callers with short deadlines could have healthy upstreams backed off for
        all callers. Half of the route's timeout is never too little, whatever is estimated.
        """
        expected_s = TIGHT_DEADLINE_FACTOR * self._plan(context).estimate.service_time
        return context.deadline - started < min(expected_s, context.route.timeout / 2)

    def record_timeout(self, context: RequestContext, record: UpstreamRecord) -> None:
        """Record an attempt that reached its deadline."""
        record.record_failed_request()
        self._plan(context).estimate.record_timeout()

    def choose(self, context: RequestContext, now: float) -> Choice | None:
        """Return the upstream for an attempt, or None with the reason in `context.refusal`."""
        regions = self._allowed_regions(context, now)
        context.upstream_count = sum(len(upstreams.names) for upstreams in regions.values())
        if not regions:
            context.refusal = "no upstream"
            return None
        plan = self._plan(context)
        choice = self._selector.choose(context, plan, regions, now)
        if choice is None:
            context.refusal = self._selector.refusal(plan, regions, now)
        return choice

    def available_in(self, context: RequestContext, now: float) -> float:
        """Return the seconds until an upstream for a request is available; 0 if one is now."""
        regions = self._allowed_regions(context, now)
        return self._selector.available_in(self._plan(context), regions, now)

    def on_time_in(self, context: RequestContext, now: float) -> float:
        """Return the seconds within which a refused caller must return to be answered on time."""
        due_at = context.request.arrived_at + context.route.target_latency
        return due_at - now - self._plan(context).estimate.service_time

    def _allowed_regions(self, context: RequestContext, now: float) -> dict[str, RegionUpstreams]:
        """Return the upstreams that may serve a request by region."""
        allowed = context.route.allowed_regions
        regions = self._table.regions(context.service, now)
        if not allowed:
            return regions
        return {name: upstreams for name, upstreams in regions.items() if name in allowed}

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

    def _known_gateways(self, now: float) -> KnownGateways | None:
        return self._view.known_gateways(self._table.name, now)

    def _retry_budget(self, service: str) -> AttemptBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = self._retry_budgets[service] = AttemptBudget(
                bounds.repeat_ratio, bounds.repeat_slack, bounds.repeat_window
            )
        return budget
