"""What goes into the core of the log at its start, and what comes out for its shell."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from finchway.replication import _messages as m


class Timing(Struct, frozen=True):
    """Times of the log in seconds; an election starts after one to two `election` times."""

    heartbeat: float = 0.1
    election: float = 1.0
    resend: float = 0.3
    batch: int = 256


class RoleName(Enum):
    """What a replica is at the moment."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Restored(Struct, frozen=True):
    """What storage gave back at start."""

    hard_state: m.HardState = m.HardState()
    snapshot: m.Snapshot = m.Snapshot(0, 0, m.Members(), b"")
    entries: tuple[m.Entry, ...] = ()


class Ready(Struct):
    """Work for the shell, to be done in the order of the fields."""

    hard_state: m.HardState | None
    snapshot: m.Snapshot | None
    truncate_from: int | None
    entries: list[m.Entry]
    messages: list[m.AnyMessage]
    committed: list[m.Entry]
    reads: list[tuple[int, int]]

    @property
    def must_sync(self) -> bool:
        """Whether anything has to be on disk before the messages go out."""
        return self.hard_state is not None or self.snapshot is not None or bool(self.entries)
