"""Measures control: commits with real sync, in-force time, elections, recovery, idle cost.

Commit figures come from replicas in one process with real files and an in-process link, so that
the users' distances can be injected; the rest from a deployment of real processes.
"""

from __future__ import annotations

import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

import httpcore
import msgspec
import trio

from bench.client import Stream, start_clients
from bench.deploy import CREDENTIAL, Deployment, cpu_seconds, resident_mb
from bench.policy import at
from bench.shapes import (
    KALABAW,
    LANKASPARK,
    Shape,
    credential_of,
)
from finchway.cli._client import ApiClient
from finchway.cli._output import table
from finchway.control import ReplicaRunner
from finchway.observe import LogicalClock, Timeline
from finchway.replication import (
    Identity,
    Member,
    Members,
    Snapshot,
    Storage,
    Timing,
)
from finchway.state import PutResource
from finchway.transport import RaftBody

SEQUENTIAL = 60
CONCURRENT = 64
CONCURRENT_S = 3.0
BUSY_RATE = 300.0
LOAD_CLIENTS = 3


class DelayedLink:
    """Carries messages between runners of one process after a delay."""

    def __init__(self, nursery: trio.Nursery, delay_s: float) -> None:
        self.runners: dict[str, ReplicaRunner] = {}
        self.nursery = nursery
        self.delay_s = delay_s

    def post(self, address: str, body) -> bool:
        """Deliver a message of the log later."""
        if isinstance(body, RaftBody) and address in self.runners:
            self.nursery.start_soon(self._deliver, address, body)
        return True

    async def _deliver(self, address: str, body: RaftBody) -> None:
        await trio.sleep(self.delay_s)
        self.runners[address].receive(body.message, body.address)


async def measure_commits(folder: Path, size: int, delay_ms: float) -> list[str]:
    """Return a row: replicas, distance, latency one at a time, commits/s when many wait."""
    names = [f"r{i}" for i in range(size)]
    members = Members(tuple(Member(name, "1", name) for name in names))
    async with trio.open_nursery() as nursery:
        link = DelayedLink(nursery, delay_ms / 1000)
        for name in names:
            storage = Storage(folder / f"{size}-{delay_ms}-{name}")
            storage.open()
            storage.save_snapshot(Snapshot(1, 1, members, b""))
            storage.close()
            runner = ReplicaRunner(
                Identity("bench", name, "1"),
                name,
                storage,
                link,
                Timeline(name, LogicalClock(), lambda: 0),
                Timing(),
                [],
                random.Random(name),
            )
            link.runners[name] = runner
            nursery.start_soon(runner.run)
        while not any(r.is_leader for r in link.runners.values()):
            await trio.sleep(0.05)
        leader = next(r for r in link.runners.values() if r.is_leader)
        await leader.confirm()
        one = await _sequential(leader)
        many = await _concurrent(leader)
        nursery.cancel_scope.cancel()
    row = [str(size), f"{delay_ms:g}", f"{at(one, 0.5):.1f}", f"{at(one, 0.99):.1f}"]
    return [*row, f"{many:.0f}"]


def _command(number: int) -> PutResource:
    spec = msgspec.json.encode({"latency_ms": {"x": float(number)}})
    return PutResource(now_ms=0, kind="region", name=f"r{number % 50}", spec=spec)


async def _sequential(leader: ReplicaRunner) -> list[float]:
    times = []
    for number in range(SEQUENTIAL):
        started = time.perf_counter()
        await leader.submit(_command(number))
        times.append((time.perf_counter() - started) * 1000)
    return sorted(times)


async def _concurrent(leader: ReplicaRunner) -> float:
    done = 0
    end = time.perf_counter() + CONCURRENT_S

    async def work(number: int) -> None:
        nonlocal done
        while time.perf_counter() < end:
            await leader.submit(_command(number))
            done += 1

    async with trio.open_nursery() as nursery:
        for number in range(CONCURRENT):
            nursery.start_soon(work, number)
    return done / CONCURRENT_S


def commit_table(folder: Path) -> None:
    """Print commit latency and rate for each size and distance."""
    rows = []
    for size in (1, 3, 5):
        distances = {0.0, LANKASPARK.region_ms, KALABAW.region_ms} if size > 1 else {0.0}
        for delay_ms in sorted(distances):
            rows.append(trio.run(measure_commits, folder, size, delay_ms))
    headings = ["REPLICAS", "ONE WAY MS", "COMMIT P50 MS", "P99 MS", "COMMITS/S"]
    print(table(headings, rows))


def busy_streams(shape: Shape) -> list[Stream]:
    """Return a load of the three services, most of it look-ups."""
    return [
        Stream(
            service.name,
            credential_of("gold"),
            "gold",
            BUSY_RATE * part,
            service.once_only,
            service.body_bytes // 10,
        )
        for service, part in zip(shape.services, (0.85, 0.1, 0.05), strict=True)
    ]


def leader_of(deployment: Deployment) -> str | None:
    """Return the name of the leader, if there is one."""
    listed = deployment.client.read("/v1/replicas")["replicas"]
    names = [r["id"].split("@")[0] for r in listed if r["role"] == "leader"]
    return names[0] if len(names) == 1 else None


def measure_in_force(deployment: Deployment, count: int = 30) -> list[float]:
    """Return the seconds from acceptance until a change is in force at all entries."""
    times = []
    for number in range(count):
        spec = {"latency_ms": {"colombo": float(number)}}
        revision = deployment.client.put("region", "bench", spec)["revision"]
        started = time.perf_counter()
        deployment.wait_in_force(revision, len(deployment.entry))
        times.append(time.perf_counter() - started)
    return sorted(times)


def measure_recovery(deployment: Deployment) -> list[tuple[str, str]]:
    """Kill the leader, then empty a replica's disk; return how long each took to mend."""
    found = []
    name = leader_of(deployment)
    others = ApiClient([a for n, a in deployment.api.items() if n != name], CREDENTIAL)
    deployment.kill(name)
    started = time.perf_counter()
    others.put("region", "bench", {"latency_ms": {"colombo": 999.0}})
    found.append(("kill -9 of the leader until the next accepted change", _since(started)))
    started = time.perf_counter()
    deployment.restart(name)
    deployment.wait(lambda: _caught_up(deployment, name), "the replica to be back")
    found.append(("restart of that replica until it has caught up", _since(started)))
    size = sum(f.stat().st_size for f in (deployment.folder / name / "log").iterdir())
    found.append(("size of its log and snapshot", f"{size / 1e6:.2f} MB"))
    follower = next(n for n in deployment.api if n != leader_of(deployment))
    deployment.kill(follower)
    shutil.rmtree(deployment.folder / follower)
    started = time.perf_counter()
    deployment.restart(follower)
    deployment.wait(lambda: _caught_up(deployment, follower, fresh=True), "the repair")
    found.append(("empty disk until the new life has a vote", _since(started)))
    entry = next(iter(deployment.entry))
    deployment.kill(entry)
    started = time.perf_counter()
    deployment.restart(entry)
    deployment.wait(lambda: _is_ready(deployment.entry[entry]), "the entry to be ready")
    found.append(("kill -9 and restart of an entry until it is ready", _since(started)))
    return found


def _is_ready(address: str) -> bool:
    try:
        return httpcore.request("GET", f"http://{address}/readyz").status == 200
    except httpcore.NetworkError:
        return False


def _since(started: float) -> str:
    return f"{time.perf_counter() - started:.2f} s"


def _caught_up(deployment: Deployment, name: str, fresh: bool = False) -> bool:
    answer = deployment.client.read("/v1/replicas")
    voters = {f"{m['name']}@{m['incarnation']}" for m in answer["members"]["voters"]}
    states = {r["id"]: r for r in answer["replicas"]}
    mine = [r for i, r in states.items() if i.startswith(f"{name}@") and i in voters]
    newest = max(r.get("commit", 0) for r in states.values())
    alive = bool(mine) and mine[0].get("applied", -1) >= newest
    return alive and (not fresh or len(voters) == len(deployment.api))


def measure_cost(deployment: Deployment, seconds: float) -> list[list[str]]:
    """Return rows: processor time, memory and bytes of each role over some seconds."""
    pids = {n: deployment.processes[n].pid for n in [*deployment.api, *deployment.entry]}
    before = {name: (cpu_seconds(pid), _link_bytes(deployment, name)) for name, pid in pids.items()}
    time.sleep(seconds)
    rows = []
    leader = leader_of(deployment)
    shown = {"leader": leader, "entry": "e1"}
    shown["follower"] = next(n for n in deployment.api if n != leader)
    for role, name in shown.items():
        cpu = (cpu_seconds(pids[name]) - before[name][0]) / seconds
        size = (_link_bytes(deployment, name) - before[name][1]) / seconds
        rows.append(
            [role, f"{cpu * 100:.1f}%", f"{resident_mb(pids[name]):.1f}", f"{size / 1000:.1f}"]
        )
    return rows


def _link_bytes(deployment: Deployment, name: str) -> float:
    address = deployment.entry.get(name) or deployment.api[name]
    text = httpcore.request("GET", f"http://{address}/metrics").content.decode()
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if "link_sent_bytes" in line or "link_received_bytes" in line
    )


def deployment_tables(folder: Path, shape: Shape) -> None:
    """Print what real processes show."""
    deployment = Deployment(folder, shape, entries=12, replicas=3)
    try:
        deployment.start_declared()
        time.sleep(5.0)
        print("\nidle, 12 entries and 3 replicas:")
        headings = ["ROLE", "OF A CORE", "RESIDENT MB", "KB/S SENT AND RECEIVED"]
        print(table(headings, measure_cost(deployment, 8.0)))
        load = start_clients(deployment, "load", busy_streams(shape), LOAD_CLIENTS, 13.0)
        time.sleep(3.0)
        print(f"\nbusy, {BUSY_RATE:g} requests/s of three services over all entries:")
        print(table(headings, measure_cost(deployment, 8.0)))
        for name, _ in load:
            deployment.processes[name].wait(timeout=60)
        times = measure_in_force(deployment)
        p50, p99 = at(times, 0.5), at(times, 0.99)
        print(f"\naccepted to in force at 12 entries: p50 {p50:.2f} s, p99 {p99:.2f} s")
        print(table(["RECOVERY", "TOOK"], [list(row) for row in measure_recovery(deployment)]))
    finally:
        deployment.stop()


def main() -> None:
    """Print all tables."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    with tempfile.TemporaryDirectory(prefix="finchway-control-") as path:
        commit_table(Path(path))
        deployment_tables(Path(path) / "deployment", LANKASPARK)


if __name__ == "__main__":
    main()
