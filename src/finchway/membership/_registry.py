"""What the leader knows of the entries: their newest heartbeats and when they came."""

from __future__ import annotations

from msgspec import Struct

from finchway.membership._heartbeat import Heartbeat


class LeaseTiming(Struct, frozen=True):
    """Times of entry leases in seconds.

    An entry sends a heartbeat each `interval` and is confirmed for `lease`; it is silent once
    `lease` and `margin` have passed without one.
    """

    interval: float = 0.2
    lease: float = 3.0
    margin: float = 1.0


class Known(Struct):
    """The newest heartbeat of one entry."""

    heartbeat: Heartbeat
    heard_at: float


class Registry:
    """The entries that the leader has heard since it was elected."""

    __slots__ = ("_entries", "_started", "_timing")

    def __init__(self, timing: LeaseTiming, now: float) -> None:
        self._timing = timing
        self._started = now
        self._entries: dict[str, Known] = {}

    def __iter__(self):
        return iter(self._entries.values())

    def get(self, instance: str) -> Known | None:
        """Return what is known of an entry."""
        return self._entries.get(instance)

    def record(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take in a heartbeat; False if a newer one of the same incarnation was here before."""
        known = self._entries.get(heartbeat.instance)
        if known is not None:
            held = known.heartbeat
            same_life = held.incarnation == heartbeat.incarnation
            if same_life and (held.sequence >= heartbeat.sequence or held.stopped):
                return False
        self._entries[heartbeat.instance] = Known(heartbeat, now)
        return True

    def forget(self, instance: str) -> None:
        """Drop an entry that is gone."""
        self._entries.pop(instance, None)

    def is_silent(self, instance: str, now: float) -> bool:
        """Tell whether an entry's lease is over; a new leader waits one lease before it judges."""
        known = self._entries.get(instance)
        heard_at = known.heard_at if known else self._started
        return now - heard_at > self._timing.lease + self._timing.margin
