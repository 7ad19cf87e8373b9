"""Kept connections to an upstream that go silent without a reset, while new ones work.

Only one request may be lost to them: a silent connection also discards those kept beside it.
"""

import errno
import socket

import pytest
import trio

from bench.soak._proxy import Proxy
from finchway.gateway._connection import AttemptError, Failure, UpstreamConnection
from tests.gateway.harness import Upstream, answer, gateway

# Time within which keepalive probes must detect a dead idle connection.
MAX_DETECTION_S = 3


async def answer_slowly(upstream, stream, request):
    await trio.sleep(0.1)
    await stream.send_all(answer(request))


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def test_silent_connection_discards_those_kept_beside_it():
    async def check():
        upstream = Upstream("i-1", answer_slowly)
        async with gateway(upstream, timeout=0.4) as subject:
            proxy = Proxy(free_address(), upstream.address)
            await subject.nursery.start(proxy.run)
            subject.apply_feed([upstream.registration(sequence=2, address=proxy.listen)])
            callers = [await subject.connect() for _ in range(2)]
            statuses = []

            async def send_request(caller):
                statuses.append((await caller.request())[0])

            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(send_request, caller)
            assert statuses == [200, 200]
            assert upstream.connections == 2
            proxy.go_silent()
            assert (await callers[0].request())[0] == 504
            assert (await callers[1].request())[0] == 200

    trio.run(check)


def test_idle_connections_are_probed():
    async def check():
        upstream = Upstream("i-1", answer_slowly)
        async with gateway(upstream):
            connection = await UpstreamConnection.open(upstream.address, "i-1")
            sock = connection._stream.socket
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
            idle = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
            interval = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
            probes = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
            assert idle + interval * probes <= MAX_DETECTION_S
            connection.close()

    trio.run(check)


@pytest.mark.parametrize(
    ("number", "failure"),
    [(errno.ETIMEDOUT, Failure.SILENT), (errno.ECONNRESET, Failure.BROKEN)],
    ids=["silent", "reset"],
)
def test_timed_out_connection_is_distinguished_from_a_reset_one(number, failure):
    class Stream:
        async def receive_some(self, _):
            raise trio.BrokenResourceError("broken") from OSError(number, "read")

        async def send_all(self, _):
            await trio.sleep(0)

    async def check():
        connection = UpstreamConnection(Stream(), "i-1")
        await connection.send("GET", "/", [(b"host", b"a.example")], b"")
        with pytest.raises(AttemptError) as caught:
            await connection.receive(b"id", "1")
        assert caught.value.failure is failure

    trio.run(check)
