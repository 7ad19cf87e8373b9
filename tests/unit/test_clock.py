"""The event loop's clock across a suspension of the machine: a jump between two of its steps."""

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
from finchway.control._feed import FeedDesk
from finchway.entry import ControlSession, EntryIdentity, EntryView
from finchway.feed import Feed, GatewayBeat, Subscribe, World
from finchway.membership import HeartbeatReply, LeaseTiming
from finchway.observe import LogicalClock, Timeline
from finchway.policy import Holder, Loan, LoanTiming
from finchway.pushback import Allowances, LimitWords, Part
from finchway.resources import Division, Share
from finchway.state import SteeringImage
from tests.unit.test_feed_desk import QuietRunner


class Machine:
    """Time since boot that runs as the steady clock does, but for suspensions."""

    def __init__(self):
        self.suspended = 0.0

    def read(self):
        return time.monotonic() + self.suspended


def play(check):
    machine = Machine()
    return trio.run(check, machine, clock=BootClock(machine.read))


def test_time_since_boot_is_that_of_the_system():
    assert read_since_boot() == pytest.approx(time.clock_gettime(time.CLOCK_BOOTTIME), abs=0.1)


def test_the_loop_sleeps_and_wakes_in_order():
    async def check(machine):
        started = trio.current_time()
        await trio.sleep(0.5)
        return trio.current_time() - started

    assert play(check) == pytest.approx(0.5, abs=0.1)


def test_ages_count_a_suspension():
    async def check(machine):
        world = World()
        feed = Feed(life="l", order=0, image=SteeringImage(), age=0.0)
        world.learn(feed, trio.current_time(), trio.current_time())
        assert world.knows_all_until(trio.current_time() - 2.5)
        machine.suspended += 5.0
        assert not world.knows_all_until(trio.current_time() - 2.5)

    play(check)


def test_what_came_due_meanwhile_is_seen_within_a_bound():
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

    assert play(check) < 0.05 + MAX_SLEEP_S + 0.2


def test_a_replica_that_wakes_tells_how_old_its_state_is():
    async def check(machine):
        runner = QuietRunner()
        runner.covered_at = trio.current_time()
        desk = FeedDesk(runner, None, 1.5)
        beat = GatewayBeat(name="g", incarnation="1", address="", zone="z", region="r")
        machine.suspended += 5.0
        return (await desk.answer(Subscribe(beat=beat, revision=0))).age

    assert play(check) >= 5.0


def test_a_gateway_that_wakes_is_not_named_until_it_is_heard_again():
    async def check(machine):
        desk = FeedDesk(QuietRunner(), None, 1.5)
        beat = GatewayBeat(name="g", incarnation="1", address="", zone="z", region="r", ready=True)
        await desk.answer(Subscribe(beat=beat, revision=0))
        assert len(desk.gateways.serving(trio.current_time())) == 1
        machine.suspended += 5.0
        assert desk.gateways.serving(trio.current_time()) == []

    play(check)


class AnsweringLink:
    """A link whose every heartbeat the leader confirms."""

    async def request(self, address, body, timeout):
        return HeartbeatReply(sequence=body.sequence, revision=body.revision, lease_s=3.0)


def test_an_entry_that_wakes_has_no_lease_and_is_not_in_touch():
    async def check(machine):
        session = ControlSession(
            EntryIdentity("e1", "1", "127.0.0.1:1", "127.0.0.1:2", "z"),
            EntryView("e1", "z", random.Random(1)),
            AnsweringLink(),
            ["127.0.0.1:3"],
            LeaseTiming(),
            Timeline("e1", LogicalClock(), lambda: 0),
            random.Random(1),
            10.0,
            lambda: 0,
        )
        assert await session.beat()
        assert session.has_lease and session.is_in_touch
        machine.suspended += 5.0
        assert not session.has_lease
        assert not session.is_in_touch
        assert await session.beat()
        assert session.has_lease

    play(check)


def test_slots_that_were_lent_before_a_suspension_are_not_used_after_it():
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

    play(check)


def test_what_a_limit_allows_does_not_pile_up_over_a_suspension():
    async def check(machine):
        words = LimitWords()
        allowances = Allowances(words, random.Random(1), lambda life, limit, now: Part(limit, 2.0))
        words.hear("i-1", 1.0, trio.current_time(), trio.current_time())
        machine.suspended += 60.0
        sent = 0
        while allowances.may_send("i-1", trio.current_time()):
            allowances.take("i-1", trio.current_time())
            sent += 1
        assert sent <= 2

    play(check)


class TimeOfDay:
    """A time of day and a time since boot that are set by hand."""

    def __init__(self):
        self.day, self.boot = 1_796_000_000.0, 500.0

    def clock(self):
        return WallClock(lambda: self.day, lambda: self.boot)

    def pass_by(self, seconds, ahead=0.0):
        self.boot += seconds
        self.day += seconds + ahead


@pytest.mark.parametrize("jump", [3_600.0, -3_600.0, 2.0, -2.0])
def test_a_jump_of_the_time_of_day_that_is_taken_back_is_not_followed(jump):
    times = TimeOfDay()
    clock = times.clock()
    times.pass_by(10.0, jump)
    assert clock.now() == pytest.approx(1_796_000_010.0)
    times.pass_by(5.0)
    assert clock.now() == pytest.approx(1_796_000_015.0)
    times.pass_by(5.0, -jump)
    assert clock.now_ms() == pytest.approx(1_796_000_020_000)
    # Another one soon after begins anew.
    times.pass_by(JUMP_ADOPTED_AFTER_S - 10.0, jump)
    assert clock.now() == pytest.approx(1_796_000_010.0 + JUMP_ADOPTED_AFTER_S)


def test_a_jump_that_lasts_is_followed_and_slewing_always():
    times = TimeOfDay()
    clock = times.clock()
    times.pass_by(10.0, -3_600.0)
    clock.now()
    times.pass_by(JUMP_ADOPTED_AFTER_S + 1.0)
    assert clock.now() == pytest.approx(times.day)
    for _ in range(20):
        times.pass_by(60.0, 0.5)
        assert clock.now() == pytest.approx(times.day)
