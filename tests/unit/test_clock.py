"""The event loop's clock across a suspension of the machine: a jump between two of its steps."""

import time

import pytest
import trio

from finchway._clock import LONGEST_SLEEP_S, BootClock, read_since_boot
from finchway.control._feed import FeedDesk
from finchway.feed import Feed, GatewayBeat, Subscribe, World
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

    assert play(check) < 0.05 + LONGEST_SLEEP_S + 0.2


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
