"""Measures the decisions in both users' shapes on virtual time, against their baselines."""

from __future__ import annotations

import sys
import time
from collections.abc import Awaitable, Callable

import trio
from msgspec import Struct

from bench import baselines
from bench.history import Got, check
from bench.shapes import PRIORITIES, SHAPES
from bench.virtual import run_virtual
from bench.world import Options, World
from finchway.cli._output import table

LOAD_S = 6.0
# Without control, owners take their slots back after some seconds; that part is measured too.
CONTROL_LOST_S = 14.0
WARM_S = 1.0


class Case(Struct, frozen=True):
    """One run: a user's shape, a situation, a way to decide, and the load over capacity."""

    shape: str
    situation: str
    variant: str
    load: float
    skewed: bool = False
    seed: int = 7


class Figures(Struct):
    """What one run gave; times in milliseconds, parts in percent."""

    case: Case
    calls: int
    p50: float
    p99: float
    p999: float
    gold_p99: float
    answered: dict[str, float]
    peak: float
    mean: float
    sent_ratio: float
    drain_s: float
    violations: int
    seconds: float


VARIANTS: dict[str, dict] = {
    "finchway": {},
    "round robin": {"make_directory": baselines.RoundRobinDirectory},
    "random": {"make_directory": baselines.RandomDirectory},
    "reported load": {"make_directory": baselines.ReportedLoadDirectory},
    "local limits": {"make_holder": baselines.LocalLimitsHolder},
    "floors only": {"make_holder": baselines.NoLoansHolder, "overrides": {"floor_fraction": 1.0}},
    "all lent": {"overrides": {"floor_fraction": 0.0}},
    "no priorities": {"use_ranks": False},
    "endless retries": {"make_budget": baselines.EndlessBudget},
    "12 entries": {"overrides": {"entries": 12}},
    "2 entries": {"overrides": {"entries": 2}},
}


async def lose_region(world: World) -> None:
    """A region's upstreams fail for the rest of the run."""
    await trio.sleep(WARM_S)
    for upstream in world.upstreams.values():
        if upstream.region == world.shape.regions[1]:
            upstream.die()


async def lose_everything(world: World) -> None:
    """Every upstream breaks off what it runs."""
    await trio.sleep(WARM_S)
    for upstream in world.upstreams.values():
        upstream.cut_every = 1


async def move_cold(world: World) -> None:
    """A move takes callers to a region whose caches are cold."""
    source, target = world.shape.regions[:2]
    for upstream in world.upstreams.values():
        if upstream.region == target:
            upstream.cold_until = trio.current_time() + LOAD_S
    spec = {
        "service": world.shape.services[0].name,
        "source": source,
        "target": target,
        "step_percent": 10.0,
        "interval_s": 0.5,
    }
    world.control.put("move", "cold", spec)


async def lose_control(world: World) -> None:
    """Control falls silent for the rest of the run."""
    await trio.sleep(WARM_S)
    world.control.available = False


async def nothing(world: World) -> None:
    """Nothing happens."""


async def report_late(world: World) -> None:
    """Load reports are a second old."""
    for upstream in world.upstreams.values():
        upstream.frozen = True


async def slow_some(world: World) -> None:
    """One upstream in five takes three times as long."""
    for upstream in list(world.upstreams.values())[::5]:
        upstream.mean_s *= 3


SITUATIONS: dict[str, Callable[[World], Awaitable[None]]] = {
    "steady": nothing,
    "region lost": lose_region,
    "all upstreams break": lose_everything,
    "move onto cold": move_cold,
    "control lost": lose_control,
    "reports stop": report_late,
    "some slow": slow_some,
}


def cases() -> list[Case]:
    """Return every run of the table."""
    found = []
    for shape in SHAPES:
        for load in (0.5, 1.0, 1.5):
            found.append(Case(shape, "steady", "finchway", load))
        for situation in ("region lost", "move onto cold", "control lost"):
            found.append(Case(shape, situation, "finchway", 0.5))
    for shape in SHAPES:
        for variant in ("round robin", "random", "reported load"):
            found.append(Case(shape, "steady", variant, 0.8))
        found.append(Case(shape, "steady", "finchway", 0.8))
    for variant in ("finchway", "local limits", "floors only", "all lent", "12 entries"):
        found.append(Case("lankaspark", "steady", variant, 0.8, skewed=True))
    for variant in ("finchway", "local limits"):
        found.append(Case("lankaspark", "steady", variant, 1.5))
    for variant in ("finchway", "floors only", "all lent"):
        found.append(Case("lankaspark", "control lost", variant, 0.8))
    found.append(Case("lankaspark", "steady", "no priorities", 1.5))
    for variant in ("finchway", "endless retries"):
        found.append(Case("lankaspark", "all upstreams break", variant, 0.5))
    for variant in ("finchway", "reported load"):
        found.append(Case("lankaspark", "reports stop", variant, 0.8))
    for variant in ("finchway", "reported load", "round robin", "random"):
        found.append(Case("lankaspark", "some slow", variant, 0.5))
    for variant in ("finchway", "2 entries"):
        found.append(Case("lankaspark", "steady", variant, 0.8))
    return list(dict.fromkeys(found))


def measure(case: Case) -> Figures:
    """Run one case."""
    started = time.perf_counter()
    shape = SHAPES[case.shape]
    world = World(shape, Options(seed=case.seed, **VARIANTS[case.variant]))
    service = shape.services[0]
    capacity = service.workers * 4 / (service.service_ms / 1000)
    rate = case.load * capacity / len(PRIORITIES)
    spread = dict.fromkeys(shape.regions, 1.0)
    drain_s = [0.0]

    async def main() -> None:
        async with world.running():
            world.got.clear()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(SITUATIONS[case.situation], world)
                if case.variant == "finchway" and case.situation == "steady":
                    nursery.start_soon(drain_one, world, service.name, drain_s)
                rates = dict.fromkeys(PRIORITIES, rate)
                world.skew = 3.0 if case.skewed else 1.0
                lost = case.situation == "control lost"
                seconds = CONTROL_LOST_S if lost else LOAD_S
                await world.load(service.name, rates, seconds, spread)

    run_virtual(main)
    return figures(case, world, service.name, drain_s[0], time.perf_counter() - started)


async def drain_one(world: World, service: str, result: list[float]) -> None:
    """Drain one upstream midway and time it."""
    await trio.sleep(LOAD_S / 2)
    began = trio.current_time()
    address = next(a for a, u in world.upstreams.items() if u.service == service)
    world.control.put("drain", "d", {"target": f"upstream/{address}"})
    store = world.control.machine.store
    with trio.move_on_after(20):
        while store.get("drain", "d").status is None or store.get("drain", "d").status.done_ms == 0:
            await trio.sleep(0.01)
        result[0] = trio.current_time() - began


def figures(case: Case, world: World, service: str, drain_s: float, seconds: float) -> Figures:
    """Reduce a run to its figures."""
    first = min(got.started for got in world.got)
    calls = [got for got in world.got if got.started >= first + WARM_S]
    times = sorted(got.latency_s * 1000 for got in calls if got.status == 200) or [0.0]
    gold = sorted(
        got.latency_s * 1000 for got in calls if got.status == 200 and got.priority == "gold"
    )
    answered = {p: part_answered([g for g in calls if g.priority == p]) for p in PRIORITIES}
    limits = {limit.name: limit for limit in world.limits() if limit.name.startswith(service)}
    gauges = {f"{s}.{r}": g for (s, r), g in world.gauges.items() if s == service}
    slots = sum(limits[name].limit for name in gauges)
    ran = sum(1 for u in world.upstreams.values() for r in u.ran if r.started >= first + WARM_S)
    return Figures(
        case,
        len(calls),
        at(times, 0.5),
        at(times, 0.99),
        at(times, 0.999),
        at(gold or [0.0], 0.99),
        answered,
        max(gauge.peak / limits[name].limit for name, gauge in gauges.items()),
        sum(gauge.mean for gauge in gauges.values()) / slots,
        ran / max(1, len(calls)),
        drain_s,
        len(check(world.history())),
        seconds,
    )


def part_answered(calls: list[Got]) -> float:
    """Return the percentage of calls that were answered."""
    return 100 * sum(1 for got in calls if got.status == 200) / max(1, len(calls))


def at(times: list[float], quantile: float) -> float:
    """Return a quantile of sorted times."""
    return times[min(len(times) - 1, int(len(times) * quantile))]


def row(f: Figures) -> list[str]:
    """Lay out one run as a row."""
    case = f.case
    answered = "/".join(f"{f.answered[p]:.1f}" for p in PRIORITIES)
    return [
        case.shape,
        case.situation + (" (skewed)" if case.skewed else ""),
        f"{case.load:g}",
        case.variant,
        f"{f.p50:.1f}",
        f"{f.p99:.1f}",
        f"{f.p999:.1f}",
        f"{f.gold_p99:.1f}",
        answered,
        f"{f.peak:.2f}",
        f"{f.mean:.2f}",
        f"{f.sent_ratio:.2f}",
        f"{f.drain_s:.2f}" if f.drain_s else "-",
        str(f.violations),
    ]


HEADINGS = [
    "SHAPE",
    "SITUATION",
    "LOAD",
    "WAY",
    "P50",
    "P99",
    "P99.9",
    "GOLD P99",
    "ANSWERED % G/S/B",
    "PEAK",
    "MEAN",
    "RUNS/CALL",
    "DRAIN S",
    "BROKEN",
]


def print_table(results: list[Figures]) -> None:
    """Print all runs."""
    print(table(HEADINGS, [row(figure) for figure in results]))


def main() -> None:
    """Measure the cases whose text contains the argument, in this process."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else ""
    chosen = [c for c in cases() if wanted in f"{c.shape} {c.situation} {c.variant} {c.load}"]
    print_table([measure(case) for case in chosen])


if __name__ == "__main__":
    main()
