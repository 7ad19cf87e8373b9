"""The incarnations of upstreams that have announced in a response that they are leaving."""

from __future__ import annotations

# Limit on stored incarnations; the oldest one is dropped first.
MAX_LEAVING = 4_096


class LeavingIncarnations:
    """Set of incarnations that accept no new requests, even if reported as ready.

    A leaving mark is final for its incarnation, also while no control replica is reachable.
    """

    def __init__(self) -> None:
        self._incarnations: dict[str, None] = {}

    def __contains__(self, incarnation: str) -> bool:
        return incarnation in self._incarnations

    def add(self, incarnation: str) -> bool:
        """Mark an incarnation as leaving; True if it was not marked."""
        if incarnation in self._incarnations:
            return False
        if len(self._incarnations) >= MAX_LEAVING:
            del self._incarnations[next(iter(self._incarnations))]
        self._incarnations[incarnation] = None
        return True
