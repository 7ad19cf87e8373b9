"""Kept connections to an upstream that go silent for good, while new ones work.

Symptom: one request after the other is held until its time is up, at an upstream that answers
everyone else. Sequence: the kept connections stop carrying bytes without a reset; each is taken
for one request, brings nothing, and only that one is closed. Cause: nothing probed a connection at
rest, and one that had brought nothing did not speak against those kept beside it. What settled it:
the order of statuses (504, 504, 200 with two kept connections), and the options of the socket.
"""

import errno
import socket

import pytest
import trio

from bench.soak._proxy import Proxy
from finchway.gateway._connection import AttemptError, Failure, UpstreamConnection
from tests.gateway.harness import Upstream, answer, gateway

# Seconds within which a connection at rest is found to be dead: the least that users leave for
# connections that broke.
FOUND_WITHIN_S = 3


async def answer_after_a_while(upstream, stream, request):
    await trio.sleep(0.1)
    await stream.send_all(answer(request))


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def test_one_silent_connection_speaks_against_those_kept_beside_it():
    async def check():
        upstream = Upstream("i-1", answer_after_a_while)
        async with gateway(upstream, timeout=0.4) as subject:
            proxy = Proxy(free_address(), upstream.address)
            await subject.nursery.start(proxy.run)
            subject.tell([upstream.registration(sequence=2, address=proxy.listen)])
            callers = [await subject.connect() for _ in range(2)]
            statuses = []

            async def ask(caller):
                statuses.append((await caller.ask())[0])

            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(ask, caller)
            assert statuses == [200, 200]
            assert upstream.connections == 2
            proxy.go_silent()
            assert (await callers[0].ask())[0] == 504
            assert (await callers[1].ask())[0] == 200

    trio.run(check)


def test_connections_are_probed_while_nothing_is_sent_on_them():
    async def check():
        upstream = Upstream("i-1", answer_after_a_while)
        async with gateway(upstream):
            connection = await UpstreamConnection.open(upstream.address, "i-1")
            sock = connection._stream.socket
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
            idle = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
            between = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
            probes = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
            assert idle + between * probes <= FOUND_WITHIN_S
            connection.close()

    trio.run(check)


@pytest.mark.parametrize(
    ("number", "failure"),
    [(errno.ETIMEDOUT, Failure.SILENT), (errno.ECONNRESET, Failure.BROKEN)],
    ids=["silent", "reset"],
)
def test_a_connection_without_any_sign_is_told_from_one_that_was_reset(number, failure):
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
