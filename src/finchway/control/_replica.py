"""Runs one replica: transfers messages, syncs the log and applies committed entries.

A single task runs the core in a fixed order: receive messages and proposals, write and sync, send,
apply. What arrives during a sync is batched into the next one.
"""

from __future__ import annotations

import logging
import random
import time
from collections import deque
from collections.abc import Callable

import trio
from msgspec import Struct

from finchway.exceptions import (
    FinchwayError,
    NotLeaderError,
    OrderExpiredError,
    StorageError,
    UnavailableError,
)
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
from finchway.transport import Join, Link, RaftBody, Replica, Validity

_LOG = logging.getLogger(__name__)
SNAPSHOT_MIN_ENTRIES = 5_000
SUBMIT_TIMEOUT_S = 3.0
JOIN_INTERVAL_S = 0.5
REJOIN_AFTER_S = 3.0
_TICK_S = 0.02


class _Waiter(Struct, eq=False):
    """A caller that waits for an entry to be applied, or for a read to be confirmed."""

    term: int
    event: trio.Event
    result: AnyResult | None = None
    error: FinchwayError | None = None
    index: int = -1


class _Proposal(Struct, eq=False):
    """An encoded command that has yet to enter the log."""

    data: bytes
    validity: Validity | None
    waiter: _Waiter


class ReplicaRunner:
    """Runs one replica of the log and its state machine."""

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
        self._proposals: deque[_Proposal] = deque()
        self._waiting: dict[int, _Waiter] = {}
        self._reads: dict[int, _Waiter] = {}
        self._last_read_number = 0
        self._wake = trio.Event()
        self._applied_event = trio.Event()
        self._failure: str = ""
        self._last_leader: str | None = None
        self._confirmed_at = float("-inf")
        self._confirmed_index = 0
        self._current_as_of = float("-inf")

    @property
    def machine(self) -> StateMachine:
        """The state machine, as far as entries are applied on this replica."""
        return self._machine

    @property
    def cluster(self) -> str:
        """The cluster id."""
        return self._identity.cluster

    @property
    def core(self) -> Core:
        """The consensus core."""
        return self._core

    @property
    def applied(self) -> int:
        """The index of the newest applied entry."""
        return self._applied

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and has not failed."""
        return self._core.is_leader and not self._failure

    @property
    def confirmed_at(self) -> float:
        """When the newest quorum-confirmed read was requested, on this process's clock."""
        return self._confirmed_at

    @property
    def confirmed_index(self) -> int:
        """The index returned by the newest quorum-confirmed read."""
        return self._confirmed_index

    @property
    def current_as_of(self) -> float:
        """The time up to which the applied state is guaranteed to hold all accepted changes.

        It is on this process's clock, and -inf before a leader is first confirmed. Contact with
        the leader alone does not advance it, since this replica's log may still lag behind.
        """
        return self._current_as_of

    @property
    def failure(self) -> str:
        """Why the replica has stopped permanently; empty while it runs."""
        return self._failure

    def leader_address(self) -> str | None:
        """Return the peer address of the leader, if one is known."""
        member = self._core.members.find(self._core.leader or "")
        return member.address if member else None

    def receive(self, message: AnyMessage, address: str) -> None:
        """Queue a consensus message; an unknown sender is answered at `address`."""
        self._senders[message.sender] = address
        if len(self._inbox) < 10_000:
            self._inbox.append(message)
            self._wake.set()

    async def submit(
        self,
        command: AnyCommand,
        validity: Validity | None = None,
        timeout: float = SUBMIT_TIMEOUT_S,
    ) -> AnyResult:
        """Commit a command and return the result of applying it.

        Raises `NotLeaderError` with the leader's address, `EncodingError` if the log cannot hold
        the command, `OrderExpiredError` if it did not enter the log while it was valid, or
        `UnavailableError` on a timeout, after which the command may still be applied.
        """
        if not self.is_leader:
            raise NotLeaderError(self.leader_address())
        data = encode_command(command)
        waiter = _Waiter(self._core.term, trio.Event())
        self._proposals.append(_Proposal(data, validity, waiter))
        self._wake.set()
        with trio.move_on_after(timeout):
            await waiter.event.wait()
        if waiter.error is not None:
            raise waiter.error
        if waiter.result is None:
            raise UnavailableError("no quorum confirmed the change in time")
        return waiter.result

    def require_valid(self, validity: Validity | None) -> None:
        """Raise `OrderExpiredError` if an order may no longer enter the log.

        Raises `NotLeaderError` if the validity is on the clock of another leader.
        """
        if validity is None:
            return
        if validity.term != self._core.term:
            raise NotLeaderError(self.leader_address())
        late_s = trio.current_time() - validity.until
        if late_s >= 0.0:
            raise OrderExpiredError(f"the order reached the log {late_s:.1f} s too late")

    async def confirm(self, timeout: float = SUBMIT_TIMEOUT_S) -> int:
        """Wait until all changes accepted before the call are applied; return their index.

        Raises `NotLeaderError` or `UnavailableError`.
        """
        if not self.is_leader:
            raise NotLeaderError(self.leader_address())
        requested_at = trio.current_time()
        self._last_read_number += 1
        number = self._last_read_number
        waiter = self._reads[number] = _Waiter(self._core.term, trio.Event())
        try:
            self._core.read(number)
            self._wake.set()
            with trio.move_on_after(timeout):
                await waiter.event.wait()
                await self.wait_applied(waiter.index)
                self._confirmed_at = max(self._confirmed_at, requested_at)
                self._confirmed_index = max(self._confirmed_index, waiter.index)
                self.advance_current_as_of(requested_at)
                return waiter.index
        finally:
            self._reads.pop(number, None)
        raise UnavailableError("no quorum confirmed the leader in time")

    def advance_current_as_of(self, at: float) -> None:
        """Record that the applied state holds all changes accepted up to a time."""
        self._current_as_of = max(self._current_as_of, at)

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
        """Transfer leadership to the most up-to-date other voter; return its id."""
        if not self.is_leader:
            return None
        others = [v for v in self._core.members.voters if v.id != self._core.id]
        if not others:
            return None
        target = max(others, key=lambda member: self._core.match_index_of(member.id))
        self._core.transfer(target.id)
        self._wake.set()
        return target.id

    def change_members(self, members: Members) -> None:
        """Propose a replica set; raises `ConflictError` while another change is pending."""
        self._core.change_members(members)
        self._wake.set()

    def status(self) -> Replica:
        """Describe this replica."""
        core = self._core
        ids = [member.id for member in core.members.voters + core.members.learners]
        return Replica(
            id=core.id,
            role="failed" if self._failure else core.role.value,
            term=core.term,
            commit=core.commit,
            applied=self._applied,
            revision=self._machine.revision,
            digest=self._machine.digest(),
            leader=core.leader or "",
            members=core.members,
            matches={i: core.match_index_of(i) for i in ids} if core.is_leader else {},
        )

    async def run(self) -> None:
        """Run the replica until cancelled; raises `StorageError` when its storage fails.

        The content of the disk is unknown after that, so the process must be restarted.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._join)
            try:
                while True:
                    await self._run_once()
            except StorageError as error:
                self._failure = str(error)
                self._timeline.record(EventKind.STORAGE_FAILED, self._core.id, str(error))
                _LOG.error("storage failed, stopping the replica: %s", error)
                raise

    async def _run_once(self) -> None:
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
        sent_early = self._send_before_sync(ready)
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
        self._record_leader()
        if self._applied - self._core.snapshot_index >= self._snapshot_interval():
            await self._take_snapshot()

    def _snapshot_interval(self) -> int:
        """Return the entries between snapshots; grows with the state to bound the relative cost."""
        return max(SNAPSHOT_MIN_ENTRIES, len(self._machine.claims))

    def _propose(self) -> None:
        while self._proposals:
            proposal = self._proposals.popleft()
            waiter = proposal.waiter
            try:
                self.require_valid(proposal.validity)
                index = self._core.propose(proposal.data)
            except FinchwayError as error:
                waiter.error = error
                waiter.event.set()
                continue
            waiter.term = self._core.term
            self._waiting[index] = waiter

    def _send_before_sync(self, ready: Ready) -> bool:
        """Send a leader's messages before its own sync, so that followers sync in parallel.

        The leader's own copy counts only once it is synced. Votes and acknowledgements must not
        be sent before the sync.
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
                self._timeline.record(
                    EventKind.REPLICAS_CHANGED, self._core.id, _describe_members(self._core)
                )
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

    def _record_leader(self) -> None:
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
        await trio.to_thread.run_sync(self._storage.save_snapshot, snapshot)
        self._core.compact(snapshot)
        detail = f"{len(snapshot.data)} bytes in {time.perf_counter() - started:.3f} s"
        self._timeline.record(EventKind.SNAPSHOT_TAKEN, f"index {index}", detail)

    async def _join(self) -> None:
        """Request to join while this replica is not a voter or has no contact with a leader.

        A replica that was partitioned may have been replaced without being notified.
        """
        while True:
            voter = self._core.members.is_voter(self._core.id)
            if not voter or not self._core.had_leader_contact_within(REJOIN_AFTER_S):
                members = self._core.members
                known = [m.address for m in members.voters + members.learners]
                for peer in sorted({*known, *self._peers()} - {"", self._member.address}):
                    self._link.post(peer, Join(member=self._member))
            await trio.sleep(JOIN_INTERVAL_S)


def _describe_members(core: Core) -> str:
    voters = ", ".join(member.id for member in core.members.voters)
    learners = ", ".join(member.id for member in core.members.learners)
    return f"voters {voters}" + (f"; learners {learners}" if learners else "")
