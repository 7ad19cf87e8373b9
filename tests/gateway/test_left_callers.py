"""A gateway that falls behind does not serve callers that have given up."""

import pytest
import trio

from bench.deploy import free_ports
from finchway.gateway import HttpServer
from tests.gateway.test_graceful_stop import REQUEST, Server, read_answer

LEAVING_CALLERS = 200


@pytest.mark.parametrize("count", [0, LEAVING_CALLERS])
def test_callers_that_left_before_they_were_accepted_are_counted_not_served(count):
    left = 0

    def count_left() -> None:
        nonlocal left
        left += 1

    async def run() -> int:
        server = Server()
        server.address = f"127.0.0.1:{free_ports(1)[0]}"
        server.http = HttpServer(server.address, server._serve, on_left=count_left)
        async with trio.open_nursery() as nursery:
            await nursery.start(server.http.run)
            server.http.begin_drain()
            for _ in range(count):
                caller = server.connect()
                caller.send(REQUEST)
                caller.close()
            patient = server.connect()
            patient.send(REQUEST)
            assert (await read_answer(patient)).endswith(b"ok")
            nursery.cancel_scope.cancel()
        return server.served

    assert trio.run(run) == 1
    assert left == count
