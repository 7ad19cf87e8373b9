"""Guards against deadlines or disconnects during a response that affect other callers."""

from __future__ import annotations

import random
import socket
import threading

import msgspec
import pytest

from bench.shapes import credential_of
from tests.process.conftest import Caller

pytestmark = pytest.mark.xdist_group("short-deadlines")

# Minimum numbers of requests by the regular caller and by those with short deadlines.
REGULAR_CALLS = 100
SHORT_DEADLINE_CALLS = 100


def request(call: str, timeout_ms: int, size: int) -> bytes:
    return (
        f"GET /s/bays/call HTTP/1.1\r\nhost: x\r\nx-call: {call}\r\nx-size: {size}\r\n"
        f"finchway-timeout-ms: {timeout_ms}\r\n"
        f"authorization: Bearer {credential_of('gold')}\r\n\r\n"
    ).encode()


class ShortDeadlineCaller(threading.Thread):
    """Repeatedly sends requests with short deadlines; may disconnect before the response.

    `heads` has the numbers of requests sent and response heads received on each connection.
    """

    def __init__(self, address: str, seed: int, disconnects: bool, stop: threading.Event) -> None:
        super().__init__()
        host, _, port = address.rpartition(":")
        self.endpoint = (host, int(port))
        self.rng = random.Random(seed)
        self.disconnects = disconnects
        self.stop = stop
        self.calls = 0
        self.refused_connections = 0
        self.heads: list[tuple[int, int]] = []

    def run(self) -> None:
        while not self.stop.is_set():
            try:
                with socket.create_connection(self.endpoint, timeout=2.0) as sock:
                    self._send_request(sock)
            except ConnectionRefusedError:
                self.refused_connections += 1
                self.stop.wait(0.05)
            except OSError:
                continue

    def _send_request(self, sock: socket.socket) -> None:
        self.calls += 1
        self.stop.wait(self.rng.random() * 0.1)
        size = self.rng.choice([0, 0, 0, 1_000, 60_000, 70_000, 300_000])
        sock.sendall(request(f"short{self.calls}", self.rng.randrange(1, 30), size))
        if self.disconnects:
            sock.settimeout(self.rng.random() * 0.02)
            sock.recv(1_000)
            return
        answer = b""
        sock.settimeout(0.2)
        try:
            while part := sock.recv(65_536):
                answer += part
        except TimeoutError:
            pass
        self.heads.append((1, answer.count(b"HTTP/1.1 ")))


@pytest.mark.parametrize("disconnects", [False, True], ids=["deadlines", "disconnects"])
@pytest.mark.parametrize("entry", ["e1", "e2"])
def test_regular_requests_succeed_beside_short_deadlines(deployment, entry, disconnects):
    """No deadline or disconnect stops an entry or makes it send two response heads."""
    stop = threading.Event()
    others = [
        ShortDeadlineCaller(deployment.entry[entry], seed, disconnects, stop) for seed in range(6)
    ]
    regular = Caller(deployment)
    for caller in others:
        caller.start()
    failures: list[object] = []
    try:
        while regular.calls < REGULAR_CALLS or sum(c.calls for c in others) < SHORT_DEADLINE_CALLS:
            try:
                response = regular.call(entry, "bays")
            except Exception as error:
                failures.append(error)
                stop.wait(0.05)
                continue
            if response.status == 200:
                assert msgspec.json.decode(response.content)["call"] == f"call{regular.calls}"
            else:
                failures.append(response.content)
    finally:
        stop.set()
        for caller in others:
            caller.join()
    assert deployment.processes[entry].poll() is None, f"logs are in {deployment.folder}"
    assert failures == []
    assert sum(caller.refused_connections for caller in others) == 0
    assert all(heads <= sent for caller in others for sent, heads in caller.heads)
