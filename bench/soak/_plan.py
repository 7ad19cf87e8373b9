"""The seeded plan of one run: which fault strikes what, when, and for how long."""

from __future__ import annotations

import random
from enum import Enum

from msgspec import Struct

FIRST_AT_S = 1.0
SHORTEST_S = 0.3
LONGEST_S = 4.0
CALM_END_S = 6.0


class FaultKind(Enum):
    """What is done to a process or to a link, all from outside."""

    STOP = "stop"
    KILL = "kill"
    PAUSE = "pause"
    POWER_LOSS = "power-loss"
    LOST_DISK = "lost-disk"
    STOP_AND_RELOAD = "stop-and-reload"
    RESET = "reset"
    DELAY = "delay"
    SILENCE = "silence"
    CUT_REQUESTS = "cut-requests"
    CUT_ANSWERS = "cut-answers"
    CLOCK = "clock"
    SLOW_DISK = "slow-disk"
    FULL_DISK = "full-disk"
    DEAF_LOG_READER = "deaf-log-reader"
    CUT_UPSTREAMS = "cut-upstreams"


PROCESS_FAULTS = (FaultKind.STOP, FaultKind.KILL, FaultKind.PAUSE, FaultKind.STOP_AND_RELOAD)
LINK_FAULTS = (
    FaultKind.RESET,
    FaultKind.DELAY,
    FaultKind.SILENCE,
    FaultKind.CUT_REQUESTS,
    FaultKind.CUT_ANSWERS,
)
STORAGE_FAULTS = (
    FaultKind.POWER_LOSS,
    FaultKind.LOST_DISK,
    FaultKind.SLOW_DISK,
    FaultKind.FULL_DISK,
)
OTHER_FAULTS = (FaultKind.CLOCK, FaultKind.DEAF_LOG_READER)
# A replica whose disk is lost or full is away until it has caught up; another must not be lost
# before, or more disks go than the replica set stands.
DISK_LOSSES = frozenset({FaultKind.LOST_DISK, FaultKind.FULL_DISK})
DISK_LOSS_APART_S = 10.0


class Shape(Struct, frozen=True, kw_only=True):
    """How large a run is.

    `moods` tells whether back ends ask for rest, name limits and say that they leave; `cuts` are
    how often gateways are cut off from all back ends; `freezes` how often a minority of replicas
    stands still while an operator takes its orders back at the others.
    """

    replicas: int = 3
    gateways: int = 3
    upstreams: int = 6
    callers: int = 12
    seconds: float = 30.0
    faults: int = 16
    moods: bool = True
    cuts: int = 0
    freezes: int = 0

    @property
    def replica_names(self) -> list[str]:
        """The replicas by name."""
        return [f"c{n + 1}" for n in range(self.replicas)]

    @property
    def gateway_names(self) -> list[str]:
        """The gateways by name."""
        return [f"g{n + 1}" for n in range(self.gateways)]


class Fault(Struct, frozen=True):
    """One fault; times in seconds from the start of traffic."""

    at: float
    kind: FaultKind
    target: str
    for_s: float

    @property
    def until(self) -> float:
        """When it is over."""
        return self.at + self.for_s


def make_plan(seed: int, shape: Shape) -> list[Fault]:
    """Return the faults of a seed, in order; the last seconds of a run stay calm.

    Faults come in series on one target as well as alone, and they overlap. At most a minority of
    replicas loses its disk within `DISK_LOSS_APART_S`.
    """
    rng = random.Random(seed)
    plan: list[Fault] = []
    last = max(FIRST_AT_S, shape.seconds - CALM_END_S - LONGEST_S)
    while len(plan) < shape.faults:
        at = rng.uniform(FIRST_AT_S, last)
        target = rng.choice(shape.replica_names + shape.gateway_names)
        series = rng.choice((1, 1, 2, 3))
        for _ in range(series):
            fault = Fault(at, _kind(rng, target, shape), target, _length(rng))
            if _is_bearable(fault, plan):
                plan.append(fault)
            at = min(last, at + rng.uniform(0.05, 1.5))
    plan = plan[: shape.faults] + _cuts(seed, shape, last) + _freezes(seed, shape, last)
    return sorted(plan, key=lambda fault: (fault.at, fault.target))


def _cuts(seed: int, shape: Shape, last: float) -> list[Fault]:
    """Return the cuts of gateways from back ends, from a source of their own.

    Each strikes some, most or all gateways at once.
    """
    rng = random.Random(f"cuts of {seed}")
    cuts = []
    for _ in range(shape.cuts):
        at = rng.uniform(FIRST_AT_S, last)
        struck = rng.sample(shape.gateway_names, rng.randint(1, shape.gateways))
        for_s = round(rng.uniform(1.0, LONGEST_S), 2)
        cuts += [Fault(at, FaultKind.CUT_UPSTREAMS, name, for_s) for name in struck]
    return cuts


def _freezes(seed: int, shape: Shape, last: float) -> list[Fault]:
    """Return the freezes of replicas, always the same minority of them."""
    rng = random.Random(f"freezes of {seed}")
    struck = rng.sample(shape.replica_names, (shape.replicas - 1) // 2)
    freezes = []
    for _ in range(shape.freezes):
        at = rng.uniform(FIRST_AT_S, last)
        for_s = round(rng.uniform(1.0, LONGEST_S), 2)
        freezes += [Fault(at, FaultKind.PAUSE, name, for_s) for name in struck]
    return freezes


def _kind(rng: random.Random, target: str, shape: Shape) -> FaultKind:
    groups = [PROCESS_FAULTS, LINK_FAULTS, OTHER_FAULTS]
    if target in shape.replica_names:
        groups.append(STORAGE_FAULTS)
    return rng.choice(rng.choice(groups))


def _length(rng: random.Random) -> float:
    return round(SHORTEST_S + (LONGEST_S - SHORTEST_S) * rng.random() ** 2, 2)


def _is_bearable(fault: Fault, plan: list[Fault]) -> bool:
    if fault.kind not in DISK_LOSSES:
        return True
    return all(
        abs(fault.at - other.at) >= DISK_LOSS_APART_S for other in plan if other.kind in DISK_LOSSES
    )
