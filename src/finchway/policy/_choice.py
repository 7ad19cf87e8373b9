"""Which upstream serves a request: the one with fewer own requests of two drawn at random.

Reported load is no part of the choice: with one or two slots at an upstream it did not help, and
a report lags or misleads. Good health overrides neither a failed request nor a leaving mark.
Ejection is bounded, so that a misleading signal cannot empty a region.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from msgspec import Struct

from finchway.pushback import Allowances, LimitWords, NamedLimit, Part, RestBook

FAILURES_TO_EJECT = 3
EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
EJECTED_FRACTION = 0.5
REST_S = 0.05
MAX_REST_S = 0.5


class LoadReport(Struct, frozen=True):
    """What an upstream's load endpoint said: busy slots and waiting requests over its slots."""

    load: float
    at: float


class UpstreamState(Struct):
    """What one entry knows of one upstream."""

    address: str
    since: float
    ramp_s: float = 0.0
    in_flight: int = 0
    report: LoadReport | None = None
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    refusals: int = 0
    rests_until: float = float("-inf")
    leaving: bool = False
    drained: bool = False
    incarnation: str = ""

    def ramp(self, now: float) -> float:
        """Return the part of its limit that an upstream may be given while it is cold."""
        if self.ramp_s <= 0:
            return 1.0
        return min(1.0, max(0.0, (now - self.since) / self.ramp_s))


class Directory:
    """The upstreams that one entry knows, by address."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._rests = RestBook(rng)
        self._limits = LimitWords()
        self._part_of: Callable[[str, float], Part] = lambda address, limit: Part(limit)
        self._allowances = Allowances(
            self._limits, rng, lambda life, limit, now: self._part_of(_address_of(life), limit)
        )
        self._states: dict[str, UpstreamState] = {}

    def __iter__(self):
        return iter(self._states.values())

    def get(self, address: str) -> UpstreamState | None:
        """Return the state of an upstream, if it is known."""
        return self._states.get(address)

    def sync(self, ramps: dict[str, float], now: float, warm: bool) -> list[str]:
        """Take over the configured upstreams with their ramp times; returns those dropped.

        At the start of a process the upstreams count as warm, since others use them already.
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
        """Note that a request to an upstream succeeded."""
        state = self._states.get(address)
        if state:
            state.failures = 0
            state.ejections = 0
            state.refusals = 0

    def record_refusal(self, address: str, now: float) -> None:
        """Let an upstream rest that refused a request before running it.

        It answers fast and looks idle, so without a rest it would draw ever more requests.
        """
        state = self._states.get(address)
        if state:
            state.rests_until = now + min(MAX_REST_S, REST_S * 2**state.refusals)
            state.refusals += 1

    @property
    def limits(self) -> LimitWords:
        """The limits that upstreams have named, by life."""
        return self._limits

    def divide_limits(self, part_of: Callable[[str, float], Part]) -> None:
        """Have each upstream's limit divided, by its address and what it names."""
        self._part_of = part_of

    def record_limit(self, address: str, limit: float | None, sent_at: float, now: float) -> bool:
        """Take in the limit that an answer to a request of `sent_at` names; True if it is news."""
        return self._limits.hear(self._life(address), limit, sent_at, now)

    def learn_limits(self, words: list[NamedLimit], now: float) -> None:
        """Take in the limits that upstreams have told other entries."""
        for named in words:
            self._limits.learn(named, now)

    def part(self, address: str, now: float) -> Part | None:
        """Return this entry's part of what an upstream takes; None if it names no limit."""
        return self._allowances.part(self._life(address), now)

    def wanted_in(self, address: str, now: float) -> float:
        """Return the seconds until an upstream that rests, or is at its limit, wants a request."""
        return max(self.rest_left(address, now), self._allowances.wait(self._life(address), now))

    def take(self, address: str, now: float) -> bool:
        """Count a request against its upstream's limit; False if it names none."""
        return self._allowances.take(self._life(address), now)

    def give_back(self, address: str) -> None:
        """Take in that a request which was counted has not been sent."""
        self._allowances.give_back(self._life(address))

    def may_take(self, address: str, now: float) -> bool:
        """Tell whether an upstream's limit leaves room for one more request from this entry."""
        return self._allowances.may_send(self._life(address), now)

    def ask_rest(self, address: str, seconds: float, now: float) -> None:
        """Take in that an upstream wants nothing from this entry for some time."""
        self._rests.ask(self._life(address), seconds, now)

    def rest_left(self, address: str, now: float) -> float:
        """Return the seconds until an upstream that asked for rest is tried again; else 0."""
        return self._rests.left(self._life(address), now)

    def has_resting(self, now: float) -> bool:
        """Tell whether any upstream rests since it has asked for it."""
        return bool(self._rests.resting(now))

    def begin(self, address: str, now: float) -> bool:
        """Count a request that is being sent; tells whether it is the first after a rest."""
        return self._rests.begin(self._life(address), now)

    def end_trial(self, address: str, was_taken: bool) -> None:
        """Take in how the first request after a rest ended."""
        self._rests.end_trial(self._life(address), was_taken)

    def record_failure(self, address: str, peers: list[str], now: float) -> bool:
        """Note a failed request; True if the upstream is ejected now.

        `peers` are the upstreams of the same pool; no more than half of them are ejected.
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
        """Take in a load report."""
        state = self._states.get(address)
        if state:
            state.report = report

    def mark_leaving(self, address: str) -> bool:
        """Mark an upstream as leaving, for as long as its incarnation lives; True if it is news."""
        state = self._states.get(address)
        if state is None or state.leaving:
            return False
        state.leaving = True
        return True

    def set_drained(self, addresses: set[str]) -> None:
        """Take over which upstreams the operators' drains cover; ending a drain clears it."""
        for address, state in self._states.items():
            state.drained = address in addresses

    def record_incarnation(self, address: str, incarnation: str, now: float) -> bool:
        """Note which life of the upstream answered; a new one starts cold and unmarked."""
        state = self._states.get(address)
        if state is None or not incarnation or incarnation == state.incarnation:
            return False
        first_seen = state.incarnation == ""
        state.incarnation = incarnation
        if first_seen:
            return False
        state.leaving = False
        state.failures = state.ejections = 0
        state.ejected_until = float("-inf")
        state.report = None
        state.since = now
        return True

    def choose(self, limits: dict[str, int], now: float) -> str | None:
        """Pick an upstream with a free slot among `limits`, or None.

        Two are drawn at random in proportion to their free slots; the less loaded one is taken.
        """
        free = {a: self._free(a, limit, now) for a, limit in limits.items()}
        usable = {address: count for address, count in free.items() if count > 0}
        if not usable:
            return None
        drawn = self._rng.choices(list(usable), weights=list(usable.values()), k=2)
        return min(drawn, key=lambda address: self._score(address, limits[address], now))

    def is_usable(self, address: str, now: float) -> bool:
        """Tell whether an upstream is known and may get a request now.

        It may not while it leaves, is ejected, rests, or is at the limit that it names.
        """
        state = self._states.get(address)
        if state is None or state.leaving or state.drained:
            return False
        if now < max(state.ejected_until, state.rests_until):
            return False
        life = self._life(address)
        return self._rests.may_send(life, now) and self._allowances.may_send(life, now)

    def _life(self, address: str) -> str:
        """Return the name of the upstream's present life, as far as its answers tell it."""
        state = self._states.get(address)
        return f"{address}@{state.incarnation}" if state is not None else address

    def _free(self, address: str, limit: int, now: float) -> int:
        if not self.is_usable(address, now):
            return 0
        state = self._states[address]
        cold_limit = max(1, int(limit * state.ramp(now))) if limit else 0
        return cold_limit - state.in_flight

    def _score(self, address: str, limit: int, now: float) -> float:
        return self._states[address].in_flight / max(1, limit)


def _address_of(life: str) -> str:
    """Return the address in the name of a life."""
    return life.partition("@")[0]
