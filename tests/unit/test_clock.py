"""Boot clock during machine suspensions, and wall clock jumps."""

import random
import time

import pytest
import trio

from finchway._clock import (
    JUMP_ADOPTED_AFTER_S,
    MAX_SLEEP_S,
    BootClock,
    WallClock,
    read_since_boot,
)
from finchway.control._feed import FeedServer
from finchway.entry import ControlSession, EntryIdentity, EntryView
from finchway.feed import ClusterView, Feed, GatewayHeartbeat, Subscribe
from finchway.membership import HeartbeatReply, LeaseTiming
from finchway.observe import LogicalClock, Timeline
from finchway.policy import Holder, Loan, LoanTiming
from finchway.pushback import LimitReports, Part, RateLimiter
from finchway.resources import Division, Share
from finchway.state import SteeringImage
from tests.unit.test_feed_server import IdleRunner


class SuspendableMachine:
    """Time since boot: the monotonic clock plus simulated suspensions."""

    def __init__(self):
        self.suspended = 0.0

    def read(self):
        return time.monotonic() + self.suspended


def run_with_boot_clock(check):
    machine = SuspendableMachine()
    return trio.run(check, machine, clock=BootClock(machine.read))


def test_read_since_boot_matches_the_system_clock():
    assert read_since_boot() == pytest.approx(time.clock_gettime(time.CLOCK_BOOTTIME), abs=0.1)


def test_sleep_lasts_as_long_as_requested():
    async def check(machine):
        started = trio.current_time()
        await trio.sleep(0.5)
        return trio.current_time() - started

    assert run_with_boot_clock(check) == pytest.approx(0.5, abs=0.1)


def test_feed_age_includes_a_suspension():
    async def check(machine):
        view = ClusterView()
        feed = Feed(life="l", order=0, image=SteeringImage(), age=0.0)
        view.merge(feed, trio.current_time(), trio.current_time())
        assert view.is_current_as_of(trio.current_time() - 2.5)
        machine.suspended += 5.0
        assert not view.is_current_as_of(trio.current_time() - 2.5)

    run_with_boot_clock(check)


def test_deadline_that_passes_during_a_suspension_fires_soon_after_resume():
    async def check(machine):
        async def suspend():
            await trio.sleep(0.05)
            machine.suspended += 30.0

        async with trio.open_nursery() as nursery:
            nursery.start_soon(suspend)
            started = time.monotonic()
            with trio.move_on_after(20.0):
                await trio.sleep_forever()
            return time.monotonic() - started

    assert run_with_boot_clock(check) < 0.05 + MAX_SLEEP_S + 0.2


def test_resumed_replica_reports_the_age_of_its_state():
    async def check(machine):
        runner = IdleRunner()
        runner.current_as_of = trio.current_time()
        server = FeedServer(runner, None, 1.5)
        heartbeat = GatewayHeartbeat(name="g", incarnation="1", address="", zone="z", region="r")
        machine.suspended += 5.0
        return (await server.answer(Subscribe(beat=heartbeat, revision=0))).age

    assert run_with_boot_clock(check) >= 5.0


def test_gateway_is_not_listed_after_a_suspension_until_its_next_heartbeat():
    async def check(machine):
        server = FeedServer(IdleRunner(), None, 1.5)
        heartbeat = GatewayHeartbeat(
            name="g", incarnation="1", address="", zone="z", region="r", ready=True
        )
        await server.answer(Subscribe(beat=heartbeat, revision=0))
        assert len(server.gateways.serving(trio.current_time())) == 1
        machine.suspended += 5.0
        assert server.gateways.serving(trio.current_time()) == []

    run_with_boot_clock(check)


class ConfirmingLink:
    """A link on which every heartbeat is confirmed."""

    async def request(self, address, body, timeout):
        return HeartbeatReply(sequence=body.sequence, revision=body.revision, lease_s=3.0)


def test_resumed_entry_has_no_lease_and_is_not_in_touch():
    async def check(machine):
        session = ControlSession(
            EntryIdentity("e1", "1", "127.0.0.1:1", "127.0.0.1:2", "z"),
            EntryView("e1", "z", random.Random(1)),
            ConfirmingLink(),
            ["127.0.0.1:3"],
            LeaseTiming(),
            Timeline("e1", LogicalClock(), lambda: 0),
            random.Random(1),
            10.0,
            lambda: 0,
        )
        assert await session.send_heartbeat()
        assert session.has_lease and session.is_leader_reachable
        machine.suspended += 5.0
        assert not session.has_lease
        assert not session.is_leader_reachable
        assert await session.send_heartbeat()
        assert session.has_lease

    run_with_boot_clock(check)


def test_slot_loans_expire_during_a_suspension():
    async def check(machine):
        share = Share(
            service="s",
            region="r",
            epoch=1,
            current=Division(members=["e1", "e2"], slots={"u": 4}, floor_fraction=0.5),
        )
        holder = Holder("e1", LoanTiming(), trio.current_time())
        holder.set_shares([share], {"s": 2.0})
        holder.set_loans([Loan("s", "r", {"u": 2}, 1.0)], trio.current_time())
        before = holder.limits(("s", "r"), trio.current_time())["u"]
        machine.suspended += 1.5
        assert holder.limits(("s", "r"), trio.current_time())["u"] < before

    run_with_boot_clock(check)


def test_rate_limit_allowance_does_not_accumulate_during_a_suspension():
    async def check(machine):
        reports = LimitReports()
        rate_limiter = RateLimiter(
            reports, random.Random(1), lambda incarnation, limit, now: Part(limit, 2.0)
        )
        reports.record("i-1", 1.0, trio.current_time(), trio.current_time())
        machine.suspended += 60.0
        sent = 0
        while rate_limiter.may_send("i-1", trio.current_time()):
            rate_limiter.take("i-1", trio.current_time())
            sent += 1
        assert sent <= 2

    run_with_boot_clock(check)


class FakeTime:
    """Wall clock and boot clock readings set by the test."""

    def __init__(self):
        self.day, self.boot = 1_796_000_000.0, 500.0

    def clock(self):
        return WallClock(lambda: self.day, lambda: self.boot)

    def advance(self, seconds, ahead=0.0):
        self.boot += seconds
        self.day += seconds + ahead


@pytest.mark.parametrize("jump", [3_600.0, -3_600.0, 2.0, -2.0])
def test_wall_clock_ignores_a_jump_that_is_reverted(jump):
    time_source = FakeTime()
    clock = time_source.clock()
    time_source.advance(10.0, jump)
    assert clock.now() == pytest.approx(1_796_000_010.0)
    time_source.advance(5.0)
    assert clock.now() == pytest.approx(1_796_000_015.0)
    time_source.advance(5.0, -jump)
    assert clock.now_ms() == pytest.approx(1_796_000_020_000)
    # A second jump starts a new confirmation period.
    time_source.advance(JUMP_ADOPTED_AFTER_S - 10.0, jump)
    assert clock.now() == pytest.approx(1_796_000_010.0 + JUMP_ADOPTED_AFTER_S)


def test_wall_clock_adopts_a_lasting_jump_and_follows_slewing():
    time_source = FakeTime()
    clock = time_source.clock()
    time_source.advance(10.0, -3_600.0)
    clock.now()
    time_source.advance(JUMP_ADOPTED_AFTER_S + 1.0)
    assert clock.now() == pytest.approx(time_source.day)
    for _ in range(20):
        time_source.advance(60.0, 0.5)
        assert clock.now() == pytest.approx(time_source.day)
