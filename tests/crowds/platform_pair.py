"""One replica and one gateway as real processes, with a worker for the crowd and one for others.

The crowd's worker reads whole requests and does not answer them.
"""

from __future__ import annotations

import os
import subprocess
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import httpcore
import msgspec
import trio

from bench.raw import header_of
from tests.adapter import documents
from tests.adapter.test_processes import free_ports

ROOT = Path(__file__).resolve().parents[2]
CORE = "127.0.3.1"
EDGE = "127.0.3.2"
LISTENERS = {"front": EDGE, "readiness": EDGE, "control": CORE, "directory": CORE}
# Memory and descriptors of the two machines, less than the smallest machines of the pages have.
MEMORY_MB = 120
DESCRIPTORS = 4_100
# Guards against a hang; nothing is judged by how long it takes.
TEST_LIMIT_S = 120.0
ANSWER_LIMIT_S = 30.0
# The services, and the first words of the paths, of the crowd and of ordinary clients.
CROWDED = "crowded"
CALM = "calm"
# The crowd's worker answers only these requests.
LONG_ANSWER_PATH = f"/{CROWDED}/long-answer"
LONG_ANSWER_REQUEST = f"POST {LONG_ANSWER_PATH} ".encode()
LONG_ANSWER_BYTES = 200_000
REQUEST_ID = b"x-finchway-request-id"
SIGNATURE = b"x-finchway-response-signature"


class Pair:
    """The two processes, and the calls of ordinary clients."""

    def __init__(self, folder: Path, descriptors: int) -> None:
        self.folder = folder
        self.descriptors = descriptors
        names = ("front", "readiness", "control", "directory", "internal", "metrics")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.running: dict[str, subprocess.Popen] = {}
        self.calls = 0

    def start(self, ip: str) -> None:
        """Start one process."""
        document = documents.settings(ip=ip, edge=ip == EDGE, seeds=(CORE,))
        document["self"]["limits"] = {
            "cpu_share": 0.86,
            "memory_mb": MEMORY_MB,
            "max_fds": self.descriptors,
        }
        listen = document["network"]["listen"]
        for name in listen:
            listen[name] = f"{ip}:{self.ports[name]}"
        document["network"]["internal_port_range"] = [self.ports["internal"]] * 2
        document["network"]["seeds"] = [f"{CORE}:{self.ports['control']}"]
        document["terms"]["fault_tolerance"]["machines"] = 0
        if ip == CORE:
            document["self"]["data_dir"] = str(self.folder / "data")
        path = self.folder / f"settings-{ip}.json"
        path.write_bytes(msgspec.json.encode(document))
        environment = {
            "PATH": os.environ["PATH"],
            "FINCHWAY_SETTINGS": str(path),
            "FINCHWAY_METRICS_PORT": str(self.ports["metrics"]),
        }
        with (self.folder / f"log-{ip}").open("ab") as log:
            self.running[ip] = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "run.py")],
                env=environment,
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )

    def stop(self) -> None:
        """End both processes."""
        for process in self.running.values():
            process.kill()
            process.wait()

    async def call(self, listener, method, path, body=b"", headers=()):
        """Send one call; returns status and body, or None if there was no answer in time."""
        ip = LISTENERS.get(listener, EDGE)
        url = f"http://{ip}:{self.ports[listener]}{path}"
        limits = dict.fromkeys(("connect", "read", "write", "pool"), ANSWER_LIMIT_S)
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request(
                    method, url, headers=list(headers), content=body, extensions={"timeout": limits}
                )
                return answer.status, answer.content
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return None

    async def call_until(self, status, *arguments, **fields):
        """Repeat a call until it gets this status; returns the body."""
        while True:
            answer = await self.call(*arguments, **fields)
            if answer is not None and answer[0] == status:
                return answer[1]
            await trio.sleep(0.05)

    async def send_request(self, body: bytes = b""):
        """Send an ordinary client's request to the gateway."""
        self.calls += 1
        headers = [
            (b"Host", b"jepu9.example"),
            (REQUEST_ID, b"ordinary-%d" % self.calls),
            (b"X-Finchway-Deadline-Ms", b"%d" % (ANSWER_LIMIT_S * 1000)),
        ]
        method = "POST" if body else "GET"
        return await self.call("front", method, f"/{CALM}/1", body, headers)

    async def run_worker(self, service: str, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run a worker of a service and its heartbeats."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            nursery.start_soon(self._send_heartbeats, service, address)
            task_status.started()

    async def _send_heartbeats(self, service: str, address: str) -> None:
        sequence = 0
        while True:
            sequence += 1
            document = documents.heartbeat(address, sequence=sequence, slots=64, service=service)
            body = msgspec.json.encode(document)
            await self.call("control", "POST", f"/-/Instances.Heartbeat/i-{service}", body)
            await trio.sleep(0.5)

    async def _serve(self, stream) -> None:
        try:
            while (head := await _read_request(stream)) is not None:
                identity = header_of(head, REQUEST_ID)
                body = b"ok"
                if head.startswith(LONG_ANSWER_REQUEST):
                    body = b"a" * LONG_ANSWER_BYTES
                elif identity.startswith(b"crowd"):
                    await trio.sleep_forever()
                fields = (len(body), SIGNATURE, REQUEST_ID, identity)
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: s\r\n%s: %s\r\n\r\n" % fields
                    + body
                )
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


async def _read_request(stream) -> bytes | None:
    """Read a request, and drop its body; returns the head, or None at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = await stream.receive_some(65536)
        if not part:
            return None
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    left = int(header_of(head + b"\r\n\r\n", b"content-length") or 0) - len(rest)
    while left > 0:
        part = await stream.receive_some(65536)
        if not part:
            return None
        left -= len(part)
    return head + b"\r\n\r\n"


def _configuration():
    entries = [documents.LIMITS]
    for name in (CROWDED, CALM):
        route = {"path_prefix": f"/{name}/", "service": name, "type": "upload"}
        times = {"timeout": "60000ms", "target_latency": "1000ms"}
        entries += [documents.service(name), documents.route(f"r-{name}", **route, **times)]
    return documents.patch(*entries)


@asynccontextmanager
async def pair(folder: Path, descriptors: int = DESCRIPTORS):
    """Run the two processes with one route and one worker, ready for requests."""
    subject = Pair(folder, descriptors)
    try:
        with trio.fail_after(TEST_LIMIT_S):
            for ip in (CORE, EDGE):
                subject.start(ip)
            body = msgspec.json.encode(_configuration())
            await subject.call_until(200, "control", "POST", "/-/Config.Patch", body=body)
            async with trio.open_nursery() as nursery:
                await nursery.start(subject.run_worker, CROWDED)
                await nursery.start(subject.run_worker, CALM)
                while await subject.send_request() != (200, b"ok"):
                    await trio.sleep(0.05)
                await subject.call_until(
                    200, "directory", "GET", "/-/resolve?name=jepu9.example&region=r&zone=col-a"
                )
                yield subject
                nursery.cancel_scope.cancel()
    finally:
        subject.stop()
