"""The gateway role of a process: its parts, readiness and planned stop."""

from __future__ import annotations

import functools
import uuid
from collections.abc import Callable

import trio
from msgspec import Struct

from finchway.feed import ClusterView, Feed, GatewayHeartbeat, PackedFeed, Subscribe
from finchway.gateway._bounds import Bounds
from finchway.gateway._feed_log import FeedLog
from finchway.gateway._forward import Forwarder
from finchway.gateway._header_names import HeaderNames
from finchway.gateway._http import HttpServer
from finchway.gateway._reach_monitor import ReachMonitor
from finchway.gateway._reports import ReportSender
from finchway.gateway._request_log import RequestLog
from finchway.gateway._router import Router
from finchway.gateway._session import GatewaySession
from finchway.gateway._suspects import SuspectTracker
from finchway.gateway._table import UpstreamTable
from finchway.observe import (
    DecisionLog,
    GatewayMetrics,
    GatewayState,
    LoopLag,
    ProcessChanged,
    RetryTotals,
)
from finchway.policy import PlannedStop
from finchway.transport import ClientBudget, Link

DIRECTORY_TTLS_SERVED = 3.0
# Time before the process is killed at which a stop ends the requests that are left, and the time in
# which their callers are told so.
STOP_MARGIN_S = 0.15
LAST_ANSWERS_S = 0.05


class GatewaySettings(Struct, frozen=True, kw_only=True):
    """The identity and addresses of a gateway."""

    name: str
    address: str
    zone: str
    region: str
    peer: str = ""


class GatewayRole:
    """Runs a gateway, and stops it without cutting off requests."""

    def __init__(
        self,
        settings: GatewaySettings,
        zones: Callable[[], dict[str, str]],
        seeds: Callable[[], list[str]],
        link: Link,
        bounds: Bounds,
        names: HeaderNames,
        decisions: DecisionLog,
        budget: ClientBudget | None = None,
    ) -> None:
        self._bounds = bounds
        self._budget = budget or ClientBudget()
        self._metrics = GatewayMetrics(settings.name)
        self._decisions = decisions
        self._lag = LoopLag()
        self._view = ClusterView()
        self._table = UpstreamTable(settings.name, zones, self._view, bounds, decisions)
        self._router = Router(settings.zone, zones, self._view, self._table, bounds)
        log = RequestLog(
            self._view, decisions, self._metrics, self._lag, lambda: self._table.reach.contact_at
        )
        self._reports = ReportSender(link, lambda: self._session.reachable_replicas)
        self._suspects = SuspectTracker(self._view, self._table, log, self._reports.put)
        self._forwarder = Forwarder(
            self._view,
            self._table,
            self._router,
            names,
            log,
            self._suspects,
            bounds.apply_within,
        )
        heartbeat = GatewayHeartbeat(
            name=settings.name,
            incarnation=uuid.uuid4().hex[:12],
            address=settings.address,
            zone=settings.zone,
            region=settings.region,
            peer=settings.peer,
        )
        self._session = GatewaySession(
            heartbeat,
            link,
            self._view,
            seeds,
            self._router.rates,
            FeedLog(decisions, self._metrics, self._lag),
            self._suspects.update,
            self._table.limits.reports_to_send,
            self._table.limits.merge,
            lambda: self._table.reach.is_cut_off,
        )
        self._monitor = ReachMonitor(
            self._table,
            decisions,
            self._metrics,
            lambda: self._session.is_link_congested,
            self._apply_reach,
        )
        self._table.limits.on_lowered(self._session.repoll)
        self._server = HttpServer(
            settings.address,
            self._forwarder.serve,
            lambda: self._view.steering.catalog.limits,
            on_left=self._metrics.count_left,
            budget=self._budget,
            on_refused=functools.partial(log.record_refused_unread, names.request_id),
        )

    @property
    def view(self) -> ClusterView:
        """The state that the gateway has received from replicas."""
        return self._view

    @property
    def is_ready(self) -> bool:
        """Whether the gateway accepts callers' requests."""
        return self._view.is_ready and not self._session.is_leaving

    def render_metrics(self) -> bytes:
        """Return the gateway's metrics in the Prometheus text format."""
        now = trio.current_time()
        state = GatewayState(
            revision=self._view.steering.revision,
            feed_age_s=round(now - self._view.last_contact_at, 3),
            known_age_s=round(now - self._view.current_as_of, 3),
            is_cut_off=self._table.reach.is_cut_off,
            contact_age_s=round(now - self._table.reach.contact_at, 3),
            loop_lag_s=round(self._lag.max_s, 3),
            in_flight=self._forwarder.in_flight,
            connections=self._server.connections,
            upstream_connections_opened=self._table.opened,
            upstreams=self._table.states(),
            gateways=len(self._view.serving),
            log_lines_dropped=self._decisions.writer.dropped,
            suspects=len(self._view.steering.suspects),
            reports_waiting=self._reports.waiting,
            reports_dropped=self._reports.dropped,
            upstreams_resting=len(self._table.backoffs.backed_off(now)),
            limits=self._table.limits.totals(self._table.records, now),
            clients=self._budget.state.gauges,
            retries={
                service: RetryTotals(budget.granted, round(budget.left, 2))
                for service, budget in self._router.budget_states(now).items()
            },
        )
        return self._metrics.render(state)

    async def relay(self, request: Subscribe) -> Feed | PackedFeed:
        """Relay the poll of a peer that reaches no replica; raises `UnavailableError`."""
        return await self._session.relay(request)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._lag.run)
            nursery.start_soon(self._session.run)
            nursery.start_soon(self._suspects.run)
            nursery.start_soon(self._reports.run)
            nursery.start_soon(self._monitor.run)
            await nursery.start(self._server.run)
            task_status.started()

    def _apply_reach(self) -> None:
        """Act on a conclusion on whether upstreams are in reach, and report it at once."""
        if self._table.reach.is_cut_off:
            self._forwarder.give_up_waiting()
        self._session.repoll()

    async def drain_and_stop(self, told_at: float) -> None:
        """Withdraw, serve callers with cached directory answers, then drain requests in flight.

        The stop is timed from `told_at`, when its signal arrived.
        """
        grace = self._bounds.grace
        serve_for = min(DIRECTORY_TTLS_SERVED * self._bounds.directory_ttl + 0.3, grace / 2)
        stop = PlannedStop.begin(
            told_at=told_at, ends_at=told_at + grace - STOP_MARGIN_S, serve_for=serve_for
        )
        self._forwarder.begin_stop(stop)
        self._session.start_leaving()
        self._server.begin_drain()
        await trio.sleep_until(told_at + serve_for)
        with trio.move_on_at(stop.ends_at + LAST_ANSWERS_S):
            await self._server.stop()
        cut_off = self._forwarder.end_stop()
        self._decisions.write(ProcessChanged(change="drained", detail=f"cut off {cut_off}"))
        self._table.close()
