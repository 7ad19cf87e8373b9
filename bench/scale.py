"""Measures the slopes that `docs/CAPACITY.md` is worked out from, at the two-year size."""

from __future__ import annotations

import random
import time
import tracemalloc

import msgspec

from finchway.cli._output import table
from finchway.membership import Coordinator, Heartbeat, full_state
from finchway.policy import BlockTable, Caller, Demand, Routes
from finchway.policy._hashing import position
from finchway.resources import Change, Instance, ResourceStore
from finchway.state import ClaimKey, ClaimState, PutResource, SettleClaim, StateMachine

BLOCKS = 1_200_000
SITES = 280
ENTRIES = 1_300
REGIONS = 22
ZONES = 60
SERVICES = 6
UPSTREAMS = 20


def timed(call, count: int) -> float:
    """Return the microseconds that one of `count` calls takes."""
    started = time.perf_counter()
    for number in range(count):
        call(number)
    return (time.perf_counter() - started) / count * 1e6


def put(machine: StateMachine, kind: str, name: str, spec: dict) -> None:
    """Accept a resource."""
    encoded = msgspec.json.encode(spec)
    result = machine.apply(PutResource(now_ms=0, kind=kind, name=name, spec=encoded))
    assert type(result).__name__ == "Accepted", result


def build_machine() -> StateMachine:
    """Return a state of the two-year size, without client blocks."""
    machine = StateMachine()
    for r in range(REGIONS):
        latency = {f"r{o}": abs(o - r) * 5.0 for o in range(REGIONS) if o != r}
        put(machine, "region", f"r{r}", {"latency_ms": latency})
    for z in range(ZONES):
        put(machine, "zone", f"z{z}", {"region": f"r{z % REGIONS}"})
    for s in range(SITES):
        put(machine, "site", f"s{s}", {"region": f"r{s % REGIONS}"})
    put(machine, "priority", "gold", {"rank": 0})
    number = 0
    for s in range(SERVICES):
        put(machine, "service", f"svc{s}", {})
        for r in range(REGIONS):
            upstreams = []
            for _ in range(UPSTREAMS):
                number += 1
                address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:80"
                upstreams.append({"address": address, "zone": f"z{r}"})
            spec = {"service": f"svc{s}", "region": f"r{r}", "upstreams": upstreams}
            put(machine, "pool", f"svc{s}.r{r}", spec)
    for e in range(ENTRIES):
        spec = Instance(
            address=f"10.200.{e >> 8}.{e & 255}:80",
            peer=f"10.200.{e >> 8}.{e & 255}:81",
            zone=f"z{e % ZONES}",
            incarnation="0123456789ab",
        )
        put(machine, "instance", f"e{e}", msgspec.to_builtins(spec))
    return machine


def heartbeat(number: int, sequence: int, revision: int, acked: int = 0) -> Heartbeat:
    """Return a busy entry's heartbeat."""
    region = f"r{number % ZONES % REGIONS}"
    demands = [Demand(f"svc{s}", region, {0: 3, 1: 2}) for s in range(SERVICES)]
    return Heartbeat(
        instance=f"e{number}",
        incarnation="0123456789ab",
        address=f"10.200.{number >> 8}.{number & 255}:80",
        peer=f"10.200.{number >> 8}.{number & 255}:81",
        zone=f"z{number % ZONES}",
        sequence=sequence,
        revision=revision,
        loans_applied=acked,
        demands=demands,
    )


def measure_blocks() -> list[list[str]]:
    """Build the table of client blocks and look addresses up."""
    rng = random.Random(1)
    blocks = [
        (f"{10 + (i >> 16)}.{i >> 8 & 255}.{i & 255}.0/24", f"s{rng.randrange(SITES)}")
        for i in range(BLOCKS)
    ]
    started = time.perf_counter()
    built = BlockTable.build(blocks)
    seconds = time.perf_counter() - started
    probes = [rng.randrange(10 << 24, 28 << 24) for _ in range(100_000)]
    cost = timed(lambda n: built.find_number(probes[n]), len(probes))
    return [
        ["client blocks", f"{len(built):,} spans, {built.size_bytes / 1e6:.1f} MB in arrays"],
        ["building them", f"{seconds:.2f} s"],
        ["one look-up", f"{cost:.2f} us"],
    ]


def measure_state(machine: StateMachine) -> list[list[str]]:
    """Measure resources, history and claims of the replicated state."""
    count = sum(1 for _ in machine.store)
    started = time.perf_counter()
    snapshot = machine.snapshot()
    seconds = time.perf_counter() - started
    spec = msgspec.json.encode({"latency_ms": {}})
    apply = timed(
        lambda n: machine.apply(
            PutResource(
                now_ms=n,
                kind="region",
                name="rx",
                spec=spec if n % 2 else b'{"latency_ms":{"a":1}}',
            )
        ),
        2_000,
    )
    claims = StateMachine()
    tracemalloc.start()
    cost = timed(lambda n: _claim_and_settle(claims, n), 20_000)
    per_claim = tracemalloc.get_traced_memory()[0] / 20_000
    tracemalloc.stop()
    return [
        ["resources", f"{count:,}"],
        ["snapshot of them", f"{len(snapshot) / 1e6:.2f} MB in {seconds * 1000:.0f} ms"],
        ["applying a change", f"{apply:.0f} us"],
        ["a claim and its end", f"{cost:.0f} us, {per_claim:.0f} bytes kept"],
    ]


def _claim_and_settle(machine: StateMachine, number: int) -> None:
    fields = {"now_ms": number, "service": "pay", "organisation": "o", "key": f"key-{number:030}"}
    attempt = f"{number:032}"
    digest = f"{number:064}"
    machine.apply(
        ClaimKey(**fields, digest=digest, attempt=attempt, holder="e1@1", retain_s=86_400.0)
    )
    answer = b"x" * 200
    machine.apply(SettleClaim(**fields, attempt=attempt, outcome=ClaimState.DONE, answer=answer))


def measure_leader(machine: StateMachine) -> list[list[str]]:
    """Measure the leader's answers and plans with all entries heard."""
    coordinator = Coordinator(machine, 0.0)
    revision = machine.revision
    for number in range(ENTRIES):
        coordinator.handle_heartbeat(heartbeat(number, 1, revision), 0.1)
    for command in coordinator.plan(0.2, 200):
        machine.apply(command)
    for command in coordinator.plan(0.3, 300):
        machine.apply(command)
    shares = len(machine.store.of_kind("share"))
    revision = machine.revision
    first = timed(
        lambda n: coordinator.handle_heartbeat(heartbeat(n, 2, revision, 1), 20.0), ENTRIES
    )
    steady = timed(
        lambda n: coordinator.handle_heartbeat(heartbeat(n, 3, revision, 2), 20.2), ENTRIES
    )
    plan = timed(lambda n: coordinator.plan(20.3, 20_300), 5)
    reply = coordinator.handle_heartbeat(heartbeat(0, 4, revision, 3), 20.4, with_changes=False)
    return [
        ["shares", str(shares)],
        ["answering a heartbeat", f"{steady:.0f} us ({first:.0f} us after a new revision)"],
        ["one plan", f"{plan / 1000:.1f} ms"],
        ["a heartbeat", f"{len(msgspec.msgpack.encode(heartbeat(0, 4, revision, 3)))} bytes"],
        ["its answer", f"{len(msgspec.msgpack.encode(reply))} bytes"],
    ]


def measure_entry(machine: StateMachine) -> list[list[str]]:
    """Measure what a change costs an entry, and a steering answer."""
    state = full_state(machine.store)
    encoded = msgspec.msgpack.encode(state)
    tracemalloc.start()
    started = time.perf_counter()
    changes = msgspec.msgpack.decode(encoded, type=list[Change])
    store = ResourceStore([change.resource() for change in changes], machine.revision)
    loaded = time.perf_counter() - started
    del changes
    grown = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    started = time.perf_counter()
    routes = Routes(store)
    compiled = time.perf_counter() - started
    callers = [Caller(f"10.{n >> 8 & 255}.{n & 255}.0/24", "o") for n in range(20_000)]
    steer = timed(lambda n: routes.steer("svc1", f"r{n % REGIONS}", callers[n]), len(callers))
    place = timed(lambda n: position("svc1", "r1", callers[n].block), len(callers))
    change = msgspec.msgpack.encode(state[-1])
    return [
        ["whole state on the wire", f"{len(encoded) / 1e6:.2f} MB"],
        ["loading it", f"{loaded * 1000:.0f} ms, {grown:.1f} MB kept (timed while traced)"],
        ["compiling routes for a change", f"{compiled * 1000:.0f} ms"],
        ["one change on the wire", f"{len(change)} bytes"],
        ["one steering decision", f"{steer:.0f} us"],
        ["one caller's place", f"{place:.2f} us"],
    ]


def main() -> None:
    """Print all slopes."""
    machine = build_machine()
    rows = measure_blocks()
    rows += measure_leader(machine)
    rows += measure_entry(machine)
    rows += measure_state(machine)
    print(table(["WHAT", "FIGURE"], rows))


if __name__ == "__main__":
    main()
