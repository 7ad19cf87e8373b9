"""The records of the replicated log and the messages between its replicas.

Messages may be delayed, duplicated or reordered: each carries the sender's term, and the receiver
checks its log positions before it acts.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class Member(Struct, frozen=True, order=True):
    """A replica: its configured `name` and the `incarnation` of its data folder.

    A replica that lost its data rejoins under the same name with a new incarnation, so it cannot
    vote under an identity whose votes and acknowledgements it has lost.
    """

    name: str
    incarnation: str
    address: str = ""

    @property
    def id(self) -> str:
        """The identity that is used in votes and acknowledgements."""
        return f"{self.name}@{self.incarnation}"


class Members(Struct, frozen=True):
    """The replica set: voters form quorums, learners only receive the log.

    `expected` lists the names of further replicas that may join without an operator's request.
    """

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()
    expected: tuple[str, ...] = ()

    @property
    def quorum(self) -> int:
        """The number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def find(self, replica: str) -> Member | None:
        """Return the voter or learner with this identity, or None."""
        return next((m for m in self.voters + self.learners if m.id == replica), None)

    def is_voter(self, replica: str) -> bool:
        """Whether the replica with this identity is a voter."""
        return any(member.id == replica for member in self.voters)


class EntryKind(Enum):
    """The type of a log entry."""

    COMMAND = 0
    MEMBERS = 1
    NOOP = 2


class Entry(Struct, frozen=True, array_like=True):
    """One log entry; `data` is an encoded command or encoded `Members`."""

    term: int
    index: int
    kind: EntryKind
    data: bytes = b""


class Snapshot(Struct, frozen=True, array_like=True):
    """The encoded state after the entry at `index`, with the replica set at that point."""

    index: int
    term: int
    members: Members
    data: bytes


class HardState(Struct, frozen=True, array_like=True):
    """The term and vote, which must be on disk before a replica sends messages."""

    term: int = 0
    vote: str = ""


class Message(Struct, frozen=True, kw_only=True, tag=True):
    """The base class of all messages between replicas."""

    cluster: str
    sender: str
    target: str
    term: int


class VoteRequest(Message):
    """Request a vote; with `pre`, ask whether the receiver would grant one."""

    pre: bool
    last_index: int
    last_term: int
    transfer: bool = False


class VoteReply(Message):
    """Grant or deny a vote."""

    pre: bool
    granted: bool


class Append(Message):
    """Entries that follow (`previous_index`, `previous_term`); without entries, a heartbeat.

    `read` is the number of the newest read confirmation round; the reply returns it.
    """

    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    read: int


class AppendReply(Message):
    """Acknowledge synced entries up to `match`, or reject with `hint`, the index to retry from."""

    success: bool
    match: int
    hint: int
    read: int


class InstallSnapshot(Message):
    """Send a snapshot to a follower whose next entry has been compacted."""

    snapshot: Snapshot
    read: int


class TimeoutNow(Message):
    """Transfer leadership: the target starts an election immediately."""


AnyMessage = VoteRequest | VoteReply | Append | AppendReply | InstallSnapshot | TimeoutNow
