"""The latest heartbeat of each entry and the time when the leader received it."""

from __future__ import annotations

from msgspec import Struct

from finchway.membership._heartbeat import Heartbeat


class LeaseTiming(Struct, frozen=True):
    """Lease timing of entries in seconds.

    An entry sends a heartbeat every `interval` and holds its lease for `lease`. It is silent after
    `lease` plus `margin`, a margin for clock drift, without a heartbeat.
    """

    interval: float = 0.2
    lease: float = 3.0
    margin: float = 1.0


class LatestHeartbeat(Struct):
    """The latest heartbeat of one entry."""

    heartbeat: Heartbeat
    received_at: float


class HeartbeatRegistry:
    """The heartbeats that the leader has received since its election."""

    __slots__ = ("_entries", "_started", "_timing")

    def __init__(self, timing: LeaseTiming, now: float) -> None:
        self._timing = timing
        self._started = now
        self._entries: dict[str, LatestHeartbeat] = {}

    def __iter__(self):
        return iter(self._entries.values())

    def get(self, instance: str) -> LatestHeartbeat | None:
        """Return the latest heartbeat of an entry, or None."""
        return self._entries.get(instance)

    def record(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; returns False if it is outdated within its incarnation."""
        latest = self._entries.get(heartbeat.instance)
        if latest is not None:
            current = latest.heartbeat
            same_incarnation = current.incarnation == heartbeat.incarnation
            if same_incarnation and (current.sequence >= heartbeat.sequence or current.stopped):
                return False
        self._entries[heartbeat.instance] = LatestHeartbeat(heartbeat, now)
        return True

    def forget(self, instance: str) -> None:
        """Remove an entry that has terminated."""
        self._entries.pop(instance, None)

    def is_silent(self, instance: str, now: float) -> bool:
        """Whether the lease of an entry has expired.

        Without a heartbeat, the lease counts from the leader's election.
        """
        latest = self._entries.get(instance)
        last_contact_at = latest.received_at if latest else self._started
        return now - last_contact_at > self._timing.lease + self._timing.margin
