"""Upstreams that ask an entry for rest, and replicas that ask the operators' tool for it.

An upstream answered 503 with `Retry-After` and got 62 requests from one process in that time, two
for each call. That process was a gateway; an entry read the same answers by code of its own, which
knew `finchway-outcome` and nothing of `Retry-After`, and left the upstream out for 0.05 s to 0.5 s.
The tool asked a replica again every 0.5 s, whatever its answer said.
"""

from __future__ import annotations

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import trio

from bench.deploy import fetch
from finchway.cli._client import ApiClient
from finchway.entry import UpstreamClient, UpstreamError
from finchway.exceptions import UnavailableError
from finchway.policy import Outcome
from tests.process.conftest import Caller, header

pytestmark = pytest.mark.xdist_group("asked-rest")

REST_S = 2
# A rest binds from half a second after the answer that asked for it; two requests may come in it.
UNDER_WAY_S = 0.5
MOST_AMID = 2
CALLS_A_SECOND = 30


def bays(deployment) -> list[str]:
    return [c.address for service, _, c in deployment.upstreams if service == "bays"]


def refused(deployment) -> int:
    return sum(fetch(address, "/fake/report")["refused"] for address in bays(deployment))


def set_rest(deployment, seconds: int) -> None:
    mode = {"mode": "refuse" if seconds else "normal", "rest_s": seconds}
    for address in bays(deployment):
        fetch(address, "/fake/mode", mode)


def press(deployment, entry: str, seconds: float) -> list:
    """Call at a steady rate, whatever becomes of the calls."""
    with ThreadPoolExecutor(100) as pool:
        calls = []
        for _ in range(int(seconds * CALLS_A_SECOND)):
            calls.append(pool.submit(Caller(deployment).call, entry, "bays"))
            time.sleep(1 / CALLS_A_SECOND)
        return [call.result() for call in calls]


@pytest.fixture(autouse=True)
def normal(deployment):
    yield
    set_rest(deployment, 0)


def test_upstreams_that_ask_an_entry_for_rest_get_nothing_until_its_end(deployment):
    set_rest(deployment, REST_S)
    started = time.monotonic()
    with ThreadPoolExecutor(1) as pool:
        # Calls that wait for the end of the rest are no concern here.
        pressing = pool.submit(press, deployment, "e1", REST_S)
        time.sleep(UNDER_WAY_S)
        before = refused(deployment)
        time.sleep(started + REST_S - 0.1 - time.monotonic())
        amid = refused(deployment) - before
        pressing.result()
    assert before
    assert amid <= MOST_AMID * len(bays(deployment))


def test_callers_are_refused_at_once_and_told_when_the_rest_ends(deployment, caller):
    set_rest(deployment, 10)
    press(deployment, "e2", UNDER_WAY_S)
    started = time.monotonic()
    response = caller.call("e2", "bays", headers={"finchway-timeout-ms": "1500"})
    assert time.monotonic() - started < 0.5
    assert response.status == 503
    assert header(response, "finchway-outcome") == "not-run"
    assert int(header(response, "retry-after")) >= 8


def test_the_tool_keeps_to_the_rest_that_a_replica_asks_for():
    answer = (
        b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nContent-Length: 17\r\n"
        b'Connection: close\r\n\r\n{"detail":"busy"}'
    )
    came_at: list[float] = []

    def serve(listener) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with connection:
                connection.recv(65536)
                came_at.append(time.monotonic())
                connection.sendall(answer)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        threading.Thread(target=serve, args=(listener,), daemon=True).start()
        client = ApiClient([f"127.0.0.1:{listener.getsockname()[1]}"], "credential")

        def ask() -> None:
            with pytest.raises(UnavailableError):
                client.list("service")

        threading.Thread(target=ask, daemon=True).start()
        time.sleep(REST_S + 0.5)
        amid = [at for at in came_at if UNDER_WAY_S < at - came_at[0] < REST_S]
        assert len(amid) <= MOST_AMID
        assert came_at


def test_a_connection_that_comes_up_after_its_upstream_asked_for_rest_carries_nothing():
    came: list[bytes] = []

    async def serve(stream) -> None:
        came.append(await stream.receive_some(1))

    async def check() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            client = UpstreamClient()
            opened = client.open(address, "GET", "/", [(b"host", b"x")], b"", lambda: False)
            with pytest.raises(UpstreamError) as caught:
                async with opened:
                    pass
            assert caught.value.outcome is Outcome.NOT_RUN
            assert caught.value.healthy
            assert not caught.value.was_sent
            while not came:
                await trio.sleep(0.01)
            assert came == [b""]
            nursery.cancel_scope.cancel()

    trio.run(check)
