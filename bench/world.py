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

from bench.history import Got, History, Leaving, Limit, Ran, Shift
from bench.shapes import Shape, client_of, resources_of, zones_of
from finchway.entry import (
    Answer,
    Call,
    CallError,
    ClaimDesk,
    ControlSession,
    Dispatcher,
    EntryIdentity,
    EntryView,
    Facts,
    Prober,
    UpstreamError,
)
from finchway.entry._probe import HEALTH_PATH
from finchway.exceptions import FinchwayError, TransportError
from finchway.membership import (
    Coordinator,
    Heartbeat,
    LeaseTiming,
    PlatformList,
    changes_since,
)
from finchway.observe import LogicalClock, Metrics, Timeline
from finchway.policy import Caller, Holder, LoanTiming, Outcome, RetryBudget, client_block
from finchway.policy import Directory as UpstreamDirectory
from finchway.state import DeleteResource, PutResource, StateMachine
from finchway.transport import (
    Changes,
    FetchChanges,
    HeartbeatBatch,
    HeartbeatBatchReply,
    Submit,
    Submitted,
)

PLAN_INTERVAL_S = 0.1
CONTROL = "control"


def now_ms() -> int:
    """Return virtual time in milliseconds."""
    return int(trio.current_time() * 1000)


def peer_address(name: str) -> str:
    """Return the address of an entry or of control in the fake network."""
    return name if name == CONTROL else f"10.8.0.{int(name.removeprefix('e'))}:80"


class Network:
    """Messages between processes: latency by region, cuts in one or both directions."""

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.handlers: dict[str, Callable] = {}
        self.regions: dict[str, str] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.messages = 0
        self.bytes: dict[str, int] = {}

    def latency_s(self, source: str, target: str) -> float:
        """Return the one-way time between two processes."""
        same = self.regions.get(source) == self.regions.get(target)
        return (self.shape.zone_ms if same else self.shape.region_ms) / 1000

    def cut(self, one: str, other: str, both: bool = True) -> None:
        """Lose all messages from one process to another, in silence."""
        one, other = peer_address(one), peer_address(other)
        self.cuts.add((one, other))
        if both:
            self.cuts.add((other, one))

    def isolate(self, name: str, both: bool = True) -> None:
        """Cut one process off from all others."""
        own = peer_address(name)
        for other in self.handlers:
            if other != own:
                self.cuts.add((own, other))
                if both:
                    self.cuts.add((other, own))

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()

    async def carry(self, source: str, target: str) -> None:
        """Carry a message, or lose it."""
        await trio.sleep(self.latency_s(source, target))
        if (source, target) in self.cuts or target not in self.handlers:
            await trio.sleep_forever()


class FakeLink:
    """The link of one process on the fake network."""

    def __init__(self, name: str, network: Network, measure: bool = False) -> None:
        self._name = name
        self._network = network
        self._measure = measure

    async def request(self, address: str, body: Any, timeout: float) -> Any:
        """Send a request; raises `TransportError` when no answer comes in time."""
        self._network.messages += 1
        if self._measure:
            size = len(msgspec.msgpack.encode(body))
            self._network.bytes[self._name] = self._network.bytes.get(self._name, 0) + size
        with trio.move_on_after(max(0.0, timeout)):
            await self._network.carry(self._name, address)
            reply = await self._network.handlers[address](body, self._name)
            await self._network.carry(address, self._name)
            return reply
        raise TransportError(f"no answer from {address}")


class FakeControl:
    """The leader's decisions over a state machine whose log always commits, until it is lost."""

    def __init__(self, network: Network, region: str, lease: LeaseTiming) -> None:
        self.machine = StateMachine()
        self.network = network
        self.lease = lease
        self.commit_s = 2 * network.shape.region_ms / 1000
        self.available = True
        self.asked = 0
        self.coordinator: Coordinator | None = None
        self.shifts: list[Shift] = []
        network.handlers[CONTROL] = self.handle
        network.regions[CONTROL] = region

    def elect(self) -> None:
        """Start as a new leader that knows nothing but the replicated state."""
        self.coordinator = Coordinator(self.machine, trio.current_time(), self.lease, LoanTiming())

    async def handle(self, body: Any, sender: str) -> Any:
        """Answer an entry."""
        self.asked += 1
        if not self.available:
            await trio.sleep_forever()
        match body:
            case Heartbeat():
                return self.coordinator.answer(body, trio.current_time())
            case HeartbeatBatch(heartbeats=heartbeats):
                now = trio.current_time()
                answers = [
                    self.coordinator.answer(h, now, index == 0)
                    for index, h in enumerate(heartbeats)
                ]
                return HeartbeatBatchReply(replies=answers)
            case Submit(command=command):
                await trio.sleep(self.commit_s)
                if not self.available:
                    await trio.sleep_forever()
                return Submitted(result=self.machine.apply(command))
            case FetchChanges(since=since):
                changes, snapshot = changes_since(self.machine, since)
                revision = self.machine.revision
                return Changes(revision=revision, changes=changes, snapshot=snapshot)
        raise FinchwayError("not for control")

    async def run(self) -> None:
        """Plan until cancelled."""
        self.elect()
        while True:
            await trio.sleep(PLAN_INTERVAL_S)
            if not self.available:
                continue
            for command in self.coordinator.plan(trio.current_time(), now_ms()):
                self.machine.apply(command)

    def put(
        self, kind: str, name: str, spec: dict, expected: int | None = None, change_id=""
    ) -> Any:
        """Accept a change as the resource API would."""
        command = PutResource(
            now_ms=now_ms(),
            kind=kind,
            name=name,
            spec=msgspec.json.encode(spec),
            expected=expected,
            change_id=change_id,
            operator="test",
        )
        return self.machine.apply(command)

    def delete(self, kind: str, name: str) -> Any:
        """Delete a resource as the resource API would."""
        return self.machine.apply(
            DeleteResource(now_ms=now_ms(), kind=kind, name=name, operator="test")
        )


class Gauge:
    """A count with its peak, and its mean over time."""

    def __init__(self) -> None:
        self.level = 0
        self.peak = 0
        self._area = 0.0
        self._since = self._changed = trio.current_time()

    def add(self, step: int) -> None:
        """Change the count."""
        now = trio.current_time()
        self._area += self.level * (now - self._changed)
        self._changed = now
        self.level += step
        self.peak = max(self.peak, self.level)

    @property
    def mean(self) -> float:
        """The mean count since the start."""
        span = self._changed - self._since
        return self._area / span if span > 0 else 0.0


class Upstream:
    """A fake upstream on virtual time: slots, a queue, a load report that lags, failures."""

    def __init__(self, address: str, region: str, service: str, mean_s: float, rng) -> None:
        self.address = address
        self.region = region
        self.service = service
        self.mean_s = mean_s
        self.rng = rng
        self.slots = trio.CapacityLimiter(4)
        self.in_flight = 0
        self.peak = 0
        self.alive = True
        self.silent = False
        self.misleading = False
        self.frozen = False
        self.leaving = False
        self.leaving_in_health = False
        self.cut_every = 0
        self.late_every = 0
        self.served = 0
        self.cold_until = 0.0
        self.incarnation = "1"
        self.report = 0.0
        self.ran: list[Ran] = []

    async def lag(self, delay_s: float) -> None:
        """Refresh the load report every `delay_s`, so that it lags."""
        while True:
            if not self.frozen:
                self.report = 0.0 if self.misleading else self.in_flight / 4
            await trio.sleep(delay_s)

    def die(self) -> None:
        """End the upstream; what it was running breaks off."""
        self.alive = False

    def restart(self) -> None:
        """Come back as a new life, with a cold cache."""
        self.alive = True
        self.incarnation += "x"
        self.cold_until = trio.current_time() + 2.0

    def health(self) -> str:
        """What the health endpoint answers."""
        leaving = self.leaving or self.leaving_in_health
        health = {"load": self.report, "leaving": leaving, "incarnation": self.incarnation}
        return msgspec.json.encode(health).decode()

    def facts(self) -> Facts:
        """What the upstream says of itself."""
        return Facts(self.incarnation, self.report, self.leaving and not self.misleading)


class WorldClient:
    """Connections of one entry to the fake upstreams."""

    def __init__(self, world: World, region: str) -> None:
        self._world = world
        self._region = region

    @asynccontextmanager
    async def open(self, address, method, target, headers, body) -> AsyncIterator[WorldReply]:
        """Send a request to a fake upstream."""
        upstream = self._world.upstreams[address]
        shape = self._world.shape
        far = upstream.region != self._region
        delay = (shape.region_ms if far else shape.zone_ms) / 1000
        await trio.sleep(delay)
        if not upstream.alive:
            raise UpstreamError(Outcome.NOT_RUN, f"no connection to {address}")
        if upstream.silent:
            await trio.sleep_forever()
        if target == HEALTH_PATH:
            await trio.sleep(delay)
            yield WorldReply(upstream.facts(), upstream.health())
            return
        call, key = _fields(headers)
        upstream.in_flight += 1
        upstream.peak = max(upstream.peak, upstream.in_flight)
        gauge = self._world.region_gauge(upstream)
        gauge.add(1)
        try:
            async with upstream.slots:
                started = trio.current_time()
                warm = 3.0 if started < upstream.cold_until else 1.0
                needed = warm * upstream.rng.expovariate(1 / upstream.mean_s)
                run = Ran(call, key, address, upstream.region, upstream.service, started, 0.0)
                upstream.ran.append(run)
                await trio.sleep(needed)
                ended = msgspec.structs.replace(run, ended=trio.current_time())
                upstream.ran[upstream.ran.index(run)] = ended
        finally:
            upstream.in_flight -= 1
            gauge.add(-1)
        if not upstream.alive:
            raise UpstreamError(Outcome.UNKNOWN, f"{address} died")
        upstream.served += 1
        if upstream.late_every and upstream.served % upstream.late_every == 0:
            await trio.sleep(1.5)
        if upstream.cut_every and upstream.served % upstream.cut_every == 0:
            raise UpstreamError(Outcome.UNKNOWN, f"{address} cut its answer")
        await trio.sleep(delay)
        yield WorldReply(upstream.facts(), call)

    async def keep_only(self, addresses: set[str]) -> None:
        """Do nothing: the fake keeps no connections."""


class WorldReply:
    """An answer of a fake upstream: it names the call that it belongs to."""

    def __init__(self, facts: Facts, call: str) -> None:
        self.facts = facts
        self.status = 200
        self.headers: list = []
        self._call = call

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        yield self._call.encode()


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
                desk = ClaimDesk(self.identity.holder, self.session.submit, nursery)
                self.dispatcher = Dispatcher(
                    self.view,
                    self.client,
                    desk,
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
                    lambda: self.session.is_in_touch,
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
        await self.session.beat(stopped=True)
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


def _fields(headers) -> tuple[str, str]:
    fields = dict(headers)
    return fields.get(b"x-call", b"").decode(), fields.get(b"x-key", b"").decode()
