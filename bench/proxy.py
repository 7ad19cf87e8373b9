"""Measures one entry with real processes: added latency, requests per core, memory, steering."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec

from bench.deploy import Deployment, cpu_seconds, resident_mb
from bench.policy import at
from bench.shapes import ServiceShape, Shape, credential_of
from finchway.cli._output import table

SHAPE = Shape(
    "one", ("north",), 0.0, 0.0, 0.0, (ServiceShape("bays", 8, 0.01), ServiceShape("b", 2, 1.0))
)
SECONDS = 4.0
CLIENTS = 3


def run_hammers(url: str, processes: int, connections: int, seconds: float) -> list[float]:
    """Run load processes side by side; returns all latencies in seconds, sorted."""
    command = [sys.executable, "-m", "bench.hammer", url, str(connections), str(seconds)]
    command.append(f"authorization: Bearer {credential_of('gold')}")
    running = [subprocess.Popen(command, stdout=subprocess.PIPE) for _ in range(processes)]
    times: list[float] = []
    for process in running:
        output, _ = process.communicate(timeout=60)
        result = msgspec.json.decode(output)
        assert result["failed"] == 0, f"{result['failed']} requests failed"
        times += result["times"]
    return sorted(times)


def main() -> None:
    """Print the table."""
    folder = Path(tempfile.mkdtemp(prefix="finchway-proxy-"))
    deployment = Deployment(folder, SHAPE, entries=1, replicas=1)
    rows = []
    try:
        deployment.start_declared()
        entry = deployment.processes["e1"]
        idle_mb = resident_mb(entry.pid)
        upstream = f"http://{deployment.upstreams[0][2].address}/call"
        proxied = f"http://{deployment.entry['e1']}/s/bays/call"
        steer = f"http://{deployment.entry['e1']}/steer/bays?client=10.0.1.7"
        for name, url in (("direct", upstream), ("through an entry", proxied)):
            times = run_hammers(url, 1, 1, SECONDS)
            rows.append([f"{name}, one at a time", *_latency(times), "-", "-", "-"])
        for name, url in (("through an entry", proxied), ("steering", steer)):
            before = cpu_seconds(entry.pid)
            times = run_hammers(url, CLIENTS, 8, SECONDS)
            used = cpu_seconds(entry.pid) - before
            rows.append(
                [
                    f"{name}, {CLIENTS * 8} at a time",
                    *_latency(times),
                    f"{len(times) / SECONDS:.0f}",
                    f"{len(times) / used:.0f}",
                    f"{resident_mb(entry.pid):.1f}",
                ]
            )
    finally:
        deployment.stop()
    headings = ["WAY", "P50 MS", "P99 MS", "REQUESTS/S", "PER CORE SECOND", "RESIDENT MB"]
    print(table(headings, rows))
    print(f"\nentry resident when idle: {idle_mb:.1f} MB; {CLIENTS} client processes")


def _latency(times: list[float]) -> list[str]:
    return [f"{at(times, 0.5) * 1000:.2f}", f"{at(times, 0.99) * 1000:.2f}"]


if __name__ == "__main__":
    main()
