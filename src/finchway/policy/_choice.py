"""Upstream selection by power of two choices over this entry's own in-flight requests.

Reported load is not used for the choice, since reports may lag or be wrong, and a healthy report
overrides neither failed requests nor a leaving mark. The fraction of ejected upstreams is bounded,
so that a wrong signal cannot take a whole region out of service. Where no other upstream may take a
request, ejected ones get trial requests, and the first success ends the ejection.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from msgspec import Struct

from finchway.pushback import BackoffTable, LimitReport, LimitReports, Part, RateLimiter

FAILURES_TO_EJECT = 3
EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
EJECTED_FRACTION = 0.5
# Interval of trial requests to an ejected upstream, since each may hold its caller for long.
EJECTION_TRIAL_INTERVAL_S = 1.0
REFUSAL_BACKOFF_S = 0.05
MAX_REFUSAL_BACKOFF_S = 0.5


class LoadReport(Struct, frozen=True):
    """Load reported by an upstream: busy slots plus queued requests, divided by its slots."""

    load: float
    at: float


class UpstreamState(Struct):
    """The state of one upstream as seen by one entry."""

    address: str
    since: float
    ramp_s: float = 0.0
    in_flight: int = 0
    report: LoadReport | None = None
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    next_trial_at: float = float("-inf")
    on_trial: bool = False
    refusals: int = 0
    backoff_until: float = float("-inf")
    leaving: bool = False
    drained: bool = False
    incarnation: str = ""

    def ramp(self, now: float) -> float:
        """Return the fraction of its limit that applies to an upstream during slow start."""
        if self.ramp_s <= 0:
            return 1.0
        return min(1.0, max(0.0, (now - self.since) / self.ramp_s))


class Directory:
    """The upstreams of one entry, by address."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._backoffs = BackoffTable(rng)
        self._limits = LimitReports()
        self._divide_limit: Callable[[str, float], Part] = lambda address, limit: Part(limit)
        self._rate_limiter = RateLimiter(
            self._limits, rng, lambda key, limit, now: self._divide_limit(_address_of(key), limit)
        )
        self._states: dict[str, UpstreamState] = {}

    def __iter__(self):
        return iter(self._states.values())

    def get(self, address: str) -> UpstreamState | None:
        """Return the state of an upstream, or None if it is not configured."""
        return self._states.get(address)

    def sync(self, ramps: dict[str, float], now: float, warm: bool) -> list[str]:
        """Apply the configured upstreams with their ramp times; return the removed ones.

        When the process starts, upstreams count as warm, since other entries already use them.
        """
        dropped = [a for a in self._states if a not in ramps and not self._states[a].in_flight]
        for address in dropped:
            del self._states[address]
        for address, ramp_s in ramps.items():
            since = float("-inf") if warm else now
            state = self._states.setdefault(address, UpstreamState(address, since))
            state.ramp_s = ramp_s
        return dropped

    def record_success(self, address: str) -> None:
        """Record a successful request."""
        state = self._states.get(address)
        if state:
            state.failures = 0
            state.ejections = 0
            state.refusals = 0
            if state.on_trial:
                state.on_trial = False
                state.ejected_until = float("-inf")

    def record_refusal(self, address: str, now: float) -> None:
        """Back off from an upstream that refused a request without running it.

        It responds fast and has few requests in flight, so it would otherwise attract more traffic.
        """
        state = self._states.get(address)
        if state:
            state.backoff_until = now + min(
                MAX_REFUSAL_BACKOFF_S, REFUSAL_BACKOFF_S * 2**state.refusals
            )
            state.refusals += 1

    @property
    def limits(self) -> LimitReports:
        """The rate limits announced by upstreams, by incarnation."""
        return self._limits

    def set_limit_division(self, part_of: Callable[[str, float], Part]) -> None:
        """Set the function that returns this entry's part of an upstream's limit."""
        self._divide_limit = part_of

    def record_limit(self, address: str, limit: float | None, sent_at: float, now: float) -> bool:
        """Record the limit in the response to a request sent at `sent_at`; True if it changed."""
        return self._limits.record(self._incarnation_key(address), limit, sent_at, now)

    def merge_limits(self, reports: list[LimitReport], now: float) -> None:
        """Merge limits that upstreams announced to other entries."""
        for named in reports:
            self._limits.merge(named, now)

    def part(self, address: str, now: float) -> Part | None:
        """Return this entry's part of an upstream's limit; None if it has announced none."""
        return self._rate_limiter.part(self._incarnation_key(address), now)

    def available_in_s(self, address: str, now: float) -> float:
        """Return the seconds until an upstream may get a request, or a trial if it is ejected.

        Infinity for an upstream that is leaving or drained.
        """
        state = self._states.get(address)
        if state is None or state.leaving or state.drained:
            return float("inf")
        ejection_left = min(state.ejected_until, state.next_trial_at) - now
        return max(
            self.backoff_left_s(address, now),
            self._rate_limiter.wait(self._incarnation_key(address), now),
            ejection_left,
        )

    def take_token(self, address: str, now: float) -> bool:
        """Count a request against its upstream's limit; False if it has announced none."""
        return self._rate_limiter.take(self._incarnation_key(address), now)

    def return_token(self, address: str) -> None:
        """Return the token of a request that was counted but not sent."""
        self._rate_limiter.return_token(self._incarnation_key(address))

    def is_below_limit(self, address: str, now: float) -> bool:
        """Return whether an upstream's limit allows one more request from this entry."""
        return self._rate_limiter.may_send(self._incarnation_key(address), now)

    def record_backoff(self, address: str, seconds: float, now: float) -> None:
        """Record that an upstream requested a backoff from this entry."""
        self._backoffs.start(self._incarnation_key(address), seconds, now)

    def backoff_left_s(self, address: str, now: float) -> float:
        """Return the seconds left of an upstream's requested backoff; 0 if there is none."""
        return self._backoffs.remaining_s(self._incarnation_key(address), now)

    def has_backoffs(self, now: float) -> bool:
        """Return whether any upstream is in a backoff that it requested."""
        return bool(self._backoffs.backed_off(now))

    def is_ejected(self, address: str, now: float) -> bool:
        """Return whether an upstream is ejected."""
        state = self._states.get(address)
        return state is not None and now < state.ejected_until

    def has_ejected(self, now: float) -> bool:
        """Return whether any upstream is ejected."""
        return any(now < state.ejected_until for state in self._states.values())

    def begin(self, address: str, now: float) -> bool:
        """Record that a request is sent; return whether it is the trial after a backoff."""
        if self.is_ejected(address, now):
            state = self._states[address]
            state.on_trial = True
            state.next_trial_at = now + EJECTION_TRIAL_INTERVAL_S
        return self._backoffs.begin(self._incarnation_key(address), now)

    def end_trial(self, address: str, was_accepted: bool) -> None:
        """Record the result of the trial request after a backoff."""
        self._backoffs.end_trial(self._incarnation_key(address), was_accepted)

    def record_failure(self, address: str, peers: list[str], now: float) -> bool:
        """Record a failed request; True if this ejects the upstream.

        `peers` are the upstreams of the same pool; at most half of them are ejected at once.
        """
        state = self._states.get(address)
        if state is None:
            return False
        state.failures += 1
        if state.failures < FAILURES_TO_EJECT or now < state.ejected_until:
            return False
        ejected = sum(
            1 for peer in peers if peer in self._states and now < self._states[peer].ejected_until
        )
        if ejected + 1 > len(peers) * EJECTED_FRACTION:
            return False
        state.ejected_until = now + min(MAX_EJECTION_S, EJECTION_S * 2**state.ejections)
        state.ejections += 1
        state.failures = FAILURES_TO_EJECT - 1
        return True

    def record_report(self, address: str, report: LoadReport) -> None:
        """Store the latest load report of an upstream."""
        state = self._states.get(address)
        if state:
            state.report = report

    def mark_leaving(self, address: str) -> bool:
        """Mark the current incarnation of an upstream as leaving; True if it was not marked."""
        state = self._states.get(address)
        if state is None or state.leaving:
            return False
        state.leaving = True
        return True

    def set_drained(self, addresses: set[str]) -> None:
        """Replace the set of upstreams that are covered by drains."""
        for address, state in self._states.items():
            state.drained = address in addresses

    def record_incarnation(self, address: str, incarnation: str, now: float) -> bool:
        """Record the incarnation that responded; a new one resets state and starts cold."""
        state = self._states.get(address)
        if state is None or not incarnation or incarnation == state.incarnation:
            return False
        first_seen = state.incarnation == ""
        state.incarnation = incarnation
        if first_seen:
            return False
        state.leaving = False
        state.failures = state.ejections = 0
        state.ejected_until = state.next_trial_at = float("-inf")
        state.on_trial = False
        state.report = None
        state.since = now
        return True

    def choose(self, limits: dict[str, int], now: float) -> str | None:
        """Choose an upstream with a free slot among `limits`, or return None.

        Draws two at random, weighted by free slots, and returns the less loaded of them.
        """
        free = {a: self._free_slots(a, limit, now) for a, limit in limits.items()}
        usable = {address: count for address, count in free.items() if count > 0}
        if not usable:
            return None
        drawn = self._rng.choices(list(usable), weights=list(usable.values()), k=2)
        return min(drawn, key=lambda address: self._score(address, limits[address], now))

    def choose_trial(self, limits: dict[str, int], now: float) -> str | None:
        """Choose an ejected upstream among `limits` for a trial request, or return None."""
        due = [
            address
            for address, limit in limits.items()
            if self.is_ejected(address, now)
            and now >= self._states[address].next_trial_at
            and self._states[address].in_flight < limit
            and self._may_send(address, now)
        ]
        return min(due, key=lambda address: self._states[address].next_trial_at, default=None)

    def is_usable(self, address: str, now: float) -> bool:
        """Return whether an upstream may be sent a request now.

        It may not while it is leaving, drained, ejected, backed off, or at its rate limit.
        """
        return not self.is_ejected(address, now) and self._may_send(address, now)

    def _may_send(self, address: str, now: float) -> bool:
        """Return whether all but an ejection allow a request to an upstream."""
        state = self._states.get(address)
        if state is None or state.leaving or state.drained or now < state.backoff_until:
            return False
        key = self._incarnation_key(address)
        return self._backoffs.may_send(key, now) and self._rate_limiter.may_send(key, now)

    def _incarnation_key(self, address: str) -> str:
        """Return `address@incarnation`, with the incarnation last seen in a response."""
        state = self._states.get(address)
        return f"{address}@{state.incarnation}" if state is not None else address

    def _free_slots(self, address: str, limit: int, now: float) -> int:
        if not self.is_usable(address, now):
            return 0
        state = self._states[address]
        cold_limit = max(1, int(limit * state.ramp(now))) if limit else 0
        return cold_limit - state.in_flight

    def _score(self, address: str, limit: int, now: float) -> float:
        return self._states[address].in_flight / max(1, limit)


def _address_of(key: str) -> str:
    """Return the address of an incarnation key."""
    return key.partition("@")[0]
