"""How long orders take, and what becomes of them at a replica that stalls again and again.

    python -m bench.orders --stall 0.5

Three replicas of real processes; an operator evacuates and readmits a zone by turns at each of
them, over connections of its own, and upstreams send heartbeats. With `--stall`, one replica stands
still for so many seconds once in two seconds. A call that gets no answer is left after a second.
"""

from __future__ import annotations

import argparse
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path

import httpcore
import msgspec
import trio

from bench.deploy import CREDENTIAL, Deployment
from bench.policy import at
from bench.shapes import KALABAW
from finchway.cli._output import table

CALL_WITHIN_S = 1.0
STALL_EVERY_S = 2.0
BETWEEN_S = 0.02
_TIMEOUTS = dict.fromkeys(("connect", "read", "write", "pool"), CALL_WITHIN_S)
_FAILURES = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


class Calls:
    """The outcomes and times of one kind of call at one replica."""

    def __init__(self) -> None:
        self._statuses: Counter[str] = Counter()
        self._times_ms: list[float] = []

    def add(self, status: str, seconds: float) -> None:
        """Note a call."""
        self._statuses[status] += 1
        if status == "200":
            self._times_ms.append(seconds * 1000)

    def row(self) -> list[str]:
        """Return the count of calls, of outcomes, and the times of those that succeeded."""
        times = sorted(self._times_ms)
        shown = [f"{at(times, q):.1f}" if times else "-" for q in (0.5, 0.9, 0.99)]
        outcomes = " ".join(f"{s}:{n}" for s, n in sorted(self._statuses.items()))
        return [str(self._statuses.total()), outcomes, *shown]


async def call(address: str, method: str, path: str, document) -> tuple[str, float]:
    """Make a call on a connection of its own; return its status and time."""
    started = time.perf_counter()
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            answer = await pool.request(
                method,
                f"http://{address}{path}",
                headers=[(b"Authorization", f"Bearer {CREDENTIAL}".encode())],
                content=msgspec.json.encode(document),
                extensions={"timeout": _TIMEOUTS},
            )
            status = str(answer.status)
    except _FAILURES:
        status = "none"
    return status, time.perf_counter() - started


async def order_forever(address: str, zone: str, calls: Calls) -> None:
    """Evacuate and readmit a zone by turns."""
    active = True
    while True:
        calls.add(
            *await call(address, "POST", f"/v1/steering/evacuations/{zone}", {"active": active})
        )
        active = not active
        await trio.sleep(BETWEEN_S)


async def beat_forever(address: str, instance: str, calls: Calls) -> None:
    """Send heartbeats of an upstream."""
    beat = {"address": "127.0.0.1:9", "service": "s", "zone": "z", "slots": 4, "state": "ready"}
    sequence = 0
    while True:
        sequence += 1
        path = f"/v1/steering/upstreams/{instance}"
        calls.add(*await call(address, "PUT", path, beat | {"sequence": sequence}))
        await trio.sleep(BETWEEN_S)


async def stall_forever(process, seconds: float) -> None:
    """Have a process stand still again and again."""
    while True:
        await trio.sleep(STALL_EVERY_S - seconds)
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(seconds)
        process.send_signal(signal.SIGCONT)


async def measure(deployment: Deployment, stalled: str, stall_s: float, seconds: float) -> str:
    """Return a table of the calls at each replica."""
    orders = {name: Calls() for name in deployment.api}
    beats = {name: Calls() for name in deployment.api}
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for name, address in deployment.api.items():
                nursery.start_soon(order_forever, address, f"zone-{name}", orders[name])
                nursery.start_soon(beat_forever, address, f"i-{name}", beats[name])
            if stall_s:
                process = deployment.processes[stalled]
                nursery.start_soon(stall_forever, process, stall_s)
    rows = [
        [f"{what} at {name}", *found.row()]
        for what, kind in (("orders", orders), ("heartbeats", beats))
        for name, found in kind.items()
    ]
    return table(["calls", "number", "outcomes", "p50 ms", "p90 ms", "p99 ms"], rows)


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(prog="python -m bench.orders", description=__doc__)
    parser.add_argument("--stall", type=float, default=0.0, help="seconds of each stall")
    parser.add_argument("--leader", action="store_true", help="stall the leader, not a follower")
    parser.add_argument("--seconds", type=float, default=20.0)
    chosen = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), KALABAW, entries=0, replicas=3)
        try:
            deployment.start()
            service = {"kind": "service", "name": "s", "version": 1, "spec": {}}
            deployment.client.post("/v1/steering/items", [service])
            role = "leader" if chosen.leader else "follower"
            replicas = deployment.client.read("/v1/replicas")["replicas"]
            stalled = next(r["id"].partition("@")[0] for r in replicas if r["role"] == role)
            print(f"{role} {stalled} stalls for {chosen.stall:g} s")
            print(trio.run(measure, deployment, stalled, chosen.stall, chosen.seconds))
        finally:
            deployment.stop()


if __name__ == "__main__":
    main()
