"""The entry role of a process: composition, metrics and graceful shutdown."""

from __future__ import annotations

import random
import uuid
from collections.abc import Awaitable, Callable

import trio

from finchway._settings import Settings
from finchway.entry._app import EntryApp, EntryState
from finchway.entry._claims import ClaimClient
from finchway.entry._dispatch import Dispatcher
from finchway.entry._probe import Prober, platform_source
from finchway.entry._session import ControlSession, EntryIdentity
from finchway.entry._upstream import UpstreamClient
from finchway.entry._view import EntryView
from finchway.membership import LeaseTiming
from finchway.observe import Metrics, Timeline
from finchway.policy import Holder, LoanTiming, PlannedStop
from finchway.transport import Link

# Time for which a leaving entry serves beyond the time to live of steering answers, for answers
# that were in transit when it was withdrawn.
STEER_GRACE_S = 1.0


class EntryRole:
    """Runs the components of an entry, and shuts down without interrupting requests."""

    def __init__(
        self,
        settings: Settings,
        link: Link,
        timeline: Timeline,
        metrics: Metrics,
        rng: random.Random,
        lease: LeaseTiming,
    ) -> None:
        self._settings = settings
        self._link = link
        self._timeline = timeline
        self._metrics = metrics
        timing = LoanTiming(ttl=settings.loan_s, margin=settings.clock_margin_s)
        holder = Holder(settings.instance, timing, trio.current_time())
        self._view = EntryView(settings.instance, settings.zone, rng, holder)
        self._client = UpstreamClient()
        identity = EntryIdentity(
            settings.instance,
            uuid.uuid4().hex[:12],
            settings.entry_address,
            settings.peer_address,
            settings.zone,
        )
        self._identity = identity
        self.session = ControlSession(
            identity,
            self._view,
            link,
            list(settings.control_peers) or [settings.peer_address],
            lease,
            timeline,
            rng,
            settings.isolated_after_s,
            lambda: self._view.gate.in_flight,
            settings.relay_above,
        )
        self.started = trio.Event()
        self.app: EntryApp | None = None
        self._dispatcher: Dispatcher | None = None
        self._claims: ClaimClient | None = None

    async def run(self) -> None:
        """Run the entry's background tasks until cancelled."""
        settings = self._settings
        platform = settings.platform_address
        source = platform_source(platform) if platform else None
        async with trio.open_nursery() as nursery:
            self._claims = ClaimClient(self._identity.holder, self.session.submit, nursery)
            self._dispatcher = Dispatcher(
                self._view,
                self._client,
                self._claims,
                self._timeline,
                self._metrics,
                lambda: not self.session.is_isolated,
            )
            state = EntryState(
                lambda: self.session.is_confirmed,
                lambda: self.session.has_lease,
                lambda: self.session.is_leaving or self._view.is_drained,
                self._update_metrics,
            )
            self.app = EntryApp(self._view, self._dispatcher, self._metrics, state)
            prober = Prober(
                self._view,
                self._client,
                self._timeline,
                source,
                settings.instance,
                lambda: self.session.is_leader_reachable,
            )
            nursery.start_soon(self.session.run)
            nursery.start_soon(self._dispatcher.run)
            nursery.start_soon(prober.run)
            self.started.set()

    async def drain_and_stop(
        self, told_at: float, limit_s: float, stop_server: Callable[[], Awaitable[None]]
    ) -> None:
        """Shut down gracefully within `limit_s` of the stop signal, which arrived at `told_at`.

        Withdraws from steering answers, waits until cached ones have expired and completes
        in-flight requests. `stop_server` closes the callers' connections once they are served.
        """
        max_ttl_s = max(
            (s.spec.steer_ttl_ms / 1000 for s in self._view.store.of_kind("service")),
            default=0.0,
        )
        serve_for = max_ttl_s + STEER_GRACE_S
        stop = PlannedStop.begin(told_at=told_at, ends_at=told_at + limit_s, serve_for=serve_for)
        self.app.begin_stop(stop)
        self.session.start_leaving()
        with trio.move_on_at(stop.ends_at):
            await self.session.send_heartbeat()
            await trio.sleep(serve_for)
            await stop_server()
            while self.app.concurrent_requests or self._claims.unsettled:
                await trio.sleep(0.05)
        with trio.move_on_after(1.0):
            await self.session.send_heartbeat(stopped=True)

    def _update_metrics(self) -> None:
        self._metrics.set_state("revision", self._view.revision)
        self._metrics.set_state("in_flight", self._view.gate.in_flight)
        self._metrics.set_state("link_sent_bytes", self._link.sent_bytes)
        self._metrics.set_state("link_received_bytes", self._link.received_bytes)
        self._metrics.set_state("has_lease", float(self.session.has_lease))
        self._metrics.set_state(
            "upstreams_out_of_reach", float(self._view.is_cut_off(trio.current_time()))
        )
        self._metrics.set_state("unsettled_claims", self._claims.unsettled)
