"""A gateway with a narrow link that starts where there are many upstreams.

Symptom: a change that was accepted while the gateway started is in force there only seconds later
than it may be. Sequence: each replica answers the gateway's first question with all upstreams at
once; the answers share the link, and what is newer waits behind them. Cause: an answer was as large
as the deployment. What settled it: 95 KB an answer with 573 upstreams (worked out from the types),
0.9 s to 1.4 s on the way from each far replica where a link bears 331 KB/s.
"""

import msgspec
import pytest
import trio
import trio.testing

from finchway.control._feed import FeedServer
from finchway.exceptions import TransportError
from finchway.feed import GatewayBeat, World
from finchway.gateway import FeedLog, GatewaySession
from finchway.observe import DecisionLog, GatewayMetrics, LogWriter, LoopLag
from finchway.registry import Registration, UpstreamState
from tests.gateway.test_stale_configuration import IN_FORCE_WITHIN_S, SoundRunner, route_change

REPLICAS = ["a:1", "b:1", "c:1", "d:1", "e:1"]
LINK_BYTES_PER_S = 331_000
ROUND_TRIP_S = 0.07
BEAT = GatewayBeat(name="g", incarnation="1", address="g:1", zone="z", region="r")


def upstream(number: int) -> Registration:
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

    def __init__(self, desks: dict[str, FeedServer]) -> None:
        self._desks = desks
        self._free_at = 0.0
        self.answers: list[tuple[float, int]] = []

    async def request(self, address, question, timeout, send_within=None):
        with trio.move_on_after(timeout):
            await trio.sleep(ROUND_TRIP_S / 2)
            answer = await self._desks[address].answer(question)
            size = len(msgspec.msgpack.encode(answer))
            now = trio.current_time()
            self._free_at = max(self._free_at, now) + size / LINK_BYTES_PER_S
            self.answers.append((now, size))
            await trio.sleep(self._free_at - now + ROUND_TRIP_S / 2)
            return answer
        raise TransportError(f"no answer from {address}")


class Start:
    """A gateway that starts beside five replicas which know many upstreams."""

    def __init__(self, upstreams: int) -> None:
        self.runners = {address: SoundRunner() for address in REPLICAS}
        desks = {address: FeedServer(r, None, 1.5) for address, r in self.runners.items()}
        for desk in desks.values():
            for number in range(upstreams):
                desk.registry.record(upstream(number), trio.current_time())
        self.change(route_change(1, "old"))
        self.link = NarrowLink(desks)
        self.world = World()
        self.session = GatewaySession(
            BEAT,
            self.link,
            self.world,
            lambda: REPLICAS,
            list,
            FeedLog(DecisionLog("g", LogWriter()), GatewayMetrics("g"), LoopLag()),
        )

    def change(self, command) -> None:
        for runner in self.runners.values():
            runner.change(command)

    async def until(self, condition) -> float:
        """Return how many seconds it takes until a condition holds; 30 at most."""
        started = trio.current_time()
        with trio.move_on_after(30.0):
            while not condition(self.world):
                await trio.sleep(0.01)
        return trio.current_time() - started


def play(upstreams, script):
    """Run a script beside a starting gateway, on virtual time."""

    async def run():
        start = Start(upstreams)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(start.session.run)
            await script(start)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("upstreams", [600, 3_000])
def test_a_change_during_the_start_is_in_force_in_time(upstreams):
    async def script(start):
        await trio.sleep(0.3)
        start.change(route_change(18, "old", "new"))
        taken = await start.until(lambda world: world.steering.catalog.match("a.example", "/new/"))
        assert taken <= IN_FORCE_WITHIN_S

    play(upstreams, script)


def test_a_gateway_is_ready_only_once_it_has_been_told_of_all_upstreams():
    async def script(start):
        taken = await start.until(lambda world: world.is_ready)
        assert len(start.world.registry) == 1_000
        assert taken < 2.0

    play(1_000, script)


def test_all_replicas_are_heard_to_the_end_and_then_send_only_what_is_new():
    async def script(start):
        await trio.sleep(15.0)
        late = [size for at, size in start.link.answers if at > 12.0]
        assert len(late) > 10
        assert max(late) < 500

    play(3_000, script)
