"""Links between processes, with real sockets on loopback."""

from __future__ import annotations

import pytest
import trio
import zmq

from bench.deploy import free_ports
from bench.soak._proxy import BOTH, Direction, Proxy
from finchway.exceptions import ConflictError, NotLeaderError, TransportError
from finchway.observe import LogicalClock
from finchway.replication import Member
from finchway.transport import (
    Confirm,
    Confirmed,
    EntryQuery,
    FetchChanges,
    Join,
    Link,
    Ok,
    ReplicaStatus,
)


async def handler(body, sender):
    match body:
        case Confirm():
            return Confirmed(revision=7, index=9)
        case FetchChanges():
            raise NotLeaderError("10.0.0.1:1")
        case ReplicaStatus():
            raise ConflictError("no")
        case Join():
            await trio.sleep_forever()
    return Ok()


def run_pair(check, unused_s: float = 120.0) -> None:
    """Run a check with two links; the second answers."""

    async def main() -> None:
        one, two = (f"127.0.0.1:{port}" for port in free_ports(2))
        clocks = LogicalClock(), LogicalClock()
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                link = Link("one", one, handler, clocks[0], unused_s=unused_s)
                other = Link("two", two, handler, clocks[1])
                await nursery.start(link.run)
                await nursery.start(other.run)
                await check(link, two, clocks)
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_requests_get_their_own_answers_and_errors():
    async def check(link, address, clocks):
        assert await link.request(address, Confirm(), 5.0) == Confirmed(revision=7, index=9)
        with pytest.raises(NotLeaderError) as caught:
            await link.request(address, FetchChanges(since=0), 5.0)
        assert caught.value.leader == "10.0.0.1:1"
        with pytest.raises(ConflictError, match="no"):
            await link.request(address, ReplicaStatus(), 5.0)
        assert clocks[0].value > 0 and clocks[1].value > 0

    run_pair(check)


def test_many_requests_at_once_are_not_mixed_up():
    async def check(link, address, clocks):
        seen = []

        async def ask(kind) -> None:
            seen.append((kind, type(await link.request(address, kind(), 10.0))))

        async with trio.open_nursery() as nursery:
            for number in range(200):
                nursery.start_soon(ask, Confirm if number % 2 else EntryQuery)
        assert len(seen) == 200
        assert set(seen) == {(Confirm, Confirmed), (EntryQuery, Ok)}

    run_pair(check)


def test_no_answer_is_an_error_in_time():
    async def check(link, address, clocks):
        with pytest.raises(TransportError, match="no answer"):
            await link.request(address, Join(member=Member("a", "1")), 0.1)
        with pytest.raises(TransportError):
            await link.request("127.0.0.1:1", Confirm(), 0.1)
        assert await link.request(address, Confirm(), 5.0)

    run_pair(check)


def test_connections_that_nothing_uses_are_closed_and_opened_again():
    async def check(link, address, clocks):
        await link.request(address, Confirm(), 5.0)
        while link.peers:
            await trio.sleep(0.01)
        assert await link.request(address, Confirm(), 5.0)

    run_pair(check, unused_s=0.2)


def test_malformed_messages_are_dropped():
    async def check(link, address, clocks):
        context = zmq.Context()
        stranger = context.socket(zmq.DEALER)
        stranger.linger = 0
        stranger.connect(f"tcp://{address}")
        for data in (b"", b"\x00" * 50, b"not msgpack", b"\x95\x01"):
            stranger.send(data)
        assert await link.request(address, Confirm(), 5.0)
        stranger.close()
        context.term()

    run_pair(check)


# The least that users leave for connections that broke, in seconds.
RENEWED_WITHIN_S = 3.0


@pytest.mark.parametrize(
    "silent",
    [BOTH, frozenset({Direction.REQUESTS}), frozenset({Direction.ANSWERS})],
    ids=["both", "requests", "answers"],
)
def test_a_connection_that_goes_silent_without_a_reset_is_replaced(silent):
    """Both ends greet each other every half second, so either direction is missed.

    Here it takes 1.81 s for each of the three ways (18 runs); after that a new connection is used.
    """

    async def main() -> float:
        one, two, between = (f"127.0.0.1:{port}" for port in free_ports(3))
        proxy = Proxy(between, two)
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                link = Link("one", one, handler, LogicalClock())
                for part in (link, Link("two", two, handler, LogicalClock()), proxy):
                    await nursery.start(part.run)
                await link.request(between, Confirm(), 5.0)
                await trio.sleep(0.3)
                proxy.go_silent(silent)
                taken = await until_answered(link, between)
                nursery.cancel_scope.cancel()
        return taken

    assert trio.run(main) <= RENEWED_WITHIN_S


async def until_answered(link: Link, address: str) -> float:
    """Return how many seconds it takes until a request is answered."""
    started = trio.current_time()
    while True:
        try:
            await link.request(address, Confirm(), 0.2)
        except TransportError:
            continue
        return trio.current_time() - started
