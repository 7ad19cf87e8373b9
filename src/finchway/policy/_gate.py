"""The gate of one entry: it lets requests through to upstreams within the entry's slots.

A request is granted a slot at once, waits by priority, or is refused with the time after which to
come back. All services of an entry share one gate, each with a queue of its own.
"""

from __future__ import annotations

from msgspec import Struct

from finchway.policy._admission import (
    Refusal,
    ServiceRate,
    Ticket,
    WaitingQueue,
    retry_after,
)
from finchway.policy._choice import Directory
from finchway.policy._holder import Demand, Holder
from finchway.policy._shares import ShareKey, Slots

DEADLINE_REASON = "the deadline cannot be met"
FULL_REASON = "the queue is full of better priorities"
# A request that would only spill into a region asks for what the region's own ranks leave over.
SPILL_RANKS = 1_000
NO_SLOT_REASON = "this entry has no slots of the service and cannot borrow any now"
NO_REGION_REASON = "no region serves this request now"
LIMIT_REASON = "what all upstreams take comes too late for the deadline"
RESTING_REASON = "all upstreams have asked for rest beyond the deadline"


class Grant(Struct, frozen=True):
    """A slot of an upstream, held from `at` until it is released.

    `is_trial` tells that its request is the first one after a rest of the upstream, and
    `is_counted` that it was counted against the limit that the upstream names.
    """

    service: str
    region: str
    address: str
    rank: int
    at: float
    is_trial: bool = False
    is_counted: bool = False


Decision = Grant | Refusal
Decided = list[tuple[Ticket, Decision]]


class _Lane:
    """One service's queue and rate at this entry."""

    __slots__ = ("in_flight_by_rank", "queue", "rate")

    def __init__(self, limit: int) -> None:
        self.queue = WaitingQueue(limit)
        self.rate = ServiceRate()
        self.in_flight_by_rank: dict[tuple[str, int], int] = {}


class Gate:
    """Admission, capacity shares and upstream choice put together for one entry."""

    def __init__(self, holder: Holder, directory: Directory) -> None:
        self._holder = holder
        self._directory = directory
        self._lanes: dict[str, _Lane] = {}
        self._held: dict[ShareKey, Slots] = {}
        self._in_flight = 0

    @property
    def directory(self) -> Directory:
        """What is known of the upstreams."""
        return self._directory

    @property
    def in_flight(self) -> int:
        """How many slots are held."""
        return self._in_flight

    def set_limit(self, service: str, queue_limit: int) -> None:
        """Set how many requests of a service may wait."""
        self._lane(service, queue_limit).queue.limit = queue_limit

    def waiting(self, service: str) -> int:
        """Return how many requests of a service wait."""
        lane = self._lanes.get(service)
        return len(lane.queue) if lane else 0

    def mean_hold_s(self, service: str) -> float:
        """Return how long a request of a service holds its slot, in seconds."""
        return self._lane(service).rate.mean_s

    def offer(self, service: str, ticket: Ticket, now: float) -> tuple[Decision | None, Decided]:
        """Ask for a slot: a grant, a refusal, or None while the ticket waits.

        The second part tells which other tickets had to make room.
        """
        lane = self._lane(service)
        if not ticket.regions:
            return Refusal(NO_REGION_REASON, 1.0), []
        ahead = lane.queue.ahead_of(ticket)
        if ahead == 0:
            grant = self._try(service, ticket, now, set())
            if grant is not None:
                return grant, []
        slots = self._usable_slots(service, ticket.regions, now)
        wait_s = lane.rate.wait_s(ahead, slots)
        if not slots and not self._has_prospect(service, ticket.regions, now):
            return Refusal(NO_SLOT_REASON, 1.0), []
        limited = self._refuse_limited(service, ticket, ahead, now)
        if limited is not None:
            return limited, []
        resting = self._refuse_resting(service, ticket, now) if not slots else None
        if resting is not None:
            return resting, []
        if slots and now + wait_s + lane.rate.mean_s > ticket.deadline:
            return Refusal(DEADLINE_REASON, retry_after(wait_s)), []
        evicted = lane.queue.push(ticket)
        if evicted is None:
            return None, []
        refusal = Refusal(FULL_REASON, retry_after(lane.rate.wait_s(len(lane.queue), slots)))
        if evicted is ticket:
            return refusal, []
        return None, [(evicted, refusal)]

    def release(self, grant: Grant, now: float, succeeded: bool, was_sent: bool = True) -> None:
        """Give a slot back; a success tells how long slots are held."""
        if grant.is_counted and not was_sent:
            self._directory.give_back(grant.address)
        lane = self._lane(grant.service)
        self._in_flight -= 1
        lane.in_flight_by_rank[grant.region, grant.rank] -= 1
        self._held[grant.service, grant.region][grant.address] -= 1
        state = self._directory.get(grant.address)
        if state is not None:
            state.in_flight -= 1
        if grant.is_trial:
            self._directory.end_trial(grant.address, succeeded)
        if succeeded:
            lane.rate.record(now - grant.at)

    def pump(self, now: float, service: str | None = None) -> Decided:
        """Serve and expire waiting tickets; returns those that are decided."""
        decided: Decided = []
        for name, lane in self._lanes.items():
            if service not in (None, name) or not len(lane.queue):
                continue
            for late in lane.queue.expire(now):
                wait_s = lane.rate.wait_s(len(lane.queue), 1)
                decided.append((late, Refusal(DEADLINE_REASON, retry_after(wait_s))))
            decided += self._serve(name, lane, now)
            if self._directory.has_resting(now):
                decided += self._expire_resting(name, lane, now)
        return decided

    def withdraw(self, service: str, ticket: Ticket) -> bool:
        """Take a ticket back whose caller has gone; False if it was decided already."""
        return self._lane(service).queue.remove(ticket)

    def back_in(
        self, service: str, regions: tuple[str, ...], now: float, excluded: frozenset[str]
    ) -> float:
        """Return the seconds until an upstream wants requests again; 0 if one does now."""
        lefts = [
            self._directory.wanted_in(address, now)
            for region in regions
            for address in self._holder.limits((service, region), now)
            if address not in excluded
        ]
        return min(lefts, default=0.0)

    def demands(self, keys: list[ShareKey]) -> list[Demand]:
        """Return what this entry wants of each share; only those it wants anything of."""
        demands = []
        for service, region in keys:
            demand = self._demand(service, region)
            if demand.wanted or demand.used:
                demands.append(demand)
        return demands

    def held(self, key: ShareKey) -> Slots:
        """Return what is in flight at each of a share's upstreams."""
        return {a: count for a, count in self._held.get(key, {}).items() if count}

    def has_shrunk(self, key: ShareKey, now: float) -> bool:
        """Tell whether what is in flight fits the entry's limits, so that others' may grow."""
        return self._holder.fits(key, self.held(key), now)

    def _demand(self, service: str, region: str) -> Demand:
        lane = self._lane(service)
        wanted: dict[int, int] = {}
        for (held_region, rank), count in lane.in_flight_by_rank.items():
            if held_region == region and count:
                wanted[rank] = wanted.get(rank, 0) + count
        for ticket in lane.queue:
            if region in ticket.regions:
                spilling = SPILL_RANKS if ticket.regions[0] != region else 0
                rank = ticket.rank + spilling
                wanted[rank] = wanted.get(rank, 0) + 1
        key = (service, region)
        used = self._holder.used_beyond_floor(key, self.held(key))
        return Demand(service, region, wanted, used)

    def _lane(self, service: str, limit: int = 64) -> _Lane:
        lane = self._lanes.get(service)
        if lane is None:
            lane = self._lanes[service] = _Lane(limit)
        return lane

    def _serve(self, service: str, lane: _Lane, now: float) -> Decided:
        decided: Decided = []
        exhausted: set[str] = set()
        for ticket in list(lane.queue):
            if all(region in exhausted for region in ticket.regions):
                continue
            grant = self._try(service, ticket, now, exhausted)
            if grant is not None:
                lane.queue.remove(ticket)
                decided.append((ticket, grant))
        return decided

    def _try(self, service: str, ticket: Ticket, now: float, exhausted: set[str]) -> Grant | None:
        for region in ticket.regions:
            if region in exhausted:
                continue
            limits = self._holder.limits((service, region), now)
            if ticket.excluded:
                limits = {a: n for a, n in limits.items() if a not in ticket.excluded}
            address = self._directory.choose(limits, now)
            if address is not None:
                return self._grant(service, region, address, ticket.rank, now)
            if not ticket.excluded:
                exhausted.add(region)
        return None

    def _grant(self, service: str, region: str, address: str, rank: int, now: float) -> Grant:
        lane = self._lane(service)
        self._in_flight += 1
        key = (region, rank)
        lane.in_flight_by_rank[key] = lane.in_flight_by_rank.get(key, 0) + 1
        self._directory.get(address).in_flight += 1
        is_trial = self._directory.begin(address, now)
        held = self._held.setdefault((service, region), {})
        held[address] = held.get(address, 0) + 1
        is_counted = self._directory.take(address, now)
        return Grant(service, region, address, rank, now, is_trial, is_counted)

    def _expire_resting(self, service: str, lane: _Lane, now: float) -> Decided:
        """Refuse the waiting tickets whose upstreams all rest until after their deadlines."""
        decided: Decided = []
        for ticket in list(lane.queue):
            refusal = self._refuse_resting(service, ticket, now)
            if refusal is not None:
                lane.queue.remove(ticket)
                decided.append((ticket, refusal))
        return decided

    def _refuse_resting(self, service: str, ticket: Ticket, now: float) -> Refusal | None:
        """Return a refusal if all upstreams rest until after a ticket's deadline.

        It is known then that waiting is in vain, and when to come back.
        """
        back_in = self.back_in(service, ticket.regions, now, ticket.excluded)
        if back_in <= 0 or now + back_in <= ticket.deadline:
            return None
        return Refusal(RESTING_REASON, retry_after(back_in))

    def _refuse_limited(
        self, service: str, ticket: Ticket, ahead: int, now: float
    ) -> Refusal | None:
        """Return a refusal if the limits of all upstreams have a ticket wait beyond its deadline.

        One that this entry has no part of takes nothing from here, however long a ticket waits.
        """
        addresses = {
            address
            for region in ticket.regions
            for address in self._holder.limits((service, region), now)
            if address not in ticket.excluded
        }
        parts = [self._directory.part(address, now) for address in addresses]
        if not parts or None in parts:
            return None
        rate = sum(part.rate for part in parts)
        back_in = self.back_in(service, ticket.regions, now, ticket.excluded)
        wait_s = back_in + ahead / rate if rate > 0 else back_in
        if rate > 0 and now + wait_s <= ticket.deadline:
            return None
        return Refusal(LIMIT_REASON, retry_after(wait_s))

    def _has_prospect(self, service: str, regions: tuple[str, ...], now: float) -> bool:
        """Tell whether waiting makes sense: slots may be lent, or upstreams only rest."""
        held = any(self._holder.limits((service, region), now) for region in regions)
        return held or self._holder.may_borrow(now)

    def _usable_slots(self, service: str, regions: tuple[str, ...], now: float) -> int:
        return sum(
            count
            for region in regions
            for address, count in self._holder.limits((service, region), now).items()
            if self._directory.is_usable(address, now)
        )
