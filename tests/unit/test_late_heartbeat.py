"""A heartbeat that was held up on its way and arrives when its sender has been replaced.

Symptom: requests go to an upstream that crashed seconds ago, and are turned away by the one that
has its address now. Sequence: an upstream is cut off and crashes behind the cut; a new incarnation
registers at its address; then the heartbeat that the cut held up arrives. Cause: incarnations were
kept side by side whatever their address, so the late heartbeat made the dead one live again for
two and a half heartbeats, and it counted as live just as long after its successor had registered.
What settled it: the registry's list of silent upstreams after these three heartbeats.
"""

import pytest
import trio
import trio.testing

from finchway.control._feed import FeedDesk
from finchway.feed import GatewayBeat, HeardUpstream, ShareHeard, Subscribe
from tests.unit.test_feed_desk import QuietRunner
from tests.unit.test_registry import registration

HEARTBEAT_S = 1.5
SILENT_AFTER_S = 2.5 * HEARTBEAT_S
BEAT = GatewayBeat(name="g", incarnation="1", address="", zone="z", region="r")


class Replica:
    """One replica that hears upstreams, and what it tells a gateway of them."""

    def __init__(self, nursery) -> None:
        self.desk = FeedDesk(QuietRunner(), None, HEARTBEAT_S)
        nursery.start_soon(self.desk.run)

    async def hear(self, instance, sequence=1, address="10.0.0.1:80") -> None:
        """Take in a heartbeat, and let the replica make it known."""
        self.desk.hear(registration(instance, sequence, address=address))
        await trio.sleep(0.2)

    async def live(self) -> set[str]:
        """Return the upstreams that a gateway takes to be live."""
        answer = await self.desk.answer(Subscribe(beat=BEAT, revision=0))
        names = {heard.registration.instance for heard in answer.upstreams}
        return names - set(answer.roster.silent)


def play(script):
    """Run a script beside one replica, on virtual time."""

    async def run():
        async with trio.open_nursery() as nursery:
            await script(Replica(nursery))
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_successor_at_its_address_ends_an_upstream_at_once():
    async def script(replica):
        await replica.hear("old")
        await replica.hear("new")
        assert await replica.live() == {"new"}

    play(script)


def test_a_late_heartbeat_does_not_bring_back_what_was_replaced():
    async def script(replica):
        await replica.hear("old", 1)
        await trio.sleep(SILENT_AFTER_S)
        await replica.hear("new", 1)
        await replica.hear("old", 2)
        await replica.hear("old", 3)
        assert await replica.live() == {"new"}
        await replica.hear("new", 2)
        assert await replica.live() == {"new"}

    play(script)


def test_what_a_fellow_replica_heard_late_does_not_bring_it_back_either():
    async def script(replica):
        await replica.hear("new")
        late = HeardUpstream(registration("old", address="10.0.0.1:80"), age=2.0)
        replica.desk.hear_shared(ShareHeard(upstreams=[late]))
        await trio.sleep(0.2)
        assert await replica.live() == {"new"}

    play(script)


@pytest.mark.parametrize("late", ["old", "new"])
def test_whoever_is_heard_on_at_an_address_has_it_in_the_end(late):
    """A replica that has just started may hear the late heartbeat first, or last."""

    async def script(replica):
        living = "new" if late == "old" else "old"
        await replica.hear(living, 5)
        await replica.hear(late, 5)
        for sequence in range(6, 11):
            await trio.sleep(HEARTBEAT_S - 0.2)
            await replica.hear(living, sequence)
        assert await replica.live() == {living}

    play(script)


def test_upstreams_at_other_addresses_are_not_touched():
    async def script(replica):
        await replica.hear("a", address="10.0.0.1:80")
        await replica.hear("b", address="10.0.0.2:80")
        assert await replica.live() == {"a", "b"}

    play(script)
