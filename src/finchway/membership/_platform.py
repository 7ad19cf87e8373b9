"""The platform's list of live and leaving instances, which may be stale or out of order."""

from __future__ import annotations

from msgspec import Struct


class PlatformList(Struct, frozen=True, kw_only=True):
    """A list from the platform, with the addresses (`IP:port`) or names of instances.

    `as_of_ms` is the time at which the platform created the list, which may be before it was sent.
    """

    live: list[str] = []
    leaving: list[str] = []
    as_of_ms: int = 0


class PlatformView:
    """The state of the instances, derived from the platform's lists.

    An instance is absent after `ABSENT_AFTER_LISTS` consecutive lists without it. A leaving mark is
    removed only when the instance has been absent and is listed as live again, so stale lists do
    not remove it.
    """

    __slots__ = ("_absent", "_known", "_leaving", "_newest_ms")

    ABSENT_AFTER_LISTS = 3

    def __init__(self) -> None:
        self._known: set[str] = set()
        self._leaving: set[str] = set()
        self._absent: dict[str, int] = {}
        self._newest_ms = -1

    @property
    def leaving(self) -> frozenset[str]:
        """The instances that are leaving, by name or address."""
        return frozenset(self._leaving)

    def record(self, listing: PlatformList) -> None:
        """Apply a list; a list older than the newest one seen is ignored."""
        if listing.as_of_ms < self._newest_ms:
            return
        self._newest_ms = listing.as_of_ms
        present = {*listing.live, *listing.leaving}
        for name in self._known - present:
            self._absent[name] = self._absent.get(name, 0) + 1
        for name in listing.live:
            if self._is_absent(name):
                self._leaving.discard(name)
        for name in present:
            self._absent.pop(name, None)
        self._known |= present
        self._leaving |= set(listing.leaving)

    def is_gone(self, name: str) -> bool:
        """Whether an instance was listed before and is now absent."""
        return name in self._known and self._is_absent(name)

    def _is_absent(self, name: str) -> bool:
        return self._absent.get(name, 0) >= self.ABSENT_AFTER_LISTS
