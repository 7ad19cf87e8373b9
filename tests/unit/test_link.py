"""Links between processes, over loopback sockets."""

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


def run_pair(check, unused_s: float = 120.0, answer=handler) -> None:
    """Run a check with two links; the second one replies."""

    async def main() -> None:
        one, two = (f"127.0.0.1:{port}" for port in free_ports(2))
        clocks = LogicalClock(), LogicalClock()
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                link = Link("one", one, handler, clocks[0], idle_timeout_s=unused_s)
                other = Link("two", two, answer, clocks[1])
                await nursery.start(link.run)
                await nursery.start(other.run)
                await check(link, two, clocks)
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_requests_get_their_own_replies_and_errors():
    async def check(link, address, clocks):
        assert await link.request(address, Confirm(), 5.0) == Confirmed(revision=7, index=9)
        with pytest.raises(NotLeaderError) as caught:
            await link.request(address, FetchChanges(since=0), 5.0)
        assert caught.value.leader == "10.0.0.1:1"
        with pytest.raises(ConflictError, match="no"):
            await link.request(address, ReplicaStatus(), 5.0)
        assert clocks[0].value > 0 and clocks[1].value > 0

    run_pair(check)


def test_concurrent_requests_get_matching_replies():
    async def check(link, address, clocks):
        replies = []

        async def request(kind) -> None:
            replies.append((kind, type(await link.request(address, kind(), 10.0))))

        async with trio.open_nursery() as nursery:
            for number in range(200):
                nursery.start_soon(request, Confirm if number % 2 else EntryQuery)
        assert len(replies) == 200
        assert set(replies) == {(Confirm, Confirmed), (EntryQuery, Ok)}

    run_pair(check)


def test_a_missing_reply_raises_an_error_at_the_timeout():
    async def check(link, address, clocks):
        with pytest.raises(TransportError, match="no answer"):
            await link.request(address, Join(member=Member("a", "1")), 0.1)
        with pytest.raises(TransportError):
            await link.request("127.0.0.1:1", Confirm(), 0.1)
        assert await link.request(address, Confirm(), 5.0)

    run_pair(check)


def test_idle_connections_are_closed_and_reopened_on_demand():
    async def check(link, address, clocks):
        await link.request(address, Confirm(), 5.0)
        while link.peers:
            await trio.sleep(0.01)
        assert await link.request(address, Confirm(), 5.0)

    run_pair(check, unused_s=0.2)


def test_malformed_messages_are_dropped():
    async def check(link, address, clocks):
        context = zmq.Context()
        client = context.socket(zmq.DEALER)
        client.linger = 0
        client.connect(f"tcp://{address}")
        for data in (b"", b"\x00" * 50, b"not msgpack", b"\x95\x01"):
            client.send(data)
        assert await link.request(address, Confirm(), 5.0)
        client.close()
        context.term()

    run_pair(check)


# Limit for replacing an unresponsive connection.
RECONNECT_TIMEOUT_S = 3.0


@pytest.mark.parametrize(
    "silent",
    [BOTH, frozenset({Direction.REQUESTS}), frozenset({Direction.ANSWERS})],
    ids=["both", "requests", "answers"],
)
def test_a_connection_that_goes_silent_without_a_reset_is_replaced(silent):
    """Heartbeats in both directions detect a partition in either one."""

    async def main() -> float:
        one, two, proxy_address = (f"127.0.0.1:{port}" for port in free_ports(3))
        proxy = Proxy(proxy_address, two)
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                link = Link("one", one, handler, LogicalClock())
                for part in (link, Link("two", two, handler, LogicalClock()), proxy):
                    await nursery.start(part.run)
                await link.request(proxy_address, Confirm(), 5.0)
                await trio.sleep(0.3)
                proxy.go_silent(silent)
                elapsed = await time_to_reply(link, proxy_address)
                nursery.cancel_scope.cancel()
        return elapsed

    assert trio.run(main) <= RECONNECT_TIMEOUT_S


async def time_to_reply(link: Link, address: str) -> float:
    """Return the seconds until a request gets a reply."""
    started = trio.current_time()
    while True:
        try:
            await link.request(address, Confirm(), 0.2)
        except TransportError:
            continue
        return trio.current_time() - started
