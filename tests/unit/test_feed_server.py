"""How long a replica holds a gateway's poll when there are no changes."""

import msgspec
import pytest
import trio
import trio.testing

from finchway.control._feed import LONG_POLL_S, LONG_POLL_UNREADY_S, FeedServer
from finchway.feed import Feed, GatewayHeartbeat, Subscribe, unpack
from finchway.pushback import LimitLogPosition, LimitReport
from finchway.replication import Members
from finchway.state import ChangeItems, Steering
from tests.gateway.test_stale_configuration import StubRunner, route_change
from tests.unit.test_packing import made_up_routes


class IdleCore:
    """A consensus core without any members."""

    members = Members(())


class IdleMachine:
    """A state machine whose steering state stays empty."""

    def __init__(self):
        self.steering = Steering()


class IdleRunner:
    """A replica runner whose steering state never changes."""

    def __init__(self):
        self.core = IdleCore()
        self.machine = IdleMachine()
        self.current_as_of = float("-inf")

    async def wait_steering(self, revision):
        await trio.sleep_forever()


@pytest.mark.parametrize(("ready", "held"), [(True, LONG_POLL_S), (False, LONG_POLL_UNREADY_S)])
def test_a_gateway_that_is_not_ready_is_held_more_briefly(ready, held):
    async def check():
        server = FeedServer(IdleRunner(), None, 1.5)
        heartbeat = GatewayHeartbeat(
            name="g1", incarnation="1", address="", zone="north-a", region="north", ready=ready
        )
        first = await server.answer(Subscribe(beat=heartbeat, revision=0))
        sent_at = trio.current_time()
        await server.answer(
            Subscribe(beat=heartbeat, revision=0, life=first.life, order=first.order)
        )
        return trio.current_time() - sent_at

    clock = trio.testing.MockClock(autojump_threshold=0)
    assert trio.run(check, clock=clock) == pytest.approx(held)


def test_changed_limits_release_held_polls_at_a_limited_rate():
    """Guards against limits that reach other gateways only when their held polls time out."""

    async def check():
        server = FeedServer(IdleRunner(), None, 1.5)
        limited, other = (
            GatewayHeartbeat(name=n, incarnation="1", address="", zone="z", region="r", ready=True)
            for n in ("g1", "g2")
        )
        first = await server.answer(Subscribe(beat=other, revision=0))
        answered = []

        async def poll_forever():
            known = LimitLogPosition()
            while True:
                poll = Subscribe(beat=other, revision=0, life=first.life, limits=known)
                answer = await server.answer(poll)
                if answer.limits is not None:
                    known = answer.limits.position
                    answered.append((trio.current_time(), [w.rate for w in answer.limits.reports]))

        async def report_limit(rate):
            heartbeat = msgspec.structs.replace(limited, limits=[LimitReport("i-1", rate, 0.0)])
            poll = Subscribe(beat=heartbeat, revision=0, life=first.life)
            with trio.move_on_after(0.01):
                await server.answer(poll)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(poll_forever)
            nursery.start_soon(server.run)
            await trio.sleep(1.0)
            await report_limit(5.0)
            at = trio.current_time()
            await trio.sleep(0.05)
            assert answered[-1] == (pytest.approx(at, abs=0.05), [5.0])
            before = len(answered)
            for number in range(100):
                await report_limit(6.0 + number)
                await trio.sleep(0.02)
            assert len(answered) - before <= 12
            await trio.sleep(0.7)
            assert answered[-1][1] == [105.0] or [105.0] in [words for _, words in answered[-3:]]
            nursery.cancel_scope.cancel()

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize(("routes", "is_announced"), [(10, False), (2_000, True)])
def test_only_a_large_image_is_announced_instead_of_sent(routes, is_announced):
    """A gateway must not take an announcement for state that it has received."""

    async def check():
        runner = StubRunner()
        server = FeedServer(runner, None, 1.5)
        runner.change(route_change(1))
        runner.change(ChangeItems(now_ms=0, items=made_up_routes(routes)))
        beat = GatewayHeartbeat(name="g1", incarnation="1", address="", zone="z", region="r")
        poll = Subscribe(beat=beat, revision=0, packed=True)
        brief = await server.answer(msgspec.structs.replace(poll, large_images=False))
        brief = brief if isinstance(brief, Feed) else unpack(brief)
        items = len(runner.machine.steering.image().items)
        if is_announced:
            assert (brief.announced, brief.age) == (2, float("inf"))
            assert (brief.image.revision, brief.image.items) == (0, [])
        else:
            assert (brief.announced, brief.age) == (0, 0.0)
            assert (brief.image.revision, len(brief.image.items)) == (2, items)
        whole = await server.answer(poll)
        whole = whole if isinstance(whole, Feed) else unpack(whole)
        assert (whole.announced, whole.age, len(whole.image.items)) == (0, 0.0, items)

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))
