"""What an upstream says of itself, and what is known of its leaving."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


def name_life(instance: str, born: int) -> str:
    """Return the name of one life of an upstream; its id alone if it does not tell its start."""
    return f"{instance}@{born}" if born else instance


class UpstreamState(Enum):
    """What an upstream says of itself."""

    READY = "ready"
    DRAINING = "draining"


class MarkKind(Enum):
    """How a life of an upstream leaves; both stick to it for good."""

    DRAINING = "draining"
    GONE = "gone"


class Registration(Struct, frozen=True, kw_only=True):
    """One heartbeat of one life of an upstream.

    `born` is when this life started, in Unix milliseconds by the upstream's own clock, 0 if it does
    not say so: then its instance alone stands for its life. `sequence` grows with every heartbeat
    of a life. `cold_for` is in seconds, counted from the heartbeat.
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
    def life(self) -> str:
        """The name of this one start of the upstream."""
        return name_life(self.instance, self.born)

    def says_same(self, earlier: Registration) -> bool:
        """Tell whether it differs from an earlier heartbeat only in what time changes."""
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
    """The committed word that a life leaves, and the revision that brought it."""

    revision: int
    instance: str
    kind: MarkKind
    born: int = 0

    @property
    def life(self) -> str:
        """The name of the life that leaves; without word of its start, all lives of the id."""
        return name_life(self.instance, self.born)
