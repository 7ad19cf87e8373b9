"""Requests that reach an entry late in its planned stop get an answer before it ends."""

from __future__ import annotations

import contextlib
import http.client
import signal
import time

import pytest

from bench.deploy import Deployment, fetch
from bench.shapes import credential_of
from tests.process.conftest import SMALL

pytestmark = pytest.mark.xdist_group("late-requests")
# Less than the service's deadline after the last request of the tests.
DRAIN_LIMIT_S = 5.0
EARLY_S = 0.5
LATE_S = (3.0, 3.9)
# Larger than what an entry buffers, so that it is streamed.
LONG_BODY = b"x" * 200_000


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    made = Deployment(tmp_path_factory.mktemp("late"), SMALL, entries=2, replicas=1)
    made.extra = [f"--drain_limit_s={DRAIN_LIMIT_S:g}"]
    try:
        made.start_declared()
        yield made
    finally:
        made.stop()


def stop_entry(deployment, name: str) -> float:
    """Send an entry the stop signal; return when."""
    deployment.processes[name].send_signal(signal.SIGTERM)
    return time.monotonic()


def send(deployment, name: str, body: bytes = b"") -> http.client.HTTPConnection:
    """Send a request on a new connection."""
    host, _, port = deployment.entry[name].rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10.0)
    headers = {"authorization": f"Bearer {credential_of('gold')}", "x-call": "late"}
    connection.request("POST" if body else "GET", "/s/bays/call", body=body, headers=headers)
    return connection


def status_of(connection: http.client.HTTPConnection) -> int | None:
    """Return the status of the answer; None if the connection ended without one."""
    with contextlib.closing(connection):
        try:
            return connection.getresponse().status
        except (http.client.HTTPException, OSError):
            return None


# Requests that came late in a stop were passed on and broken off at its end.
def test_late_requests_that_may_outlast_an_entrys_stop_are_refused_as_not_run(deployment):
    for _ in range(5):
        assert status_of(send(deployment, "e1")) == 200
    for _, _, config in deployment.upstreams:
        fetch(config.address, "/fake/mode", {"mode": "silent"})
    stopped_at = stop_entry(deployment, "e1")
    sent = []
    for at in (EARLY_S, *LATE_S):
        time.sleep(max(0.0, stopped_at + at - time.monotonic()))
        sent.append(send(deployment, "e1"))
    early, *late = [status_of(connection) for connection in sent]
    # No promise is made for what an upstream has got.
    assert early in (502, 504)
    assert late == [503] * len(LATE_S)
    assert deployment.processes["e1"].wait(timeout=5.0) == 0
    assert time.monotonic() - stopped_at < DRAIN_LIMIT_S + 1.5


# A long body whose end may come late was passed on and cut off at the end of the stop.
def test_streamed_request_that_may_outlast_an_entrys_stop_is_refused_as_not_run(deployment):
    stopped_at = stop_entry(deployment, "e2")
    time.sleep(max(0.0, stopped_at + LATE_S[0] - time.monotonic()))
    assert status_of(send(deployment, "e2", LONG_BODY)) == 503
