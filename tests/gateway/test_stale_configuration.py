"""Gateways and replicas must not treat a stale configuration as current.

Answers to polls that arrive late are still applied, a gateway with an old configuration answers 503
instead of 404 for an unknown route, and a replica confirms only state that it can vouch for.
"""

import itertools
import random
import threading
from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing

from finchway.catalog import Backend, Item, ItemKind, Limits, Route, RouteType, ServiceSpec
from finchway.control import ControlServer, ReplicaRunner, found_cluster
from finchway.control._feed import FeedServer
from finchway.exceptions import TransportError
from finchway.feed import ClusterView, Feed, GatewayHeartbeat, Subscribe
from finchway.gateway import FeedLog, GatewaySession
from finchway.membership import LeaseTiming
from finchway.observe import DecisionLog, GatewayMetrics, LogicalClock, LogWriter, LoopLag, Timeline
from finchway.policy import LoanTiming
from finchway.replication import Append, Entry, EntryKind, Members, Storage, Timing
from finchway.replication._messages import AppendReply
from finchway.state import ChangeItems, Steering, SteeringImage, encode_command
from finchway.transport import Confirm, Confirmed, RaftBody
from tests.gateway.harness import Upstream, gateway, serve_ok

REPLICAS = ["a:1", "b:1", "c:1"]
# Maximum time from a confirmed change until every gateway applies it.
MAX_APPLY_DELAY_S = 2.5
TEST_TIMEOUT_S = 10.0
BEAT = GatewayHeartbeat(name="g", incarnation="1", address="g:1", zone="z", region="r")


def route_change(version: int, *names: str) -> ChangeItems:
    """Return a change that sets a service and a route below each of the given names."""
    spec = {
        "host": "a.example",
        "type": RouteType.SAFE,
        "timeout": 2.0,
        "target_latency": 0.3,
        "backends": (Backend("s", 1.0),),
    }
    service = Item(kind=ItemKind.SERVICE, name="s", version=version, spec=ServiceSpec())
    routes = [
        Item(
            kind=ItemKind.ROUTE,
            name=name,
            version=version,
            spec=Route(path_prefix=f"/{name}/", **spec),
        )
        for name in names
    ]
    limits = Item(kind=ItemKind.LIMITS, name="limits", version=version, spec=Limits())
    return ChangeItems(now_ms=0, items=[service, *routes, limits])


class StubCore:
    """A replica's core in contact with its leader."""

    members = Members(())


class StubMachine:
    def __init__(self):
        self.steering = Steering()


class StubRunner:
    """A replica that applies each change at once."""

    def __init__(self):
        self.core = StubCore()
        self.machine = StubMachine()
        self._changed = trio.Event()

    @property
    def current_as_of(self):
        return trio.current_time()

    async def wait_steering(self, revision):
        while self.machine.steering.revision <= revision:
            await self._changed.wait()

    def change(self, command):
        self.machine.steering.change_items(command)
        changed, self._changed = self._changed, trio.Event()
        changed.set()


class SlowLink:
    """Carries polls and answers to three replicas with a fixed one-way delay in seconds."""

    def __init__(self, runners: dict[str, StubRunner], delay: float) -> None:
        self.delay = delay
        self.feeds = {address: FeedServer(r, None, 1.5) for address, r in runners.items()}

    async def request(self, address, poll, timeout, send_timeout=None):
        with trio.move_on_after(timeout):
            await trio.sleep(self.delay)
            answer = await self.feeds[address].answer(poll)
            await trio.sleep(self.delay)
            return answer
        raise TransportError(f"no answer from {address}")


def test_change_is_applied_in_time_over_a_slow_link():
    async def check():
        runners = {address: StubRunner() for address in REPLICAS}
        link = SlowLink(runners, delay=0.01)
        for runner in runners.values():
            runner.change(route_change(1, "old"))
        view = ClusterView()
        session = GatewaySession(
            BEAT,
            link,
            view,
            lambda: REPLICAS,
            list,
            FeedLog(DecisionLog("g", LogWriter()), GatewayMetrics("g"), LoopLag()),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(session.run)
            await trio.sleep(2.0)
            assert view.steering.catalog.match("a.example", "/old/1") is not None
            link.delay = 0.6
            await trio.sleep(2.0)
            for runner in runners.values():
                runner.change(route_change(18, "old", "new"))
            await trio.sleep(MAX_APPLY_DELAY_S)
            assert view.steering.catalog.match("a.example", "/new/1") is not None
            nursery.cancel_scope.cancel()

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


def test_unknown_route_is_503_while_the_configuration_is_stale():
    async def check():
        async with gateway(Upstream("i-1", serve_ok)) as subject:
            caller = await subject.connect()
            assert (await caller.request(path=b"/nowhere/1"))[0] == 404
            await trio.sleep(MAX_APPLY_DELAY_S + 0.1)
            status, head, _ = await caller.request(path=b"/nowhere/1")
            assert status == 503
            assert b"retry-after" in head.lower()
            assert (await caller.request(path=b"/x/1"))[0] == 200
            subject.apply_feed()
            assert (await caller.request(path=b"/nowhere/1"))[0] == 404

    trio.run(check)


class LeaderLink:
    """Acts as the leader of one replica: answers its requests and records its replies."""

    def __init__(self, committed: int, age: float = 0.0) -> None:
        self.committed = committed
        self.age = age
        self.replies: list[AppendReply] = []

    def post(self, address, body):
        if isinstance(body, RaftBody) and isinstance(body.message, AppendReply):
            self.replies.append(body.message)
        return True

    async def request(self, address, body, timeout):
        if isinstance(body, Confirm):
            return Confirmed(revision=0, index=self.committed, age=self.age)
        raise TransportError(f"no answer from {address}")


@asynccontextmanager
async def following_replica(folder, link, storage_type=Storage):
    """Run one replica of three that follows a scripted leader; yields its control server."""
    founders = {name: f"{name}:1" for name in ("leader", "other", "self")}
    identity = found_cluster(folder, "self", founders)
    timeline = Timeline("self", LogicalClock(), lambda: 0)
    runner = ReplicaRunner(
        identity,
        "self:1",
        storage_type(folder / "log"),
        link,
        timeline,
        Timing(heartbeat=0.06, election=5.0),
        lambda: [],
        random.Random(1),
    )
    lease = LeaseTiming(interval=0.2, lease=3.0, margin=0.1)
    control = ControlServer(runner, link, timeline, lease, LoanTiming(), None)
    with trio.fail_after(TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(control.run)
            yield control
            nursery.cancel_scope.cancel()


async def wait_until_covered(control) -> None:
    """Wait until the replica's state has been confirmed once."""
    while control.runner.current_as_of == float("-inf"):
        await trio.sleep(0.01)


def new_append(control, **fields) -> Append:
    """Return an append from the scripted leader to the replica."""
    core = control.runner.core
    return Append(
        cluster=control.runner.cluster,
        sender="leader@founder",
        target=core.id,
        term=2,
        read=0,
        **fields,
    )


def test_replica_behind_the_commit_index_does_not_confirm_its_state(tmp_path):
    old = Entry(2, 2, EntryKind.COMMAND, encode_command(route_change(1, "old")))
    link = LeaderLink(committed=50)

    async def keep_appending(control):
        """Send appends that begin far beyond the end of the replica's log."""
        for _ in itertools.count():
            beyond = new_append(control, previous_index=49, previous_term=2, entries=(), commit=50)
            control.runner.receive(beyond, "leader:1")
            await trio.sleep(0.06)

    async def check():
        async with following_replica(tmp_path, link) as control:
            first = new_append(control, previous_index=1, previous_term=1, entries=(old,), commit=2)
            control.runner.receive(first, "leader:1")
            async with trio.open_nursery() as nursery:
                await control.runner.wait_steering(0)
                nursery.start_soon(keep_appending, control)
                while not link.replies or link.replies[-1].success:
                    await trio.sleep(0.01)
                await trio.sleep(0.5)
                view = ClusterView()
                answer = await control.handle(Subscribe(beat=BEAT, revision=0), "g")
                view.merge(answer, trio.current_time())
                assert view.steering.catalog.match("a.example", "/old/1") is not None
                assert not view.is_ready
                nursery.cancel_scope.cancel()

    trio.run(check)


@pytest.mark.parametrize(("age", "ready"), [(0.0, True), (5.0, False)])
def test_replica_confirms_its_state_as_of_the_leaders_confirmation(tmp_path, age, ready):
    entry = Entry(2, 2, EntryKind.COMMAND, encode_command(route_change(1, "old")))

    async def check():
        async with following_replica(tmp_path, LeaderLink(committed=2, age=age)) as control:
            first = new_append(
                control, previous_index=1, previous_term=1, entries=(entry,), commit=2
            )
            control.runner.receive(first, "leader:1")
            await control.runner.wait_steering(0)
            await wait_until_covered(control)
            view = ClusterView()
            requested_at = trio.current_time()
            answer = await control.handle(Subscribe(beat=BEAT, revision=0), "g")
            view.merge(answer, trio.current_time(), requested_at)
            assert view.is_ready is ready
            assert age <= requested_at - view.current_as_of <= age + 0.5

    trio.run(check)


class HangingStorage(Storage):
    """Storage whose writes block once `hangs` is set."""

    hangs = threading.Event()
    released = threading.Event()

    def save(self, ready):
        if self.hangs.is_set():
            self.released.wait(10)
        super().save(ready)


def test_age_of_a_replica_grows_while_its_disk_hangs(tmp_path):
    """The age must grow during a blocked write, although the core's own clock stands still."""
    entries = [
        Entry(2, index, EntryKind.COMMAND, encode_command(route_change(index, "old")))
        for index in (2, 3)
    ]
    link = LeaderLink(committed=2)

    async def check():
        async with following_replica(tmp_path, link, HangingStorage) as control:
            for entry in entries:
                message = new_append(
                    control,
                    previous_index=entry.index - 1,
                    previous_term=1 if entry.index == 2 else 2,
                    entries=(entry,),
                    commit=entry.index,
                )
                control.runner.receive(message, "leader:1")
                if entry.index == 2:
                    await control.runner.wait_steering(0)
                    await wait_until_covered(control)
                    assert (await control.handle(Subscribe(beat=BEAT, revision=0), "g")).age < 0.5
                    HangingStorage.hangs.set()
            link.committed = 3
            await trio.sleep(2.0)
            answer = await control.handle(Subscribe(beat=BEAT, revision=0), "g")
            assert answer.image.revision == 1
            assert answer.age >= 1.5
            HangingStorage.released.set()

    try:
        trio.run(check)
    finally:
        HangingStorage.released.set()


def test_transit_time_adds_to_the_age_of_an_answer():
    view = ClusterView()
    answer = Feed(life="l", order=0, image=SteeringImage(), age=0.2, held=0.6)
    view.merge(answer, now=13.0, requested_at=10.0)
    assert view.current_as_of == pytest.approx(10.0 + 0.6 - 0.2)
    view.merge(answer, now=13.1, requested_at=9.0)
    assert view.current_as_of == pytest.approx(10.4)
