"""The in-memory log entries that follow the newest snapshot."""

from __future__ import annotations

import msgspec

from finchway.replication._messages import Entry, EntryKind, Members


class Log:
    """A contiguous sequence of entries that starts right after a snapshot.

    Indexes start at 1. The snapshot covers all entries up to and including its index.
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
        """The index of the first entry after the snapshot."""
        return self._snapshot_index + 1

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self._snapshot_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self._snapshot_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it was compacted or does not exist yet."""
        if index == self._snapshot_index:
            return self._snapshot_term
        if self.first_index <= index <= self.last_index:
            return self._entries[index - self.first_index].term
        return None

    def slice(self, start: int, stop: int) -> list[Entry]:
        """Return the entries from `start` up to but not including `stop`."""
        offset = self.first_index
        return self._entries[start - offset : stop - offset]

    def append(self, entries: list[Entry]) -> None:
        """Append entries, whose indexes must follow the last one."""
        self._entries.extend(entries)

    def truncate(self, index: int) -> None:
        """Drop the entry at `index` and all later ones."""
        del self._entries[index - self.first_index :]

    def compact(self, index: int, members: Members) -> None:
        """Drop the entries up to `index`, which a snapshot covers."""
        term = self.term_at(index)
        if term is None or index <= self._snapshot_index:
            return
        del self._entries[: index - self._snapshot_index]
        self._snapshot_index, self._snapshot_term = index, term
        self._snapshot_members = members

    def reset(self, index: int, term: int, members: Members) -> None:
        """Replace the whole log by an installed snapshot."""
        self._entries = []
        self._snapshot_index, self._snapshot_term = index, term
        self._snapshot_members = members

    def members(self, upto: int | None = None) -> tuple[Members, int]:
        """Return the replica set at `upto` (default: the last entry) and the index that set it."""
        end = self.last_index if upto is None else upto
        for entry in reversed(self._entries[: end - self._snapshot_index]):
            if entry.kind is EntryKind.MEMBERS:
                return msgspec.msgpack.decode(entry.data, type=Members), entry.index
        return self._snapshot_members, self._snapshot_index
