"""Gateways whose own links cannot carry what callers ask of them.

Symptom: a route that was added, and confirmed by control, is not known to a gateway 9.8 s later; it
answers 404, and once it no longer does that, it still routes by what it knew. Sequence: callers of
three availability zones come to the seven gateways of one, and those of the others have little to
do; what is too much waits in front of the seven links, and the news of control with it, longer each
second. Cause: callers were told the gateways of their own zone, whatever these could bear. What
settled it, from the lines of these gateways:

    15.28  gateway-3  request  status=404 reason=no route revision=3 heard_ms=9824.5

while control was at revision 12; and with late answers of the feed taken as they come, the age of
what is known (`known_ms`, median of all requests) grew from 0.8 s at 4 s to 4.9 s at 13 s and
10.9 s at 20 s, with one request in eight answered well.
"""

import pytest
import trio
import trio.testing

from finchway.feed import World, choose_gateways
from finchway.feed._gateway_table import CONGESTION_HOLD_S
from finchway.gateway import FeedLog, GatewaySession
from finchway.observe import DecisionLog, GatewayMetrics, LogWriter, LoopLag
from tests.gateway.test_stale_configuration import SlowLink, SoundRunner, route_change
from tests.unit.test_registry import gateway_heartbeat

REPLICAS = ["a:1", "b:1", "c:1"]
PRESSED_ZONE = [f"n{number}" for number in range(4)]
CALM_ZONE = [f"b{number}" for number in range(6)]


class Region:
    """Two zones of gateways at three replicas; the links of each zone take their own time."""

    def __init__(self, nursery) -> None:
        runners = {address: SoundRunner() for address in REPLICAS}
        for runner in runners.values():
            runner.change(route_change(1, "old"))
        first = SlowLink(runners, way=0.01)
        self.links = {"n": first, "b": SlowLink(runners, way=0.01)}
        self.links["b"].desks = first.desks
        self._desk = first.desks[REPLICAS[0]]
        for name in PRESSED_ZONE + CALM_ZONE:
            zone = name[0]
            session = GatewaySession(
                gateway_heartbeat(name, zone=zone, ready=False),
                self.links[zone],
                World(),
                lambda: REPLICAS,
                list,
                FeedLog(DecisionLog(name, LogWriter()), GatewayMetrics(name), LoopLag()),
            )
            nursery.start_soon(session.run)

    def named(self, zone: str) -> set[str]:
        """Return the zones of the gateways that a replica names to callers of a zone."""
        now = trio.current_time()
        book = self._desk.gateways
        beats = [heard.heartbeat for heard in book.live(now)]
        addresses = choose_gateways(beats, "north", zone, frozenset(), book.is_congested(zone, now))
        return {address[0] for address in addresses}


@pytest.mark.parametrize(("way", "named"), [(0.2, {"n", "b"}), (0.04, {"n"})])
def test_callers_of_a_zone_whose_links_are_full_are_told_the_whole_region(way, named):
    async def check():
        async with trio.open_nursery() as nursery:
            region = Region(nursery)
            await trio.sleep(4.0)
            assert region.named("n") == {"n"}
            region.links["n"].way = way
            await trio.sleep(3.0)
            assert region.named("n") == named
            assert region.named("b") == {"b"}
            region.links["n"].way = 0.01
            await trio.sleep(CONGESTION_HOLD_S + 3.0)
            assert region.named("n") == {"n"}
            nursery.cancel_scope.cancel()

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))
