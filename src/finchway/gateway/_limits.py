"""The rate limits that upstreams name, and this gateway's share of each."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import trio

from finchway.feed import ClusterView
from finchway.gateway._pushback import MAX_LOGGED_CHARS
from finchway.gateway._record import UpstreamRecord
from finchway.observe import DecisionLog, LimitTotals, StateChanged
from finchway.policy import part_of_limit
from finchway.pushback import MAX_LIMITS, LimitReport, LimitReports, Part, Pushback, RateLimiter


class LimitTracker:
    """Tracks the limits that upstreams name, and enforces one gateway's share of each.

    `region_of` returns the region of an incarnation. Gateways exchange limits through the replicas:
    `reports_to_send` returns those to send, `merge` applies those received.
    """

    def __init__(
        self,
        name: str,
        view: ClusterView,
        region_of: Callable[[str], str],
        decisions: DecisionLog,
    ) -> None:
        self._name = name
        self._view = view
        self._region_of = region_of
        self._decisions = decisions
        self._named = LimitReports()
        self._rate_limiter = RateLimiter(self._named, random.Random(), self._part_of)
        self._parts: dict[str, tuple[float, Part]] = {}
        self._parts_version = -1
        self._totals: dict[str, LimitTotals] = {}
        self._on_lowered: Callable[[], None] = lambda: None

    @property
    def named(self) -> LimitReports:
        """The limits that upstreams have named."""
        return self._named

    @property
    def rate_limiter(self) -> RateLimiter:
        """The requests that this gateway may send to upstreams with a limit."""
        return self._rate_limiter

    def on_lowered(self, callback: Callable[[], None]) -> None:
        """Set the callback for answers that name a new or a lower limit."""
        self._on_lowered = callback

    def record(self, incarnation: str, pushback: Pushback, sent_at: float, now: float) -> None:
        """Apply the limit in an answer to a request sent at `sent_at`, unless unreadable."""
        before = self._named.rate(incarnation)
        if pushback.invalid_limit is not None:
            self._log(
                incarnation, "unreadable", f"its limit: {pushback.invalid_limit[:MAX_LOGGED_CHARS]}"
            )
            if pushback.limit is None:
                return
        if not self._named.record(incarnation, pushback.limit, sent_at, now):
            return
        self._log_limit(incarnation, pushback.limit, "its answer")
        if pushback.limit is not None and (before is None or pushback.limit < before):
            self._on_lowered()

    def merge(self, limits: list[LimitReport]) -> None:
        """Apply the limits that upstreams have named to other gateways."""
        now = trio.current_time()
        for named in limits:
            if self._named.merge(named, now):
                self._log_limit(named.incarnation, named.rate, "control")

    def reports_to_send(self) -> list[LimitReport]:
        """Return the limits recently received from upstreams, for other gateways."""
        return self._named.reports_to_send(trio.current_time())

    def totals(self, records: Iterable[UpstreamRecord], now: float) -> dict[str, LimitTotals]:
        """Return the sums of the named limits and of this gateway's shares by service.

        A service that once had such an upstream remains listed with zeros.
        """
        for totals in self._totals.values():
            totals.upstreams, totals.named, totals.part = 0, 0.0, 0.0
        for record in records:
            incarnation = record.registration.incarnation
            limit, part = self._named.rate(incarnation), self._rate_limiter.part(incarnation, now)
            if limit is None or part is None:
                continue
            totals = self._totals.setdefault(record.registration.service, LimitTotals())
            totals.upstreams += 1
            totals.named += limit
            totals.part += part.rate
        return self._totals

    def _part_of(self, incarnation: str, limit: float, now: float) -> Part:
        """Return this gateway's share of a limit, cached until the set of gateways changes."""
        peers = self._view.peer_gateways
        regions = peers.regions(now)
        if peers.changes != self._parts_version or len(self._parts) >= MAX_LIMITS:
            self._parts_version = peers.changes
            self._parts = {}
        cached = self._parts.get(incarnation)
        if cached is not None and cached[0] == limit:
            return cached[1]
        region = self._region_of(incarnation)
        in_region = [name for name, where in regions.items() if where == region]
        part = part_of_limit(self._name, incarnation, limit, in_region, regions)
        self._parts[incarnation] = (limit, part)
        return part

    def _log_limit(self, incarnation: str, rate: float | None, source: str) -> None:
        if rate is None:
            self._log(incarnation, "names no limit any more", source)
        else:
            self._log(incarnation, "names a limit", f"{source}: {rate:g} a second")

    def _log(self, incarnation: str, now: str, source: str) -> None:
        self._decisions.write(
            StateChanged(subject=f"upstream/{incarnation}", now=now, source=source)
        )
