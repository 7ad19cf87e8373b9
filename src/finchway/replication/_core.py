"""Raft consensus without I/O and without a clock.

The driver passes in time, messages and proposals, and carries out what `take` returns in this
order: write and sync, send, apply. Pre-vote keeps a partitioned replica from disrupting a working
leader, a leader without contact to a quorum steps down, and a heartbeat round confirms each read.

    core = Core("a@1", "cluster", restored, random.Random(1), Timing(), now=0.0)
    core.tick(now)
    ready = core.take()
    ...write ready.hard_state and ready.entries, sync...
    core.persisted(ready)
"""

from __future__ import annotations

import random

import msgspec

from finchway.exceptions import ConflictError, NotLeaderError
from finchway.replication import _messages as m
from finchway.replication._elections import ElectionMixin
from finchway.replication._log import Log
from finchway.replication._progress import Progress
from finchway.replication._ready import RaftRole, Ready, Restored, Timing


class Core(ElectionMixin):
    """The Raft state of one replica."""

    def __init__(
        self,
        replica: str,
        cluster: str,
        restored: Restored,
        rng: random.Random,
        timing: Timing,
        now: float,
    ) -> None:
        snapshot = restored.snapshot
        self._id = replica
        self._cluster = cluster
        self._timing = timing
        self._rng = rng
        self._term = max(restored.hard_state.term, snapshot.term)
        self._vote = restored.hard_state.vote
        self._saved_hard_state = restored.hard_state
        self._log = Log(snapshot.index, snapshot.term, snapshot.members, list(restored.entries))
        self._snapshot = snapshot
        self._commit = snapshot.index
        self._applied = snapshot.index
        self._taken_index = self._log.last_index
        self._stable = self._log.last_index
        self._members, self._members_index = self._log.members()
        self._role = RaftRole.FOLLOWER
        self._leader: str | None = None
        self._now = now
        self._leader_contact_at = float("-inf")
        self._progress: dict[str, Progress] = {}
        self._votes: set[str] = set()
        self._pre_vote = False
        self._read_round = 0
        self._reads: list[tuple[int, int]] = []
        self._transfer: tuple[str, float] | None = None
        self._outbox: list[m.AnyMessage] = []
        self._ready_reads: list[tuple[int, int]] = []
        self._truncate: int | None = None
        self._install: m.Snapshot | None = None
        self._heartbeat_at = now
        self._reset_election(now)

    @property
    def id(self) -> str:
        """The identity of this replica, `name@incarnation`."""
        return self._id

    @property
    def role(self) -> RaftRole:
        """The current Raft role."""
        return self._role

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader of its current term."""
        return self._role is RaftRole.LEADER

    @property
    def leader(self) -> str | None:
        """The identity of the leader, or None if it is unknown."""
        return self._leader

    @property
    def term(self) -> int:
        """The current Raft term."""
        return self._term

    @property
    def commit(self) -> int:
        """The commit index."""
        return self._commit

    @property
    def last_index(self) -> int:
        """The index of the last log entry."""
        return self._log.last_index

    @property
    def members(self) -> m.Members:
        """The newest replica set in the log, which may not be committed yet."""
        return self._members

    @property
    def snapshot_index(self) -> int:
        """The index of the last entry covered by the newest snapshot."""
        return self._log.first_index - 1

    def match_index_of(self, replica: str) -> int:
        """Return the highest index a follower has acknowledged; 0 unless this is the leader."""
        progress = self._progress.get(replica)
        return progress.match if progress else 0

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, or None if it is not in the log."""
        return self._log.term_at(index)

    def members_at(self, index: int) -> m.Members:
        """Return the replica set that applies at `index`."""
        return self._log.members(index)[0]

    def seconds_since_reply(self, replica: str) -> float:
        """Return the seconds since a follower last replied; 0 for a replica without progress."""
        progress = self._progress.get(replica)
        return self._now - progress.acked_at if progress else 0.0

    def had_leader_contact_within(self, seconds: float) -> bool:
        """Whether this replica leads, or received a message from the leader within `seconds`."""
        return self.is_leader or self._now - self._leader_contact_at < seconds

    @property
    def has_work(self) -> bool:
        """Whether `take` would return any work."""
        unsaved = m.HardState(self._term, self._vote) != self._saved_hard_state
        unwritten = self._taken_index < self._log.last_index or self._install is not None
        undelivered = bool(self._outbox or self._ready_reads) or self._applied < self._commit
        return unsaved or unwritten or undelivered

    # Input

    def tick(self, now: float) -> None:
        """Advance the clock: sends heartbeats, checks the quorum and starts elections when due."""
        self._now = max(now, self._now)
        if self.is_leader:
            self._tick_leader()
        elif self._now >= self._election_at and self._members.is_voter(self._id):
            self._campaign(pre=True)

    def propose(self, data: bytes) -> int:
        """Append a command and return its index.

        Raises `NotLeaderError` on a follower and during a leadership transfer.
        """
        self._require_leader()
        if self._transfer is not None:
            raise NotLeaderError(self._transfer[0])
        return self._append_as_leader(m.EntryKind.COMMAND, data)

    def change_members(self, members: m.Members) -> int:
        """Append a replica set that differs by at most one voter from the current one.

        Raises `ConflictError` if an earlier change is not committed, or if more than one voter
        would change.
        """
        self._require_leader()
        if self._members_index > self._commit or self._log.term_at(self._commit) != self._term:
            raise ConflictError("an earlier change of the replica set is not committed yet")
        old = {member.id for member in self._members.voters}
        new = {member.id for member in members.voters}
        if len(old ^ new) > 1:
            raise ConflictError("replica changes are made one voter at a time")
        if not new:
            raise ConflictError("a replica set needs at least one voter")
        return self._append_as_leader(m.EntryKind.MEMBERS, msgspec.msgpack.encode(members))

    def read(self, token: int) -> None:
        """Start a linearizable read; `Ready.reads` returns `token` and the index to wait for."""
        self._require_leader()
        self._read_round += 1
        self._reads.append((self._read_round, token))
        self._broadcast()
        self._finish_reads()

    def transfer(self, target: str) -> None:
        """Transfer leadership to a voter once its log is up to date."""
        self._require_leader()
        if target != self._id and self._members.is_voter(target):
            self._transfer = (target, self._now + self._timing.election)
            self._try_transfer()

    def compact(self, snapshot: m.Snapshot) -> None:
        """Replace the entries that a saved snapshot covers by the snapshot."""
        self._log.compact(snapshot.index, snapshot.members)
        self._snapshot = snapshot

    def step(self, message: m.AnyMessage, now: float) -> None:
        """Process one message; messages for another cluster or replica are dropped."""
        self._now = max(now, self._now)
        if message.cluster != self._cluster or message.target != self._id:
            return
        if message.term > self._term and not self._ignores_term(message):
            leader = message.sender if isinstance(message, m.Append | m.InstallSnapshot) else None
            self._become_follower(message.term, leader)
        match message:
            case m.VoteRequest():
                self._on_vote_request(message)
            case m.VoteReply():
                self._on_vote_reply(message)
            case m.Append():
                self._on_append(message)
            case m.AppendReply():
                self._on_append_reply(message)
            case m.InstallSnapshot():
                self._on_install_snapshot(message)
            case m.TimeoutNow():
                if message.term == self._term and self._members.is_voter(self._id):
                    self._campaign(pre=False, transfer=True)

    # Output

    def take(self) -> Ready:
        """Return the pending work; the driver calls `persisted` once it is on disk."""
        hard = m.HardState(self._term, self._vote)
        entries = self._log.slice(self._taken_index + 1, self._log.last_index + 1)
        ready = Ready(
            hard if hard != self._saved_hard_state else None,
            self._install,
            self._truncate,
            entries,
            self._outbox,
            [],
            self._ready_reads,
        )
        self._saved_hard_state = hard
        self._taken_index = self._log.last_index
        self._outbox, self._ready_reads = [], []
        self._install = self._truncate = None
        return ready

    def persisted(self, ready: Ready) -> list[m.Entry]:
        """Record that `ready` is on disk and return the newly committed entries to apply."""
        if ready.entries:
            last = ready.entries[-1]
            if self._log.term_at(last.index) == last.term:
                self._stable = last.index
            if self.is_leader:
                self._advance_commit()
        committed = self._log.slice(self._applied + 1, self._commit + 1)
        self._applied = self._commit
        return committed

    # Leader

    def _require_leader(self) -> None:
        if not self.is_leader:
            raise NotLeaderError(self._leader)

    def _sync_progress(self) -> None:
        ids = {member.id for member in self._members.voters + self._members.learners}
        ids.discard(self._id)
        self._progress = {
            replica: self._progress.get(replica) or Progress(self._log.last_index + 1, self._now)
            for replica in sorted(ids)
        }

    def _append_as_leader(self, kind: m.EntryKind, data: bytes) -> int:
        entry = m.Entry(self._term, self._log.last_index + 1, kind, data)
        self._log.append([entry])
        if kind is m.EntryKind.MEMBERS:
            self._refresh_members()
        self._broadcast()
        return entry.index

    def _refresh_members(self) -> None:
        self._members, self._members_index = self._log.members()
        if self.is_leader:
            self._sync_progress()

    def _tick_leader(self) -> None:
        if self._now >= self._heartbeat_at:
            self._heartbeat_at = self._now + self._timing.heartbeat
            self._broadcast(heartbeat=True)
        if self._transfer and self._now > self._transfer[1]:
            self._transfer = None
        if not self._has_quorum_contact() or not self._is_eligible_leader():
            self._become_follower(self._term, None)

    def _is_eligible_leader(self) -> bool:
        committed = self._members_index <= self._commit
        return self._members.is_voter(self._id) or not committed

    def _has_quorum_contact(self) -> bool:
        cutoff = self._now - 2 * self._timing.election
        return self._count_voters(lambda p: p.acked_at >= cutoff) >= self._members.quorum

    def _count_voters(self, matches) -> int:
        """Count the voters that match a predicate, including this replica if it is a voter."""
        own = int(self._members.is_voter(self._id))
        voters = {member.id for member in self._members.voters}
        return own + sum(matches(p) for replica, p in self._progress.items() if replica in voters)

    def _broadcast(self, heartbeat: bool = False) -> None:
        for replica, progress in self._progress.items():
            self._send_append(replica, progress, heartbeat)

    def _send_append(self, replica: str, progress: Progress, heartbeat: bool = False) -> None:
        stalled = self._now - progress.sent_at >= self._timing.resend
        if progress.next > progress.match + 1 and stalled:
            progress.next = progress.match + 1
        previous = progress.next - 1
        previous_term = self._log.term_at(previous)
        if previous_term is None:
            self._send_snapshot(replica, progress)
            return
        stop = min(self._log.last_index + 1, progress.next + self._timing.batch)
        entries = self._log.slice(progress.next, stop)
        if entries:
            progress.sent_at = self._now
            progress.next = stop
        self._send(
            m.Append(
                **self._envelope(replica),
                previous_index=previous,
                previous_term=previous_term,
                entries=tuple(entries),
                commit=min(self._commit, previous + len(entries)),
                read=self._read_round,
            )
        )

    def _send_snapshot(self, replica: str, progress: Progress) -> None:
        if self._now - progress.snapshot_at < self._timing.election:
            return
        progress.snapshot_at = self._now
        self._send(
            m.InstallSnapshot(
                **self._envelope(replica), snapshot=self._snapshot, read=self._read_round
            )
        )

    def _on_append_reply(self, message: m.AppendReply) -> None:
        progress = self._progress.get(message.sender)
        if not self.is_leader or message.term != self._term or progress is None:
            return
        progress.read = max(progress.read, message.read)
        if message.success:
            progress.acknowledge(message.match, self._now)
            self._advance_commit()
            if progress.next <= self._log.last_index:
                self._send_append(message.sender, progress)
        else:
            progress.reject(message.hint, self._now)
            self._send_append(message.sender, progress)
        self._finish_reads()
        self._try_transfer()

    def _advance_commit(self) -> None:
        voters = [member.id for member in self._members.voters]
        matches = sorted(
            self._stable if replica == self._id else self._progress[replica].match
            for replica in voters
            if replica == self._id or replica in self._progress
        )
        if len(matches) < self._members.quorum:
            return
        candidate = matches[len(voters) - self._members.quorum]
        if candidate > self._commit and self._log.term_at(candidate) == self._term:
            self._commit = candidate
            self._broadcast()
            self._finish_reads()

    def _finish_reads(self) -> None:
        if self._log.term_at(self._commit) != self._term:
            return
        unconfirmed = []
        for round_number, token in self._reads:
            if self._count_voters(lambda p, r=round_number: p.read >= r) >= self._members.quorum:
                self._ready_reads.append((token, self._commit))
            else:
                unconfirmed.append((round_number, token))
        self._reads = unconfirmed

    def _try_transfer(self) -> None:
        if self._transfer is None:
            return
        target = self._transfer[0]
        if self.match_index_of(target) == self._log.last_index:
            self._send(m.TimeoutNow(**self._envelope(target)))

    # Follower

    def _accept_leader(self, message: m.Append | m.InstallSnapshot) -> bool:
        if message.term < self._term:
            self._reply(message, success=False, match=0, hint=self._log.last_index)
            return False
        if self._role is not RaftRole.FOLLOWER or self._leader != message.sender:
            self._become_follower(message.term, message.sender)
        self._leader_contact_at = self._now
        self._reset_election(self._now)
        return True

    def _on_append(self, message: m.Append) -> None:
        if not self._accept_leader(message):
            return
        previous = message.previous_index
        if previous < self._log.first_index - 1:
            self._reply(message, success=True, match=self._log.first_index - 1, hint=0)
            return
        if self._log.term_at(previous) != message.previous_term:
            hint = min(self._log.last_index, self._conflict_hint(previous))
            self._reply(message, success=False, match=0, hint=hint)
            return
        self._append_received(message.entries)
        match = previous + len(message.entries)
        self._commit = max(self._commit, min(message.commit, match))
        self._reply(message, success=True, match=match, hint=0)

    def _conflict_hint(self, previous: int) -> int:
        """Skip the whole conflicting term, so that divergent logs converge in few rounds."""
        term = self._log.term_at(previous)
        index = previous - 1
        while term is not None and index > self._commit and self._log.term_at(index) == term:
            index -= 1
        return max(index, self._commit)

    def _append_received(self, entries: tuple[m.Entry, ...]) -> None:
        for position, entry in enumerate(entries):
            existing_term = self._log.term_at(entry.index)
            if existing_term == entry.term:
                continue
            if existing_term is not None:
                self._log.truncate(entry.index)
                self._record_truncation(entry.index)
            self._log.append(list(entries[position:]))
            self._refresh_members()
            return

    def _record_truncation(self, index: int) -> None:
        if index <= self._taken_index:
            pending = index if self._truncate is None else self._truncate
            self._truncate = min(pending, index)
            self._taken_index = index - 1
            self._stable = min(self._stable, index - 1)

    def _on_install_snapshot(self, message: m.InstallSnapshot) -> None:
        if not self._accept_leader(message):
            return
        snapshot = message.snapshot
        if snapshot.index > self._commit:
            self._log.reset(snapshot.index, snapshot.term, snapshot.members)
            self._commit = self._applied = self._taken_index = self._stable = snapshot.index
            self._install = self._snapshot = snapshot
            self._truncate = None
            self._refresh_members()
        self._reply(message, success=True, match=min(snapshot.index, self._commit), hint=0)

    def _reply(self, message: m.Append | m.InstallSnapshot, **fields) -> None:
        self._send(m.AppendReply(**self._envelope(message.sender), read=message.read, **fields))

    # Messages

    def _envelope(self, target: str, term: int | None = None) -> dict:
        return {
            "cluster": self._cluster,
            "sender": self._id,
            "target": target,
            "term": self._term if term is None else term,
        }

    def _send(self, message: m.AnyMessage) -> None:
        self._outbox.append(message)
