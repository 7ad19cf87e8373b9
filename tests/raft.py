"""A simulated Raft cluster with virtual time, real files and fault injection.

All randomness derives from one seed. A crashed replica restarts from its files.
"""

from __future__ import annotations

import random
import shutil
from pathlib import Path

from finchway.exceptions import NotLeaderError, StorageError
from finchway.replication import (
    Core,
    Entry,
    EntryKind,
    FileOperations,
    Member,
    Members,
    Restored,
    Snapshot,
    Storage,
    Timing,
)

STEP_S = 0.02
CLUSTER_ID = "test"


class CrashError(Exception):
    """Simulates a crash of the replica's process."""


class FaultyFiles(FileOperations):
    """File operations that crash the process at a given step, with a torn write if set."""

    def __init__(self) -> None:
        self.steps = 0
        self.crash_at: int | None = None
        self.torn = False

    def _step(self) -> None:
        self.steps += 1
        if self.crash_at is not None and self.steps >= self.crash_at:
            raise CrashError

    def write(self, fd: int, data: bytes) -> None:
        if self.crash_at is not None and self.steps + 1 >= self.crash_at and self.torn:
            super().write(fd, data[: len(data) // 2])
        self._step()
        super().write(fd, data)

    def sync(self, fd: int) -> None:
        self._step()

    def rename(self, old: Path, new: Path) -> None:
        self._step()
        super().rename(old, new)

    def remove(self, path: Path) -> None:
        self._step()
        super().remove(path)


class Node:
    """One replica: its core, its storage and its applied commands."""

    def __init__(self, member: Member, folder: Path) -> None:
        self.member = member
        self.folder = folder
        self.files = FaultyFiles()
        self.core: Core | None = None
        self.storage: Storage | None = None
        self.applied: list[tuple[int, bytes]] = []
        self.base = b""

    @property
    def is_up(self) -> bool:
        return self.core is not None


class Cluster:
    """The replicas, the network between them, and the checks of safety."""

    core_type = Core
    storage_type = Storage

    def __init__(self, folder: Path, seed: int, size: int = 3) -> None:
        self.folder = folder
        self.rng = random.Random(seed)
        self.now = 0.0
        self.nodes: dict[str, Node] = {}
        self.in_transit: list[tuple[float, object]] = []
        self.cuts: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.duplicates = 0.0
        self.delay = (0.001, 0.01)
        self.leader_by_term: dict[int, str] = {}
        self.accepted: dict[int, bytes] = {}
        self.proposed = 0
        self.reads: list[tuple[int, int]] = []
        self.min_read_index: dict[int, int] = {}
        self.finished_reads: list[tuple[int, int]] = []
        members = tuple(Member(f"r{i}", "1", f"10.0.0.{i}:1") for i in range(1, size + 1))
        for member in members:
            node = Node(member, folder / member.id)
            self.nodes[member.id] = node
            storage = self.storage_type(node.folder)
            storage.open()
            storage.save_snapshot(Snapshot(1, 1, Members(members), b""))
            storage.close()
            self.start(node)

    def start(self, node: Node) -> None:
        """Start a replica from its stored state."""
        node.files = FaultyFiles()
        node.storage = self.storage_type(node.folder, node.files)
        restored = node.storage.open()
        self.start_core(node, restored)

    def start_core(self, node: Node, restored: Restored) -> None:
        rng = random.Random(self.rng.random())
        node.core = self.core_type(node.member.id, CLUSTER_ID, restored, rng, Timing(), self.now)
        node.base = restored.snapshot.data
        node.applied = _decode(restored.snapshot.data)

    def crash(self, node: Node) -> None:
        """Crash a replica."""
        node.core = None
        if node.storage is not None:
            node.storage.close()

    def wipe(self, node: Node, incarnation: str) -> Node:
        """Restart a replica under the same name with an empty disk."""
        if node.is_up:
            self.crash(node)
        shutil.rmtree(node.folder)
        del self.nodes[node.member.id]
        member = Member(node.member.name, incarnation, node.member.address)
        fresh = Node(member, self.folder / member.id)
        self.nodes[member.id] = fresh
        self.start(fresh)
        return fresh

    def leader(self) -> Node | None:
        """Return the leader of the highest term, or None."""
        leading = [n for n in self.nodes.values() if n.is_up and n.core.is_leader]
        return max(leading, key=lambda n: n.core.term, default=None)

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self.deliver()
            for node in list(self.nodes.values()):
                if node.is_up:
                    node.core.tick(self.now)
                    self.process_ready(node)
            self.check_election_safety()

    def run_until(self, condition, limit: float = 30.0) -> None:
        """Advance the virtual time until `condition` is true."""
        end = self.now + limit
        while not condition():
            assert self.now < end, "the condition was not met in time"
            self.run(STEP_S)

    def deliver(self) -> None:
        due = [m for at, m in self.in_transit if at <= self.now]
        self.in_transit = [(at, m) for at, m in self.in_transit if at > self.now]
        self.rng.shuffle(due)
        for message in due:
            node = self.nodes.get(message.target)
            if node is not None and node.is_up:
                node.core.step(message, self.now)
                self.process_ready(node)

    def process_ready(self, node: Node) -> None:
        """Carry out the pending work of a core in the required order."""
        for _ in range(10):
            if not node.is_up or not node.core.has_work:
                return
            ready = node.core.take()
            try:
                self.save(node, ready)
            except (CrashError, StorageError):
                self.crash(node)
                return
            if ready.snapshot is not None:
                node.applied = _decode(ready.snapshot.data)
            committed = node.core.persisted(ready)
            for message in ready.messages:
                self.send(message)
            for entry in committed:
                self.apply(node, entry)
            for token, index in ready.reads:
                self.finished_reads.append((token, index))

    def save(self, node: Node, ready) -> None:
        node.storage.save(ready)

    def send(self, message) -> None:
        if (message.sender, message.target) in self.cuts or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplicates else 1
        for _ in range(copies):
            self.in_transit.append((self.now + self.rng.uniform(*self.delay), message))

    def apply(self, node: Node, entry: Entry) -> None:
        if entry.kind is EntryKind.COMMAND:
            node.applied.append((entry.index, entry.data))
        existing = self.accepted.setdefault(entry.index, entry.data)
        assert existing == entry.data, f"two different entries were applied at {entry.index}"

    def propose(self) -> bool:
        """Propose one command to the leader; returns False if there is none."""
        node = self.leader()
        if node is None:
            return False
        self.proposed += 1
        try:
            node.core.propose(f"command{self.proposed}".encode())
        except NotLeaderError:
            return False
        self.process_ready(node)
        return True

    def read(self) -> bool:
        """Start a read at each replica that considers itself the leader."""
        started = False
        for node in self.nodes.values():
            if node.is_up and node.core.is_leader:
                token = len(self.min_read_index) + 1
                self.min_read_index[token] = self.highest_applied()
                node.core.read(token)
                self.process_ready(node)
                started = True
        return started

    def compact(self, node: Node) -> None:
        """Save a snapshot of the commands that a replica has applied, and compact its log."""
        core = node.core
        index = core._applied
        if index <= core.snapshot_index:
            return
        members = core.members_at(index)
        snapshot = Snapshot(index, core.term_at(index), members, _encode(node.applied))
        try:
            node.storage.save_snapshot(snapshot)
        except (CrashError, StorageError):
            self.crash(node)
            return
        core.compact(snapshot)

    def highest_applied(self) -> int:
        return max(self.accepted, default=0)

    def cut(self, source: str, target: str, both: bool = True) -> None:
        """Drop all messages from one replica to another."""
        self.cuts.add((source, target))
        if both:
            self.cuts.add((target, source))

    def isolate(self, replica: str, both: bool = True) -> None:
        for other in self.nodes:
            if other != replica:
                self.cut(replica, other, both)

    def check_election_safety(self) -> None:
        for node in self.nodes.values():
            if node.is_up and node.core.is_leader:
                first = self.leader_by_term.setdefault(node.core.term, node.member.id)
                assert first == node.member.id, f"two leaders in term {node.core.term}"

    def check(self) -> None:
        """Check that no applied command was lost or reordered, and that no read was stale."""
        longest = max((n.applied for n in self.nodes.values()), key=len)
        for node in self.nodes.values():
            assert (
                node.applied == longest[: len(node.applied)]
            ), "replicas applied different commands"
        expected = {i: d for i, d in self.accepted.items() if d.startswith(b"command")}
        applied = dict(longest)
        lost = [i for i in expected if i not in applied]
        assert not lost, f"accepted commands were lost: {lost}"
        for token, index in self.finished_reads:
            assert index >= self.min_read_index[token], "a read missed an accepted command"

    def heal(self) -> None:
        """Stop all faults, restart crashed replicas and wait until all have converged."""
        self.cuts.clear()
        self.loss = self.duplicates = 0.0
        for node in self.nodes.values():
            if not node.is_up:
                self.start(node)
            node.files.crash_at = None
        self.run_until(lambda: self.leader() is not None)
        self.run(2.0)
        self.propose()
        self.run_until(self.has_converged)

    def has_converged(self) -> bool:
        up = [n for n in self.nodes.values() if n.is_up]
        return len({n.core.commit for n in up}) == 1 and len({len(n.applied) for n in up}) == 1


def _encode(applied: list[tuple[int, bytes]]) -> bytes:
    return b"\n".join(b"%d %s" % pair for pair in applied)


def _decode(data: bytes) -> list[tuple[int, bytes]]:
    pairs = [line.split(b" ", 1) for line in data.split(b"\n") if line]
    return [(int(index), command) for index, command in pairs]
