"""One run: start, traffic, the plan of faults, recovery, the checks."""

from __future__ import annotations

import random
import signal
import tempfile
from collections import Counter
from pathlib import Path

import msgspec
import trio
from msgspec import Struct

from bench.soak._callers import Callers
from bench.soak._checks import Violation, check
from bench.soak._control import ControlClient, Operator, first_items
from bench.soak._ledger import FaultWindow, Ledger
from bench.soak._machines import Machines
from bench.soak._plan import DISK_LOSSES, Fault, FaultKind, Shape, make_plan
from bench.soak._proxy import BOTH, Direction, Mode
from bench.soak._reversals import ReversingOperator
from bench.soak._upstreams import Fleet

START_WITHIN_S = 60.0
RECOVER_WITHIN_S = 30.0
SLOW_SYNC_S = 0.8
CLOCK_JUMPS_S = (-40.0, -3.0, 3.0, 3600.0)
_MODES = {
    FaultKind.DELAY: Mode.DELAY,
    FaultKind.SILENCE: Mode.SILENCE,
    FaultKind.CUT_REQUESTS: Mode.CUT_REQUESTS,
    FaultKind.CUT_ANSWERS: Mode.CUT_ANSWERS,
}


def _mode(fault: Fault) -> Mode:
    """Return what a link fault does; every second delay is that of a full link.

    Which one follows from the fault's length, so that the plans of earlier seeds stay as they are.
    """
    mode = _MODES[fault.kind]
    crowded = mode is Mode.DELAY and round(fault.for_s * 100) % 2
    return Mode.CROWDED if crowded else mode


def _silenced(fault: Fault) -> frozenset[Direction] | None:
    """Return what open connections stop carrying for good; None where they are reset.

    Every second reset makes them silent instead, half of these in one direction. Which ones
    follows from the fault's length, so that the plans of earlier seeds stay as they are.
    """
    match round(fault.for_s * 100) % 8:
        case 1 | 5:
            return BOTH
        case 3:
            return frozenset({Direction.REQUESTS})
        case 7:
            return frozenset({Direction.ANSWERS})
    return None


class Report(Struct, frozen=True, kw_only=True):
    """What a run showed; `statuses` counts the answers of callers, None where none came.

    `added_asked` counts the answered requests for routes that were added during the run, and
    `ended` the back ends that ended under deadly requests; `asked` counts the refusals that asked
    for rest, `limited` the answers that named a limit.
    """

    seed: int
    plan: list[Fault]
    statuses: dict[str, int]
    runs: int
    changes: int
    added_asked: int
    left: int
    ended: int
    asked: int
    limited: int
    violations: list[Violation]
    folder: str


async def soak(seed: int, shape: Shape, folder: Path | None = None) -> Report:
    """Play one run and return what it showed.

    Raises `trio.TooSlowError` if the processes do not start to serve.
    """
    folder = folder or Path(tempfile.mkdtemp(prefix=f"finchway-soak-{seed}-"))
    return await _Soak(seed, shape, folder).run()


class _Soak:
    """The parts of one run; `run` makes the processes and the client of their API."""

    _machines: Machines
    _control: ControlClient

    def __init__(self, seed: int, shape: Shape, folder: Path) -> None:
        self._seed = seed
        self._shape = shape
        self._folder = folder
        self._ledger = Ledger()
        self._plan = make_plan(seed, shape)
        self._rng = random.Random(seed + 1)

    async def run(self) -> Report:
        """Play the run."""
        async with trio.open_nursery() as nursery:
            self._machines = Machines(self._folder, self._shape, self._ledger, nursery)
            try:
                await self._play(nursery)
            finally:
                self._machines.stop_all()
            nursery.cancel_scope.cancel()
        return self._report()

    async def _play(self, nursery: trio.Nursery) -> None:
        machines = self._machines
        for proxy in machines.proxies.values():
            await nursery.start(proxy.run)
        machines.start_all()
        control = self._control = ControlClient(list(machines.api.values()), self._rng)
        callers = Callers(self._shape.callers, machines.callers_see, self._ledger, self._seed + 2)
        fleet = Fleet(self._shape, machines.zones, self._ledger, control, self._seed + 3)
        zones = list(machines.zones)
        operators = []
        if self._shape.freezes:
            zone, rng = zones.pop(), random.Random(self._seed + 5)
            operators.append(ReversingOperator(control, machines.api, self._ledger, zone, rng))
        operator = Operator(control, self._ledger, zones, random.Random(self._seed + 4))
        operators.append(operator)
        with trio.fail_after(START_WITHIN_S):
            await self._until_voters(control)
            await control.insist("POST", "/v1/steering/items", first_items())
            nursery.start_soon(fleet.run)
            await self._until_served(callers)
        nursery.start_soon(machines.keep_up)
        async with trio.open_nursery() as traffic:
            traffic.start_soon(callers.run)
            for each in operators:
                traffic.start_soon(each.run)
            await self._strike_all()
            await self._recover(callers, control)
            traffic.cancel_scope.cancel()
        with trio.move_on_after(RECOVER_WITHIN_S) as patience:
            await operator.read_back()
        self._ledger.recovered["reading back"] = not patience.cancelled_caught

    async def _until_voters(self, control: ControlClient) -> None:
        while True:
            answer = await control.call("GET", "/v1/replicas")
            if answer is not None and answer[0] == 200:
                members = msgspec.json.decode(answer[1])["members"]
                if len(members["voters"]) == self._shape.replicas:
                    return
            await trio.sleep(0.05)

    async def _is_whole(self) -> bool:
        """Tell whether every replica has its vote under its present incarnation.

        Another disk must not be lost before: more would be gone than the replica set stands.
        """
        answer = await self._control.call("GET", "/v1/replicas")
        if answer is None or answer[0] != 200:
            return False
        held = msgspec.json.decode(answer[1])
        voters = {f"{m['name']}@{m['incarnation']}" for m in held["members"]["voters"]}
        answering = {r["id"] for r in held["replicas"] if r["role"] != "unreachable"}
        return len(answering) == self._shape.replicas and answering == voters

    async def _until_served(self, callers: Callers) -> None:
        for gateway in self._shape.gateway_names:
            while not await callers.answers_well(gateway):
                await trio.sleep(0.05)

    async def _strike_all(self) -> None:
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in self._plan:
                nursery.start_soon(self._strike_at, started, fault)

    async def _strike_at(self, started: float, fault: Fault) -> None:
        await trio.sleep_until(started + fault.at)
        if fault.kind in DISK_LOSSES and not await self._is_whole():
            return
        at = trio.current_time()
        place = len(self._ledger.faults)
        self._ledger.faults.append(FaultWindow(fault.kind.value, fault.target, at, float("inf")))
        try:
            await self._strike(fault)
        finally:
            self._ledger.faults[place] = FaultWindow(
                fault.kind.value, fault.target, at, trio.current_time()
            )

    async def _strike(self, fault: Fault) -> None:
        machines, name = self._machines, fault.target
        match fault.kind:
            case FaultKind.STOP:
                await self._stop(name, fault.for_s)
            case FaultKind.STOP_AND_RELOAD:
                if machines.is_running(name):
                    await machines.reload(name)
                await self._stop(name, 0.0)
            case FaultKind.KILL:
                machines.kill(name)
                await self._start_after(name, fault.for_s)
            case FaultKind.POWER_LOSS:
                machines.lose_power(name)
                await self._start_after(name, fault.for_s)
            case FaultKind.LOST_DISK:
                machines.wipe(name)
                await self._start_after(name, fault.for_s)
            case FaultKind.PAUSE:
                await self._pause(fault)
            case FaultKind.RESET:
                self._break_connections(name, _silenced(fault))
            case FaultKind.CLOCK:
                await self._spoil(name, "clock", self._rng.choice(CLOCK_JUMPS_S), fault.for_s)
            case FaultKind.SLOW_DISK:
                await self._spoil(name, "sync", SLOW_SYNC_S, fault.for_s)
            case FaultKind.FULL_DISK:
                await self._spoil(name, "full", 1.0, fault.for_s)
            case FaultKind.CUT_UPSTREAMS:
                how = 1 + round(fault.for_s * 100) % 3
                await self._spoil(name, "cut", how, fault.for_s)
            case FaultKind.DEAF_LOG_READER:
                machines.deafen(name)
                await trio.sleep(fault.for_s)
                machines.hear(name)
            case _:
                machines.proxies[name].set_mode(_mode(fault))
                await trio.sleep(fault.for_s)
                machines.proxies[name].set_mode(Mode.PASS)

    async def _pause(self, fault: Fault) -> None:
        """Have a process stand still; every second time as if its machine were suspended.

        Which ones follows from the fault's length, so that the plans of earlier seeds stay.
        """
        machines, name = self._machines, fault.target
        if self._shape.moods and round(fault.for_s * 100) % 2:
            await machines.suspend(name, fault.for_s)
            return
        machines.signal(name, signal.SIGSTOP)
        await trio.sleep(fault.for_s)
        machines.signal(name, signal.SIGCONT)

    async def _stop(self, name: str, away_s: float) -> None:
        if not self._machines.is_running(name):
            return
        await self._machines.stop(name)
        await self._start_after(name, away_s)

    async def _start_after(self, name: str, away_s: float) -> None:
        await trio.sleep(away_s)
        if not self._machines.is_running(name):
            self._machines.start(name)

    def _break_connections(self, name: str, silenced: frozenset[Direction] | None) -> None:
        proxy = self._machines.proxies[name]
        if silenced is None:
            proxy.reset()
        else:
            proxy.go_silent(silenced)

    async def _spoil(self, name: str, fault: str, value: float, for_s: float) -> None:
        self._machines.spoil(name, fault, value)
        await trio.sleep(for_s)
        self._machines.spoil(name, fault, 0.0)

    async def _recover(self, callers: Callers, control: ControlClient) -> None:
        with trio.move_on_after(RECOVER_WITHIN_S) as patience:
            await self._until_voters(control)
        self._ledger.recovered["control"] = not patience.cancelled_caught
        for gateway in self._shape.gateway_names:
            with trio.move_on_after(RECOVER_WITHIN_S) as patience:
                while not await callers.answers_well(gateway):
                    await trio.sleep(0.1)
            self._ledger.recovered[gateway] = not patience.cancelled_caught

    def _report(self) -> Report:
        ledger = self._ledger
        statuses = Counter(str(answer.status) for answer in ledger.answers.values())
        return Report(
            seed=self._seed,
            plan=self._plan,
            statuses=dict(sorted(statuses.items())),
            runs=len(ledger.runs),
            changes=len(ledger.acknowledged),
            added_asked=sum(bool(ledger.sent[i].route) for i in ledger.answers),
            left=len(ledger.left),
            ended=len(ledger.ended_under),
            asked=len(ledger.asked),
            limited=len(ledger.said_limit),
            violations=check(ledger, self._shape),
            folder=str(self._folder),
        )
