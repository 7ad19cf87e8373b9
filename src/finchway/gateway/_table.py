"""The upstreams as one gateway sees them: what they say, what it sent, how that went."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection

import trio
from msgspec import Struct

from finchway.feed import World
from finchway.gateway._askings import Askings
from finchway.gateway._bounds import Bounds
from finchway.gateway._connection import AttemptError, Failure, UpstreamConnection
from finchway.gateway._limits import LimitDesk
from finchway.gateway._record import UpstreamRecord
from finchway.gateway._reservation import Reservation
from finchway.observe import BeliefChanged, DecisionLog
from finchway.policy import Pacer, rank
from finchway.pushback import Asked, LimitWords, RestBook
from finchway.registry import Registration, UpstreamState

# Part of the allowed rate that a cold upstream gets: two gateways may hold themselves for its only
# one for a moment.
COLD_SAFETY = 0.8
# Connections that are kept open to each upstream while nothing uses them.
IDLE_KEPT = 16
IN_USE = "in use"
SILENT = "silent"
REPLACED = "over: started again"
LEAVING = "leaving, as its answers say"
POOR = "answering worse than its fellows"
# Seconds after which the table is brought up to date without news, for what only time changes.
_REFRESH_S = 0.5


class RegionUpstreams(Struct):
    """The upstreams of one service in one region, by instance."""

    names: tuple[str, ...]
    records: dict[str, UpstreamRecord]

    def back_in(self, wanted_in: Callable[[UpstreamRecord, float], float], now: float) -> float:
        """Return the seconds until one of them wants requests again; 0 unless none does now."""
        least = float("inf")
        for record in self.records.values():
            least = min(least, wanted_in(record, now))
            if least <= 0:
                break
        return least

    @property
    def slots(self) -> int:
        """How many requests they work on at once."""
        return sum(record.registration.slots for record in self.records.values())

    def capacity(self, a_slot: float, left_out: frozenset[str], limits: LimitWords) -> float:
        """Return how many requests a second they bear, some upstreams left out.

        `a_slot` is what one slot bears; an upstream that names a limit bears no more than that.
        """
        total = 0.0
        for name, record in self.records.items():
            if name in left_out:
                continue
            limit = limits.rate(record.registration.life)
            borne = record.registration.slots * a_slot
            total += borne if limit is None else min(borne, limit)
        return total


class UpstreamTable:
    """All upstreams, and which of them may get a request now."""

    def __init__(
        self,
        name: str,
        zones: Callable[[], dict[str, str]],
        world: World,
        bounds: Bounds,
        decisions: DecisionLog,
    ) -> None:
        self._decisions = decisions
        self._name = name
        self._zones = zones
        self._world = world
        self._bounds = bounds
        self._records: dict[str, UpstreamRecord] = {}
        self._by_service: dict[str, dict[str, RegionUpstreams]] = {}
        self._names: dict[str, str] = {}
        self._note_replaced: Callable[[UpstreamRecord], None] = lambda record: None
        self._refreshed_at = float("-inf")
        self._seen_changes = -1
        self._opened = 0
        self._limits = LimitDesk(name, world, self._region_of, decisions)
        self._askings = Askings(decisions, self._limits.words)

    @property
    def decisions(self) -> DecisionLog:
        """Where changes of beliefs are logged."""
        return self._decisions

    @property
    def opened(self) -> int:
        """How many connections have been opened."""
        return self._opened

    @property
    def rests(self) -> RestBook:
        """The rests that upstreams have asked of this gateway."""
        return self._askings.rests

    @property
    def limits(self) -> LimitDesk:
        """The limits that upstreams have named, and what this gateway may send of them."""
        return self._limits

    @property
    def records(self) -> Collection[UpstreamRecord]:
        """All upstreams that are known."""
        return self._records.values()

    def get(self, instance: str) -> UpstreamRecord | None:
        """Return the record of an upstream."""
        return self._records.get(instance)

    def states(self) -> dict[str, int]:
        """Return how many upstreams are in each state."""
        return dict(Counter(record.state for record in self._records.values()))

    def regions(self, service: str, now: float) -> dict[str, RegionUpstreams]:
        """Return by region the upstreams of a service that may get something new."""
        changed = self._world.changes != self._seen_changes
        if changed or now - self._refreshed_at >= _REFRESH_S:
            self.refresh(now)
        return self._by_service.get(service, {})

    def refresh(self, now: float) -> None:
        """Bring the table up to what the world says."""
        self._refreshed_at = now
        self._seen_changes = self._world.changes
        self._world.forget_silent(now)
        self._names = {}
        by_service: dict[str, list[UpstreamRecord]] = {}
        seen = set()
        for heard in self._world.registry.all():
            registration = heard.registration
            seen.add(registration.instance)
            self._names[registration.life] = registration.instance
            record = self._record(registration, heard.heard_at)
            state = self._state(registration)
            self._note_state(record, state, now - heard.heard_at)
            if state == IN_USE:
                by_service.setdefault(registration.service, []).append(record)
            else:
                record.close_idle()
        for instance in [name for name in self._records if name not in seen]:
            forgotten = self._records.pop(instance)
            forgotten.close_idle()
            self._note_state(forgotten, "forgotten", -0.001)
        self._by_service = {
            service: self._by_region(records) for service, records in by_service.items()
        }

    def _by_region(self, records: list[UpstreamRecord]) -> dict[str, RegionUpstreams]:
        zones = self._zones()
        evacuated = self._world.steering.evacuated
        found: dict[str, dict[str, UpstreamRecord]] = {}
        for record in records:
            zone = record.registration.zone
            if zone not in evacuated:
                held = found.setdefault(zones.get(zone, zone), {})
                held[record.registration.instance] = record
        return {
            region: RegionUpstreams(tuple(sorted(held)), held) for region, held in found.items()
        }

    def note_standing(self, record: UpstreamRecord, is_poor: bool) -> None:
        """Log that an upstream is left out, or is not any more, since its answers are poor."""
        words = ("well", POOR) if is_poor else (POOR, "well")
        self._decisions.write(
            BeliefChanged(
                subject=f"upstream/{record.registration.life}",
                now=words[1],
                before=words[0],
                source=f"its last answers; bad {record.standing.bad_share:.2f}",
            )
        )

    def note_asked(self, record: UpstreamRecord, asked: Asked, now: float) -> None:
        """Take in what an answer asks of this gateway."""
        if self._askings.note(record.registration, asked, now):
            self.refresh(now)

    def watch_replaced(self, note: Callable[[UpstreamRecord], None]) -> None:
        """Have each life told that is over since a later one of the same upstream has begun."""
        self._note_replaced = note

    def was_replaced(self, record: UpstreamRecord) -> bool:
        """Tell whether a later life of the upstream has begun."""
        return record.state == REPLACED

    def resting(self, now: float) -> frozenset[str]:
        """Return the upstreams that rest since they have asked this gateway for it."""
        lives = self.rests.resting(now)
        return frozenset(self._names[life] for life in lives if life in self._names)

    def may_get(self, record: UpstreamRecord, now: float) -> bool:
        """Tell whether an upstream may get a request at this moment."""
        life = record.registration.life
        if record.resting_until > now or not self.rests.may_send(life, now):
            return False
        # A limit is for all gateways together: each keeps to its part, since one that kept to the
        # whole of it alone would go on sending what it always did.
        return self._limits.allowances.may_send(life, now) and self._cold_allows(record, now)

    def wanted_in(self, record: UpstreamRecord, now: float) -> float:
        """Return the seconds until an upstream that rests, or is at its limit, wants a request."""
        life = record.registration.life
        return max(self.rests.left(life, now), self._limits.allowances.wait(life, now))

    def reserve(self, record: UpstreamRecord, request_id: str, key: str, now: float) -> Reservation:
        """Count a request that is to be sent."""
        reserved = Reservation(record, request_id)
        reserved.is_trial = self.rests.begin(reserved.life, now)
        reserved.is_counted = self._limits.allowances.take(reserved.life, now)
        record.in_flight += 1
        if record.remembers(key, now):
            record.under_way[request_id] = now
        if record.pacer is not None and record.cold_until > now:
            record.pacer.take(now)
        return reserved

    def release(self, reserved: Reservation, was_taken: bool) -> None:
        """Count a request that is not under way any more, or has never been sent."""
        record = reserved.record
        record.in_flight -= 1
        record.under_way.pop(reserved.request_id, None)
        if reserved.is_trial:
            self.rests.end_trial(reserved.life, was_taken)
        if reserved.is_counted and not reserved.is_sent:
            self._limits.allowances.give_back(reserved.life)

    async def connect(self, reserved: Reservation, now: float) -> UpstreamConnection:
        """Return an idle connection or a new one; raises `AttemptError`.

        While a new one came up, the upstream may have asked for rest, named a limit, or said that
        it leaves: then nothing may go out on it.
        """
        record = reserved.record
        while record.idle:
            connection = record.idle.pop()
            if connection.is_usable(now):
                return connection
            connection.close()
        connection = await self.connect_anew(record)
        if self._still_wants(reserved, trio.current_time()):
            return connection
        self.keep(record, connection)
        raise AttemptError(Failure.UNWANTED, "not sent: it has asked for less meanwhile, or leaves")

    def _still_wants(self, reserved: Reservation, now: float) -> bool:
        if reserved.record.state != IN_USE or self.rests.left(reserved.life, now) > 0:
            return False
        if reserved.is_counted:
            return True
        if not self._limits.allowances.may_send(reserved.life, now):
            return False
        reserved.is_counted = self._limits.allowances.take(reserved.life, now)
        return True

    async def connect_anew(self, record: UpstreamRecord) -> UpstreamConnection:
        """Return a new connection; raises `AttemptError`."""
        self._opened += 1
        return await UpstreamConnection.open(
            record.registration.address, record.registration.instance
        )

    def put_back(self, record: UpstreamRecord, connection: UpstreamConnection) -> None:
        """Keep a connection for further requests after an answer, or close it."""
        if connection.release(trio.current_time()):
            self.keep(record, connection)
        else:
            connection.close()

    def keep(self, record: UpstreamRecord, connection: UpstreamConnection) -> None:
        """Keep a connection on which nothing is under way, or close it."""
        known = self._records.get(record.registration.instance) is record
        if known and len(record.idle) < IDLE_KEPT:
            record.idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for record in self._records.values():
            record.close_idle()

    def _region_of(self, life: str) -> str:
        """Return the region of a life that is known; empty otherwise."""
        record = self._records.get(self._names.get(life, ""))
        if record is None:
            return ""
        zone = record.registration.zone
        return self._zones().get(zone, zone)

    def _record(self, registration: Registration, heard_at: float) -> UpstreamRecord:
        record = self._records.get(registration.instance)
        if record is not None and record.registration.life != registration.life:
            self._end(record)
            record = None
        if record is None:
            record = self._records[registration.instance] = UpstreamRecord(registration)
            self._askings.pass_on(registration)
        record.registration = registration
        cold_until = heard_at + registration.cold_for if registration.cold_for > 0 else heard_at
        ended_at = self._world.evacuation_changed_at(registration.zone)
        cold_until = max(cold_until, ended_at + self._cold_start(registration.service))
        record.cold_until = max(record.cold_until, cold_until)
        return record

    def _end(self, record: UpstreamRecord) -> None:
        """Break off what is under way at a life that is over, since the next one has begun."""
        self._note_state(record, REPLACED, -0.001)
        record.end()
        self._note_replaced(record)

    def _cold_start(self, service: str) -> float:
        spec = self._world.steering.catalog.service(service)
        return (spec.cold_start if spec else 0.0) + self._bounds.heartbeat

    def _state(self, registration: Registration) -> str:
        if registration.state is not UpstreamState.READY:
            return registration.state.value
        if self._askings.is_leaving(registration.life):
            return LEAVING
        mark = self._world.steering.mark_of(registration)
        if mark is not None:
            return mark.kind.value
        if self._world.is_silent(registration.life):
            return SILENT
        return IN_USE

    def _note_state(self, record: UpstreamRecord, state: str, age: float) -> None:
        if record.state == state:
            return
        self._decisions.write(
            BeliefChanged(
                subject=f"upstream/{record.registration.life}",
                now=state,
                before=record.state,
                source=f"{record.registration.service} {record.registration.address}",
                age_ms=round(age * 1000),
            )
        )
        record.state = state

    def _cold_allows(self, record: UpstreamRecord, now: float) -> bool:
        """Let only one gateway send to a cold upstream, at its pace.

        The gateways' lists may differ for a moment, so two of them must stay below the bound.
        """
        if record.cold_until <= now:
            record.pacer = None
            return True
        registration = record.registration
        spec = self._world.steering.catalog.service(registration.service)
        if spec is None or spec.cold_rate <= 0:
            return True
        names = self._world.serving
        if not names or rank(registration.instance, names)[0] != self._name:
            return False
        if record.pacer is None:
            record.pacer = Pacer(spec.cold_rate * COLD_SAFETY)
        return record.pacer.ready(now)
