"""Admission of requests at one entry, within its capacity shares.

A request is granted a slot, queued by priority, or refused with a retry delay. All services of an
entry use one gate, each with its own queue.
"""

from __future__ import annotations

from math import isfinite

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
QUEUE_FULL_REASON = "the queue is full with requests of better priority"
# Added to the rank of requests that would spill into a region, so that local ones go first.
SPILL_RANK_OFFSET = 1_000
NO_SLOT_REASON = "this entry has no slots of the service and cannot borrow any now"
NO_REGION_REASON = "no region serves this request now"
LIMIT_REASON = "all upstreams are at their rate limits until after the deadline"
BACKOFF_REASON = "all upstreams have asked for rest beyond the deadline"
UNAVAILABLE_REASON = (
    "no upstream may take a request before the deadline: all rest, leave or have failed"
)


class Grant(Struct, frozen=True):
    """A slot of an upstream, held from `at` until it is released.

    `is_trial` marks the first request after a backoff of the upstream, `is_counted` a request that
    was counted against the upstream's announced limit.
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


class _ServiceQueue:
    """The queue, slot hold time and requests in flight of one service."""

    __slots__ = ("in_flight_by_rank", "queue", "rate")

    def __init__(self, limit: int) -> None:
        self.queue = WaitingQueue(limit)
        self.rate = ServiceRate()
        self.in_flight_by_rank: dict[tuple[str, int], int] = {}


class Gate:
    """Combines admission, capacity shares and upstream choice for one entry."""

    def __init__(self, holder: Holder, directory: Directory) -> None:
        self._holder = holder
        self._directory = directory
        self._service_queues: dict[str, _ServiceQueue] = {}
        self._in_flight_by_upstream: dict[ShareKey, Slots] = {}
        self._in_flight = 0

    @property
    def directory(self) -> Directory:
        """The state of the upstreams."""
        return self._directory

    @property
    def in_flight(self) -> int:
        """The number of slots in use."""
        return self._in_flight

    def set_limit(self, service: str, queue_limit: int) -> None:
        """Set the queue length limit of a service."""
        self._service_queue(service, queue_limit).queue.limit = queue_limit

    def waiting(self, service: str) -> int:
        """Return the number of queued requests of a service."""
        lane = self._service_queues.get(service)
        return len(lane.queue) if lane else 0

    def mean_hold_s(self, service: str) -> float:
        """Return the mean slot hold time of a service in seconds."""
        return self._service_queue(service).rate.mean_s

    def request_slot(
        self, service: str, ticket: Ticket, now: float
    ) -> tuple[Decision | None, Decided]:
        """Request a slot; return a grant, a refusal, or None if the ticket was queued.

        The second value lists other tickets that were evicted from the queue.
        """
        lane = self._service_queue(service)
        if not ticket.regions:
            return Refusal(NO_REGION_REASON, 1.0), []
        ahead = lane.queue.ahead_of(ticket)
        if ahead == 0:
            grant = self._try_grant(service, ticket, now, set())
            if grant is not None:
                return grant, []
        slots = self._usable_slots(service, ticket.regions, now)
        wait_s = lane.rate.wait_s(ahead, slots)
        if not slots and not self._may_get_slot(service, ticket.regions, now):
            return Refusal(NO_SLOT_REASON, 1.0), []
        rate_limited = self._refuse_if_rate_limited(service, ticket, ahead, now)
        if rate_limited is not None:
            return rate_limited, []
        unavailable = self._refuse_if_unavailable(service, ticket, now) if not slots else None
        if unavailable is not None:
            return unavailable, []
        if slots and now + wait_s + lane.rate.mean_s > ticket.deadline:
            return Refusal(DEADLINE_REASON, retry_after(wait_s)), []
        evicted = lane.queue.push(ticket)
        if evicted is None:
            return None, []
        refusal = Refusal(QUEUE_FULL_REASON, retry_after(lane.rate.wait_s(len(lane.queue), slots)))
        if evicted is ticket:
            return refusal, []
        return None, [(evicted, refusal)]

    def release(self, grant: Grant, now: float, succeeded: bool, was_sent: bool = True) -> None:
        """Release a slot; a success is counted in the mean slot hold time."""
        if grant.is_counted and not was_sent:
            self._directory.return_token(grant.address)
        lane = self._service_queue(grant.service)
        self._in_flight -= 1
        lane.in_flight_by_rank[grant.region, grant.rank] -= 1
        self._in_flight_by_upstream[grant.service, grant.region][grant.address] -= 1
        state = self._directory.get(grant.address)
        if state is not None:
            state.in_flight -= 1
        if grant.is_trial:
            self._directory.end_trial(grant.address, succeeded)
        if succeeded:
            lane.rate.record(now - grant.at)

    def process_queues(self, now: float, service: str | None = None) -> Decided:
        """Serve and expire queued tickets; return those with a decision."""
        decided: Decided = []
        for name, lane in self._service_queues.items():
            if service not in (None, name) or not len(lane.queue):
                continue
            for late in lane.queue.expire(now):
                wait_s = lane.rate.wait_s(len(lane.queue), 1)
                decided.append((late, Refusal(DEADLINE_REASON, retry_after(wait_s))))
            decided += self._serve(name, lane, now)
            if self._directory.has_backoffs(now) or self._directory.has_ejected(now):
                decided += self._refuse_unavailable_tickets(name, lane, now)
        return decided

    def withdraw(self, service: str, ticket: Ticket) -> bool:
        """Remove the ticket of a disconnected caller; False if it was already decided."""
        return self._service_queue(service).queue.remove(ticket)

    def available_in_s(
        self, service: str, regions: tuple[str, ...], now: float, excluded: frozenset[str]
    ) -> float:
        """Return the seconds until any upstream may get a request, or a trial if it is ejected.

        Upstreams that are leaving or drained do not count; 0 if there are no others.
        """
        addresses = self._addresses(service, regions, now, excluded)
        waits = [self._directory.available_in_s(address, now) for address in addresses]
        return min((wait for wait in waits if isfinite(wait)), default=0.0)

    def demands(self, keys: list[ShareKey]) -> list[Demand]:
        """Return this entry's demand for each share, without shares that it has no demand for."""
        demands = []
        for service, region in keys:
            demand = self._demand(service, region)
            if demand.wanted or demand.used:
                demands.append(demand)
        return demands

    def in_flight_by_upstream(self, key: ShareKey) -> Slots:
        """Return the requests in flight at each of a share's upstreams."""
        return {a: count for a, count in self._in_flight_by_upstream.get(key, {}).items() if count}

    def has_shrunk(self, key: ShareKey, now: float) -> bool:
        """Return whether the requests in flight fit the entry's limits, so that others may grow."""
        return self._holder.fits(key, self.in_flight_by_upstream(key), now)

    def _demand(self, service: str, region: str) -> Demand:
        lane = self._service_queue(service)
        wanted: dict[int, int] = {}
        for (held_region, rank), count in lane.in_flight_by_rank.items():
            if held_region == region and count:
                wanted[rank] = wanted.get(rank, 0) + count
        for ticket in lane.queue:
            if region in ticket.regions:
                rank_offset = SPILL_RANK_OFFSET if ticket.regions[0] != region else 0
                rank = ticket.rank + rank_offset
                wanted[rank] = wanted.get(rank, 0) + 1
        key = (service, region)
        used = self._holder.used_beyond_floor(key, self.in_flight_by_upstream(key))
        return Demand(service, region, wanted, used)

    def _service_queue(self, service: str, limit: int = 64) -> _ServiceQueue:
        lane = self._service_queues.get(service)
        if lane is None:
            lane = self._service_queues[service] = _ServiceQueue(limit)
        return lane

    def _addresses(
        self, service: str, regions: tuple[str, ...], now: float, excluded: frozenset[str]
    ) -> list[str]:
        return [
            address
            for region in regions
            for address in self._limits(service, region, excluded, now)
        ]

    def _limits(self, service: str, region: str, excluded: frozenset[str], now: float) -> Slots:
        """Return this entry's slots at a region's upstreams, without the excluded ones."""
        limits = self._holder.limits((service, region), now)
        return {a: n for a, n in limits.items() if a not in excluded} if excluded else limits

    def _serve(self, service: str, lane: _ServiceQueue, now: float) -> Decided:
        decided: Decided = []
        exhausted: set[str] = set()
        for ticket in list(lane.queue):
            if all(region in exhausted for region in ticket.regions):
                continue
            grant = self._try_grant(service, ticket, now, exhausted)
            if grant is not None:
                lane.queue.remove(ticket)
                decided.append((ticket, grant))
        return decided

    def _try_grant(
        self, service: str, ticket: Ticket, now: float, exhausted: set[str]
    ) -> Grant | None:
        for region in ticket.regions:
            if region in exhausted:
                continue
            limits = self._limits(service, region, ticket.excluded, now)
            address = self._directory.choose(limits, now)
            if address is not None:
                return self._grant(service, region, address, ticket.rank, now)
            if not ticket.excluded:
                exhausted.add(region)
        return self._try_grant_trial(service, ticket, now)

    def _try_grant_trial(self, service: str, ticket: Ticket, now: float) -> Grant | None:
        """Grant a slot of an ejected upstream for a trial, if no other upstream may be used.

        A success is the only thing that shows early that an ejected upstream serves again.
        """
        if not self._directory.has_ejected(now):
            return None
        addresses = self._addresses(service, ticket.regions, now, ticket.excluded)
        if any(self._directory.is_usable(address, now) for address in addresses):
            return None
        for region in ticket.regions:
            limits = self._limits(service, region, ticket.excluded, now)
            address = self._directory.choose_trial(limits, now)
            if address is not None:
                return self._grant(service, region, address, ticket.rank, now)
        return None

    def _grant(self, service: str, region: str, address: str, rank: int, now: float) -> Grant:
        lane = self._service_queue(service)
        self._in_flight += 1
        key = (region, rank)
        lane.in_flight_by_rank[key] = lane.in_flight_by_rank.get(key, 0) + 1
        self._directory.get(address).in_flight += 1
        is_trial = self._directory.begin(address, now)
        held = self._in_flight_by_upstream.setdefault((service, region), {})
        held[address] = held.get(address, 0) + 1
        is_counted = self._directory.take_token(address, now)
        return Grant(service, region, address, rank, now, is_trial, is_counted)

    def _refuse_unavailable_tickets(self, service: str, lane: _ServiceQueue, now: float) -> Decided:
        """Refuse queued tickets whose upstreams are all unavailable beyond their deadlines."""
        decided: Decided = []
        for ticket in list(lane.queue):
            refusal = self._refuse_if_unavailable(service, ticket, now)
            if refusal is not None:
                lane.queue.remove(ticket)
                decided.append((ticket, refusal))
        return decided

    def _refuse_if_unavailable(self, service: str, ticket: Ticket, now: float) -> Refusal | None:
        """Return a refusal if no upstream may take a ticket's request before its deadline.

        Requests do not wait for ejected upstreams, which would fail them together. The retry delay
        is the time to the next trial request, which may end an ejection.
        """
        addresses = self._addresses(service, ticket.regions, now, ticket.excluded)
        waits = [
            self._directory.available_in_s(address, now)
            for address in addresses
            if not self._directory.is_ejected(address, now)
        ]
        wait_s = min(waits, default=float("inf"))
        if not addresses or wait_s <= 0 or now + wait_s <= ticket.deadline:
            return None
        is_backed_off = len(waits) == len(addresses) and isfinite(wait_s)
        reason = BACKOFF_REASON if is_backed_off else UNAVAILABLE_REASON
        delay_s = self.available_in_s(service, ticket.regions, now, ticket.excluded)
        return Refusal(reason, retry_after(delay_s))

    def _refuse_if_rate_limited(
        self, service: str, ticket: Ticket, ahead: int, now: float
    ) -> Refusal | None:
        """Return a refusal if rate limits delay a ticket beyond its deadline at all upstreams.

        Upstreams whose limit this entry has no part of never accept a request from it.
        """
        addresses = set(self._addresses(service, ticket.regions, now, ticket.excluded))
        parts = [self._directory.part(address, now) for address in addresses]
        if not parts or None in parts:
            return None
        rate = sum(part.rate for part in parts)
        available_in_s = self.available_in_s(service, ticket.regions, now, ticket.excluded)
        wait_s = available_in_s + ahead / rate if rate > 0 else available_in_s
        if rate > 0 and now + wait_s <= ticket.deadline:
            return None
        return Refusal(LIMIT_REASON, retry_after(wait_s))

    def _may_get_slot(self, service: str, regions: tuple[str, ...], now: float) -> bool:
        """Return whether a queued ticket may still get a slot, by its own slots or by a loan."""
        has_slots = any(self._holder.limits((service, region), now) for region in regions)
        return has_slots or self._holder.may_borrow(now)

    def _usable_slots(self, service: str, regions: tuple[str, ...], now: float) -> int:
        return sum(
            count
            for region in regions
            for address, count in self._holder.limits((service, region), now).items()
            if self._directory.is_usable(address, now)
        )
