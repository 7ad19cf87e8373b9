"""What the leader knows of one follower."""

from __future__ import annotations


class Progress:
    """How far a follower has acknowledged, what to send next, and when it last answered."""

    __slots__ = ("acked_at", "match", "next", "read", "sent_at", "snapshot_at")

    def __init__(self, next_index: int, now: float) -> None:
        self.match = 0
        self.next = next_index
        self.read = 0
        self.acked_at = now
        self.sent_at = float("-inf")
        self.snapshot_at = float("-inf")

    def acknowledge(self, match: int, now: float) -> None:
        """Note that the follower holds everything up to `match` on disk."""
        self.match = max(self.match, match)
        self.next = max(self.next, self.match + 1)
        self.acked_at = now

    def refuse(self, hint: int, now: float) -> None:
        """Step back to where the follower says that its log may agree."""
        self.next = max(self.match + 1, min(self.next - 1, hint + 1))
        self.acked_at = now
