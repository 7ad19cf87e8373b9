"""Guards against requests to upstreams and replicas during the backoff of their `Retry-After`."""

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

pytestmark = pytest.mark.xdist_group("retry-after")

BACKOFF_S = 2
# Requests that were sent before the first response may arrive during this time.
IN_FLIGHT_S = 0.5
MAX_DURING_BACKOFF = 2
CALLS_PER_SECOND = 30


def bays(deployment) -> list[str]:
    return [c.address for service, _, c in deployment.upstreams if service == "bays"]


def refused(deployment) -> int:
    return sum(fetch(address, "/fake/report")["refused"] for address in bays(deployment))


def set_backoff(deployment, seconds: int) -> None:
    mode = {"mode": "refuse" if seconds else "normal", "rest_s": seconds}
    for address in bays(deployment):
        fetch(address, "/fake/mode", mode)


def send_at_rate(deployment, entry: str, seconds: float) -> list:
    """Send requests at a fixed rate, regardless of their results."""
    with ThreadPoolExecutor(100) as pool:
        calls = []
        for _ in range(int(seconds * CALLS_PER_SECOND)):
            calls.append(pool.submit(Caller(deployment).call, entry, "bays"))
            time.sleep(1 / CALLS_PER_SECOND)
        return [call.result() for call in calls]


@pytest.fixture(autouse=True)
def reset_modes(deployment):
    yield
    set_backoff(deployment, 0)


def test_an_entry_sends_nothing_to_upstreams_during_their_backoff(deployment):
    set_backoff(deployment, BACKOFF_S)
    started = time.monotonic()
    with ThreadPoolExecutor(1) as pool:
        # Requests that wait for the end of the backoff are not checked here.
        sending = pool.submit(send_at_rate, deployment, "e1", BACKOFF_S)
        time.sleep(IN_FLIGHT_S)
        before = refused(deployment)
        time.sleep(started + BACKOFF_S - 0.1 - time.monotonic())
        during = refused(deployment) - before
        sending.result()
    assert before
    assert during <= MAX_DURING_BACKOFF * len(bays(deployment))


def test_callers_are_refused_immediately_with_the_end_of_the_backoff(deployment, caller):
    set_backoff(deployment, 10)
    send_at_rate(deployment, "e2", IN_FLIGHT_S)
    started = time.monotonic()
    response = caller.call("e2", "bays", headers={"finchway-timeout-ms": "1500"})
    assert time.monotonic() - started < 0.5
    assert response.status == 503
    assert header(response, "finchway-outcome") == "not-run"
    assert int(header(response, "retry-after")) >= 8


def test_the_cli_honours_the_retry_after_of_a_replica():
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
        time.sleep(BACKOFF_S + 0.5)
        during = [at for at in came_at if IN_FLIGHT_S < at - came_at[0] < BACKOFF_S]
        assert len(during) <= MAX_DURING_BACKOFF
        assert came_at


def test_a_connection_established_after_a_backoff_began_carries_no_request():
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
