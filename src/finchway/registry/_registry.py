"""The newest heartbeat of each upstream, with the time at which it was heard.

Heartbeats are not committed: each replica passes on what it hears, and an upstream that a new
replica does not know is back within one heartbeat.
"""

from __future__ import annotations

from msgspec import Struct

from finchway.registry._upstream import Registration


class Heard(Struct, frozen=True):
    """A registration, when it was heard (steady clock, seconds), and its place in the order."""

    registration: Registration
    heard_at: float
    order: int


class Registry:
    """Registrations by instance."""

    def __init__(self, forget_after: float) -> None:
        self._forget_after = forget_after
        self._heard: dict[str, Heard] = {}
        self._order = 0

    @property
    def order(self) -> int:
        """The place of the newest heartbeat."""
        return self._order

    def __len__(self) -> int:
        return len(self._heard)

    def record(self, registration: Registration, heard_at: float) -> bool:
        """Take in a heartbeat; one with an older sequence is passed over."""
        held = self._heard.get(registration.instance)
        if held is not None and held.registration.sequence >= registration.sequence:
            return False
        self._order += 1
        self._heard[registration.instance] = Heard(registration, heard_at, self._order)
        return True

    def remove(self, instance: str) -> None:
        """Forget an upstream."""
        self._heard.pop(instance, None)

    def get(self, instance: str) -> Heard | None:
        """Return what was heard last of an upstream."""
        return self._heard.get(instance)

    def all(self) -> list[Heard]:
        """Return everything that is known, in the order in which it was heard."""
        return sorted(self._heard.values(), key=lambda heard: heard.order)

    def since(self, order: int) -> list[Heard]:
        """Return what was heard after a place in the order."""
        return [heard for heard in self.all() if heard.order > order]

    def forget_silent(self, now: float) -> list[str]:
        """Drop the upstreams that have been silent for long; returns their names."""
        oldest = now - self._forget_after
        silent = [name for name, heard in self._heard.items() if heard.heard_at < oldest]
        for name in silent:
            del self._heard[name]
        return silent
