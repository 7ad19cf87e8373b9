"""How long a replica holds a gateway's question when it has no news."""

import msgspec
import pytest
import trio
import trio.testing

from finchway.control._feed import HOLD_S, HOLD_UNREADY_S, FeedDesk
from finchway.feed import GatewayBeat, Subscribe
from finchway.pushback import LimitsKnown, NamedLimit
from finchway.replication import Members
from finchway.state import Steering


class QuietCore:
    """A replica's core that hears no leader."""

    members = Members(())


class QuietMachine:
    """A state machine to which nothing happens."""

    def __init__(self):
        self.steering = Steering()


class QuietRunner:
    """A replica whose steering state never changes."""

    def __init__(self):
        self.core = QuietCore()
        self.machine = QuietMachine()
        self.covered_at = float("-inf")

    async def wait_steering(self, revision):
        await trio.sleep_forever()


@pytest.mark.parametrize(("ready", "held"), [(True, HOLD_S), (False, HOLD_UNREADY_S)])
def test_a_gateway_that_serves_nobody_is_answered_soon(ready, held):
    async def check():
        desk = FeedDesk(QuietRunner(), None, 1.5)
        beat = GatewayBeat(
            name="g1", incarnation="1", address="", zone="north-a", region="north", ready=ready
        )
        first = await desk.answer(Subscribe(beat=beat, revision=0))
        asked_at = trio.current_time()
        await desk.answer(Subscribe(beat=beat, revision=0, life=first.life, order=first.order))
        return trio.current_time() - asked_at

    clock = trio.testing.MockClock(autojump_threshold=0)
    assert trio.run(check, clock=clock) == pytest.approx(held)


def test_a_new_limit_is_passed_on_at_once_and_changing_ones_now_and_then():
    """A gateway that had been told of a limit passed it on with its next question, 0.6 s later, and
    the others were told with theirs, 0.6 s after that; until then they sent what they always had.
    """

    async def check():
        desk = FeedDesk(QuietRunner(), None, 1.5)
        told, other = (
            GatewayBeat(name=n, incarnation="1", address="", zone="z", region="r", ready=True)
            for n in ("g1", "g2")
        )
        first = await desk.answer(Subscribe(beat=other, revision=0))
        answered = []

        async def ask_forever():
            known = LimitsKnown()
            while True:
                question = Subscribe(beat=other, revision=0, life=first.life, limits=known)
                answer = await desk.answer(question)
                if answer.limits is not None:
                    known = answer.limits.known
                    answered.append((trio.current_time(), [w.rate for w in answer.limits.words]))

        async def tell(rate):
            beat = msgspec.structs.replace(told, limits=[NamedLimit("i-1", rate, 0.0)])
            question = Subscribe(beat=beat, revision=0, life=first.life)
            with trio.move_on_after(0.01):
                await desk.answer(question)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_forever)
            nursery.start_soon(desk.run)
            await trio.sleep(1.0)
            await tell(5.0)
            at = trio.current_time()
            await trio.sleep(0.05)
            assert answered[-1] == (pytest.approx(at, abs=0.05), [5.0])
            before = len(answered)
            for number in range(100):
                await tell(6.0 + number)
                await trio.sleep(0.02)
            assert len(answered) - before <= 12
            await trio.sleep(0.7)
            assert answered[-1][1] == [105.0] or [105.0] in [words for _, words in answered[-3:]]
            nursery.cancel_scope.cancel()

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))
