"""Real processes on loopback addresses: five replicas that form from three seeds, two gateways."""

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
PATIENCE_S = 40.0
ID = b"x-finchway-request-id"
SIGNATURE = b"x-finchway-response-signature"

pytestmark = pytest.mark.xdist_group("adapter")


def free_ports(count: int) -> list[int]:
    """Return ports that are free on loopback, for all addresses of a deployment alike."""
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
        """Make one call; returns status, headers and body, or None without an answer."""
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

    async def order(self, path, document=None, method="POST", cores=None):
        """Repeat an operator's call on one replica after the other until it is taken."""
        answer = None
        replicas = itertools.cycle(cores or CORES)
        while answer is None or answer[0] >= 500:
            answer = await self.call(next(replicas), "control", method, path, document)
            await trio.sleep(0.05)
        return answer

    async def ask(self, ip, path="/lepu270/1", key=b"k"):
        """Send a caller's request to a gateway."""
        number = str(next(self.numbers)).encode()
        headers = [
            (b"Host", b"jepu9.example"),
            (ID, number),
            (b"X-Finchway-Affinity-Key", key),
            (b"X-Finchway-Deadline-Ms", b"2000"),
        ]
        return await self.call(ip, "front", "GET", path, None, headers)

    async def ask_until(self, ip, status, path="/lepu270/1"):
        while True:
            answer = await self.ask(ip, path)
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
    """A worker that answers every request, and registers when told to."""

    def __init__(self, deployment: Deployment, instance: str) -> None:
        self.deployment = deployment
        self.instance = instance
        self.sequence = 0
        self.requests: list[bytes] = []
        self.address = ""
        self.status = b"200 OK"
        self.words = b""

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
                + self.words
                + ID
                + b": "
                + header_of(request, ID)
                + b"\r\n\r\nok"
            )
            await stream.send_all(head)

    async def beat(self, state: str = "ready", ip: str = CORES[0]):
        self.sequence += 1
        document = documents.beat(self.address, state, self.sequence)
        path = f"/-/Instances.Heartbeat/{self.instance}"
        return await self.deployment.call(ip, "control", "POST", path, document)

    async def beat_forever(self) -> None:
        for ip in itertools.cycle(CORES):
            await self.beat(ip=ip)
            await trio.sleep(0.3)


@asynccontextmanager
async def deployment(folder: Path):
    """Run five replicas and two gateways, started in a shuffled order, with one route."""
    subject = Deployment(folder)
    order = [*CORES, *EDGES]
    random.Random(len(str(folder))).shuffle(order)
    try:
        with trio.fail_after(PATIENCE_S):
            for ip in order:
                subject.start(ip)
            entries = (documents.service(), documents.route(), documents.LIMITS)
            status, _, _ = await subject.order("/-/Config.Patch", documents.patch(*entries))
            assert status == 200
            yield subject
    finally:
        subject.stop_all()


def run(test, folder):
    """Run a test on trio; on failure the logs are shown."""
    try:
        trio.run(test, folder)
    except BaseException:
        for path in sorted(folder.glob("log-*")):
            print(path.name, path.read_text()[-3000:])
        raise


def test_the_whole_path(tmp_path):
    async def check(folder):
        async with deployment(folder) as subject, trio.open_nursery() as nursery:
            worker = Worker(subject, "i-1")
            await nursery.start(worker.run)
            nursery.start_soon(worker.beat_forever)
            for ip in EDGES:
                status, headers, body = await subject.ask_until(ip, 200)
                assert body == b"ok"
                assert (SIGNATURE, b"s") in [(name.lower(), value) for name, value in headers]
            while len(await subject.resolve()) < 2:
                await trio.sleep(0.05)
            ready = await subject.call(EDGES[0], "readiness", "GET", "/-/readiness")
            assert ready[0] == 200
            figures = (await subject.call(EDGES[0], "metrics", "GET", "/metrics"))[2].decode()
            assert "finchway_gateway_requests_total{" in figures
            assert "finchway_gateway_latency_seconds_bucket{" in figures
            assert "finchway_gateway_upstreams{" in figures
            figures = (await subject.call(CORES[0], "metrics", "GET", "/metrics"))[2].decode()
            assert 'finchway_replica_state{instance="127.0.1.1",name="voters"} 5' in figures
            assert "finchway_replica_heartbeats_total{" in figures
            log = "".join((subject.folder / f"log-{ip}").read_text() for ip in CORES)
            assert '"event":"order","order":"change","subject":' in log
            nursery.cancel_scope.cancel()

    run(check, tmp_path)


def test_an_acknowledged_change_survives_the_loss_of_two_disks(tmp_path):
    async def check(folder):
        async with deployment(folder) as subject:
            change = documents.patch(documents.route(version=9, timeout="700ms"))
            status, _, _ = await subject.order("/-/Config.Patch", change)
            assert status == 200
            for ip in CORES[:2]:
                subject.wipe(ip)
            for ip in CORES[:2]:
                subject.start(ip, first=False)
            status, _, body = await subject.order("/-/Config.Get", method="GET")
            assert change["upsert"]["resources"][0] in msgspec.json.decode(body)["resources"]
            for ip in CORES[2:4]:
                await until_voters(subject, ip, 5)
                subject.kill(ip)
                subject.start(ip, first=False)
            status, _, body = await subject.order("/-/Config.Get", method="GET")
            assert change["upsert"]["resources"][0] in msgspec.json.decode(body)["resources"]

    run(check, tmp_path)


async def until_voters(subject, ip, count):
    """Wait until a replica's log says how many voters there are."""
    while True:
        lines = (subject.folder / f"log-{ip}").read_text().splitlines()
        changes = [line for line in lines if "replicas-changed" in line]
        voters = changes[-1].partition("voters ")[2].partition(";")[0] if changes else ""
        if voters.count("@") == count and "learners" not in changes[-1]:
            return
        await trio.sleep(0.05)


def test_a_leaving_worker_and_an_evacuated_zone_get_nothing_new(tmp_path):
    async def check(folder):
        async with deployment(folder) as subject, trio.open_nursery() as nursery:
            worker = Worker(subject, "i-1")
            await nursery.start(worker.run)
            nursery.start_soon(worker.beat_forever)
            await subject.ask_until(EDGES[0], 200)
            assert (await subject.order("/-/Evacuations.Start/col-a"))[0] == 200
            await subject.ask_until(EDGES[0], 503)
            assert (await subject.order("/-/Evacuations.End/col-a"))[0] == 200
            await subject.ask_until(EDGES[0], 200)
            assert (await subject.order("/-/Instances.Deregister/i-1"))[0] == 200
            await subject.ask_until(EDGES[0], 503)
            seen = len(worker.requests)
            for _ in range(5):
                assert (await subject.ask(EDGES[0]))[0] == 503
            assert len(worker.requests) == seen
            nursery.cancel_scope.cancel()

    run(check, tmp_path)


@pytest.mark.parametrize(
    ("status", "words"),
    [
        (b"503 Unavailable", b"X-Finchway-Not-Executed: 1\r\nRetry-After: 30\r\n"),
        (b"200 OK", b"Server-Leaving: 1\r\n"),
    ],
)
def test_a_worker_that_asks_for_rest_or_leaves_gets_nothing_more_from_whom_it_told(
    tmp_path, status, words
):
    """The words of the platform reach what the product keeps to."""

    async def check(folder):
        async with deployment(folder) as subject, trio.open_nursery() as nursery:
            worker = Worker(subject, "i-1")
            await nursery.start(worker.run)
            nursery.start_soon(worker.beat_forever)
            for ip in EDGES:
                await subject.ask_until(ip, 200)
            worker.status, worker.words = status, words
            await subject.ask(EDGES[0])
            reached = len(worker.requests)
            for _ in range(5):
                answer = await subject.ask(EDGES[0])
                assert answer[0] == 503
            assert len(worker.requests) == reached
            # The other gateway has been told nothing.
            await subject.ask(EDGES[1])
            assert len(worker.requests) == reached + 1
            figures = (await subject.call(EDGES[0], "metrics", "GET", "/metrics"))[2].decode()
            assert "finchway_gateway_asked_total{" in figures
            nursery.cancel_scope.cancel()

    run(check, tmp_path)


def test_invalid_changes_are_refused_and_resends_are_taken(tmp_path):
    async def check(folder):
        async with deployment(folder) as subject:
            bad = documents.patch(documents.route(version=9, service="nobody"))
            assert (await subject.order("/-/Config.Patch", bad))[0] == 400
            other = documents.patch(documents.route(version=7, timeout="900ms"))
            assert (await subject.order("/-/Config.Patch", other))[0] == 409
            again = documents.patch(documents.route())
            for ip in CORES:
                answer = await subject.order("/-/Config.Patch", again, cores=[ip])
                assert answer[0] == 200

    run(check, tmp_path)


def test_a_planned_stop_withdraws_first_and_ends_cleanly(tmp_path):
    async def check(folder):
        async with deployment(folder) as subject, trio.open_nursery() as nursery:
            worker = Worker(subject, "i-1")
            await nursery.start(worker.run)
            nursery.start_soon(worker.beat_forever)
            await subject.ask_until(EDGES[0], 200)
            leaving = subject.running[EDGES[0]]
            leaving.send_signal(signal.SIGTERM)
            address = f"{EDGES[0]}:{subject.ports['front']}"
            while address in await subject.resolve():
                await trio.sleep(0.02)
            ready = await subject.call(EDGES[0], "readiness", "GET", "/-/readiness")
            assert ready[0] == 503
            assert (await subject.ask(EDGES[0]))[0] == 200
            assert await trio.to_thread.run_sync(leaving.wait) == 0
            nursery.cancel_scope.cancel()

    run(check, tmp_path)


def test_everything_killed_at_once_comes_back_with_what_was_acknowledged(tmp_path):
    async def check(folder):
        async with deployment(folder) as subject, trio.open_nursery() as nursery:
            worker = Worker(subject, "i-1")
            await nursery.start(worker.run)
            nursery.start_soon(worker.beat_forever)
            change = documents.patch(documents.route(version=9, path_prefix="/other/"))
            assert (await subject.order("/-/Config.Patch", change))[0] == 200
            assert (await subject.order("/-/Evacuations.Start/kdy-a"))[0] == 200
            for ip in [*CORES, *EDGES]:
                subject.kill(ip)
            for ip in [*EDGES, *CORES]:
                subject.start(ip, first=False)
            for ip in EDGES:
                await subject.ask_until(ip, 200, "/other/1")
                assert (await subject.ask(ip))[0] == 404
            nursery.cancel_scope.cancel()

    run(check, tmp_path)


def test_gateways_follow_replicas_to_other_machines(tmp_path):
    async def check(folder):
        async with deployment(folder) as subject, trio.open_nursery() as nursery:
            worker = Worker(subject, "i-1")
            await nursery.start(worker.run)
            nursery.start_soon(worker.beat_forever)
            await subject.ask_until(EDGES[0], 200)
            newcomer = "127.0.1.9"
            subject.kill(CORES[0])
            subject.start(newcomer, first=False, seeds=CORES[1:4])
            await until_voters(subject, newcomer, 5)
            for ip in CORES[1:3]:
                subject.kill(ip)
            change = documents.patch(documents.route(version=9, path_prefix="/other/"))
            taken = await subject.order("/-/Config.Patch", change, cores=[newcomer, *CORES[3:]])
            assert taken[0] == 200
            await subject.ask_until(EDGES[0], 404)
            await subject.ask_until(EDGES[0], 200, "/other/1")
            nursery.cancel_scope.cancel()

    run(check, tmp_path)


def test_wrong_settings_end_the_process_with_code_2(tmp_path):
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


def test_word_of_new_settings_does_not_end_a_process_that_is_still_importing(tmp_path):
    deployment = Deployment(tmp_path)
    try:
        deployment.start(EDGES[0])
        process = deployment.running[EDGES[0]]
        while not ignores(process.pid, signal.SIGHUP):
            assert process.poll() is None, "it ended before it took care of the signal"
            assert b"started" not in (tmp_path / f"log-{EDGES[0]}").read_bytes()
        process.send_signal(signal.SIGHUP)
        while b"started" not in (tmp_path / f"log-{EDGES[0]}").read_bytes():
            assert process.poll() is None, "the signal ended it"
    finally:
        deployment.stop_all()
