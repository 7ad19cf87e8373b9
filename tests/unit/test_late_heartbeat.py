"""Heartbeats that arrive late, after another incarnation has taken over their sender's address.

Guards against a late heartbeat that makes a dead upstream live again, so that requests are sent to
the process that has its address now.
"""

import pytest
import trio
import trio.testing
from msgspec.structs import replace

from finchway.control._feed import FeedServer
from finchway.feed import GatewayHeartbeat, ShareHeartbeats, Subscribe, UpstreamHeartbeat
from finchway.transport import CallOrigin
from tests.unit.test_feed_server import IdleRunner
from tests.unit.test_registry import registration
from tests.unit.test_steering_log import LogRecorder, make_service

HEARTBEAT_S = 1.5
SILENT_AFTER_S = 2.5 * HEARTBEAT_S
BEAT = GatewayHeartbeat(name="g", incarnation="1", address="", zone="z", region="r")


class Replica:
    """A replica that receives heartbeats and answers a gateway."""

    def __init__(self, nursery) -> None:
        self.server = FeedServer(IdleRunner(), None, HEARTBEAT_S)
        nursery.start_soon(self.server.run)

    async def receive(self, instance, sequence=1, address="10.0.0.1:80") -> None:
        """Record a heartbeat and wait until the roster is updated."""
        now = trio.current_time()
        self.server.record_heartbeat(registration(instance, sequence, address=address), now)
        await trio.sleep(0.2)

    async def live(self) -> set[str]:
        """Return the upstreams that a gateway considers live."""
        answer = await self.server.answer(Subscribe(beat=BEAT, revision=0))
        names = {heard.registration.instance for heard in answer.upstreams}
        return names - set(answer.roster.silent)


def play(script):
    """Run a script against one replica, on virtual time."""

    async def run():
        async with trio.open_nursery() as nursery:
            await script(Replica(nursery))
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_new_upstream_at_the_same_address_replaces_the_old_one_at_once():
    async def script(replica):
        await replica.receive("old")
        await replica.receive("new")
        assert await replica.live() == {"new"}

    play(script)


def test_a_late_heartbeat_does_not_revive_a_replaced_upstream():
    async def script(replica):
        await replica.receive("old", 1)
        await trio.sleep(SILENT_AFTER_S)
        await replica.receive("new", 1)
        await replica.receive("old", 2)
        await replica.receive("old", 3)
        assert await replica.live() == {"new"}
        await replica.receive("new", 2)
        assert await replica.live() == {"new"}

    play(script)


def test_a_late_heartbeat_shared_by_a_peer_does_not_revive_a_replaced_upstream():
    async def script(replica):
        await replica.receive("new")
        late = UpstreamHeartbeat(registration("old", address="10.0.0.1:80"), age=2.0)
        replica.server.record_shared_heartbeats(ShareHeartbeats(upstreams=[late]))
        await trio.sleep(0.2)
        assert await replica.live() == {"new"}

    play(script)


@pytest.mark.parametrize("late", ["old", "new"])
def test_the_upstream_that_keeps_sending_heartbeats_owns_the_address(late):
    """A replica that has just started may receive the late heartbeat first or last."""

    async def script(replica):
        living = "new" if late == "old" else "old"
        await replica.receive(living, 5)
        await replica.receive(late, 5)
        for sequence in range(6, 11):
            await trio.sleep(HEARTBEAT_S - 0.2)
            await replica.receive(living, sequence)
        assert await replica.live() == {living}

    play(script)


def test_upstreams_at_different_addresses_do_not_replace_each_other():
    async def script(replica):
        await replica.receive("a", address="10.0.0.1:80")
        await replica.receive("b", address="10.0.0.2:80")
        assert await replica.live() == {"a", "b"}

    play(script)


# A replica that woke took a heartbeat that it read late for a sign of life.
@pytest.mark.parametrize(("age_s", "silent"), [(0.0, 0), (SILENT_AFTER_S + 1.0, 1)])
def test_a_heartbeat_that_is_read_late_is_as_old_as_it_may_be(age_s, silent):
    async def run():
        service = make_service(LogRecorder())
        now = trio.current_time()
        for instance, age, address in (("w", 0.0, "127.0.0.1:1"), ("e", age_s, "127.0.0.1:2")):
            origin = CallOrigin(now - age, lambda: False)
            await service.record_heartbeat(registration(instance, address=address), origin)
        assert len(service.control.feed.registry.silent(now, SILENT_AFTER_S)) == silent

    trio.run(run, clock=trio.testing.MockClock())


# An upstream whose heartbeat was read late got its full share too early (FAILBACK).
def test_an_upstream_whose_heartbeat_is_read_late_is_cold_for_as_long_as_it_may_be():
    async def run():
        service = make_service(LogRecorder())
        now = trio.current_time()
        origin = CallOrigin(now - 1.0, lambda: False)
        await service.record_heartbeat(replace(registration("cold"), cold_for=3.0), origin)
        assert service.control.feed.registry.get("cold").cold_until == now + 3.0

    trio.run(run, clock=trio.testing.MockClock())
