"""Gateways whose links are congested by their callers.

News of control is delayed on a congested link, so callers must be spread over the whole region.
"""

import pytest
import trio
import trio.testing

from finchway.feed import ClusterView, choose_gateways
from finchway.feed._gateway_table import CONGESTION_HOLD_S
from finchway.gateway import FeedLog, GatewaySession
from finchway.observe import DecisionLog, GatewayMetrics, LogWriter, LoopLag
from tests.gateway.test_stale_configuration import SlowLink, StubRunner, route_change
from tests.unit.test_registry import gateway_heartbeat

REPLICAS = ["a:1", "b:1", "c:1"]
CONGESTED_ZONE = [f"n{number}" for number in range(4)]
IDLE_ZONE = [f"b{number}" for number in range(6)]


class Region:
    """Two zones of gateways with three replicas; each zone has its own link delay."""

    def __init__(self, nursery) -> None:
        runners = {address: StubRunner() for address in REPLICAS}
        for runner in runners.values():
            runner.change(route_change(1, "old"))
        first = SlowLink(runners, delay=0.01)
        self.links = {"n": first, "b": SlowLink(runners, delay=0.01)}
        self.links["b"].feeds = first.feeds
        self._feed = first.feeds[REPLICAS[0]]
        for name in CONGESTED_ZONE + IDLE_ZONE:
            zone = name[0]
            session = GatewaySession(
                gateway_heartbeat(name, zone=zone, ready=False),
                self.links[zone],
                ClusterView(),
                lambda: REPLICAS,
                list,
                FeedLog(DecisionLog(name, LogWriter()), GatewayMetrics(name), LoopLag()),
            )
            nursery.start_soon(session.run)

    def offered_zones(self, zone: str) -> set[str]:
        """Return the zones of the gateways that a replica offers to callers of a zone."""
        now = trio.current_time()
        book = self._feed.gateways
        beats = [heard.heartbeat for heard in book.live(now)]
        addresses = choose_gateways(beats, "north", zone, frozenset(), book.is_congested(zone, now))
        return {address[0] for address in addresses}


@pytest.mark.parametrize(("delay", "offered"), [(0.2, {"n", "b"}), (0.04, {"n"})])
def test_callers_of_a_congested_zone_are_offered_the_whole_region(delay, offered):
    async def check():
        async with trio.open_nursery() as nursery:
            region = Region(nursery)
            await trio.sleep(4.0)
            assert region.offered_zones("n") == {"n"}
            region.links["n"].delay = delay
            await trio.sleep(3.0)
            assert region.offered_zones("n") == offered
            assert region.offered_zones("b") == {"b"}
            region.links["n"].delay = 0.01
            await trio.sleep(CONGESTION_HOLD_S + 3.0)
            assert region.offered_zones("n") == {"n"}
            nursery.cancel_scope.cancel()

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))
