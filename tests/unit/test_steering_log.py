"""What a replica logs of its beliefs on heartbeats and pressed zones."""

import trio
import trio.testing

from finchway.control import SteeringService
from finchway.control._feed import FeedServer
from finchway.observe import BeliefChanged, ReplicaMetrics
from tests.unit.test_feed_server import IdleRunner
from tests.unit.test_registry import gateway_heartbeat, registration


class Control:
    """The control role as far as these calls go."""

    def __init__(self) -> None:
        self.runner = IdleRunner()
        self.feed = FeedServer(self.runner, None, 1.5)


class Lines:
    """Keeps the lines that are written."""

    def __init__(self) -> None:
        self.kept: list[BeliefChanged] = []

    def write(self, line) -> None:
        self.kept.append(line)


def play(script):
    """Run a script beside a replica's steering calls, on virtual time; returns its lines."""
    lines = Lines()

    async def run():
        await script(SteeringService(Control(), lines, ReplicaMetrics("c1")))

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return [(line.subject, line.now) for line in lines.kept]


def test_a_late_heartbeat_gets_a_line():
    async def script(service):
        for name, sequence in (("old", 1), ("new", 1), ("old", 7)):
            await service.hear(registration(name, sequence))

    assert play(script) == [("upstream/old", "heartbeat 7 came late and is passed over")]


def test_a_zone_gets_a_line_when_its_callers_are_named_the_region_and_when_no_more():
    async def script(service):
        book = service.control.feed.gateways
        for sequence, pressed in ((1, False), (2, True), (3, False)):
            book.record(
                gateway_heartbeat("g", pressed=pressed, sequence=sequence), trio.current_time()
            )
            assert service.gateways("a.example", "north", "z") == ["g:1"]
        await trio.sleep(10.0)
        book.record(gateway_heartbeat("g", sequence=4), trio.current_time())
        assert service.gateways("a.example", "north", "z") == ["g:1"]

    assert play(script) == [("zone/z", "pressed"), ("zone/z", "not pressed")]
