"""The upstreams that a gateway has learned of, and whether each may get a request."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from heapq import nlargest

import trio
from msgspec import Struct

from finchway.feed import ClusterView
from finchway.gateway._bounds import Bounds
from finchway.gateway._connection import AttemptError, Failure, UpstreamConnection
from finchway.gateway._limits import LimitTracker
from finchway.gateway._pushback import PushbackTracker
from finchway.gateway._record import UpstreamRecord
from finchway.gateway._reservation import Reservation
from finchway.observe import DecisionLog, StateChanged
from finchway.policy import Pacer, UpstreamReach, rank
from finchway.pushback import BackoffTable, LimitReports, Pushback
from finchway.registry import Registration, UpstreamState
from finchway.transport import Turns

# Fraction of the allowed rate sent to a cold upstream, since two gateways may both believe for a
# moment that they are its only sender.
COLD_RATE_FACTOR = 0.8
# Idle connections kept open to each upstream.
MAX_IDLE_CONNECTIONS = 16
IN_USE = "in use"
SILENT = "silent"
REPLACED = "over: started again"
LEAVING = "leaving, as its answers say"
OUTLIER = "answering worse than its fellows"
# Interval of refreshes without new information, for states that depend on time only.
_REFRESH_INTERVAL_S = 0.5


class RegionUpstreams(Struct):
    """The upstreams of one service in one region, by instance."""

    names: tuple[str, ...]
    records: dict[str, UpstreamRecord]

    @property
    def slots(self) -> int:
        """Number of requests that they process at once."""
        return sum(record.registration.slots for record in self.records.values())

    def capacity(
        self, rate_per_slot: float, excluded: frozenset[str], limits: LimitReports
    ) -> float:
        """Return the capacity in requests per second, without the excluded upstreams.

        `rate_per_slot` is the capacity of one slot. An upstream's named limit caps its capacity.
        """
        total = 0.0
        for name, record in self.records.items():
            if name in excluded:
                continue
            limit = limits.rate(record.registration.incarnation)
            record_capacity = record.registration.slots * rate_per_slot
            total += record_capacity if limit is None else min(record_capacity, limit)
        return total


class UpstreamTable:
    """All upstreams, and which of them may get a request now."""

    def __init__(
        self,
        name: str,
        zones: Callable[[], dict[str, str]],
        view: ClusterView,
        bounds: Bounds,
        decisions: DecisionLog,
    ) -> None:
        self._decisions = decisions
        self._name = name
        self._zones = zones
        self._view = view
        self._bounds = bounds
        self._records: dict[str, UpstreamRecord] = {}
        self._by_service: dict[str, dict[str, RegionUpstreams]] = {}
        self._names: dict[str, str] = {}
        self._on_replaced: Callable[[UpstreamRecord], None] = lambda record: None
        self._refreshed_at = float("-inf")
        self._applied_changes = -1
        self._opened = 0
        self._turns = Turns()
        self._reach = UpstreamReach()
        self._unreachable = trio.Event()
        self._limits = LimitTracker(name, view, self._region_of, decisions)
        self._pushback = PushbackTracker(decisions, self._limits.named)

    @property
    def name(self) -> str:
        """The gateway's name."""
        return self._name

    @property
    def decisions(self) -> DecisionLog:
        """The log of state changes."""
        return self._decisions

    @property
    def opened(self) -> int:
        """Number of connections opened so far."""
        return self._opened

    @property
    def reach(self) -> UpstreamReach:
        """Whether this gateway reaches any upstream."""
        return self._reach

    def record_answer(self, record: UpstreamRecord, now: float) -> None:
        """Record that an upstream has answered, whatever it says."""
        record.heard_at = now
        self._reach.record_answer(now)

    def active(self) -> list[UpstreamRecord]:
        """Return the upstreams that may get requests by control's word."""
        return [record for record in self._records.values() if record.state == IN_USE]

    def last_heard(self, count: int) -> list[UpstreamRecord]:
        """Return those of the active upstreams that this gateway has heard last."""
        return nlargest(count, self.active(), key=lambda record: record.heard_at)

    async def wait_unreachable(self) -> None:
        """Return once an upstream could not be connected to."""
        self._unreachable = trio.Event()
        await self._unreachable.wait()

    def begin_cut(self, now: float) -> None:
        """Close the idle connections if nothing shows that they live on."""
        if self._reach.has_live_connections(now):
            return
        for record in self._records.values():
            record.close_idle()

    def end_cut(self) -> None:
        """Drop what failures during a cut seemed to say about the upstreams."""
        for record in self._records.values():
            record.forget_failures()

    @property
    def backoffs(self) -> BackoffTable:
        """The backoffs that upstreams have requested."""
        return self._pushback.backoffs

    @property
    def limits(self) -> LimitTracker:
        """The rate limits of upstreams, and this gateway's share of each."""
        return self._limits

    @property
    def records(self) -> Collection[UpstreamRecord]:
        """The records of all known upstreams."""
        return self._records.values()

    def get(self, instance: str) -> UpstreamRecord | None:
        """Return the record of an upstream; None if it is not known."""
        return self._records.get(instance)

    def states(self) -> dict[str, int]:
        """Return the number of upstreams by state."""
        return dict(Counter(record.state for record in self._records.values()))

    def regions(self, service: str, now: float) -> dict[str, RegionUpstreams]:
        """Return the upstreams of a service that may get new requests by region."""
        changed = self._view.changes != self._applied_changes
        if changed or now - self._refreshed_at >= _REFRESH_INTERVAL_S:
            self.refresh(now)
        return self._by_service.get(service, {})

    def refresh(self, now: float) -> None:
        """Update the table from the received feeds."""
        self._refreshed_at = now
        self._applied_changes = self._view.changes
        self._view.remove_silent(now)
        self._names = {}
        by_service: dict[str, list[UpstreamRecord]] = {}
        seen = set()
        for known in self._view.registry.all():
            registration = known.registration
            seen.add(registration.instance)
            self._names[registration.incarnation] = registration.instance
            record = self._record(registration, known.received_at)
            state = self._state(registration)
            self._record_state(record, state, now - known.received_at)
            if state == IN_USE:
                by_service.setdefault(registration.service, []).append(record)
            else:
                record.close_idle()
        for instance in [name for name in self._records if name not in seen]:
            forgotten = self._records.pop(instance)
            forgotten.close_idle()
            self._record_state(forgotten, "forgotten", -0.001)
        self._by_service = {
            service: self._by_region(records) for service, records in by_service.items()
        }

    def _by_region(self, records: list[UpstreamRecord]) -> dict[str, RegionUpstreams]:
        zones = self._zones()
        evacuated = self._view.steering.evacuated
        found: dict[str, dict[str, UpstreamRecord]] = {}
        for record in records:
            zone = record.registration.zone
            if zone not in evacuated:
                held = found.setdefault(zones.get(zone, zone), {})
                held[record.registration.instance] = record
        return {
            region: RegionUpstreams(tuple(sorted(held)), held) for region, held in found.items()
        }

    def record_outlier(self, record: UpstreamRecord, is_outlier: bool) -> None:
        """Log that an upstream has become an outlier, or is one no longer."""
        states = ("well", OUTLIER) if is_outlier else (OUTLIER, "well")
        self._decisions.write(
            StateChanged(
                subject=f"upstream/{record.registration.incarnation}",
                now=states[1],
                before=states[0],
                source=f"its last answers; bad {record.outlier_state.bad_fraction:.2f}",
            )
        )

    def record_pushback(self, record: UpstreamRecord, pushback: Pushback, now: float) -> None:
        """Apply the pushback of an answer."""
        if self._pushback.record(record.registration, pushback, now):
            self.refresh(now)

    def on_replaced(self, callback: Callable[[UpstreamRecord], None]) -> None:
        """Set the callback for incarnations that a later one has replaced."""
        self._on_replaced = callback

    def was_replaced(self, record: UpstreamRecord) -> bool:
        """Return whether a later incarnation of the upstream has started."""
        return record.state == REPLACED

    def backed_off(self, now: float) -> frozenset[str]:
        """Return the upstreams that are in a backoff that they requested."""
        incarnations = self.backoffs.backed_off(now)
        return frozenset(
            self._names[incarnation] for incarnation in incarnations if incarnation in self._names
        )

    def is_available(self, record: UpstreamRecord, now: float) -> bool:
        """Return whether an upstream may get a request now."""
        if self._reach.is_cut_off and not self._is_kept(record, now):
            return False
        incarnation = record.registration.incarnation
        if record.backoff_until > now or not self.backoffs.may_send(incarnation, now):
            return False
        # A named limit applies to all gateways together, so each one keeps to its share.
        return self._limits.rate_limiter.may_send(incarnation, now) and self._cold_allows(
            record, now
        )

    def _is_kept(self, record: UpstreamRecord, now: float) -> bool:
        """Return whether an upstream has an idle connection, and such connections still work."""
        return self._reach.has_live_connections(now) and record.has_usable_connection(now)

    def available_in(self, record: UpstreamRecord, now: float) -> float:
        """Return the seconds until an upstream's requested backoff or limit admits a request."""
        incarnation = record.registration.incarnation
        return max(
            self.backoffs.remaining_s(incarnation, now),
            self._limits.rate_limiter.wait(incarnation, now),
        )

    def reserve(
        self,
        record: UpstreamRecord,
        request_id: str,
        key: str,
        now: float,
        carried_by: set[UpstreamConnection] | None = None,
    ) -> Reservation:
        """Count a request that is about to be sent; `carried_by` has its earlier connections."""
        reserved = Reservation(record, request_id, set() if carried_by is None else carried_by)
        reserved.is_trial = self.backoffs.begin(reserved.incarnation, now)
        reserved.is_counted = self._limits.rate_limiter.take(reserved.incarnation, now)
        record.in_flight += 1
        self._reach.record_sent(now)
        if record.is_warm(key, now):
            record.warm_in_flight[request_id] = now
        if record.pacer is not None and record.cold_until > now:
            record.pacer.take(now)
        return reserved

    def release(self, reserved: Reservation, was_answered: bool) -> None:
        """Stop counting a request that has ended or was never sent."""
        record = reserved.record
        record.in_flight -= 1
        self._reach.record_ended()
        record.warm_in_flight.pop(reserved.request_id, None)
        if reserved.is_trial:
            self.backoffs.end_trial(reserved.incarnation, was_answered)
        if reserved.is_counted and not reserved.is_sent:
            self._limits.rate_limiter.return_token(reserved.incarnation)

    async def connect(self, reserved: Reservation, now: float) -> UpstreamConnection:
        """Return an idle connection or a new one; raises `AttemptError`.

        No connection carries a request twice: its id would then not tell a second copy of the first
        answer from the answer to the repeat.

        Availability is checked again once a new connection is up, since the upstream may have
        requested a backoff, named a limit or announced that it leaves meanwhile.
        """
        connection = reserved.record.take_idle(now, excluded=reserved.carried_by)
        if connection is None:
            connection = await self._open_if_available(reserved)
        reserved.carried_by.add(connection)
        return connection

    async def _open_if_available(self, reserved: Reservation) -> UpstreamConnection:
        """Return a new connection if the upstream is still available; raises `AttemptError`."""
        connection = await self.open_connection(reserved.record)
        if self._still_available(reserved, trio.current_time()):
            return connection
        self.keep(reserved.record, connection)
        raise AttemptError(
            Failure.UNWANTED, "not sent: upstream became unavailable while connecting"
        )

    def _still_available(self, reserved: Reservation, now: float) -> bool:
        if (
            reserved.record.state != IN_USE
            or self.backoffs.remaining_s(reserved.incarnation, now) > 0
        ):
            return False
        if reserved.is_counted:
            return True
        if not self._limits.rate_limiter.may_send(reserved.incarnation, now):
            return False
        reserved.is_counted = self._limits.rate_limiter.take(reserved.incarnation, now)
        return True

    async def open_connection(self, record: UpstreamRecord) -> UpstreamConnection:
        """Return a new connection; raises `AttemptError`."""
        self._opened += 1
        registration = record.registration
        try:
            connection = await UpstreamConnection.open(
                registration.address, registration.instance, self._turns
            )
        except AttemptError:
            self._reach.record_unreachable(registration.instance, trio.current_time())
            self._unreachable.set()
            raise
        record.heard_at = trio.current_time()
        self._reach.record_connected(registration.instance, record.heard_at, len(self.active()))
        return connection

    def put_back(self, record: UpstreamRecord, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after an answer, or close it."""
        if connection.release(trio.current_time()):
            self.keep(record, connection)
        else:
            connection.close()

    def keep(self, record: UpstreamRecord, connection: UpstreamConnection) -> None:
        """Add an unused connection to the pool, or close it."""
        known = self._records.get(record.registration.instance) is record
        if known and len(record.idle) < MAX_IDLE_CONNECTIONS:
            record.idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for record in self._records.values():
            record.close_idle()

    def _region_of(self, incarnation: str) -> str:
        """Return the region of an incarnation; empty if it is not known."""
        record = self._records.get(self._names.get(incarnation, ""))
        if record is None:
            return ""
        zone = record.registration.zone
        return self._zones().get(zone, zone)

    def _record(self, registration: Registration, received_at: float) -> UpstreamRecord:
        record = self._records.get(registration.instance)
        if record is not None and record.registration.incarnation != registration.incarnation:
            self._end(record)
            record = None
        if record is None:
            record = self._records[registration.instance] = UpstreamRecord(registration)
            self._pushback.inherit(registration)
        record.registration = registration
        cold_until = (
            received_at + registration.cold_for if registration.cold_for > 0 else received_at
        )
        ended_at = self._view.evacuation_changed_at(registration.zone)
        cold_until = max(cold_until, ended_at + self._cold_start(registration.service))
        record.cold_until = max(record.cold_until, cold_until)
        return record

    def _end(self, record: UpstreamRecord) -> None:
        """Close all connections of an incarnation that a later one has replaced."""
        self._record_state(record, REPLACED, -0.001)
        record.close_all()
        self._on_replaced(record)

    def _cold_start(self, service: str) -> float:
        spec = self._view.steering.catalog.service(service)
        return (spec.cold_start if spec else 0.0) + self._bounds.heartbeat

    def _state(self, registration: Registration) -> str:
        if registration.state is not UpstreamState.READY:
            return registration.state.value
        if self._pushback.is_leaving(registration.incarnation):
            return LEAVING
        mark = self._view.steering.mark_of(registration)
        if mark is not None:
            return mark.kind.value
        if self._view.is_silent(registration.incarnation):
            return SILENT
        return IN_USE

    def _record_state(self, record: UpstreamRecord, state: str, age: float) -> None:
        if record.state == state:
            return
        self._decisions.write(
            StateChanged(
                subject=f"upstream/{record.registration.incarnation}",
                now=state,
                before=record.state,
                source=f"{record.registration.service} {record.registration.address}",
                age_ms=round(age * 1000),
            )
        )
        record.state = state

    def _cold_allows(self, record: UpstreamRecord, now: float) -> bool:
        """Return whether the cold start limit admits a request.

        One gateway, chosen by rendezvous hashing, sends to a cold upstream at a limited rate.
        """
        if record.cold_until <= now:
            record.pacer = None
            return True
        registration = record.registration
        spec = self._view.steering.catalog.service(registration.service)
        if spec is None or spec.cold_rate <= 0:
            return True
        names = self._view.serving
        if not names or rank(registration.instance, names)[0] != self._name:
            return False
        if record.pacer is None:
            record.pacer = Pacer(spec.cold_rate * COLD_RATE_FACTOR)
        return record.pacer.ready(now)
