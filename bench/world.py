"""A small world on virtual time: real entries and decisions, fake network, upstreams and callers.

Only what lies beyond an interface is a fake: the link between processes, the replicated log behind
the leader's decisions, the connections to upstreams. Run it under `trio.testing.MockClock`.
"""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import trio
from msgspec import Struct

from bench.history import Got, History, Leaving, Limit, Shift
from bench.shapes import Shape, client_of, resources_of, zones_of
from bench.surroundings import (
    CONTROL,
    FakeControl,
    FakeLink,
    Gauge,
    Network,
    Upstream,
    WorldClient,
    now_ms,
    peer_address,
)
from finchway.entry import (
    Answer,
    Call,
    CallError,
    ClaimClient,
    ControlSession,
    Dispatcher,
    EntryIdentity,
    EntryView,
    Prober,
    UpstreamError,
)
from finchway.membership import (
    LeaseTiming,
    PlatformList,
)
from finchway.observe import LogicalClock, Metrics, Timeline
from finchway.policy import Caller, Holder, LoanTiming, RetryBudget, client_block
from finchway.policy import Directory as UpstreamDirectory


class WholeBody:
    """A caller's body that is held whole."""

    def __init__(self, data: bytes = b"") -> None:
        self.held = data
        self.is_whole = True


class Listing(Struct):
    """What the fake platform lists."""

    live: list[str]
    leaving: list[str]


class Options(Struct):
    """How the world is built; the makers put baselines in place of the product's decisions."""

    entries: int = 12
    seed: int = 1
    report_lag_s: float = 0.1
    make_holder: Callable[..., Holder] | None = None
    make_directory: Callable[[random.Random], UpstreamDirectory] | None = None
    make_budget: Callable[[], RetryBudget] = RetryBudget
    use_ranks: bool = True
    overrides: dict[str, Any] = {}
    headroom: float = 0.1
    inbound_percent: float = 20.0
    window_s: float = 30.0
    lease: LeaseTiming = LeaseTiming()
    isolated_after_s: float = 10.0
    measure_bytes: bool = False
    relay_above: int = 32


class Entry:
    """One real entry in the world."""

    def __init__(self, world: World, name: str, zone: str, life: int = 1) -> None:
        self.world = world
        self.name = name
        self.zone = zone
        self.region = dict(zones_of(world.shape))[zone]
        options = world.options
        rng = random.Random(f"{options.seed}/{name}/{life}")
        make_holder = options.make_holder or Holder
        holder = make_holder(name, LoanTiming(), trio.current_time())
        directory = options.make_directory(rng) if options.make_directory else None
        self.view = EntryView(name, zone, rng, holder, directory)
        self.clock = LogicalClock()
        self.timeline = Timeline(name, self.clock, now_ms)
        self.metrics = Metrics(name)
        self.peer = peer_address(name)
        self.identity = EntryIdentity(name, str(life), self.peer, self.peer, zone)
        self.session = ControlSession(
            self.identity,
            self.view,
            FakeLink(self.peer, world.network, options.measure_bytes),
            [CONTROL],
            options.lease,
            self.timeline,
            rng,
            options.isolated_after_s,
            lambda: self.view.gate.in_flight,
            options.relay_above,
        )
        self.scope = trio.CancelScope()
        self.scopes: set[trio.CancelScope] = set()
        self.active = 0
        self.closed = False
        self.revisions: list[int] = []
        self.dispatcher: Dispatcher | None = None
        self.client = WorldClient(world, self.region)

    async def run(self) -> None:
        """Run the entry until it is killed."""
        self.world.network.handlers[self.peer] = self.session.handle
        self.world.network.regions[self.peer] = self.region
        with self.scope:
            async with trio.open_nursery() as nursery:
                claims = ClaimClient(self.identity.holder, self.session.submit, nursery)
                self.dispatcher = Dispatcher(
                    self.view,
                    self.client,
                    claims,
                    self.timeline,
                    self.metrics,
                    lambda: not self.session.is_isolated,
                    self.world.options.make_budget,
                )
                nursery.start_soon(self.session.run)
                prober = Prober(
                    self.view,
                    self.client,
                    self.timeline,
                    self.world.platform_list,
                    self.name,
                    lambda: self.session.is_leader_reachable,
                )
                nursery.start_soon(self.dispatcher.run)
                nursery.start_soon(prober.run)
                nursery.start_soon(self._note_revisions)
                await trio.sleep_forever()

    async def _note_revisions(self) -> None:
        while True:
            self.revisions.append(self.view.revision)
            await trio.sleep(0.1)

    @property
    def is_serving(self) -> bool:
        """Whether callers can connect."""
        return self.dispatcher is not None and not self.closed

    async def leave(self) -> None:
        """Stop as planned: withdraw, wait out cached answers, finish, then end."""
        self.session.start_leaving()
        ttl_s = max(s.spec.steer_ttl_ms for s in self.view.store.of_kind("service")) / 1000
        await trio.sleep(ttl_s + 1.0)
        while self.active:
            await trio.sleep(0.05)
        self.closed = True
        await self.session.send_heartbeat(stopped=True)
        self.kill()

    def kill(self) -> None:
        """End the entry at once; its requests in flight break off."""
        self.closed = True
        for scope in self.scopes:
            scope.cancel()
        self.scope.cancel()
        self.world.network.handlers.pop(self.peer, None)
        self.dispatcher = None


class World:
    """One deployment on virtual time."""

    def __init__(self, shape: Shape, options: Options | None = None) -> None:
        self.shape = shape
        self.options = options or Options()
        self.rng = random.Random(self.options.seed)
        self.network = Network(shape)
        self.control = FakeControl(self.network, shape.regions[0], self.options.lease)
        self.upstreams: dict[str, Upstream] = {}
        self.entries: dict[str, Entry] = {}
        self.got: list[Got] = []
        self.leaving: list[Leaving] = []
        self.gauges: dict[tuple[str, str], Gauge] = {}
        self.skew = 1.0
        self.failed_regions: set[str] = set()
        self.nursery: trio.Nursery | None = None
        names = [f"e{i + 1}" for i in range(self.options.entries)]
        self.listing = Listing(names, [])
        self._calls = 0
        self._steered: dict[tuple[str, str], tuple[float, list[str]]] = {}
        self._lives: dict[str, int] = {}

    @asynccontextmanager
    async def running(self) -> AsyncIterator[World]:
        """Run the world: declare the shape, start entries, wait until shares are settled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self._make_upstreams()
            self._declare()
            nursery.start_soon(self.control.run)
            nursery.start_soon(self._poll_platform)
            zones = [zone for zone, _ in zones_of(self.shape)]
            for index in range(self.options.entries):
                self.start_entry(f"e{index + 1}", zones[index % len(zones)])
            await self.settle()
            yield self
            nursery.cancel_scope.cancel()

    def start_entry(self, name: str, zone: str | None = None) -> Entry:
        """Start an entry, or a new life of one."""
        self._lives[name] = self._lives.get(name, 0) + 1
        zone = zone or self.entries[name].zone
        entry = self.entries[name] = Entry(self, name, zone, self._lives[name])
        self.nursery.start_soon(entry.run)
        return entry

    async def platform_list(self) -> PlatformList:
        """Answer as the platform does, which lags by a second."""
        await trio.sleep(0.01)
        listing = self.listing
        return PlatformList(
            live=[*listing.live], leaving=[*listing.leaving], as_of_ms=now_ms() - 1000
        )

    def platform_drops(self, name: str) -> None:
        """Let the platform list an instance no longer."""
        self.listing.live.remove(name)

    async def settle(self, limit_s: float = 60.0) -> None:
        """Wait until all shares are settled and every entry knows it."""
        with trio.fail_after(limit_s):
            while not self._is_settled():
                await trio.sleep(0.1)
        # One loan term and the longest request, so that the leader lends.
        await trio.sleep(8.0)

    def _is_settled(self) -> bool:
        shares = self.control.machine.store.of_kind("share")
        if not shares or any(s.spec.previous is not None for s in shares):
            return False
        live = [e for e in self.entries.values() if e.dispatcher is not None]
        counted = {m for s in shares for m in s.spec.current.members}
        revision = self.control.machine.revision
        known = all(entry.view.revision >= revision for entry in live)
        return known and bool(counted)

    async def _poll_platform(self) -> None:
        while True:
            await trio.sleep(0.5)
            self.control.coordinator.platform.record(await self.platform_list())

    async def call(
        self, service: str, priority: str, region: str, entry: str = "", key: str = "", number=-1
    ) -> Got:
        """Send one request as a caller of a region would, and note what came of it."""
        self._calls += 1
        call_id = f"call{self._calls}"
        started = trio.current_time()
        client = client_of(region, self._calls if number < 0 else number, self.shape)
        target = self.entries[entry] if entry else self._steer(service, client)
        got = Got(call_id, service, priority, started, 0.0, 0, "", key, home=region)
        if target is None or target.dispatcher is None:
            return self._note(got, started, error="no entry")
        await trio.sleep(self.shape.client_ms / 1000)
        if not target.is_serving:
            return self._note(got, started, error="no connection")
        target.active += 1
        try:
            return await self._exchange(target, got, service, priority, client, key)
        finally:
            target.active -= 1

    async def _exchange(self, target: Entry, got: Got, service, priority, client, key) -> Got:
        started = got.started
        if not target.session.is_confirmed:
            return self._note(got, started, status=503, outcome="not-run", error="not-ready")
        answers: list[Answer] = []

        async def respond(answer: Answer) -> None:
            answers.append(answer)

        call = self._make_call(target, service, priority, client, got.call, key)
        finished = False
        try:
            # A caller is outside the entry: it sees a broken connection if the entry dies.
            with trio.CancelScope() as scope:
                target.scopes.add(scope)
                await target.dispatcher.serve(call, WholeBody(key.encode()), respond)
                finished = True
        except CallError as error:
            await trio.sleep(self.shape.client_ms / 1000)
            return self._note(
                got, started, status=error.status, outcome=error.outcome.value, error=error.kind
            )
        except UpstreamError as error:
            return self._note(got, started, status=502, outcome=error.outcome.value)
        finally:
            target.scopes.discard(scope)
        if not finished or not answers:
            return self._note(got, started, error="broken off")
        await trio.sleep(self.shape.client_ms / 1000)
        answer = answers[0]
        return self._note(
            got,
            started,
            status=200,
            outcome="ran",
            echo=answer.held.decode(),
            region=answer.region,
        )

    async def load(
        self, service: str, rates: dict[str, float], seconds: float, regions: dict[str, float]
    ) -> None:
        """Send requests at Poisson rates by priority, spread over regions by weight."""
        async with trio.open_nursery() as nursery:
            for priority, rate in rates.items():
                nursery.start_soon(self._stream, nursery, service, priority, rate, seconds, regions)

    async def _stream(self, nursery, service, priority, rate, seconds, regions) -> None:
        end = trio.current_time() + seconds
        names, weights = list(regions), list(regions.values())
        while True:
            await trio.sleep(self.rng.expovariate(rate))
            if trio.current_time() >= end:
                return
            region = self.rng.choices(names, weights)[0]
            number = self.rng.randrange(250)
            nursery.start_soon(self.call, service, priority, region, "", "", number)

    def history(self) -> History:
        """Return what the history checker looks at."""
        ran = [run for upstream in self.upstreams.values() for run in upstream.ran]
        return History(
            got=self.got,
            ran=ran,
            limits=self.limits(),
            leaving=self.leaving,
            once_only=frozenset(s.name for s in self.shape.services if s.once_only),
            shifts=self._shifts(),
            cap_percent=self.options.inbound_percent,
            window_s=self.options.window_s,
        )

    def region_gauge(self, upstream: Upstream) -> Gauge:
        """Return what is in flight of a service in a region."""
        return self.gauges.setdefault((upstream.service, upstream.region), Gauge())

    def limits(self) -> list[Limit]:
        """Return peaks and bounds of upstreams, and of services in regions."""
        found = []
        for share in self.control.machine.store.of_kind("share"):
            slots = share.spec.current.slots
            found += [Limit(a, self.upstreams[a].peak, n) for a, n in slots.items()]
            gauge = self.gauges.get((share.spec.service, share.spec.region))
            if gauge is not None:
                found.append(Limit(share.name, gauge.peak, sum(slots.values())))
        return found

    def _shifts(self) -> list[Shift]:
        shifts = []
        for change in self.control.machine.history.changes:
            if change.kind == "move" and change.status is not None and change.status.recent:
                step = change.status.recent[-1]
                spec = change.resource().spec
                region = spec.target if step.percent > 0 else spec.source
                shift = Shift(region, step.at_ms / 1000, abs(step.percent))
                if shift not in shifts:
                    shifts.append(shift)
        return shifts

    def _note(self, got: Got, started: float, **fields: Any) -> Got:
        latency = trio.current_time() - started
        got = msgspec.structs.replace(got, latency_s=latency, **fields)
        self.got.append(got)
        return got

    def _make_call(self, entry: Entry, service, priority, client, call_id, key) -> Call:
        now = trio.current_time()
        view = entry.view
        organisation = f"org-{priority}"
        contract = view.contract(organisation, service)
        rank = view.rank_of(organisation, service, contract, now)
        spec = view.service(service)
        return Call(
            service=service,
            organisation=organisation,
            priority=priority,
            rank=rank if self.options.use_ranks else 0,
            method="POST" if key else "GET",
            target="/",
            headers=[(b"x-call", call_id.encode()), (b"x-key", key.encode())],
            client=client,
            home=view.routes.home_region(client, view.region),
            arrived=now,
            deadline=now + spec.deadline_ms / 1000,
            key=key,
        )

    def _steer(self, service: str, client: str) -> Entry | None:
        """Use a steering answer as a caller does: cached for its time, first entry that is up."""
        key = (service, client)
        expires, names = self._steered.get(key, (0.0, []))
        ready = (e for e in self.entries.values() if e.is_serving and e.session.is_confirmed)
        asked = next(ready, None)
        if trio.current_time() >= expires and asked is not None:
            caller = Caller(client_block(client), "")
            home = asked.view.routes.home_region(client, asked.view.region)
            points = asked.view.routes.steer(service, home, caller)
            names = [point.instance for point in points] or names
            ttl_s = asked.view.service(service).steer_ttl_ms / 1000
            self._steered[key] = (trio.current_time() + ttl_s, names)
        if self.skew > 1.0 and self.rng.random() < (self.skew - 1) / (self.skew + 1):
            # Uneven load: the first half of the entries by name gets that many times the others'.
            names = sorted(names)
        return next((self.entries[n] for n in names if self.entries[n].is_serving), None)

    def _make_upstreams(self) -> None:
        zones = zones_of(self.shape)
        number = 0
        for service in self.shape.services:
            for index in range(service.workers):
                number += 1
                address = f"10.9.{number // 250}.{number % 250 + 1}:80"
                zone, region = zones[index % len(zones)]
                rng = random.Random(f"{self.options.seed}/{address}")
                upstream = Upstream(address, region, service.name, service.service_ms / 1000, rng)
                upstream.zone = zone
                self.upstreams[address] = upstream
                self.nursery.start_soon(upstream.lag, self.options.report_lag_s)

    def _declare(self) -> None:
        addresses: dict[tuple[str, str], list[str]] = {}
        for upstream in self.upstreams.values():
            addresses.setdefault((upstream.service, upstream.zone), []).append(upstream.address)
        for item in resources_of(self.shape, addresses, **self.options.overrides):
            self.control.put(item["kind"], item["name"], item["spec"])
        for service in self.shape.services:
            for region in self.shape.regions:
                spec = {
                    "service": service.name,
                    "region": region,
                    "headroom": self.options.headroom,
                    "inbound_percent": self.options.inbound_percent,
                    "window_s": self.options.window_s,
                }
                self.control.put("capacity", f"{service.name}.{region}", spec)
