"""The steering calls of operators, upstreams and callers, served by any replica."""

from __future__ import annotations

import trio

from finchway._clock import WALL_CLOCK
from finchway.catalog import Item, check_values
from finchway.control._order_log import OrderLog
from finchway.control._server import ControlServer
from finchway.exceptions import (
    ConflictError,
    FinchwayError,
    Finding,
    NotFoundError,
    ResourceError,
    UnavailableError,
)
from finchway.feed import choose_gateways
from finchway.observe import DecisionLog, ReplicaMetrics, ReplicaState, StateChanged
from finchway.registry import (
    MarkKind,
    Registration,
    UpstreamState,
    check_registration,
    incarnation_name,
)
from finchway.state import (
    AnyCommand,
    ChangeItems,
    MarkUpstream,
    Rejected,
    ReportRequests,
    RequestReport,
    SetEvacuation,
    Steered,
    VersionTaken,
)
from finchway.transport import CallOrigin, ClientBudget

MAX_LOGGED_ITEMS = 5
# Time without messages from the leader after which the metrics report the contact as lost: fifteen
# of its heartbeats with the usual election timeout.
LEADER_TIMEOUT_S = 1.5
# Limits the rate and size of log lines on refused calls, since a faulty client may send thousands.
REFUSED_LOG_INTERVAL_S = 1.0
MAX_LOGGED_ERROR_CHARS = 200


class SteeringService:
    """The steering calls of one replica.

    A change is answered only once a quorum has it on disk.
    """

    def __init__(
        self,
        control: ControlServer,
        decisions: DecisionLog,
        metrics: ReplicaMetrics,
        budget: ClientBudget | None = None,
    ) -> None:
        self._control = control
        self._decisions = decisions
        self._metrics = metrics
        self._budget = budget or ClientBudget()
        self._orders = OrderLog(decisions, metrics, self._steering_revision)
        self._congested_zones: set[str] = set()
        self._refusal_logged_at = float("-inf")

    @property
    def control(self) -> ControlServer:
        """The control role that handles the calls."""
        return self._control

    @property
    def orders(self) -> OrderLog:
        """The log of orders at this replica."""
        return self._orders

    async def change_items(self, items: list[Item], origin: CallOrigin) -> int:
        """Set and delete items atomically; return the steering revision of the change.

        Raises `ResourceError` with all findings, or `ConflictError` if a version exists with other
        content; nothing is changed then. After `UnavailableError`, the outcome is unknown.
        """
        subject = ", ".join(
            f"{item.key} version {item.version}" for item in items[:MAX_LOGGED_ITEMS]
        )
        with self._orders.record("change", subject, origin):
            findings = check_values(items)
            if findings:
                raise ResourceError(findings, "change")
            result = await self._submit(
                ChangeItems(now_ms=WALL_CLOCK.now_ms(), items=items), origin
            )
            match result:
                case Rejected(findings=findings):
                    found = [Finding(place, text) for place, text in findings]
                    raise ResourceError(found, "change")
                case VersionTaken(items=taken):
                    raise ConflictError(f"held with other content: {', '.join(taken)}")
            return result.revision

    async def read_items(self) -> list[Item]:
        """Return all current items, including every change accepted before the call."""
        await self._control.confirm()
        return self._control.runner.machine.steering.catalog.active_items()

    async def record_heartbeat(self, registration: Registration, origin: CallOrigin) -> None:
        """Record an upstream's heartbeat; a draining state is committed before it returns.

        It counts from when it can have arrived, since its sender may have ended before it is read.
        Raises `ResourceError` for an invalid heartbeat.
        """
        self._metrics.count_heartbeat()
        self._check_heartbeat(registration)
        if not self._control.feed.record_heartbeat(registration, origin.arrived_after):
            self._log_late_heartbeat(registration)
        if registration.state is UpstreamState.DRAINING:
            await self._commit_mark(
                registration.instance, registration.born, MarkKind.DRAINING, origin
            )

    async def deregister(self, instance: str, born: int, origin: CallOrigin) -> None:
        """Mark an incarnation of an upstream as gone; if `born` is 0, the one seen last."""
        known = self._control.feed.registry.get(instance)
        if known is not None and not (born and known.registration.born):
            born = known.registration.born
        await self._commit_mark(instance, born, MarkKind.GONE, origin)

    async def evacuate(self, zone: str, active: bool, origin: CallOrigin) -> None:
        """Begin or end the evacuation of a zone."""
        with self._orders.record("evacuate" if active else "readmit", f"zone/{zone}", origin):
            await self._submit(
                SetEvacuation(now_ms=WALL_CLOCK.now_ms(), zone=zone, active=active), origin
            )

    async def release(self, request: str, origin: CallOrigin) -> None:
        """Release a request that is suspected of crashing upstreams.

        Raises `NotFoundError` if it is not suspected.
        """
        suspect = self._control.runner.machine.steering.suspects.get(request)
        if suspect is None or not suspect.is_current:
            raise NotFoundError(
                f"no request {request!r} is suspected of ending upstreams",
                "the list of suspects in `finchway steering` has the digests",
            )
        report = RequestReport(request, answered=True)
        with self._orders.record("release", f"request/{request}", origin):
            await self._submit(ReportRequests(now_ms=WALL_CLOCK.now_ms(), reports=[report]), origin)

    def gateways(self, host: str, region: str, zone: str) -> list[str]:
        """Return the gateways' addresses for a caller; raises `UnavailableError` without any."""
        catalog = self._control.runner.machine.steering.catalog
        allowed = frozenset(
            name for route in catalog.routes_of_host(host) for name in route.allowed_regions
        )
        now = trio.current_time()
        table = self._control.feed.gateways
        heartbeats = [gateway.heartbeat for gateway in table.live(now)]
        is_congested = table.is_congested(zone, now)
        self._log_congestion(zone, is_congested)
        addresses = choose_gateways(heartbeats, region, zone, allowed, is_congested)
        if not addresses:
            raise UnavailableError("no gateway is known to be ready")
        return addresses

    def _check_heartbeat(self, registration: Registration) -> None:
        """Refuse a heartbeat with invalid fields, or of a service that is not configured.

        An upstream that is already registered stays accepted when its service is deleted.
        """
        findings = check_registration(registration)
        catalog = self._control.runner.machine.steering.catalog
        is_known = self._control.feed.registry.get(registration.instance) is not None
        if not (catalog.is_empty or is_known or catalog.service(registration.service)):
            findings.append(Finding("service", f"no service {registration.service[:40]!r}"))
        if findings:
            raise ResourceError(findings, "heartbeat")

    def record_refused(self, call: str, error: FinchwayError) -> None:
        """Count an invalid call; log it at a limited rate."""
        self._metrics.count_rejected_call(call)
        now = trio.current_time()
        if now - self._refusal_logged_at < REFUSED_LOG_INTERVAL_S:
            return
        self._refusal_logged_at = now
        self._decisions.write(
            StateChanged(subject=call, now="refused", source=error.message[:MAX_LOGGED_ERROR_CHARS])
        )

    def _log_late_heartbeat(self, registration: Registration) -> None:
        self._decisions.write(
            StateChanged(
                subject=f"upstream/{registration.incarnation}",
                now=f"heartbeat {registration.sequence} came late and is passed over",
                source=f"{registration.service} {registration.address}",
            )
        )

    def _log_congestion(self, zone: str, is_congested: bool) -> None:
        """Log when a zone's gateways become congested, and when they no longer are."""
        if is_congested == (zone in self._congested_zones):
            return
        self._congested_zones ^= {zone}
        now, before = ("pressed", "not pressed") if is_congested else ("not pressed", "pressed")
        self._decisions.write(
            StateChanged(subject=f"zone/{zone}", now=now, before=before, source="gateways")
        )

    async def _commit_mark(
        self, instance: str, born: int, kind: MarkKind, origin: CallOrigin
    ) -> None:
        incarnation = incarnation_name(instance, born)
        current = self._control.runner.machine.steering.marks.get(incarnation)
        if current is not None and (current.kind is kind or current.kind is MarkKind.GONE):
            return
        command = MarkUpstream(now_ms=WALL_CLOCK.now_ms(), instance=instance, kind=kind, born=born)
        with self._orders.record(kind.value, f"upstream/{incarnation}", origin):
            await self._submit(command, origin)

    def render_metrics(self) -> bytes:
        """Return the replica's metrics in the Prometheus text format."""
        now = trio.current_time()
        runner = self._control.runner
        feed = self._control.feed
        return self._metrics.render(
            ReplicaState(
                is_leader=runner.is_leader,
                covered_age_s=round(now - runner.current_as_of, 3),
                hears_leader=runner.core.had_leader_contact_within(LEADER_TIMEOUT_S),
                voters=len(runner.core.members.voters),
                applied=runner.applied,
                revision=runner.machine.steering.revision,
                upstreams=len(feed.registry),
                upstreams_silent=feed.silent_count,
                gateways=len(feed.gateways.live(now)),
                log_lines_dropped=self._decisions.writer.dropped,
                suspects=len(runner.machine.steering.suspects),
                suspects_dropped=runner.machine.steering.suspects.evicted,
                clients=self._budget.state.gauges,
            )
        )

    def _steering_revision(self) -> int:
        return self._control.runner.machine.steering.revision

    async def _submit(
        self, command: AnyCommand, origin: CallOrigin
    ) -> Steered | Rejected | VersionTaken:
        return await self._control.submit(command, origin)
