"""The processes under soak, and the faults that strike them from outside."""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import sys
from pathlib import Path

import trio

from bench.deploy import CREDENTIAL, free_ports
from bench.signals import catches, ignores
from bench.soak._ledger import Ended, Ledger
from bench.soak._plan import Shape
from bench.soak._proxy import Proxy
from finchway.control import bootstrap

ROOT = Path(__file__).resolve().parents[2]
INTRUSION = Path(__file__).resolve().parent / "intrusion"
GRACE_S = 6.0
# Seconds within which the interpreter of a process that was just started reaches finchway's first
# line (0.09 s at most, three runs beside a test run). Before that a signal ends any program.
BOOT_WITHIN_S = 2.0
_SYNC_NOTE = ".synced"
_START_LINE = b'"change":"start"'


class Machines:
    """All processes of a run, each behind a proxy, with a folder of its own."""

    def __init__(self, folder: Path, shape: Shape, ledger: Ledger, nursery: trio.Nursery) -> None:
        self.folder = folder
        self._nursery = nursery
        self._hears: dict[str, trio.Event] = {}
        self._shape = shape
        self._ledger = ledger
        self._running: dict[str, subprocess.Popen] = {}
        self._told: set[str] = set()
        self._suspended: dict[str, float] = {}
        self._started: set[int] = set()
        names = shape.replica_names + shape.gateway_names
        ports = iter(free_ports(4 * len(names)))
        self._peer = {name: f"127.0.0.1:{next(ports)}" for name in names}
        self._peer_listen = {name: f"127.0.0.1:{next(ports)}" for name in names}
        self._front = {name: f"127.0.0.1:{next(ports)}" for name in names}
        self.api = {name: f"127.0.0.1:{next(ports)}" for name in shape.replica_names}
        self.callers_see = {n: f"127.0.0.1:{next(ports)}" for n in shape.gateway_names}
        self.proxies = {
            name: Proxy(self._peer[name], self._peer_listen[name]) for name in shape.replica_names
        } | {name: Proxy(self.callers_see[name], self._front[name]) for name in shape.gateway_names}
        self._zones = {name: f"z{n % 3 + 1}" for n, name in enumerate(shape.gateway_names)}

    @property
    def zones(self) -> list[str]:
        """The availability zones, each a region of its own."""
        return ["z1", "z2", "z3"]

    def start_all(self) -> None:
        """Start every process, the first replica on a new cluster."""
        first, *_ = names = self._shape.replica_names
        bootstrap(self.folder / first, first, self._peer[first], names, CREDENTIAL)
        for name in names + self._shape.gateway_names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start one process; its output goes to a file in the folder."""
        command = [sys.executable, "-m", "finchwayd", f"--instance={name}"]
        if name in self.api:
            command += ["--roles=control", f"--peer_address={self._peer[name]}"]
            command += [f"--peer_listen={self._peer_listen[name]}"]
            command += [f"--api_address={self.api[name]}", f"--data_folder={self.folder / name}"]
        else:
            zones = ",".join(f"{zone}=region-{zone}" for zone in self.zones)
            command += ["--roles=gateway", f"--peer_address={self._peer[name]}"]
            command += [f"--gateway_address={self._front[name]}", f"--zones={zones}"]
            command += [f"--zone={self._zones[name]}", f"--region=region-{self._zones[name]}"]
        peers = ",".join(self._peer[replica] for replica in self._shape.replica_names)
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": f"{INTRUSION}:{ROOT / 'src'}",
            "SOAK_FAULTS": str(self._faults_path(name)),
        }
        reading, writing = os.pipe()
        self._running[name] = subprocess.Popen(
            [*command, f"--control_peers={peers}"],
            stdout=writing,
            stderr=writing,
            cwd=self.folder,
            env=environment,
        )
        os.close(writing)
        self._told.discard(name)
        self._nursery.start_soon(self._read_log, name, self._running[name].pid, reading)

    def kill(self, name: str) -> None:
        """End a process without notice."""
        process = self._running.get(name)
        if process is None or process.poll() is not None:
            return
        self._told.add(name)
        process.kill()
        process.wait()

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process if it runs."""
        process = self._running.get(name)
        if process is not None and process.poll() is None:
            process.send_signal(number)

    async def reload(self, name: str) -> None:
        """Tell a process that its settings have changed, also while it is still importing."""
        process = self._running[name]
        with trio.move_on_after(BOOT_WITHIN_S):
            while process.poll() is None and not _minds(process.pid, signal.SIGHUP):
                await trio.sleep(0.005)
        if process.poll() is None:
            process.send_signal(signal.SIGHUP)

    async def stop(self, name: str) -> None:
        """Ask for a planned stop; what has not ended after the grace is killed.

        Other faults may end the process or start it anew meanwhile: only the one that was asked
        is waited for.
        """
        process = self._running[name]
        starting = process.pid not in self._started
        self._told.add(name)
        self.signal(name, signal.SIGTERM)
        with trio.move_on_after(GRACE_S):
            while process.poll() is None:
                await trio.sleep(0.02)
        if process.poll() is None:
            process.kill()
            process.wait()
        self._ledger.ended.append(
            Ended(name, trio.current_time(), process.returncode, True, starting)
        )

    def is_running(self, name: str) -> bool:
        """Tell whether a process runs."""
        process = self._running.get(name)
        return process is not None and process.poll() is None

    def wipe(self, name: str) -> None:
        """Kill a replica and lose its disk."""
        self.kill(name)
        shutil.rmtree(self.folder / name, ignore_errors=True)

    def lose_power(self, name: str) -> None:
        """Kill a replica and lose what it wrote after its last sync."""
        self.kill(name)
        for note in (self.folder / name).rglob(f"*{_SYNC_NOTE}"):
            path = note.with_name(note.name.removesuffix(_SYNC_NOTE))
            if path.exists():
                os.truncate(path, min(int(note.read_text() or 0), path.stat().st_size))

    def spoil(self, name: str, fault: str, value: float) -> None:
        """Have a fault of clock or storage take effect in a process; 0 ends it."""
        lines = [f"{fault} {value}\n"] if value else []
        if name in self._suspended:
            lines.append(f"suspended {self._suspended[name]}\n")
        self._faults_path(name).write_text("".join(lines))

    async def suspend(self, name: str, seconds: float) -> None:
        """Stop a process as if its machine were suspended: its steady clocks stand still."""
        started = trio.current_time()
        self.signal(name, signal.SIGSTOP)
        await trio.sleep(seconds)
        away = trio.current_time() - started
        self._suspended[name] = self._suspended.get(name, 0.0) + away
        self.spoil(name, "", 0.0)
        self.signal(name, signal.SIGCONT)

    def deafen(self, name: str) -> None:
        """Stop reading a process's log, until `hear`."""
        self._hears[name] = trio.Event()

    def hear(self, name: str) -> None:
        """Read a process's log again."""
        if name in self._hears:
            self._hears.pop(name).set()

    async def _read_log(self, name: str, pid: int, descriptor: int) -> None:
        async with trio.lowlevel.FdStream(descriptor) as stream:
            with (self.folder / f"{name}.log").open("ab", buffering=0) as log:
                while data := await stream.receive_some(64 * 1024):
                    log.write(data)
                    if _START_LINE in data:
                        self._started.add(pid)
                    if name in self._hears:
                        await self._hears[name].wait()

    async def keep_up(self) -> None:
        """Note processes that end by themselves, and start them again, until cancelled."""
        while True:
            await trio.sleep(0.1)
            for name, process in list(self._running.items()):
                code = process.poll()
                if code is None or name in self._told:
                    continue
                self._ledger.ended.append(Ended(name, trio.current_time(), code, False))
                self.start(name)

    def stop_all(self) -> None:
        """End all processes that were started here."""
        for process in self._running.values():
            if process.poll() is None:
                process.kill()
                process.wait()

    def _faults_path(self, name: str) -> Path:
        return self.folder / f"{name}.faults"


def _minds(pid: int, number: int) -> bool:
    """Tell whether a process has taken a signal's default action away."""
    return ignores(pid, number) or catches(pid, number)
