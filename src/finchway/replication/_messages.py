"""The records of the replicated log and the messages between its replicas.

All messages are safe when they arrive late, twice or out of order: each carries the term of its
sender, and what it claims about the log is checked against positions.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class Member(Struct, frozen=True, order=True):
    """A replica: `name` is its place, `incarnation` the life of its data folder.

    A replica that lost its data comes back under the same name with another incarnation, so it
    can never vote on the strength of what its earlier life had promised.
    """

    name: str
    incarnation: str
    address: str = ""

    @property
    def id(self) -> str:
        """The identity under which the replica votes and acknowledges."""
        return f"{self.name}@{self.incarnation}"


class Members(Struct, frozen=True):
    """The replica set: voters form quorums, learners only receive the log.

    `expected` names further replicas that may join without another word of an operator.
    """

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()
    expected: tuple[str, ...] = ()

    @property
    def quorum(self) -> int:
        """How many voters make a majority."""
        return len(self.voters) // 2 + 1

    def find(self, replica: str) -> Member | None:
        """Return the member with this identity, voter or learner."""
        return next((m for m in self.voters + self.learners if m.id == replica), None)

    def is_voter(self, replica: str) -> bool:
        """Tell whether this identity has a vote."""
        return any(member.id == replica for member in self.voters)


class EntryKind(Enum):
    """What an entry of the log carries."""

    COMMAND = 0
    MEMBERS = 1
    NOOP = 2


class Entry(Struct, frozen=True, array_like=True):
    """One record of the log; `data` is a command, or encoded `Members`."""

    term: int
    index: int
    kind: EntryKind
    data: bytes = b""


class Snapshot(Struct, frozen=True, array_like=True):
    """The state after `index`, with the replica set in force there."""

    index: int
    term: int
    members: Members
    data: bytes


class HardState(Struct, frozen=True, array_like=True):
    """What a replica must not forget: its term and whom it voted for in it."""

    term: int = 0
    vote: str = ""


class Message(Struct, frozen=True, kw_only=True, tag=True):
    """The base of all messages between replicas."""

    cluster: str
    sender: str
    target: str
    term: int


class VoteRequest(Message):
    """Ask for a vote; a `pre` request only asks whether a vote would be given."""

    pre: bool
    last_index: int
    last_term: int
    transfer: bool = False


class VoteReply(Message):
    """Grant or refuse a vote."""

    pre: bool
    granted: bool


class Append(Message):
    """Entries after (`previous_index`, `previous_term`); with none it is a heartbeat.

    `read` is the newest round of leadership confirmation, which the reply carries back.
    """

    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    read: int


class AppendReply(Message):
    """Acknowledge synced entries up to `match`, or refuse with a `hint` where to retry."""

    success: bool
    match: int
    hint: int
    read: int


class InstallSnapshot(Message):
    """A whole snapshot, for a follower whose next entry has been compacted."""

    snapshot: Snapshot
    read: int


class TimeoutNow(Message):
    """The leader hands over: the target starts an election at once."""


AnyMessage = VoteRequest | VoteReply | Append | AppendReply | InstallSnapshot | TimeoutNow
