"""Graceful shutdown of an entry fails no request, even of callers that use it until it is gone.

Some callers connect anew for each request, others keep their connections open.
"""

from __future__ import annotations

import contextlib
import http.client
import signal
import threading

import pytest

from bench.shapes import credential_of

pytestmark = pytest.mark.xdist_group("planned-stop")

CALLERS = 8
# Responses that each caller must have received before the stop.
MIN_ANSWERS_BEFORE_STOP = 20


class PersistentCaller(threading.Thread):
    """Calls one entry until it refuses connections, with or without keep-alive."""

    def __init__(self, host_port: str, keep_alive: bool, number: int) -> None:
        super().__init__()
        host, _, port = host_port.rpartition(":")
        self.address = (host, int(port))
        self.keep_alive = keep_alive
        self.number = number
        self.answered = 0
        self.failures: list[str] = []

    def run(self) -> None:
        while True:
            connection = http.client.HTTPConnection(*self.address, timeout=10.0)
            try:
                connection.connect()
            except ConnectionRefusedError:
                return
            with contextlib.closing(connection):
                while self._call(connection) and self.keep_alive:
                    pass

    def _call(self, connection: http.client.HTTPConnection) -> bool:
        """Send one request; returns whether the connection can be reused."""
        headers = {"authorization": f"Bearer {credential_of('gold')}", "x-call": "persistent"}
        try:
            connection.request("GET", "/s/bays/call", headers=headers)
            response = connection.getresponse()
            response.read()
        except (http.client.HTTPException, OSError) as error:
            self.failures.append(repr(error))
            return False
        self.answered += 1
        return response.getheader("connection") != "close"


@pytest.mark.parametrize("round_number", range(3))
def test_no_request_fails_while_an_entry_stops_gracefully(deployment, round_number):
    name = ("e1", "e2")[round_number % 2]
    callers = [
        PersistentCaller(deployment.entry[name], keep_alive=bool(number % 2), number=number)
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    deployment.wait(
        lambda: min(c.answered for c in callers) >= MIN_ANSWERS_BEFORE_STOP, "callers to be served"
    )
    process = deployment.processes[name]
    process.send_signal(signal.SIGTERM)
    for caller in callers:
        caller.join(timeout=30.0)
    process.wait(timeout=30.0)
    deployment.restart(name)
    deployment.wait_in_force(1, 2)
    assert [failure for caller in callers for failure in caller.failures] == []
