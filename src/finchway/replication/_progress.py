"""The replication progress of a follower, tracked by the leader."""

from __future__ import annotations


class Progress:
    """Indexes and times of one follower.

    `match` is the highest acknowledged index, `next` the next index to send, `read` the newest
    confirmed read round. Times are in seconds.
    """

    __slots__ = ("acked_at", "match", "next", "read", "sent_at", "snapshot_at")

    def __init__(self, next_index: int, now: float) -> None:
        self.match = 0
        self.next = next_index
        self.read = 0
        self.acked_at = now
        self.sent_at = float("-inf")
        self.snapshot_at = float("-inf")

    def acknowledge(self, match: int, now: float) -> None:
        """Record that the follower has synced all entries up to `match`."""
        self.match = max(self.match, match)
        self.next = max(self.next, self.match + 1)
        self.acked_at = now

    def reject(self, hint: int, now: float) -> None:
        """Move `next` back to the index that follows the follower's hint."""
        self.next = max(self.match + 1, min(self.next - 1, hint + 1))
        self.acked_at = now
