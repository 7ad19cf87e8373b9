"""How long a replica holds a gateway's question when it has no news."""

import pytest
import trio
import trio.testing

from finchway.control._feed import HOLD_S, HOLD_UNREADY_S, FeedDesk
from finchway.feed import GatewayBeat, Subscribe
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
