"""Starting beside many upstreams over a narrow link must not delay newer changes.

The first answers of all replicas share the link, so their size must not grow with the deployment.
"""

import msgspec
import pytest
import trio
import trio.testing

from finchway.control._feed import FeedServer
from finchway.exceptions import TransportError
from finchway.feed import ClusterView, GatewayHeartbeat
from finchway.gateway import FeedLog, GatewaySession
from finchway.observe import DecisionLog, GatewayMetrics, LogWriter, LoopLag
from finchway.registry import Registration, UpstreamState
from tests.gateway.test_stale_configuration import MAX_APPLY_DELAY_S, StubRunner, route_change

REPLICAS = ["a:1", "b:1", "c:1", "d:1", "e:1"]
LINK_BYTES_PER_S = 331_000
ROUND_TRIP_S = 0.07
BEAT = GatewayHeartbeat(name="g", incarnation="1", address="g:1", zone="z", region="r")


def registration(number: int) -> Registration:
    return Registration(
        instance=f"i-{number:010x}",
        address=f"10.128.{number // 250}.{number % 250}:8080",
        service=f"service-{number % 3}",
        zone="z",
        slots=6,
        state=UpstreamState.READY,
        sequence=1,
    )


class NarrowLink:
    """Carries the answers of all replicas to one gateway, one after the other."""

    def __init__(self, feeds: dict[str, FeedServer]) -> None:
        self._feeds = feeds
        self._free_at = 0.0
        self.answers: list[tuple[float, int]] = []
        self.cut_off: set[str] = set()

    @property
    def idle_in(self) -> float:
        """Seconds until all answers that are on their way have been carried."""
        return max(0.0, self._free_at - trio.current_time())

    async def request(self, address, poll, timeout, send_timeout=None):
        with trio.move_on_after(timeout):
            await trio.sleep(ROUND_TRIP_S / 2)
            if address in self.cut_off:
                await trio.sleep_forever()
            answer = await self._feeds[address].answer(poll)
            size = len(msgspec.msgpack.encode(answer))
            now = trio.current_time()
            self._free_at = max(self._free_at, now) + size / LINK_BYTES_PER_S
            self.answers.append((now, size))
            await trio.sleep(self._free_at - now + ROUND_TRIP_S / 2)
            return answer
        raise TransportError(f"no answer from {address}")


class Replicas:
    """Five replicas that hold many upstreams."""

    def __init__(self, upstreams: int) -> None:
        self._runners = {address: StubRunner() for address in REPLICAS}
        self.feeds = {address: FeedServer(r, None, 1.5) for address, r in self._runners.items()}
        for feed in self.feeds.values():
            for number in range(upstreams):
                feed.registry.record(registration(number), trio.current_time())
        self.change(route_change(1, "old"))

    def change(self, command) -> None:
        """Apply a committed change at all replicas."""
        for runner in self._runners.values():
            runner.change(command)


class StartingGateway:
    """A gateway that starts with five replicas that hold many upstreams."""

    def __init__(self, replicas: Replicas, name: str = "g") -> None:
        self.change = replicas.change
        self.link = NarrowLink(replicas.feeds)
        self.view = ClusterView()
        self.session = GatewaySession(
            msgspec.structs.replace(BEAT, name=name),
            self.link,
            self.view,
            lambda: REPLICAS,
            list,
            FeedLog(DecisionLog(name, LogWriter()), GatewayMetrics(name), LoopLag()),
        )

    async def wait_for(self, condition) -> float:
        """Return the seconds until a condition holds, 30 at most."""
        started = trio.current_time()
        with trio.move_on_after(30.0):
            while not condition(self.view):
                await trio.sleep(0.01)
        return trio.current_time() - started


def run_script(upstreams, script):
    """Run a script beside a starting gateway on virtual time."""

    async def run():
        gateway = StartingGateway(Replicas(upstreams))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(gateway.session.run)
            await script(gateway)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("upstreams", [600, 3_000])
def test_change_during_startup_is_applied_in_time(upstreams):
    async def script(gateway):
        await trio.sleep(0.3)
        gateway.change(route_change(18, "old", "new"))
        elapsed = await gateway.wait_for(
            lambda view: view.steering.catalog.match("a.example", "/new/")
        )
        assert elapsed <= MAX_APPLY_DELAY_S

    run_script(upstreams, script)


def test_gateway_is_ready_only_once_it_knows_all_upstreams():
    async def script(gateway):
        elapsed = await gateway.wait_for(lambda view: view.is_ready)
        assert len(gateway.view.registry) == 1_000
        assert elapsed < 2.0

    run_script(1_000, script)


def test_replicas_send_only_changes_after_startup():
    async def script(gateway):
        await trio.sleep(15.0)
        later_sizes = [size for at, size in gateway.link.answers if at > 12.0]
        assert len(later_sizes) > 10
        assert max(later_sizes) < 500

    run_script(3_000, script)
