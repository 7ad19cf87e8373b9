"""The demo: a small deployment on loopback under a mixed load, with two drains meanwhile.

It prints what callers saw and what the upstreams counted, and exits with 1 if a promise broke.
"""

from __future__ import annotations

import shutil
import signal
import statistics
import sys
import tempfile
import threading
import time
from pathlib import Path

import msgspec

from bench.client import Stream, start_clients
from bench.deploy import Deployment, fetch
from bench.fakes import Report
from bench.history import Got, History, Leaving, Limit, Ran, check, peak_in_flight
from bench.shapes import LANKASPARK, PRIORITIES, credential_of, resources_of
from finchway.cli._output import table

SECONDS = 16.0
CLIENTS = 3
DRAIN_GRACE_S = 3.0
UPSTREAM_DRAIN_AT_S = 4.0
INSTANCE_STOP_AT_S = 6.0
RATES = {"bays": 30.0, "reservations": 8.0, "uploads": 3.0}


def demo_streams(deployment: Deployment) -> list[Stream]:
    """Return the mixed load: three services, each with three priorities."""
    return [
        Stream(
            service.name,
            credential_of(priority),
            priority,
            RATES[service.name],
            service.once_only,
            service.body_bytes,
        )
        for service in deployment.shape.services
        for priority in PRIORITIES
    ]


class Drains:
    """Drains an upstream, then stops one of our own instances, and times both."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self.upstream = next(c.address for s, _, c in deployment.upstreams if s == "bays")
        self.instance = "e2"
        self.upstream_at = 0.0
        self.upstream_s = 0.0
        self.instance_s = 0.0
        self.failure = ""

    def run(self) -> None:
        """Carry out both drains."""
        try:
            time.sleep(UPSTREAM_DRAIN_AT_S)
            self._drain_upstream()
            time.sleep(max(0.0, INSTANCE_STOP_AT_S - UPSTREAM_DRAIN_AT_S - self.upstream_s))
            self._stop_instance()
        except Exception as error:
            self.failure = f"{type(error).__name__}: {error}"

    def _drain_upstream(self) -> None:
        client = self._deployment.client
        self.upstream_at = time.time()
        client.put("drain", "demo", {"target": f"upstream/{self.upstream}"})
        self.upstream_s = self._deployment.wait(
            lambda: (client.get("drain", "demo")["status"] or {}).get("phase") == "done",
            "the drain of an upstream",
        )

    def _stop_instance(self) -> None:
        started = time.monotonic()
        self._deployment.kill(self.instance, signal.SIGTERM)
        self._deployment.processes[self.instance].wait(timeout=30)
        self.instance_s = time.monotonic() - started


def read_calls(outputs: list[Path]) -> list[Got]:
    """Read what the clients wrote."""
    decoder = msgspec.json.Decoder(Got)
    return [decoder.decode(line) for path in outputs for line in path.read_bytes().splitlines()]


def read_reports(deployment: Deployment) -> list[Report]:
    """Ask the fake upstreams what they did."""
    return [
        msgspec.convert(fetch(config.address, "/fake/report"), Report)
        for _, _, config in deployment.upstreams
    ]


def build_history(
    deployment: Deployment, calls: list[Got], reports: list[Report], drains: Drains
) -> History:
    """Put together what the rules look at."""
    ran = [
        Ran(
            run.call, run.key, report.address, report.region, report.service, run.started, run.ended
        )
        for report in reports
        for run in report.runs
    ]
    shares = deployment.client.list("share")["items"]
    limits = []
    for share in shares:
        spec = share["spec"]
        slots = spec["current"]["slots"]
        mine = [r for r in reports if r.address in slots]
        limits += [Limit(r.address, r.peak, slots[r.address]) for r in mine]
        region_runs = [
            run for run in ran if (run.service, run.region) == (spec["service"], spec["region"])
        ]
        limits.append(Limit(share["name"], peak_in_flight(region_runs), sum(slots.values())))
    return History(
        got=calls,
        ran=ran,
        limits=limits,
        leaving=[Leaving(drains.upstream, drains.upstream_at, DRAIN_GRACE_S)],
        once_only=frozenset(s.name for s in deployment.shape.services if s.once_only),
    )


def print_latencies(calls: list[Got]) -> None:
    """Print latency and outcomes by service and priority."""
    rows = []
    groups: dict[tuple[str, str], list[Got]] = {}
    for got in calls:
        groups.setdefault((got.service, got.priority), []).append(got)
    for (service, priority), group in sorted(groups.items()):
        times = sorted(got.latency_s * 1000 for got in group if got.status == 200)
        outcomes = [got.outcome or got.error or "?" for got in group if got.status != 200]
        counted = ", ".join(f"{outcomes.count(o)} {o}" for o in sorted(set(outcomes))) or "none"
        p50 = statistics.median(times) if times else 0.0
        p99 = times[min(len(times) - 1, int(len(times) * 0.99))] if times else 0.0
        rows.append([service, priority, str(len(group)), f"{p50:.1f}", f"{p99:.1f}", counted])
    print(table(["SERVICE", "PRIORITY", "CALLS", "P50 MS", "P99 MS", "NOT ANSWERED"], rows))


def print_headroom(history: History) -> None:
    """Print how full each service was in each region at its peak."""
    rows = [
        [limit.name, str(limit.peak), str(limit.limit), f"{1 - limit.peak / limit.limit:.0%}"]
        for limit in history.limits
        if ":" not in limit.name
    ]
    print(table(["SERVICE.REGION", "PEAK IN FLIGHT", "LIMIT", "HEADROOM LEFT"], rows))


def run(folder: Path) -> int:
    """Run the demo; returns the exit code."""
    deployment = Deployment(folder, LANKASPARK, entries=6, replicas=3)
    started = time.monotonic()
    try:
        deployment.start()
        revision = deployment.apply(resources_of(LANKASPARK, deployment.addresses()))
        in_force = deployment.wait_in_force(revision, len(deployment.entry))
        deployment.wait_settled(9)
        print(f"up after {time.monotonic() - started:.1f} s: 3 control replicas, 6 entries,")
        print(f"{len(deployment.upstreams)} fake upstreams; revision {revision} was in force")
        print(f"everywhere {in_force:.2f} s after it was accepted; {SECONDS:g} s of load follow\n")
        drains = Drains(deployment)
        clients = start_clients(deployment, "client", demo_streams(deployment), CLIENTS, SECONDS)
        operator = threading.Thread(target=drains.run)
        operator.start()
        for name, _ in clients:
            deployment.processes[name].wait(timeout=60)
        operator.join()
        calls = read_calls([output for _, output in clients])
        history = build_history(deployment, calls, read_reports(deployment), drains)
    finally:
        deployment.stop()
    return judge(calls, history, drains)


def judge(calls: list[Got], history: History, drains: Drains) -> int:
    """Print the tables and the broken promises; returns the exit code."""
    print_latencies(calls)
    print()
    print_headroom(history)
    violations = check(history)
    cut = [got for got in calls if got.error]
    broken = sum(v.rule in ("whole answers", "own answers") for v in violations)
    doubled = sum(v.rule == "at most once" for v in violations)
    print(f"\ndrain of an upstream: {drains.upstream_s:.2f} s")
    print(f"planned stop of {drains.instance}: {drains.instance_s:.2f} s (callers may cache 3 s)")
    print(f"broken answers {broken}, doubled runs {doubled}, calls without an answer {len(cut)}")
    for violation in violations[:10]:
        print(f"BROKEN: {violation.rule}: {violation.detail}")
    for got in cut[:5]:
        print(f"BROKEN: {got.service} call got no answer: {got.error}")
    if drains.failure:
        print(f"BROKEN: a drain failed: {drains.failure}")
    kept = not violations and not cut and not drains.failure and bool(calls)
    print("every promise was kept" if kept else "a promise was broken")
    return 0 if kept else 1


def main() -> None:
    """Run the demo in a temporary folder; its logs are kept if a promise broke."""
    folder = Path(tempfile.mkdtemp(prefix="finchway-demo-"))
    code = run(folder)
    if code == 0:
        shutil.rmtree(folder)
    else:
        print(f"logs are in {folder}")
    sys.exit(code)


if __name__ == "__main__":
    main()
