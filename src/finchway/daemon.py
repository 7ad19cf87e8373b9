"""`finchwayd`: assembles the components of one process and runs them.

The roles' packages are imported when a role starts. Gateways are restarted often, and loading what
only entries and replicas need would take a good part of their start.
"""

from __future__ import annotations

import logging
import os
import random
import sys
import time
from typing import TYPE_CHECKING

import trio
from absl import flags

from finchway._clock import BootClock
from finchway._settings import CONTROL, ENTRY, GATEWAY, Settings, define_flags, read_settings
from finchway._signals import SignalHandlers
from finchway.exceptions import FinchwayError, StorageDamagedError
from finchway.feed import Subscribe
from finchway.gateway import GatewayRole, GatewaySettings
from finchway.membership import Heartbeat, LeaseTiming
from finchway.observe import (
    DecisionLog,
    EventKind,
    LogicalClock,
    LogWriter,
    Metrics,
    ProcessChanged,
    ReplicaMetrics,
    Timeline,
    configure_logs,
)
from finchway.policy import LoanTiming
from finchway.replication import (
    Identity,
    Member,
    Storage,
    Timing,
    create_identity,
    load_identity,
    require_identity,
    set_aside_damaged_folder,
)
from finchway.surface import Surface
from finchway.transport import (
    AnyBody,
    ClientBudget,
    ClientLimitLog,
    Events,
    FetchChanges,
    FetchEvents,
    Join,
    Link,
    load_keys,
)

if TYPE_CHECKING:
    from finchway.control import ControlServer, ReplicaRunner, ResourceApi
    from finchway.entry import EntryApp, EntryRole
    from finchway.gateway import HttpServer
    from finchway.transport import AppServer

_LOG = logging.getLogger(__name__)
# Calls still open after this time are cancelled at shutdown; watches never finish on their own.
_API_STOP_TIMEOUT_S = 1.0
# The same for a surface's servers: an order gets its answer within 3 s, confirmed or not.
_SURFACE_STOP_TIMEOUT_S = 3.3


class Process:
    """One `finchwayd` process: its peer link, its roles and its graceful shutdown."""

    def __init__(
        self,
        settings: Settings,
        surface: Surface | None = None,
        writer: LogWriter | None = None,
    ) -> None:
        self._settings = settings
        self._writer = writer or LogWriter()
        self._decisions = DecisionLog(settings.instance, self._writer)
        self._surface = surface or Surface()
        self._gateway: GatewayRole | None = None
        self._clock = LogicalClock()
        self._timeline = Timeline(settings.instance, self._clock, lambda: int(time.time() * 1000))
        self._budget = ClientBudget(settings.memory_mb, settings.max_descriptors)
        self._metrics = Metrics(settings.instance, lambda: self._budget.state.gauges)
        self._budget.on_limited(ClientLimitLog(self._budget, self._decisions).record)
        keys = load_keys(settings.keys_file) if settings.keys_file else None
        self._link = Link(settings.instance, settings.peer_bind, self._handle, self._clock, keys)
        self._rng = random.Random()
        self._control: ControlServer | None = None
        self._entry: EntryRole | None = None
        self._entry_server: AppServer | None = None
        self._api_server: AppServer | None = None
        self._surface_servers: list[HttpServer] = []
        self._stop = trio.Event()

    async def run(self) -> None:
        """Run until a stop signal arrives, then shut down gracefully."""
        with SignalHandlers(self._stop.set, self._reload) as signals:
            async with trio.open_nursery() as nursery:
                await self._start(nursery)
                await self._stop.wait()
                self._decisions.write(ProcessChanged(change="stopping"))
                await self._shut_down(signals.stopped_at)
                self._decisions.write(ProcessChanged(change="stop"))
                nursery.cancel_scope.cancel()

    async def _start(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._writer.run)
        await nursery.start(self._link.run)
        if CONTROL in self._settings.roles:
            await self._start_control(nursery)
        if ENTRY in self._settings.roles:
            await self._start_entry(nursery)
        if GATEWAY in self._settings.roles:
            await self._start_gateway(nursery)
        roles = ",".join(self._settings.roles)
        self._timeline.record(EventKind.STARTED, self._settings.instance, roles)
        self._decisions.write(ProcessChanged(change="start", detail=roles))

    def _reload(self) -> None:
        self._surface.reload()
        self._decisions.write(ProcessChanged(change="reload"))

    async def _shut_down(self, told_at: float) -> None:
        self._timeline.record(EventKind.STOPPING, self._settings.instance)
        for server in self._surface_servers:
            server.begin_drain()
        if self._entry is not None:
            self._entry_server.begin_drain()
            limit_s = self._settings.drain_limit_s
            await self._entry.drain_and_stop(told_at, limit_s, self._entry_server.stop)
        if self._gateway is not None:
            await self._gateway.drain_and_stop(told_at)
        if self._control is not None:
            target = self._control.runner.transfer()
            if target is not None:
                with trio.move_on_after(2 * self._settings.election_s):
                    while self._control.runner.is_leader:
                        await trio.sleep(0.02)
        await self._stop_serving_calls()
        self._timeline.record(EventKind.STOPPED, self._settings.instance)
        await trio.sleep(0.05)

    async def _stop_serving_calls(self) -> None:
        """Answer the calls that have been read, and close the servers that take them."""
        async with trio.open_nursery() as nursery:
            for server in self._surface_servers:
                nursery.start_soon(_stop_within, _SURFACE_STOP_TIMEOUT_S, server)
            if self._api_server is not None:
                nursery.start_soon(_stop_within, _API_STOP_TIMEOUT_S, self._api_server)

    async def _start_surface(self, servers: list[HttpServer], nursery: trio.Nursery) -> None:
        for server in servers:
            await nursery.start(server.run)
            self._surface_servers.append(server)

    async def _handle(self, body: AnyBody, sender: str) -> AnyBody | None:
        if isinstance(body, FetchEvents):
            events = self._timeline.since(body.since, body.limit)
            next_sequence = events[-1].sequence if events else min(body.since, self._timeline.last)
            return Events(instance=self._settings.instance, events=events, next=next_sequence)
        to_entry = isinstance(body, FetchChanges | Heartbeat) and self._control is None
        if self._entry is not None and to_entry:
            return await self._entry.session.handle(body, sender)
        if isinstance(body, Subscribe) and self._control is None and self._gateway is not None:
            return await self._gateway.relay(body)
        if self._control is not None:
            return await self._control.handle(body, sender)
        raise FinchwayError(f"{self._settings.instance} cannot answer {type(body).__name__}")

    async def _start_control(self, nursery: trio.Nursery) -> None:
        from finchway.control import ControlServer, ResourceApi, SteeringService
        from finchway.entry import platform_source

        settings = self._settings
        runner = await self._open_replica()
        platform = settings.platform_address
        self._control = ControlServer(
            runner,
            self._link,
            self._timeline,
            self._lease_timing(),
            LoanTiming(ttl=settings.loan_s, margin=settings.clock_margin_s),
            platform_source(platform) if platform else None,
            settings.bounds.voters if settings.open_joining else 0,
            settings.bounds.heartbeat,
        )
        metrics = ReplicaMetrics(settings.instance)
        steering = SteeringService(self._control, self._decisions, metrics, self._budget)
        await self._start_surface(self._surface.control_servers(steering, self._budget), nursery)
        if not settings.api_address:
            nursery.start_soon(self._control.run)
            return
        api = ResourceApi(
            self._control,
            steering,
            self._link,
            self._timeline,
            self._metrics,
            settings.peer_address,
        )
        nursery.start_soon(self._control.run)
        self._api_server = self._make_server(settings.api_address, api, times_arrivals=True)
        await nursery.start(self._api_server.run)

    async def _open_replica(self) -> ReplicaRunner:
        """Open the data folder; a replica without usable data joins under a new incarnation.

        Raises `NotBootstrappedError` if the folder is empty and no other replica is configured.
        """
        from finchway.control import found_cluster

        settings = self._settings
        folder = settings.data_folder
        others = self._other_peers()
        try:
            identity = load_identity(folder, settings.instance)
            if identity is not None:
                return self._make_runner(identity)
        except StorageDamagedError as error:
            if not others:
                raise
            quarantined = set_aside_damaged_folder(folder)
            _LOG.error(
                "%s; moved to %s, rejoining the cluster as a new replica", error, quarantined
            )
        founders = dict(settings.founders)
        if settings.founding and settings.instance in founders:
            return self._make_runner(found_cluster(folder, settings.instance, founders))
        if not others:
            require_identity(folder, settings.instance)
        cluster = await self._find_cluster()
        return self._make_runner(create_identity(folder, settings.instance, cluster))

    def _make_runner(self, identity: Identity) -> ReplicaRunner:
        from finchway.control import ReplicaRunner

        settings = self._settings
        return ReplicaRunner(
            identity,
            settings.peer_address,
            Storage(settings.data_folder / "log"),
            self._link,
            self._timeline,
            Timing(heartbeat=settings.election_s / 10, election=settings.election_s),
            self._other_peers,
            self._rng,
        )

    def _other_peers(self) -> list[str]:
        peers = {*self._settings.control_peers, *self._surface.seeds()}
        return sorted(peers - {self._settings.peer_address})

    async def _find_cluster(self) -> str:
        member = Member(self._settings.instance, "", self._settings.peer_address)
        while True:
            for peer in self._other_peers():
                try:
                    reply = await self._link.request(peer, Join(member=member), timeout=1.0)
                    return reply.cluster
                except FinchwayError as error:
                    _LOG.info("cannot join the cluster yet, retrying: %s", error)
            await trio.sleep(0.2)

    async def _start_entry(self, nursery: trio.Nursery) -> None:
        from finchway.entry import EntryRole

        self._entry = EntryRole(
            self._settings,
            self._link,
            self._timeline,
            self._metrics,
            self._rng,
            self._lease_timing(),
        )
        nursery.start_soon(self._entry.run)
        await self._entry.started.wait()
        self._entry_server = self._make_server(self._settings.entry_address, self._entry.app)
        await nursery.start(self._entry_server.run)

    async def _start_gateway(self, nursery: trio.Nursery) -> None:
        settings = self._settings
        self._gateway = GatewayRole(
            GatewaySettings(
                name=settings.instance,
                address=settings.gateway_address,
                zone=settings.zone,
                region=settings.region,
                peer=settings.peer_address,
            ),
            lambda: self._settings.zones | self._surface.zones(),
            self._other_peers,
            self._link,
            settings.bounds,
            self._surface.header_names,
            self._decisions,
            self._budget,
        )
        await self._start_surface(
            self._surface.gateway_servers(self._gateway, self._budget), nursery
        )
        await nursery.start(self._gateway.run)

    def _make_server(
        self, address: str, app: EntryApp | ResourceApi, times_arrivals: bool = False
    ) -> AppServer:
        from hypercorn.config import Config

        from finchway.transport import AppServer

        settings = self._settings
        config = Config()
        config.errorlog = logging.getLogger("hypercorn.error")
        config.accesslog = None
        config.keep_alive_timeout = 30
        config.h11_max_incomplete_size = 32 * 1024
        config.include_server_header = False
        if settings.tls_certificate and settings.tls_key:
            config.certfile = str(settings.tls_certificate)
            config.keyfile = str(settings.tls_key)
        return AppServer(
            address,
            app,
            config,
            self._budget,
            self._metrics.count_connection_failure,
            self._metrics.count_left,
            times_arrivals,
        )

    def _lease_timing(self) -> LeaseTiming:
        settings = self._settings
        return LeaseTiming(
            interval=settings.heartbeat_s, lease=settings.lease_s, margin=settings.clock_margin_s
        )


def main(arguments: list[str] | None = None) -> None:
    """Run `finchwayd`; exits with status 2 if the settings are invalid."""
    values = flags.FlagValues()
    define_flags(values)
    argv = ["finchwayd", *(sys.argv[1:] if arguments is None else arguments)]
    if {"--help", "-h", "--helpfull"} & set(argv):
        print("finchwayd: an entry or control process of finchway\n")
        print(values.main_module_help() or values.get_help())
        return
    try:
        unexpected = values(argv)[1:]
        if unexpected:
            raise flags.Error(f"unexpected argument {unexpected[0]!r}")
        settings = read_settings(values, os.environ)
        trio.run(run_process, settings, clock=BootClock())
    except flags.Error as error:
        print(f"finchwayd: {error}", file=sys.stderr)
        sys.exit(2)
    except FinchwayError as error:
        print(f"finchwayd: {error}", file=sys.stderr)
        if error.hint:
            print(f"hint: {error.hint}", file=sys.stderr)
        sys.exit(error.exit_code)


async def run_process(settings: Settings, surface: Surface | None = None) -> None:
    """Run one process until a stop signal arrives; raises the `FinchwayError` that ended it."""
    writer = LogWriter()
    configure_logs(settings.instance, settings.log_level, settings.log_json, writer)
    try:
        await Process(settings, surface, writer).run()
    except* FinchwayError as group:
        raise _first_leaf(group) from None
    finally:
        writer.finish()


async def _stop_within(seconds: float, server: HttpServer | AppServer) -> None:
    with trio.move_on_after(seconds):
        await server.stop()


def _first_leaf(group: BaseException) -> BaseException:
    while isinstance(group, BaseExceptionGroup):
        group = group.exceptions[0]
    return group


if __name__ == "__main__":
    main()
