"""The platform's list of live and leaving instances. It lags, and it may flip."""

from __future__ import annotations

from msgspec import Struct


class PlatformList(Struct, frozen=True, kw_only=True):
    """One answer of the platform: addresses (`IP:port`) or names of instances.

    `as_of_ms` is when the platform made the list; it can be older than the answer.
    """

    live: list[str] = []
    leaving: list[str] = []
    as_of_ms: int = 0


class PlatformView:
    """What the platform has said so far.

    A leaving mark sticks until the platform has left the instance out of a list and then shown it
    as live, so a list that lags or flips takes no mark back. An instance is absent only after
    several lists without it.
    """

    __slots__ = ("_absent", "_known", "_leaving", "_newest_ms")

    LISTS_TO_BE_ABSENT = 3

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
        """Take in a list; one made before the newest one seen is passed over."""
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
        """Tell whether the platform once listed an instance and has stopped doing so."""
        return name in self._known and self._is_absent(name)

    def _is_absent(self, name: str) -> bool:
        return self._absent.get(name, 0) >= self.LISTS_TO_BE_ABSENT
