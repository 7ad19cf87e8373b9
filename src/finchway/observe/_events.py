"""Typed events of a process, ordered across processes by a logical clock.

Events are decisions and changes of state, not requests. Each message between processes carries
the sender's logical clock, so an event always has a larger number than the events that caused it,
independent of the wall clocks.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from enum import Enum

from msgspec import Struct

from finchway._counts import MAX_COUNT

_LOG = logging.getLogger("finchway.events")
MAX_EVENTS = 5_000


class EventKind(Enum):
    """Kind of a decision or change of state."""

    STARTED = "started"
    STOPPING = "stopping"
    STOPPED = "stopped"
    LEADER_CHANGED = "leader-changed"
    REPLICAS_CHANGED = "replicas-changed"
    STORAGE_FAILED = "storage-failed"
    SNAPSHOT_TAKEN = "snapshot-taken"
    RESOURCE_ACCEPTED = "resource-accepted"
    REVISION_APPLIED = "revision-applied"
    INSTANCE_CHANGED = "instance-changed"
    SHARE_CHANGED = "share-changed"
    DRAIN_CHANGED = "drain-changed"
    MOVE_CHANGED = "move-changed"
    LEASE_LOST = "lease-lost"
    LEASE_REGAINED = "lease-regained"
    UPSTREAM_LEAVING = "upstream-leaving"
    UPSTREAM_RESTING = "upstream-resting"
    UPSTREAM_LIMITED = "upstream-limited"
    UPSTREAM_EJECTED = "upstream-ejected"
    UPSTREAM_RETURNED = "upstream-returned"
    REGION_DOWN = "region-down"
    REGION_UP = "region-up"
    CLAIM_UNKNOWN = "claim-unknown"


class Event(Struct, frozen=True):
    """One entry of the timeline; `time_ms` is Unix time, `clock` the logical clock."""

    sequence: int
    clock: int
    time_ms: int
    instance: str
    kind: EventKind
    subject: str
    detail: str = ""


class LogicalClock:
    """A Lamport clock: a counter that is never behind any clock it has witnessed."""

    __slots__ = ("_value",)

    def __init__(self) -> None:
        self._value = 0

    @property
    def value(self) -> int:
        """The current value."""
        return self._value

    def tick(self) -> int:
        """Increment the clock and return the new value."""
        self._value += 1
        return self._value

    def witness(self, other: int) -> None:
        """Advance to the clock of a received message if that is ahead.

        A value that no process can have counted up to is ignored: it would leave no room to count.
        """
        if other <= MAX_COUNT:
            self._value = max(self._value, other)


class Timeline:
    """The most recent events of one process."""

    __slots__ = ("_clock", "_events", "_instance", "_now_ms", "_sequence")

    def __init__(
        self,
        instance: str,
        clock: LogicalClock,
        now_ms: Callable[[], int],
        limit: int = MAX_EVENTS,
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._now_ms = now_ms
        self._sequence = 0
        self._events: deque[Event] = deque(maxlen=limit)

    @property
    def last(self) -> int:
        """The sequence number of the newest event."""
        return self._sequence

    def record(self, kind: EventKind, subject: str, detail: str = "") -> Event:
        """Add an event and log it."""
        self._sequence += 1
        event = Event(
            self._sequence,
            self._clock.tick(),
            self._now_ms(),
            self._instance,
            kind,
            subject,
            detail,
        )
        self._events.append(event)
        _LOG.info("%s %s %s", kind.value, subject, detail)
        return event

    def since(self, sequence: int, limit: int = 500) -> list[Event]:
        """Return up to `limit` retained events after a sequence number."""
        return [event for event in self._events if event.sequence > sequence][:limit]


def merge(streams: list[list[Event]]) -> list[Event]:
    """Merge events of several processes into one order that preserves causality."""
    events = [event for stream in streams for event in stream]
    return sorted(events, key=lambda event: (event.clock, event.time_ms, event.instance))
