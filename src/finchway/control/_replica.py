"""The shell of one replica: it moves messages, syncs files and applies what is committed.

One task runs the core in a fixed order: take in messages and proposals, write and sync, send,
apply. Everything that waits while a sync runs is written together with the next one.
"""

from __future__ import annotations

import logging
import random
import time
from collections import deque
from collections.abc import Callable

import trio
from msgspec import Struct

from finchway.exceptions import NotLeaderError, StorageError, UnavailableError
from finchway.observe import EventKind, Timeline
from finchway.replication import (
    AnyMessage,
    Append,
    Core,
    Entry,
    EntryKind,
    Identity,
    InstallSnapshot,
    Members,
    Ready,
    Snapshot,
    Storage,
    Timing,
)
from finchway.state import AnyCommand, AnyResult, StateMachine, decode_command, encode_command
from finchway.transport import Join, Link, RaftBody, Replica

_LOG = logging.getLogger(__name__)
SNAPSHOT_EVERY = 5_000
SUBMIT_TIMEOUT_S = 3.0
JOIN_INTERVAL_S = 0.5
REJOIN_AFTER_S = 3.0
_TICK_S = 0.02


class _Waiter(Struct, eq=False):
    """Someone who waits for an entry to be applied, or for a read to be confirmed."""

    term: int
    event: trio.Event
    result: AnyResult | None = None
    index: int = -1


class ReplicaRunner:
    """Runs one replica of the log and the state machine on it."""

    def __init__(
        self,
        identity: Identity,
        address: str,
        storage: Storage,
        link: Link,
        timeline: Timeline,
        timing: Timing,
        peers: Callable[[], list[str]],
        rng: random.Random,
    ) -> None:
        self._identity = identity
        self._member = identity.member(address)
        self._storage = storage
        self._link = link
        self._timeline = timeline
        self._peers = peers
        self._machine = StateMachine()
        restored = storage.open()
        self._machine.restore(restored.snapshot.data)
        self._applied = restored.snapshot.index
        self._core = Core(
            self._member.id, identity.cluster, restored, rng, timing, trio.current_time()
        )
        self._timing = timing
        self._senders: dict[str, str] = {}
        self._inbox: deque[AnyMessage] = deque()
        self._proposals: deque[tuple[AnyCommand, _Waiter]] = deque()
        self._waiting: dict[int, _Waiter] = {}
        self._reads: dict[int, _Waiter] = {}
        self._read_numbers = 0
        self._wake = trio.Event()
        self._applied_event = trio.Event()
        self._failed: str = ""
        self._last_leader: str | None = None
        self._confirmed_at = float("-inf")
        self._confirmed_index = 0
        self._covered_at = float("-inf")

    @property
    def machine(self) -> StateMachine:
        """The replicated state as far as it is applied here."""
        return self._machine

    @property
    def cluster(self) -> str:
        """The identity of the cluster."""
        return self._identity.cluster

    @property
    def core(self) -> Core:
        """The replica's core."""
        return self._core

    @property
    def applied(self) -> int:
        """The index of the newest applied entry."""
        return self._applied

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and has not failed."""
        return self._core.is_leader and not self._failed

    @property
    def confirmed_at(self) -> float:
        """When the newest quorum-confirmed read was asked for, on this process's clock."""
        return self._confirmed_at

    @property
    def confirmed_index(self) -> int:
        """The index that the newest quorum-confirmed read gave."""
        return self._confirmed_index

    @property
    def covered_at(self) -> float:
        """The newest moment up to which the state holds, for sure, all that was accepted.

        It is on this process's clock, and is -inf before the first confirmation of a leader. To
        have heard the leader says less: what it sent may not fit this replica's log yet.
        """
        return self._covered_at

    @property
    def failure(self) -> str:
        """Why the replica has stopped for good; empty while it works."""
        return self._failed

    def leader_address(self) -> str | None:
        """Return the peer address of the leader, if one is known."""
        member = self._core.members.find(self._core.leader or "")
        return member.address if member else None

    def receive(self, message: AnyMessage, address: str) -> None:
        """Take in a message of the log; a replica not known yet is answered at `address`."""
        self._senders[message.sender] = address
        if len(self._inbox) < 10_000:
            self._inbox.append(message)
            self._wake.set()

    async def submit(self, command: AnyCommand, timeout: float = SUBMIT_TIMEOUT_S) -> AnyResult:
        """Have a command committed, and return what applying it answered.

        Raises `NotLeaderError` with the leader's address, or `UnavailableError` if it was not
        applied in time; then it may still be applied later.
        """
        if not self.is_leader:
            raise NotLeaderError(self.leader_address())
        waiter = _Waiter(self._core.term, trio.Event())
        self._proposals.append((command, waiter))
        self._wake.set()
        with trio.move_on_after(timeout):
            await waiter.event.wait()
        if waiter.result is None:
            raise UnavailableError("no quorum confirmed the change in time")
        return waiter.result

    async def confirm(self, timeout: float = SUBMIT_TIMEOUT_S) -> int:
        """Return an index that covers all changes accepted before the call, once it is applied.

        Raises `NotLeaderError` or `UnavailableError`.
        """
        if not self.is_leader:
            raise NotLeaderError(self.leader_address())
        asked_at = trio.current_time()
        self._read_numbers += 1
        number = self._read_numbers
        waiter = self._reads[number] = _Waiter(self._core.term, trio.Event())
        try:
            self._core.read(number)
            self._wake.set()
            with trio.move_on_after(timeout):
                await waiter.event.wait()
                await self.wait_applied(waiter.index)
                self._confirmed_at = max(self._confirmed_at, asked_at)
                self._confirmed_index = max(self._confirmed_index, waiter.index)
                self.note_covered(asked_at)
                return waiter.index
        finally:
            self._reads.pop(number, None)
        raise UnavailableError("no quorum confirmed the leader in time")

    def note_covered(self, at: float) -> None:
        """Note that the applied state holds all that was accepted up to a moment."""
        self._covered_at = max(self._covered_at, at)

    async def wait_applied(self, index: int) -> None:
        """Return once the entry at `index` is applied here."""
        while self._applied < index:
            await self._applied_event.wait()

    async def wait_revision(self, revision: int) -> None:
        """Return once the state is newer than `revision`."""
        while self._machine.revision <= revision:
            await self._applied_event.wait()

    async def wait_steering(self, revision: int) -> None:
        """Return once the steering state is newer than `revision`."""
        while self._machine.steering.revision <= revision:
            await self._applied_event.wait()

    def transfer(self) -> str | None:
        """Hand leadership to the voter that is furthest on; returns its identity."""
        if not self.is_leader:
            return None
        others = [v for v in self._core.members.voters if v.id != self._core.id]
        if not others:
            return None
        target = max(others, key=lambda member: self._core.match_of(member.id))
        self._core.transfer(target.id)
        self._wake.set()
        return target.id

    def change_members(self, members: Members) -> None:
        """Propose a replica set; raises `ConflictError` while another change is under way."""
        self._core.change_members(members)
        self._wake.set()

    def status(self) -> Replica:
        """Describe this replica."""
        core = self._core
        ids = [member.id for member in core.members.voters + core.members.learners]
        return Replica(
            id=core.id,
            role="failed" if self._failed else core.role.value,
            term=core.term,
            commit=core.commit,
            applied=self._applied,
            revision=self._machine.revision,
            digest=self._machine.digest(),
            leader=core.leader or "",
            members=core.members,
            matches={i: core.match_of(i) for i in ids} if core.is_leader else {},
        )

    async def run(self) -> None:
        """Run the replica until cancelled; raises `StorageError` once its storage has failed.

        What is on disk is unknown then, so only a new process that reads it anew may go on.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._join)
            try:
                while True:
                    await self._round()
            except StorageError as error:
                self._failed = str(error)
                self._timeline.record(EventKind.STORAGE_FAILED, self._core.id, str(error))
                _LOG.error("the replica stops: %s", error)
                raise

    async def _round(self) -> None:
        if not (self._inbox or self._proposals or self._core.has_work):
            with trio.move_on_after(_TICK_S):
                await self._wake.wait()
        self._wake = trio.Event()
        now = trio.current_time()
        while self._inbox:
            self._core.step(self._inbox.popleft(), now)
        self._core.tick(now)
        self._propose()
        ready = self._core.take()
        sent_early = self._send_early(ready)
        if ready.must_sync or ready.truncate_from is not None:
            await trio.to_thread.run_sync(self._storage.save, ready)
        if ready.snapshot is not None:
            self._machine.restore(ready.snapshot.data)
            self._advance(ready.snapshot.index)
        committed = self._core.persisted(ready)
        if not sent_early:
            self._send(ready.messages)
        self._apply(committed)
        for number, index in ready.reads:
            self._finish_read(number, index)
        self._note_leader()
        if self._applied - self._core.snapshot_index >= self._snapshot_every():
            await self._take_snapshot()

    def _snapshot_every(self) -> int:
        """Take snapshots less often while they are large, so that they cost a constant part."""
        return max(SNAPSHOT_EVERY, len(self._machine.claims))

    def _propose(self) -> None:
        while self._proposals:
            command, waiter = self._proposals.popleft()
            try:
                index = self._core.propose(encode_command(command))
            except NotLeaderError:
                continue
            waiter.term = self._core.term
            self._waiting[index] = waiter

    def _send_early(self, ready: Ready) -> bool:
        """Let followers sync while the leader does; its own copy counts once it is synced.

        Only what a leader says may go out early: a vote or an acknowledgement must wait.
        """
        if not self._core.is_leader or ready.hard_state is not None:
            return False
        if not all(isinstance(m, Append | InstallSnapshot) for m in ready.messages):
            return False
        self._send(ready.messages)
        return True

    def _send(self, messages: list[AnyMessage]) -> None:
        for message in messages:
            address = self._address_of(message.target)
            if address:
                self._link.post(address, RaftBody(message=message, address=self._member.address))

    def _address_of(self, replica: str) -> str | None:
        member = self._core.members.find(replica)
        return member.address if member else self._senders.get(replica)

    def _apply(self, entries: list[Entry]) -> None:
        for entry in entries:
            result = None
            if entry.kind is EntryKind.COMMAND:
                result = self._machine.apply(decode_command(entry.data))
            elif entry.kind is EntryKind.MEMBERS:
                self._timeline.record(EventKind.REPLICAS_CHANGED, self._core.id, _names(self._core))
            self._applied = entry.index
            waiter = self._waiting.pop(entry.index, None)
            if waiter is not None and waiter.term == entry.term:
                waiter.result = result
                waiter.event.set()
        if entries:
            self._advance(entries[-1].index)

    def _advance(self, index: int) -> None:
        self._applied = max(self._applied, index)
        self._applied_event.set()
        self._applied_event = trio.Event()

    def _finish_read(self, number: int, index: int) -> None:
        waiter = self._reads.get(number)
        if waiter is not None:
            waiter.index = index
            waiter.event.set()

    def _note_leader(self) -> None:
        if self._core.leader != self._last_leader:
            self._last_leader = self._core.leader
            detail = f"term {self._core.term}"
            self._timeline.record(EventKind.LEADER_CHANGED, self._last_leader or "none", detail)
        if not self._core.is_leader:
            self._waiting.clear()

    async def _take_snapshot(self) -> None:
        index = self._applied
        term = self._core.term_at(index)
        members = self._core.members_at(index)
        snapshot = Snapshot(index, term or 0, members, self._machine.snapshot())
        started = time.perf_counter()
        await trio.to_thread.run_sync(self._storage.snapshot, snapshot)
        self._core.compact(snapshot)
        detail = f"{len(snapshot.data)} bytes in {time.perf_counter() - started:.3f} s"
        self._timeline.record(EventKind.SNAPSHOT_TAKEN, f"index {index}", detail)

    async def _join(self) -> None:
        """Ask to be taken in, while this identity has no vote or hears no leader.

        One that was cut off may have been replaced meanwhile, and hears of it from nobody.
        """
        while True:
            voter = self._core.members.is_voter(self._core.id)
            if not voter or not self._core.heard_leader_within(REJOIN_AFTER_S):
                members = self._core.members
                known = [m.address for m in members.voters + members.learners]
                for peer in sorted({*known, *self._peers()} - {"", self._member.address}):
                    self._link.post(peer, Join(member=self._member))
            await trio.sleep(JOIN_INTERVAL_S)


def _names(core: Core) -> str:
    voters = ", ".join(member.id for member in core.members.voters)
    learners = ", ".join(member.id for member in core.members.learners)
    return f"voters {voters}" + (f"; learners {learners}" if learners else "")
