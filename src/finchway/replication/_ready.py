"""Input and output types of the Raft core."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from finchway.replication import _messages as m


class Timing(Struct, frozen=True):
    """Timeouts in seconds, and the maximum number of entries per message as `batch`.

    An election starts after a random time of one to two times `election`.
    """

    heartbeat: float = 0.1
    election: float = 1.0
    resend: float = 0.3
    batch: int = 256


class RaftRole(Enum):
    """The Raft role of a replica."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Restored(Struct, frozen=True):
    """The state that storage has read at start."""

    hard_state: m.HardState = m.HardState()
    snapshot: m.Snapshot = m.Snapshot(0, 0, m.Members(), b"")
    entries: tuple[m.Entry, ...] = ()


class Ready(Struct):
    """Work for the driver of the core, to be done in the order of the fields."""

    hard_state: m.HardState | None
    snapshot: m.Snapshot | None
    truncate_from: int | None
    entries: list[m.Entry]
    messages: list[m.AnyMessage]
    committed: list[m.Entry]
    reads: list[tuple[int, int]]

    @property
    def must_sync(self) -> bool:
        """Whether data has to be synced before the messages are sent."""
        return self.hard_state is not None or self.snapshot is not None or bool(self.entries)
