"""Log lines of a replica on late heartbeats and congested zones."""

import trio
import trio.testing

from finchway.control import SteeringService
from finchway.control._feed import FeedServer
from finchway.observe import ReplicaMetrics, StateChanged
from finchway.transport import CallOrigin
from tests.unit.test_feed_server import IdleRunner
from tests.unit.test_registry import gateway_heartbeat, registration


class Control:
    """A control role with only what the steering calls use."""

    def __init__(self) -> None:
        self.runner = IdleRunner()
        self.feed = FeedServer(self.runner, None, 1.5)


class LogRecorder:
    """Collects the lines that are written."""

    def __init__(self) -> None:
        self.lines: list[StateChanged] = []

    def write(self, line) -> None:
        self.lines.append(line)


def make_service(recorder: LogRecorder) -> SteeringService:
    return SteeringService(Control(), recorder, ReplicaMetrics("c1"))


def play(script):
    """Run a script against the steering service, on virtual time; return the logged lines."""
    recorder = LogRecorder()

    async def run():
        await script(make_service(recorder))

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return [(line.subject, line.now) for line in recorder.lines]


def test_a_late_heartbeat_is_logged():
    async def script(service):
        for name, sequence in (("old", 1), ("new", 1), ("old", 7)):
            origin = CallOrigin(trio.current_time(), lambda: False)
            await service.record_heartbeat(registration(name, sequence), origin)

    assert play(script) == [("upstream/old", "heartbeat 7 came late and is passed over")]


def test_the_start_and_end_of_a_zones_congestion_are_logged():
    async def script(service):
        table = service.control.feed.gateways
        for sequence, pressed in ((1, False), (2, True), (3, False)):
            table.record(
                gateway_heartbeat("g", pressed=pressed, sequence=sequence), trio.current_time()
            )
            assert service.gateways("a.example", "north", "z") == ["g:1"]
        await trio.sleep(10.0)
        table.record(gateway_heartbeat("g", sequence=4), trio.current_time())
        assert service.gateways("a.example", "north", "z") == ["g:1"]

    assert play(script) == [("zone/z", "pressed"), ("zone/z", "not pressed")]
