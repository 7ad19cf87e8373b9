"""An upstream's registration, and the committed mark that it is draining or gone."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


def incarnation_name(instance: str, born: int) -> str:
    """Return the name of an upstream's incarnation; its id alone without a start time."""
    return f"{instance}@{born}" if born else instance


class UpstreamState(Enum):
    """The state that an upstream reports of itself."""

    READY = "ready"
    DRAINING = "draining"


class MarkKind(Enum):
    """How an incarnation of an upstream leaves; a mark is permanent."""

    DRAINING = "draining"
    GONE = "gone"


class Registration(Struct, frozen=True, kw_only=True):
    """One heartbeat of one incarnation of an upstream.

    `born` is the incarnation's start time in Unix milliseconds by the upstream's clock, or 0 if
    unknown: then the instance alone identifies it. `sequence` grows with every heartbeat of an
    incarnation. `cold_for` is the remaining cold start in seconds, counted from the heartbeat.
    """

    instance: str
    address: str
    service: str
    zone: str
    slots: int
    state: UpstreamState
    sequence: int
    cold_for: float = 0.0
    version: str = ""
    born: int = 0

    @property
    def incarnation(self) -> str:
        """The name of this incarnation."""
        return incarnation_name(self.instance, self.born)

    def has_same_content(self, earlier: Registration) -> bool:
        """Return whether it differs from an earlier heartbeat only in sequence and cold time."""
        return (
            self.born == earlier.born
            and self.state is earlier.state
            and self.address == earlier.address
            and self.slots == earlier.slots
            and self.service == earlier.service
            and self.zone == earlier.zone
            and self.version == earlier.version
        )


class Mark(Struct, frozen=True, array_like=True):
    """The committed mark that an incarnation leaves, with its revision."""

    revision: int
    instance: str
    kind: MarkKind
    born: int = 0

    @property
    def incarnation(self) -> str:
        """The name of the marked incarnation; the id alone stands for all its incarnations."""
        return incarnation_name(self.instance, self.born)
