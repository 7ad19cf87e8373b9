"""Real processes on loopback addresses: five replicas started from three seeds, two gateways."""

from __future__ import annotations

import itertools
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import httpcore
import msgspec
import pytest
import trio

from bench.signals import ignores
from tests.adapter import documents
from tests.gateway.harness import header_of, read_message

ROOT = Path(__file__).resolve().parents[2]
CORES = [f"127.0.1.{n}" for n in range(1, 6)]
EDGES = ["127.0.2.1", "127.0.2.2"]
STARTUP_AND_TEST_TIMEOUT_S = 40.0
REQUEST_ID = b"x-finchway-request-id"
SIGNATURE = b"x-finchway-response-signature"

pytestmark = pytest.mark.xdist_group("adapter")


def free_ports(count: int) -> list[int]:
    """Return free ports, which all loopback addresses of a deployment use alike."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for opened in sockets:
            opened.bind(("127.0.0.1", 0))
        return [opened.getsockname()[1] for opened in sockets]
    finally:
        for opened in sockets:
            opened.close()


class Deployment:
    """The processes of one deployment, each with its settings file and data folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        names = ("front", "readiness", "control", "directory", "internal", "metrics")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.running: dict[str, subprocess.Popen] = {}
        self.numbers = itertools.count(1)

    def write_settings(self, ip: str, first: bool, seeds: list[str]) -> Path:
        edge = ip in EDGES
        document = documents.settings(ip=ip, edge=edge, seeds=seeds, bootstrap=first)
        listen = document["network"]["listen"]
        for name in listen:
            listen[name] = f"{ip}:{self.ports[name]}"
        port = self.ports["internal"]
        document["network"]["internal_port_range"] = [port, port]
        document["network"]["seeds"] = [f"{seed}:{self.ports['control']}" for seed in seeds]
        if not edge:
            document["self"]["data_dir"] = str(self.folder / f"data-{ip}")
        path = self.folder / f"settings-{ip}.json"
        path.write_bytes(msgspec.json.encode(document))
        return path

    def start(self, ip: str, first: bool = True, seeds: list[str] | None = None) -> None:
        path = self.write_settings(ip, first, seeds or CORES[:3])
        with (self.folder / f"log-{ip}").open("ab") as log:
            self.running[ip] = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "run.py")],
                env={
                    "PATH": os.environ["PATH"],
                    "FINCHWAY_SETTINGS": str(path),
                    "FINCHWAY_METRICS_PORT": str(self.ports["metrics"]),
                },
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )

    def kill(self, ip: str) -> None:
        process = self.running.pop(ip)
        process.kill()
        process.wait()

    def wipe(self, ip: str) -> None:
        self.kill(ip)
        shutil.rmtree(self.folder / f"data-{ip}")

    def stop_all(self) -> None:
        for ip in list(self.running):
            self.kill(ip)

    async def call(self, ip, name, method, path, document=None, headers=()):
        """Send one request; returns status, headers and body, or None if there was no response."""
        body = b"" if document is None else msgspec.json.encode(document)
        url = f"http://{ip}:{self.ports[name]}{path}"
        timeouts = {"connect": 1.0, "read": 4.0, "write": 4.0, "pool": 4.0}
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request(
                    method,
                    url,
                    headers=list(headers),
                    content=body,
                    extensions={"timeout": timeouts},
                )
                return answer.status, answer.headers, answer.content
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return None

    async def call_control(self, path, document=None, method="POST", cores=None):
        """Send an operator's call to one replica after another until the status is below 500."""
        answer = None
        replicas = itertools.cycle(cores or CORES)
        while answer is None or answer[0] >= 500:
            answer = await self.call(next(replicas), "control", method, path, document)
            await trio.sleep(0.05)
        return answer

    async def send_request(self, ip, path="/lepu270/1", key=b"k"):
        """Send a client request to a gateway."""
        number = str(next(self.numbers)).encode()
        headers = [
            (b"Host", b"jepu9.example"),
            (REQUEST_ID, number),
            (b"X-Finchway-Affinity-Key", key),
            (b"X-Finchway-Deadline-Ms", b"2000"),
        ]
        return await self.call(ip, "front", "GET", path, None, headers)

    async def send_request_until(self, ip, status, path="/lepu270/1"):
        while True:
            answer = await self.send_request(ip, path)
            if answer is not None and answer[0] == status:
                return answer
            await trio.sleep(0.05)

    async def resolve(self, ip=CORES[0]):
        answer = await self.call(
            ip, "directory", "GET", "/-/resolve?name=jepu9.example&region=colombo&zone=col-a"
        )
        if answer is None or answer[0] != 200:
            return []
        return msgspec.json.decode(answer[2])["addresses"]


class Worker:
    """A worker that answers every request and sends heartbeats on request."""

    def __init__(self, deployment: Deployment, instance: str) -> None:
        self.deployment = deployment
        self.instance = instance
        self.sequence = 0
        self.requests: list[bytes] = []
        self.address = ""
        self.status = b"200 OK"
        self.pushback_headers = b""

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        await trio.serve_listeners(self._serve, listeners, task_status=task_status)

    async def _serve(self, stream) -> None:
        while (request := await read_message(stream)) is not None:
            self.requests.append(request)
            head = b"HTTP/1.1 " + self.status + b"\r\nContent-Length: 2\r\n"
            head += (
                SIGNATURE
                + b": s\r\n"
                + self.pushback_headers
                + REQUEST_ID
                + b": "
                + header_of(request, REQUEST_ID)
                + b"\r\n\r\nok"
            )
            await stream.send_all(head)

    async def send_heartbeat(self, state: str = "ready", ip: str = CORES[0]):
        self.sequence += 1
        document = documents.heartbeat(self.address, state, self.sequence)
        path = f"/-/Instances.Heartbeat/{self.instance}"
        return await self.deployment.call(ip, "control", "POST", path, document)

    async def send_heartbeats(self) -> None:
        for ip in itertools.cycle(CORES):
            await self.send_heartbeat(ip=ip)
            await trio.sleep(0.3)


@asynccontextmanager
async def deployment(folder: Path):
    """Run five replicas and two gateways, started in a shuffled order, with one route."""
    subject = Deployment(folder)
    addresses = [*CORES, *EDGES]
    random.Random(len(str(folder))).shuffle(addresses)
    try:
        with trio.fail_after(STARTUP_AND_TEST_TIMEOUT_S):
            for ip in addresses:
                subject.start(ip)
            entries = (documents.service(), documents.route(), documents.LIMITS)
            status, _, _ = await subject.call_control("/-/Config.Patch", documents.patch(*entries))
            assert status == 200
            yield subject
    finally:
        subject.stop_all()


@asynccontextmanager
async def served_deployment(folder: Path):
    """Run a deployment with the worker `i-1`, which sends heartbeats; yields both."""
    async with deployment(folder) as subject, trio.open_nursery() as nursery:
        worker = Worker(subject, "i-1")
        await nursery.start(worker.run)
        nursery.start_soon(worker.send_heartbeats)
        yield subject, worker
        nursery.cancel_scope.cancel()


def run(test, folder):
    """Run a test on trio; on failure, print the logs."""
    try:
        trio.run(test, folder)
    except BaseException:
        for path in sorted(folder.glob("log-*")):
            print(path.name, path.read_text()[-3000:])
        raise


def test_request_path_directory_readiness_metrics_and_logs(tmp_path):
    async def check(folder):
        async with served_deployment(folder) as (subject, _):
            for ip in EDGES:
                status, headers, body = await subject.send_request_until(ip, 200)
                assert body == b"ok"
                assert (SIGNATURE, b"s") in [(name.lower(), value) for name, value in headers]
            while len(await subject.resolve()) < 2:
                await trio.sleep(0.05)
            ready = await subject.call(EDGES[0], "readiness", "GET", "/-/readiness")
            assert ready[0] == 200
            metrics = (await subject.call(EDGES[0], "metrics", "GET", "/metrics"))[2].decode()
            assert "finchway_gateway_requests_total{" in metrics
            assert "finchway_gateway_latency_seconds_bucket{" in metrics
            assert "finchway_gateway_upstreams{" in metrics
            metrics = (await subject.call(CORES[0], "metrics", "GET", "/metrics"))[2].decode()
            assert 'finchway_replica_state{instance="127.0.1.1",name="voters"} 5' in metrics
            assert "finchway_replica_heartbeats_total{" in metrics
            log = "".join((subject.folder / f"log-{ip}").read_text() for ip in CORES)
            assert '"event":"order","order":"change","subject":' in log

    run(check, tmp_path)


def test_acknowledged_change_survives_the_loss_of_two_disks(tmp_path):
    async def check(folder):
        async with deployment(folder) as subject:
            change = documents.patch(documents.route(version=9, timeout="700ms"))
            status, _, _ = await subject.call_control("/-/Config.Patch", change)
            assert status == 200
            for ip in CORES[:2]:
                subject.wipe(ip)
            for ip in CORES[:2]:
                subject.start(ip, first=False)
            status, _, body = await subject.call_control("/-/Config.Get", method="GET")
            assert change["upsert"]["resources"][0] in msgspec.json.decode(body)["resources"]
            for ip in CORES[2:4]:
                await wait_until_voters(subject, ip, 5)
                subject.kill(ip)
                subject.start(ip, first=False)
            status, _, body = await subject.call_control("/-/Config.Get", method="GET")
            assert change["upsert"]["resources"][0] in msgspec.json.decode(body)["resources"]

    run(check, tmp_path)


async def wait_until_voters(subject, ip, count):
    """Wait until a replica logs that the cluster has this many voters and no learners."""
    while True:
        lines = (subject.folder / f"log-{ip}").read_text().splitlines()
        changes = [line for line in lines if "replicas-changed" in line]
        voters = changes[-1].partition("voters ")[2].partition(";")[0] if changes else ""
        if voters.count("@") == count and "learners" not in changes[-1]:
            return
        await trio.sleep(0.05)


def test_deregistered_worker_and_evacuated_zone_get_no_requests(tmp_path):
    async def check(folder):
        async with served_deployment(folder) as (subject, worker):
            await subject.send_request_until(EDGES[0], 200)
            assert (await subject.call_control("/-/Evacuations.Start/col-a"))[0] == 200
            await subject.send_request_until(EDGES[0], 503)
            assert (await subject.call_control("/-/Evacuations.End/col-a"))[0] == 200
            await subject.send_request_until(EDGES[0], 200)
            assert (await subject.call_control("/-/Instances.Deregister/i-1"))[0] == 200
            await subject.send_request_until(EDGES[0], 503)
            seen = len(worker.requests)
            for _ in range(5):
                assert (await subject.send_request(EDGES[0]))[0] == 503
            assert len(worker.requests) == seen

    run(check, tmp_path)


@pytest.mark.parametrize(
    ("status", "pushback_headers"),
    [
        (b"503 Unavailable", b"X-Finchway-Not-Executed: 1\r\nRetry-After: 30\r\n"),
        (b"200 OK", b"Server-Leaving: 1\r\n"),
    ],
)
def test_backoff_and_leaving_headers_of_a_worker_are_honoured_by_the_gateway_that_got_them(
    tmp_path, status, pushback_headers
):
    async def check(folder):
        async with served_deployment(folder) as (subject, worker):
            for ip in EDGES:
                await subject.send_request_until(ip, 200)
            worker.status, worker.pushback_headers = status, pushback_headers
            await subject.send_request(EDGES[0])
            reached = len(worker.requests)
            for _ in range(5):
                answer = await subject.send_request(EDGES[0])
                assert answer[0] == 503
            assert len(worker.requests) == reached
            # The other gateway has not received the header.
            await subject.send_request(EDGES[1])
            assert len(worker.requests) == reached + 1
            metrics = (await subject.call(EDGES[0], "metrics", "GET", "/metrics"))[2].decode()
            assert "finchway_gateway_asked_total{" in metrics

    run(check, tmp_path)


def test_invalid_patches_are_rejected_and_resent_patches_accepted(tmp_path):
    async def check(folder):
        async with deployment(folder) as subject:
            bad = documents.patch(documents.route(version=9, service="nobody"))
            assert (await subject.call_control("/-/Config.Patch", bad))[0] == 400
            other = documents.patch(documents.route(version=7, timeout="900ms"))
            assert (await subject.call_control("/-/Config.Patch", other))[0] == 409
            again = documents.patch(documents.route())
            for ip in CORES:
                answer = await subject.call_control("/-/Config.Patch", again, cores=[ip])
                assert answer[0] == 200

    run(check, tmp_path)


def test_graceful_stop_leaves_the_directory_first_and_exits_with_0(tmp_path):
    async def check(folder):
        async with served_deployment(folder) as (subject, _):
            await subject.send_request_until(EDGES[0], 200)
            leaving = subject.running[EDGES[0]]
            leaving.send_signal(signal.SIGTERM)
            address = f"{EDGES[0]}:{subject.ports['front']}"
            while address in await subject.resolve():
                await trio.sleep(0.02)
            ready = await subject.call(EDGES[0], "readiness", "GET", "/-/readiness")
            assert ready[0] == 503
            assert (await subject.send_request(EDGES[0]))[0] == 200
            assert await trio.to_thread.run_sync(leaving.wait) == 0

    run(check, tmp_path)


def test_acknowledged_changes_survive_killing_all_processes(tmp_path):
    async def check(folder):
        async with served_deployment(folder) as (subject, _):
            change = documents.patch(documents.route(version=9, path_prefix="/other/"))
            assert (await subject.call_control("/-/Config.Patch", change))[0] == 200
            assert (await subject.call_control("/-/Evacuations.Start/kdy-a"))[0] == 200
            for ip in [*CORES, *EDGES]:
                subject.kill(ip)
            for ip in [*EDGES, *CORES]:
                subject.start(ip, first=False)
            for ip in EDGES:
                await subject.send_request_until(ip, 200, "/other/1")
                assert (await subject.send_request(ip))[0] == 404

    run(check, tmp_path)


def test_gateways_find_replicas_on_replacement_machines(tmp_path):
    async def check(folder):
        async with served_deployment(folder) as (subject, _):
            await subject.send_request_until(EDGES[0], 200)
            newcomer = "127.0.1.9"
            subject.kill(CORES[0])
            subject.start(newcomer, first=False, seeds=CORES[1:4])
            await wait_until_voters(subject, newcomer, 5)
            for ip in CORES[1:3]:
                subject.kill(ip)
            change = documents.patch(documents.route(version=9, path_prefix="/other/"))
            taken = await subject.call_control(
                "/-/Config.Patch", change, cores=[newcomer, *CORES[3:]]
            )
            assert taken[0] == 200
            await subject.send_request_until(EDGES[0], 404)
            await subject.send_request_until(EDGES[0], 200, "/other/1")

    run(check, tmp_path)


def test_invalid_settings_exit_with_status_2(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text("{}")
    ended = subprocess.run(
        [sys.executable, str(ROOT / "platform" / "run.py")],
        env={"PATH": os.environ["PATH"], "FINCHWAY_SETTINGS": str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert ended.returncode == 2
    assert "self.serves" in ended.stderr


def test_reload_signal_during_imports_does_not_end_the_process(tmp_path):
    deployment = Deployment(tmp_path)
    try:
        deployment.start(EDGES[0])
        process = deployment.running[EDGES[0]]
        while not ignores(process.pid, signal.SIGHUP):
            assert process.poll() is None, "process ended before it ignored SIGHUP"
            assert b"started" not in (tmp_path / f"log-{EDGES[0]}").read_bytes()
        process.send_signal(signal.SIGHUP)
        while b"started" not in (tmp_path / f"log-{EDGES[0]}").read_bytes():
            assert process.poll() is None, "process ended by SIGHUP"
    finally:
        deployment.stop_all()
