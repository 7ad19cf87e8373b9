"""Selects the upstream for an attempt among those of the regions that may serve the request."""

from __future__ import annotations

import math
from collections.abc import Iterator

from msgspec import Struct, field

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


class RegionCandidates(Struct):
    """The upstreams of one region that may get an attempt, in the key's order of preference.

    `outliers` names those among them that answer worse than their peers and are tried again.
    """

    ordered: list[Candidate] = field(default_factory=list)
    outliers: set[str] = field(default_factory=set)

    @property
    def has_regular(self) -> bool:
        """Whether any of them is not an outlier."""
        return len(self.ordered) > len(self.outliers)


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
            candidates = self._candidates(context, plan, region, regions[region], now, skipped)
            chosen = choose_for_key(candidates.ordered, is_spilled)
            if chosen is not None:
                record = regions[region].records[chosen.instance]
                reason = self._reason(record, chosen, candidates, is_spilled, now)
                return self._describe(plan, region, record, reason, chosen, skipped, now)
            if not is_spilled and candidates.has_regular:
                # The region is only full, and the spread moves requests away gradually. Sending
                # the excess elsewhere at once would bring its keys to upstreams that are cold for
                # them.
                return None
        return self._choose_last_resort(context, plan, order, regions, skipped, now)

    def refusal(self, plan: ServicePlan, regions: dict[str, RegionUpstreams], now: float) -> str:
        """Return why there is no upstream for an attempt."""
        if self._table.reach.is_cut_off:
            return "no upstream can be reached from this gateway"
        outliers = plan.outliers(now)
        records = list(_records_of(regions))
        available = [record for record in records if self._table.available_in(record, now) <= 0]
        if any(record.registration.instance not in outliers for record in available):
            return "all upstreams for the key are full or resting"
        if available:
            return "the upstreams that do not rest fail, are full or answer too slowly"
        if all(self._is_in_backoff(record, now) for record in records):
            return "all upstreams have asked for rest"
        return "all upstreams rest or are at the limits that they have named"

    def available_in(
        self, plan: ServicePlan, regions: dict[str, RegionUpstreams], now: float
    ) -> float:
        """Return the seconds until one of the upstreams may get a request; 0 if one may now."""
        if not regions:
            return 0.0
        outliers = plan.outliers(now)
        least = float("inf")
        for record in _records_of(regions):
            wait = self._table.available_in(record, now)
            if record.registration.instance in outliers and math.isinf(record.answer_s):
                wait = max(wait, record.outlier_state.trial_in(now))
            least = min(least, wait)
            if least <= 0:
                break
        return least

    def _choose_last_resort(
        self,
        context: RequestContext,
        plan: ServicePlan,
        order: list[str],
        regions: dict[str, RegionUpstreams],
        skipped: SkippedUpstreams,
        now: float,
    ) -> Choice | None:
        """Return an outlier that still answers in time, since a slow answer beats none.

        Outliers that fail or are silent get only their trial requests, so that callers are not
        held for them.
        """
        outliers = plan.outliers(now)
        patience_s = plan.estimate.late_after(context.route.target_latency)
        for region in order:
            records = regions[region].records
            names = [
                name
                for name in plan.upstreams_for(context, region, regions[region].names)
                if name in outliers
                and name not in context.tried
                and records[name].answers_by(context.deadline, patience_s, now)
                and self._may_send(context, records[name], now)
            ]
            candidates = [
                self._candidate(plan, region, records[name], now)
                for name in names[:UPSTREAMS_PER_KEY]
            ]
            chosen = choose_for_key(candidates, spilled=region != order[0])
            if chosen is not None:
                reason = ChoiceReason.LAST_RESORT
                record = records[chosen.instance]
                return self._describe(plan, region, record, reason, chosen, skipped, now)
        return None

    def _candidates(
        self,
        context: RequestContext,
        plan: ServicePlan,
        region: str,
        upstreams: RegionUpstreams,
        now: float,
        skipped: SkippedUpstreams,
    ) -> RegionCandidates:
        """Return the first upstreams of a region in a key's order that may get an attempt now."""
        outliers = plan.outliers(now)
        found = RegionCandidates()
        for name in plan.upstreams_for(context, region, upstreams.names):
            if name in context.tried:
                continue
            record = upstreams.records[name]
            if not self._may_send(context, record, now):
                self._count_skipped(record, now, skipped)
                continue
            if name in outliers and not record.outlier_state.may_try(now):
                skipped.outliers += 1
                continue
            if name in outliers:
                found.outliers.add(name)
            found.ordered.append(self._candidate(plan, region, record, now))
            if len(found.ordered) == UPSTREAMS_PER_KEY:
                break
        return found

    def _reason(
        self,
        record: UpstreamRecord,
        chosen: Candidate,
        candidates: RegionCandidates,
        is_spilled: bool,
        now: float,
    ) -> ChoiceReason:
        """Return why a candidate was chosen, and record that it is a trial of an outlier."""
        if chosen.instance in candidates.outliers:
            record.outlier_state.record_trial(now)
            return ChoiceReason.TRIAL
        if self._table.backoffs.is_awaiting_trial(record.registration.incarnation, now):
            return ChoiceReason.RETURN
        if is_spilled:
            return ChoiceReason.OTHER_REGION
        return ChoiceReason.HOME if chosen is candidates.ordered[0] else ChoiceReason.RELIEF

    def _may_send(self, context: RequestContext, record: UpstreamRecord, now: float) -> bool:
        """Return whether backoffs and limits admit a request to an upstream now.

        A streamed body cannot be sent again, so it does not go to an upstream whose first request
        after a backoff may be refused.
        """
        if not self._table.is_available(record, now):
            return False
        return not (
            context.request.is_streamed
            and self._table.backoffs.is_awaiting_trial(record.registration.incarnation, now)
        )

    def _is_in_backoff(self, record: UpstreamRecord, now: float) -> bool:
        """Return whether an upstream is in a backoff that it has requested."""
        return self._table.backoffs.remaining_s(record.registration.incarnation, now) > 0

    def _count_skipped(self, record: UpstreamRecord, now: float, skipped: SkippedUpstreams) -> None:
        """Count an unavailable upstream by what it waits for."""
        incarnation = record.registration.incarnation
        limiter = self._table.limits.rate_limiter
        skipped.in_backoff += self._table.backoffs.remaining_s(incarnation, now) > 0
        skipped.at_limit += limiter.wait(incarnation, now) > 0

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


def _records_of(regions: dict[str, RegionUpstreams]) -> Iterator[UpstreamRecord]:
    """Yield the records of all regions."""
    for upstreams in regions.values():
        yield from upstreams.records.values()
