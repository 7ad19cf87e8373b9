"""What an upstream says of itself, and what is known of its leaving."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class UpstreamState(Enum):
    """What an upstream says of itself."""

    READY = "ready"
    DRAINING = "draining"


class MarkKind(Enum):
    """How an incarnation of an upstream leaves; both stick for good."""

    DRAINING = "draining"
    GONE = "gone"


class Registration(Struct, frozen=True, kw_only=True):
    """One heartbeat of one incarnation of an upstream.

    `sequence` grows with every heartbeat. `cold_for` is in seconds, counted from the heartbeat.
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

    @property
    def life(self) -> str:
        """The name of this one start of the upstream."""
        return self.instance

    def says_same(self, earlier: Registration) -> bool:
        """Tell whether it differs from an earlier heartbeat only in what time changes."""
        return (
            self.state is earlier.state
            and self.address == earlier.address
            and self.slots == earlier.slots
            and self.service == earlier.service
            and self.zone == earlier.zone
            and self.version == earlier.version
        )


class Mark(Struct, frozen=True, array_like=True):
    """The committed word that an incarnation leaves, and the revision that brought it."""

    revision: int
    instance: str
    kind: MarkKind
