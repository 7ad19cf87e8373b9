"""The upstreams as one gateway sees them: what they say, what it sent, how that went."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import trio
from msgspec import Struct

from finchway.feed import World
from finchway.gateway._bounds import Bounds
from finchway.gateway._connection import UpstreamConnection
from finchway.observe import BeliefChanged, DecisionLog
from finchway.policy import Pacer, Standing, rank
from finchway.registry import Registration, UpstreamState

REPORT_GOOD_FOR_S = 2.0
FIRST_REST_S = 0.5
LONGEST_REST_S = 4.0
SHED_REST_S = 0.1
COLD_SAFETY = 0.8
IDLE_KEPT = 16
DARK_AFTER = 3
# A key that an upstream has answered within this time is taken to be remembered there.
KEY_REMEMBERED_S = 10.0
# Keys that are noted for each upstream: several times what upstreams were seen to remember.
MOST_KEYS_NOTED = 256
IN_USE = "in use"
SILENT = "silent"
POOR = "answering worse than its fellows"
_REFRESH_S = 0.5


class UpstreamRecord:
    """One incarnation of an upstream."""

    __slots__ = (
        "answered_keys",
        "cold_until",
        "failures",
        "idle",
        "in_flight",
        "pacer",
        "registration",
        "report_own",
        "reported",
        "reported_at",
        "resting_until",
        "standing",
        "state",
        "unanswered",
        "under_way",
    )

    def __init__(self, registration: Registration) -> None:
        self.registration = registration
        self.in_flight = 0
        self.reported = 0.0
        self.reported_at = float("-inf")
        self.report_own = 0
        self.failures = 0
        self.state = ""
        self.unanswered = 0
        self.resting_until = float("-inf")
        self.cold_until = float("-inf")
        self.pacer: Pacer | None = None
        self.idle: list[UpstreamConnection] = []
        self.standing = Standing()
        self.answered_keys: dict[str, float] = {}
        self.under_way: dict[str, float] = {}

    def remembers(self, key: str, now: float) -> bool:
        """Tell whether the upstream has answered a request for a key lately."""
        return now - self.answered_keys.get(key, float("-inf")) <= KEY_REMEMBERED_S

    def overdue(self, now: float, seconds: float) -> int:
        """Count the requests for remembered keys that are under way for longer than a time."""
        return sum(now - since > seconds for since in self.under_way.values())

    def note_key(self, key: str, now: float) -> None:
        """Note that the upstream has answered a request for a key."""
        self.answered_keys.pop(key, None)
        self.answered_keys[key] = now
        if len(self.answered_keys) > MOST_KEYS_NOTED:
            del self.answered_keys[next(iter(self.answered_keys))]

    def busy(self, now: float) -> float:
        """Estimate the requests at the upstream: the last report, and what changed here since."""
        if now - self.reported_at > REPORT_GOOD_FOR_S:
            return float(self.in_flight)
        return max(self.reported + self.in_flight - self.report_own, float(self.in_flight))

    def report(self, running: int, waiting: int, now: float) -> None:
        """Take in what an answer says of the upstream's load; the answered request has left."""
        self.reported = float(max(running + waiting - 1, 0))
        self.report_own = max(self.in_flight - 1, 0)
        self.reported_at = now

    def rest(self, now: float, seconds: float) -> None:
        """Leave the upstream out for a while."""
        self.resting_until = max(self.resting_until, now + seconds)

    def fail(self, now: float) -> None:
        """Count a failure; each in a row doubles the rest."""
        self.failures += 1
        self.rest(now, min(LONGEST_REST_S, FIRST_REST_S * 2 ** (self.failures - 1)))

    def leave_unanswered(self, now: float) -> None:
        """Count a request whose time ran out; only several in a row speak against an upstream."""
        self.unanswered += 1
        if self.unanswered >= DARK_AFTER:
            self.unanswered = 0
            self.fail(now)

    def succeed(self) -> None:
        """Count an answer."""
        self.failures = 0
        self.unanswered = 0
        self.resting_until = float("-inf")

    def close_idle(self) -> None:
        """Close the connections that nothing uses."""
        for connection in self.idle:
            connection.close()
        self.idle = []


class RegionUpstreams(Struct):
    """The upstreams of one service in one region, by instance."""

    names: tuple[str, ...]
    records: dict[str, UpstreamRecord]

    @property
    def slots(self) -> int:
        """How many requests they work on at once."""
        return self.slots_without(frozenset())

    def slots_without(self, left_out: frozenset[str]) -> int:
        """How many requests they work on at once, some upstreams left out."""
        return sum(
            record.registration.slots
            for name, record in self.records.items()
            if name not in left_out
        )


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
        self._refreshed_at = float("-inf")
        self._seen_changes = -1
        self._opened = 0

    @property
    def decisions(self) -> DecisionLog:
        """Where changes of beliefs are logged."""
        return self._decisions

    @property
    def opened(self) -> int:
        """How many connections have been opened."""
        return self._opened

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
        by_service: dict[str, list[UpstreamRecord]] = {}
        seen = set()
        for heard in self._world.registry.all():
            registration = heard.registration
            seen.add(registration.instance)
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
                subject=f"upstream/{record.registration.instance}",
                now=words[1],
                before=words[0],
                source=f"its last answers; bad {record.standing.bad_share:.2f}",
            )
        )

    def may_get(self, record: UpstreamRecord, now: float) -> bool:
        """Tell whether an upstream may get a request at this moment."""
        return record.resting_until <= now and self._cold_allows(record, now)

    def note_sent(self, record: UpstreamRecord, request_id: str, key: str, now: float) -> None:
        """Count a request that is being sent."""
        record.in_flight += 1
        if record.remembers(key, now):
            record.under_way[request_id] = now
        if record.pacer is not None and record.cold_until > now:
            record.pacer.take(now)

    def note_ended(self, record: UpstreamRecord, request_id: str) -> None:
        """Count a request that is not under way any more."""
        record.in_flight -= 1
        record.under_way.pop(request_id, None)

    async def connect(self, record: UpstreamRecord, now: float) -> UpstreamConnection:
        """Return an idle connection or a new one; raises `AttemptError`."""
        while record.idle:
            connection = record.idle.pop()
            if connection.is_usable(now):
                return connection
            connection.close()
        self._opened += 1
        return await UpstreamConnection.open(
            record.registration.address, record.registration.instance
        )

    def put_back(self, record: UpstreamRecord, connection: UpstreamConnection) -> None:
        """Keep a connection for further requests, or close it."""
        known = self._records.get(record.registration.instance) is record
        now = trio.current_time()
        if known and len(record.idle) < IDLE_KEPT and connection.release(now):
            record.idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for record in self._records.values():
            record.close_idle()

    def _record(self, registration: Registration, heard_at: float) -> UpstreamRecord:
        record = self._records.get(registration.instance)
        if record is None:
            record = self._records[registration.instance] = UpstreamRecord(registration)
        record.registration = registration
        cold_until = heard_at + registration.cold_for if registration.cold_for > 0 else heard_at
        ended_at = self._world.evacuation_changed_at(registration.zone)
        cold_until = max(cold_until, ended_at + self._cold_start(registration.service))
        record.cold_until = max(record.cold_until, cold_until)
        return record

    def _cold_start(self, service: str) -> float:
        spec = self._world.steering.catalog.service(service)
        return (spec.cold_start if spec else 0.0) + self._bounds.heartbeat

    def _state(self, registration: Registration) -> str:
        if registration.state is not UpstreamState.READY:
            return registration.state.value
        mark = self._world.steering.marks.get(registration.instance)
        if mark is not None:
            return mark.kind.value
        if self._world.is_silent(registration.instance):
            return SILENT
        return IN_USE

    def _note_state(self, record: UpstreamRecord, state: str, age: float) -> None:
        if record.state == state:
            return
        self._decisions.write(
            BeliefChanged(
                subject=f"upstream/{record.registration.instance}",
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
