"""The catalog as it stands: the highest version of each item, and the route of a request."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from finchway.catalog._check import check_items
from finchway.catalog._items import Item, ItemKind, Limits, Route, ServiceSpec
from finchway.exceptions import Finding

_DEFAULT_LIMITS = Limits()


class HeldItem(Struct, frozen=True, array_like=True):
    """An item and the revision of the steering state that brought it."""

    revision: int
    item: Item


class Catalog:
    """Items by key; the highest version of each wins, equal and older ones change nothing."""

    def __init__(self, held: Iterable[HeldItem] = ()) -> None:
        self._held: dict[str, HeldItem] = {h.item.key: h for h in held}
        self._by_host: dict[str, list[tuple[str, Item]]] | None = None

    @property
    def held(self) -> list[HeldItem]:
        """All items, the dropped ones too, in the order of their keys."""
        return [self._held[key] for key in sorted(self._held)]

    @property
    def is_empty(self) -> bool:
        """Whether no item has ever been set."""
        return not self._held

    @property
    def limits(self) -> Limits:
        """The callers' limits in force."""
        for held in self._held.values():
            if isinstance(held.item.spec, Limits):
                return held.item.spec
        return _DEFAULT_LIMITS

    def standing(self) -> list[Item]:
        """Return the items that are not dropped, in the order of their keys."""
        return [held.item for held in self.held if held.item.spec is not None]

    def service(self, name: str) -> ServiceSpec | None:
        """Return the description of a service, if it stands."""
        held = self._held.get(f"{ItemKind.SERVICE.value}/{name}")
        spec = held.item.spec if held else None
        return spec if isinstance(spec, ServiceSpec) else None

    def get(self, key: str) -> Item | None:
        """Return the item held under a key, dropped or not."""
        held = self._held.get(key)
        return held.item if held else None

    def check(self, items: list[Item]) -> list[Finding]:
        """Return what is wrong with a change as a whole, against the catalog as it stands."""
        services = {
            held.item.name
            for held in self._held.values()
            if held.item.kind is ItemKind.SERVICE and held.item.spec is not None
        }
        for item in items:
            if item.kind is ItemKind.SERVICE and item.spec is not None:
                services.add(item.name)
        return check_items(items, services)

    def conflicts(self, items: list[Item]) -> list[Item]:
        """Return the held items that carry the version of a given one with other content."""
        return [
            held.item
            for item in items
            if (held := self._held.get(item.key)) is not None
            and held.item.version == item.version
            and held.item.spec != item.spec
        ]

    def newer(self, items: list[Item]) -> list[Item]:
        """Return the items whose version is above the one held; the highest of each key."""
        best: dict[str, Item] = {}
        for item in items:
            held = self._held.get(item.key)
            version = held.item.version if held else -1
            if item.key in best:
                version = max(version, best[item.key].version)
            if item.version > version:
                best[item.key] = item
        return list(best.values())

    def put(self, held: HeldItem) -> bool:
        """Hold an item unless a version at least as high is held; tell whether it was taken."""
        old = self._held.get(held.item.key)
        if old is not None and old.item.version >= held.item.version:
            return False
        self._held[held.item.key] = held
        self._by_host = None
        return True

    def match(self, host: str, path: str) -> tuple[str, Route] | None:
        """Return the name and spec of the route with the longest prefix of `path`."""
        if self._by_host is None:
            self._by_host = self._index()
        for prefix, item in self._by_host.get(host.lower(), ()):
            if path.startswith(prefix):
                return item.name, item.spec
        return None

    def routes_of_host(self, host: str) -> list[Route]:
        """Return the routes of a host, the longest prefix first."""
        if self._by_host is None:
            self._by_host = self._index()
        return [item.spec for _, item in self._by_host.get(host.lower(), ())]

    def _index(self) -> dict[str, list[tuple[str, Item]]]:
        index: dict[str, list[tuple[str, Item]]] = {}
        for item in self.standing():
            if isinstance(item.spec, Route):
                index.setdefault(item.spec.host.lower(), []).append((item.spec.path_prefix, item))
        for routes in index.values():
            routes.sort(key=lambda pair: (-len(pair[0]), -pair[1].version, pair[1].name))
        return index
