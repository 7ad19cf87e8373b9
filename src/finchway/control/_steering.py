"""What operators, upstreams and callers ask of steering; any replica takes any call."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from finchway._clock import WALL
from finchway.catalog import Item
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
from finchway.observe import BeliefChanged, DecisionLog, OrderEnded, ReplicaMetrics, ReplicaState
from finchway.registry import (
    MarkKind,
    Registration,
    UpstreamState,
    check_registration,
    name_life,
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

ITEMS_NAMED = 5
# Seconds since a message of the leader after which the figures say that it is not heard: fifteen of
# its heartbeats with the usual election time.
LEADER_HEARD_WITHIN_S = 1.5
# Seconds between two lines on calls that are refused, and characters of each: another writer may
# send thousands.
REFUSED_EVERY_S = 1.0
REFUSED_SHOWN = 200


class SteeringService:
    """The steering calls of one replica.

    An answer to a change means that a quorum has it on disk.
    """

    def __init__(
        self, control: ControlServer, decisions: DecisionLog, metrics: ReplicaMetrics
    ) -> None:
        self._control = control
        self._decisions = decisions
        self._metrics = metrics
        self._pressed: set[str] = set()
        self._refused_at = float("-inf")

    @property
    def control(self) -> ControlServer:
        """The control role that the calls go to."""
        return self._control

    async def change_items(self, items: list[Item]) -> int:
        """Set and drop items as one unit; returns the steering revision that has them.

        Raises `ResourceError` with all findings, or `ConflictError` if a version is taken by
        other content; nothing is in force then. `UnavailableError` leaves it open.
        """
        subject = ", ".join(f"{item.key} version {item.version}" for item in items[:ITEMS_NAMED])
        with self._noted("change", subject):
            result = await self._submit(ChangeItems(now_ms=WALL.now_ms(), items=items))
            match result:
                case Rejected(findings=findings):
                    found = [Finding(place, text) for place, text in findings]
                    raise ResourceError(found, "change")
                case VersionTaken(items=taken):
                    raise ConflictError(f"held with other content: {', '.join(taken)}")
            return result.revision

    async def read_items(self) -> list[Item]:
        """Return all items that stand, not older than any change accepted before the call."""
        await self._control.confirm()
        return self._control.runner.machine.steering.catalog.standing()

    async def hear(self, registration: Registration) -> None:
        """Take in an upstream's heartbeat; one that says that it leaves is committed first.

        Raises `ResourceError` for one that is not to be believed.
        """
        self._metrics.count_heartbeat()
        self._check(registration)
        if not self._control.feed.hear(registration):
            self._note_late(registration)
        if registration.state is UpstreamState.DRAINING:
            await self._mark(registration.instance, registration.born, MarkKind.DRAINING)

    async def deregister(self, instance: str, born: int = 0) -> None:
        """Note that a life of an upstream is gone: if it is not told which, that heard last."""
        heard = self._control.feed.registry.get(instance)
        if heard is not None and not (born and heard.registration.born):
            born = heard.registration.born
        await self._mark(instance, born, MarkKind.GONE)

    async def evacuate(self, zone: str, active: bool) -> None:
        """Begin or end the evacuation of a zone."""
        with self._noted("evacuate" if active else "readmit", f"zone/{zone}"):
            await self._submit(SetEvacuation(now_ms=WALL.now_ms(), zone=zone, active=active))

    async def release(self, request: str) -> None:
        """Have a request that is suspected of ending upstreams sent to them again.

        Raises `NotFoundError` if nothing speaks against it.
        """
        held = self._control.runner.machine.steering.suspects.get(request)
        if held is None or not held.is_current:
            raise NotFoundError(
                f"no request {request!r} is suspected of ending upstreams",
                "the list of suspects in `finchway steering` has the digests",
            )
        report = RequestReport(request, answered=True)
        with self._noted("release", f"request/{request}"):
            await self._submit(ReportRequests(now_ms=WALL.now_ms(), reports=[report]))

    def gateways(self, host: str, region: str, zone: str) -> list[str]:
        """Return the gateways' addresses for a caller; raises `UnavailableError` without any."""
        catalog = self._control.runner.machine.steering.catalog
        allowed = frozenset(
            name for route in catalog.routes_of_host(host) for name in route.allowed_regions
        )
        now = trio.current_time()
        book = self._control.feed.gateways
        beats = [heard.beat for heard in book.live(now)]
        is_pressed = book.is_pressed(zone, now)
        self._note_pressed(zone, is_pressed)
        named = choose_gateways(beats, region, zone, allowed, is_pressed)
        if not named:
            raise UnavailableError("no gateway is known to be ready")
        return named

    def _check(self, registration: Registration) -> None:
        """Refuse a heartbeat out of bounds, or of a service that is not configured.

        An upstream may start before its service is: its next heartbeat after that is taken. One
        that was taken once is heard until it ends, also when its service is dropped.
        """
        findings = check_registration(registration)
        catalog = self._control.runner.machine.steering.catalog
        is_known = self._control.feed.registry.get(registration.instance) is not None
        if not (catalog.is_empty or is_known or catalog.service(registration.service)):
            findings.append(Finding("service", f"no service {registration.service[:40]!r}"))
        if findings:
            raise ResourceError(findings, "heartbeat")

    def note_refused(self, call: str, error: FinchwayError) -> None:
        """Count a call that could not be believed or read; log one a second at most."""
        self._metrics.count_refused(call)
        now = trio.current_time()
        if now - self._refused_at < REFUSED_EVERY_S:
            return
        self._refused_at = now
        self._decisions.write(
            BeliefChanged(subject=call, now="refused", source=error.message[:REFUSED_SHOWN])
        )

    def _note_late(self, registration: Registration) -> None:
        self._decisions.write(
            BeliefChanged(
                subject=f"upstream/{registration.life}",
                now=f"heartbeat {registration.sequence} came late and is passed over",
                source=f"{registration.service} {registration.address}",
            )
        )

    def _note_pressed(self, zone: str, is_pressed: bool) -> None:
        """Log when callers of a zone begin, or cease, to be named its whole region's gateways."""
        if is_pressed == (zone in self._pressed):
            return
        self._pressed ^= {zone}
        now, before = ("pressed", "not pressed") if is_pressed else ("not pressed", "pressed")
        self._decisions.write(
            BeliefChanged(subject=f"zone/{zone}", now=now, before=before, source="gateways")
        )

    async def _mark(self, instance: str, born: int, kind: MarkKind) -> None:
        life = name_life(instance, born)
        held = self._control.runner.machine.steering.marks.get(life)
        if held is not None and (held.kind is kind or held.kind is MarkKind.GONE):
            return
        command = MarkUpstream(now_ms=WALL.now_ms(), instance=instance, kind=kind, born=born)
        with self._noted(kind.value, f"upstream/{life}"):
            await self._submit(command)

    def render_metrics(self) -> bytes:
        """Return the replica's figures in the Prometheus text form."""
        now = trio.current_time()
        runner = self._control.runner
        feed = self._control.feed
        return self._metrics.render(
            ReplicaState(
                is_leader=runner.is_leader,
                covered_age_s=round(now - runner.covered_at, 3),
                hears_leader=runner.core.heard_leader_within(LEADER_HEARD_WITHIN_S),
                voters=len(runner.core.members.voters),
                applied=runner.applied,
                revision=runner.machine.steering.revision,
                upstreams=len(feed.registry),
                upstreams_silent=feed.silent_count,
                gateways=len(feed.gateways.live(now)),
                log_lines_dropped=self._decisions.writer.dropped,
                suspects=len(runner.machine.steering.suspects),
                suspects_dropped=runner.machine.steering.suspects.dropped,
            )
        )

    @contextmanager
    def _noted(self, order: str, subject: str) -> Iterator[None]:
        """Log and count an order with how it ends."""
        started = trio.current_time()
        outcome, detail = "open", "cut short"
        try:
            yield
            outcome, detail = "committed", ""
        except ResourceError as error:
            outcome, detail = "refused", str(error)
            raise
        except ConflictError as error:
            outcome, detail = "conflict", error.message
            raise
        except FinchwayError as error:
            detail = error.message
            raise
        finally:
            seconds = trio.current_time() - started
            self._metrics.count_order(order, outcome, seconds)
            self._decisions.write(
                OrderEnded(
                    order=order,
                    subject=subject,
                    outcome=outcome,
                    detail=detail,
                    revision=self._control.runner.machine.steering.revision,
                    ms=round(seconds * 1000, 1),
                )
            )

    async def _submit(self, command: AnyCommand) -> Steered | Rejected | VersionTaken:
        return await self._control.submit(command)
