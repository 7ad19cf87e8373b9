"""The recent changes of the resources, for watches and for incremental updates of entries."""

from __future__ import annotations

from bisect import bisect_right

from finchway.exceptions import GoneError
from finchway.resources import Change

HISTORY_LIMIT = 4096


class History:
    """A bounded list of changes in the order of their revisions, without gaps."""

    __slots__ = ("_changes", "_compacted", "_limit")

    def __init__(
        self, changes: list[Change] | None = None, compacted: int = 0, limit: int = HISTORY_LIMIT
    ) -> None:
        self._changes = changes if changes is not None else []
        self._compacted = compacted
        self._limit = limit

    @property
    def changes(self) -> list[Change]:
        """The retained changes, oldest first."""
        return self._changes

    @property
    def compacted(self) -> int:
        """The newest revision that is no longer retained."""
        return self._compacted

    def append(self, change: Change) -> None:
        """Add a change; the oldest changes are dropped in batches above the limit."""
        self._changes.append(change)
        if len(self._changes) > self._limit + self._limit // 4:
            self._compacted = self._changes[-self._limit - 1].revision
            del self._changes[: -self._limit]

    def since(self, revision: int, limit: int | None = None) -> list[Change]:
        """Return the changes after `revision`, at most `limit` of them.

        Raises `GoneError` if some of them have been compacted.
        """
        if revision < self._compacted:
            raise GoneError(self._compacted)
        start = bisect_right(self._changes, revision, key=lambda change: change.revision)
        stop = None if limit is None else start + limit
        return self._changes[start:stop]
