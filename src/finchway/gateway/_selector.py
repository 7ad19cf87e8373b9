"""Selects the upstream for an attempt among those of the regions that may serve the request."""

from __future__ import annotations

import math

from finchway.feed import ClusterView
from finchway.gateway._record import UpstreamRecord
from finchway.gateway._request_context import Choice, ChoiceReason, RequestContext, SkippedUpstreams
from finchway.gateway._service import ServicePlan
from finchway.gateway._table import RegionUpstreams, UpstreamTable
from finchway.policy import UPSTREAMS_PER_KEY, Candidate, choose_for_key

# Requests that a gateway may always have in flight at an upstream, however small its share is.
MIN_OWN_REQUESTS = 2
# Requests per slot of an upstream over all gateways. The larger value keeps keys at their home
# upstream; under overload, load reports are late and only these limits bound the queues.
OWN_REQUESTS_PER_SLOT = 2.0
OWN_REQUESTS_PER_SLOT_OVERLOADED = 1.0
# Seconds for which a load report that shows a free slot overrides the gateway's own limit.
FRESH_REPORT_S = 0.3


class UpstreamSelector:
    """The choice of an upstream by region, cache affinity, load and state."""

    def __init__(self, view: ClusterView, table: UpstreamTable) -> None:
        self._view = view
        self._table = table

    def choose(
        self,
        context: RequestContext,
        plan: ServicePlan,
        regions: dict[str, RegionUpstreams],
        now: float,
    ) -> Choice | None:
        """Return the upstream for an attempt; None if there is none."""
        order = plan.regions_for(context, list(regions), now)
        skipped = SkippedUpstreams()
        for region in order:
            is_spilled = region != order[0]
            choice = self._choose_in_region(
                context, plan, region, regions[region], now, is_spilled, skipped
            )
            if choice is not None:
                return choice
            if not is_spilled and self._has_available(regions[region], now):
                break
        return None

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
        plan: ServicePlan,
        region: str,
        upstreams: RegionUpstreams,
        now: float,
        is_spilled: bool,
        skipped: SkippedUpstreams,
    ) -> Choice | None:
        """Return the best upstream for a key in one region; None if none has room."""
        outliers = plan.outliers(now)
        candidates: list[Candidate] = []
        for name in plan.upstreams_for(context, region, upstreams.names):
            record = upstreams.records[name]
            if name in context.tried:
                continue
            if not self._table.is_available(record, now):
                self._count_skipped(record, now, skipped)
                continue
            if name in outliers and not record.outlier_state.may_try(now):
                continue
            if self._needs_whole_body(context, record, now):
                continue
            candidates.append(self._candidate(plan, region, record, now))
            if len(candidates) == UPSTREAMS_PER_KEY:
                break
        chosen = choose_for_key(candidates, is_spilled)
        if chosen is None:
            return None
        record = upstreams.records[chosen.instance]
        if chosen.instance in outliers:
            record.outlier_state.record_trial(now)
            reason = ChoiceReason.TRIAL
        elif self._table.backoffs.is_awaiting_trial(record.registration.incarnation, now):
            reason = ChoiceReason.RETURN
        elif is_spilled:
            reason = ChoiceReason.OTHER_REGION
        else:
            reason = ChoiceReason.HOME if chosen is candidates[0] else ChoiceReason.RELIEF
        return self._describe(plan, region, record, reason, chosen, skipped, now)

    def _count_skipped(self, record: UpstreamRecord, now: float, skipped: SkippedUpstreams) -> None:
        """Count an unavailable upstream by what it waits for."""
        incarnation = record.registration.incarnation
        limiter = self._table.limits.rate_limiter
        skipped.in_backoff += self._table.backoffs.remaining_s(incarnation, now) > 0
        skipped.at_limit += limiter.wait(incarnation, now) > 0

    def _needs_whole_body(
        self, context: RequestContext, record: UpstreamRecord, now: float
    ) -> bool:
        """Return whether an upstream is only to get requests that can be sent again elsewhere.

        Its first request after a backoff may be refused, and a streamed body is then lost.
        """
        return context.request.is_streamed and self._table.backoffs.is_awaiting_trial(
            record.registration.incarnation, now
        )

    def _describe(
        self,
        plan: ServicePlan,
        region: str,
        record: UpstreamRecord,
        reason: ChoiceReason,
        chosen: Candidate,
        skipped: SkippedUpstreams,
        now: float,
    ) -> Choice:
        """Return a choice with the data that it is based on."""
        incarnation = record.registration.incarnation
        limits = self._table.limits
        return Choice(
            record,
            region,
            reason,
            chosen.in_flight,
            now - record.reported_at,
            now - self._view.last_contact_at,
            plan.local_share,
            self._table.backoffs.remaining_s(incarnation, now),
            skipped,
            limits.named.rate(incarnation),
            limits.named.age(incarnation, now),
            limits.rate_limiter.part(incarnation, now),
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
