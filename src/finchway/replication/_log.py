"""The entries of the log that are held in memory, after the newest snapshot."""

from __future__ import annotations

import msgspec

from finchway.replication._messages import Entry, EntryKind, Members


class Log:
    """A contiguous run of entries that starts right after a snapshot.

    Positions are counted from one; the snapshot stands for everything up to `snapshot_index`.
    """

    __slots__ = ("_entries", "_snapshot_index", "_snapshot_members", "_snapshot_term")

    def __init__(
        self, snapshot_index: int, snapshot_term: int, members: Members, entries: list[Entry]
    ) -> None:
        self._snapshot_index = snapshot_index
        self._snapshot_term = snapshot_term
        self._snapshot_members = members
        self._entries = entries

    @property
    def first_index(self) -> int:
        """The index of the first entry that is not covered by the snapshot."""
        return self._snapshot_index + 1

    @property
    def last_index(self) -> int:
        """The index of the newest entry."""
        return self._snapshot_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the newest entry."""
        return self._entries[-1].term if self._entries else self._snapshot_term

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or None where it is compacted or not yet written."""
        if index == self._snapshot_index:
            return self._snapshot_term
        if self.first_index <= index <= self.last_index:
            return self._entries[index - self.first_index].term
        return None

    def slice(self, start: int, stop: int) -> list[Entry]:
        """Return the entries from `start` up to and without `stop`."""
        offset = self.first_index
        return self._entries[start - offset : stop - offset]

    def append(self, entries: list[Entry]) -> None:
        """Add entries right after the last one."""
        self._entries.extend(entries)

    def truncate(self, index: int) -> None:
        """Drop the entry at `index` and all after it."""
        del self._entries[index - self.first_index :]

    def compact(self, index: int, members: Members) -> None:
        """Let a snapshot at `index` stand for the entries up to it."""
        term = self.term_at(index)
        if term is None or index <= self._snapshot_index:
            return
        del self._entries[: index - self._snapshot_index]
        self._snapshot_index, self._snapshot_term = index, term
        self._snapshot_members = members

    def reset(self, index: int, term: int, members: Members) -> None:
        """Start again from an installed snapshot."""
        self._entries = []
        self._snapshot_index, self._snapshot_term = index, term
        self._snapshot_members = members

    def members(self, upto: int | None = None) -> tuple[Members, int]:
        """Return the replica set in force at `upto` (default the end), and where it was set."""
        end = self.last_index if upto is None else upto
        for entry in reversed(self._entries[: end - self._snapshot_index]):
            if entry.kind is EntryKind.MEMBERS:
                return msgspec.msgpack.decode(entry.data, type=Members), entry.index
        return self._snapshot_members, self._snapshot_index
