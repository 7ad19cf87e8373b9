"""The catalog in force: the highest version of each item, and route matching."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from finchway.catalog._check import check_items
from finchway.catalog._items import Item, ItemKind, Limits, Route, ServiceSpec
from finchway.exceptions import Finding

_DEFAULT_LIMITS = Limits()


class CatalogEntry(Struct, frozen=True, array_like=True):
    """An item and the revision of the steering state that introduced it."""

    revision: int
    item: Item


class Catalog:
    """Items by key; the highest version of each wins, equal and older ones are ignored."""

    def __init__(self, entries: Iterable[CatalogEntry] = ()) -> None:
        self._entries: dict[str, CatalogEntry] = {entry.item.key: entry for entry in entries}
        self._routes_by_host: dict[str, list[tuple[str, Item]]] | None = None
        self._limits: Limits | None = None

    @property
    def entries(self) -> list[CatalogEntry]:
        """All items, including deleted ones, sorted by key."""
        return [self._entries[key] for key in sorted(self._entries)]

    @property
    def is_empty(self) -> bool:
        """Whether the catalog has never held an item."""
        return not self._entries

    @property
    def limits(self) -> Limits:
        """The limits for callers in force."""
        if self._limits is None:
            specs = (entry.item.spec for entry in self._entries.values())
            found = (spec for spec in specs if isinstance(spec, Limits))
            self._limits = next(found, _DEFAULT_LIMITS)
        return self._limits

    def active_items(self) -> list[Item]:
        """Return the items that are not deleted, sorted by key."""
        return [entry.item for entry in self.entries if entry.item.spec is not None]

    def service(self, name: str) -> ServiceSpec | None:
        """Return the spec of a service, or None if it is unknown or deleted."""
        entry = self._entries.get(f"{ItemKind.SERVICE.value}/{name}")
        spec = entry.item.spec if entry else None
        return spec if isinstance(spec, ServiceSpec) else None

    def get(self, key: str) -> Item | None:
        """Return the item with a key, deleted or not."""
        entry = self._entries.get(key)
        return entry.item if entry else None

    def check(self, items: list[Item]) -> list[Finding]:
        """Validate a change as a whole against the current catalog."""
        services = {
            entry.item.name
            for entry in self._entries.values()
            if entry.item.kind is ItemKind.SERVICE and entry.item.spec is not None
        }
        for item in items:
            if item.kind is ItemKind.SERVICE and item.spec is not None:
                services.add(item.name)
        return check_items(items, services)

    def conflicts(self, items: list[Item]) -> list[Item]:
        """Return the existing items that have the same version as a given one but another spec."""
        return [
            entry.item
            for item in items
            if (entry := self._entries.get(item.key)) is not None
            and entry.item.version == item.version
            and entry.item.spec != item.spec
        ]

    def newer(self, items: list[Item]) -> list[Item]:
        """Return the items newer than the existing ones; of each key only the highest version."""
        highest: dict[str, Item] = {}
        for item in items:
            entry = self._entries.get(item.key)
            version = entry.item.version if entry else -1
            if item.key in highest:
                version = max(version, highest[item.key].version)
            if item.version > version:
                highest[item.key] = item
        return list(highest.values())

    def put(self, entry: CatalogEntry) -> bool:
        """Store an item unless its version is not newer; return whether it was stored."""
        existing = self._entries.get(entry.item.key)
        if existing is not None and existing.item.version >= entry.item.version:
            return False
        self._entries[entry.item.key] = entry
        self._routes_by_host = None
        self._limits = None
        return True

    def match(self, host: str, path: str) -> tuple[str, Route] | None:
        """Return the name and spec of the route with the longest prefix of `path`."""
        if self._routes_by_host is None:
            self._routes_by_host = self._index_routes()
        for prefix, item in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(prefix):
                return item.name, item.spec
        return None

    def routes_of_host(self, host: str) -> list[Route]:
        """Return the routes of a host, longest prefix first."""
        if self._routes_by_host is None:
            self._routes_by_host = self._index_routes()
        return [item.spec for _, item in self._routes_by_host.get(host.lower(), ())]

    def _index_routes(self) -> dict[str, list[tuple[str, Item]]]:
        index: dict[str, list[tuple[str, Item]]] = {}
        for item in self.active_items():
            if isinstance(item.spec, Route):
                index.setdefault(item.spec.host.lower(), []).append((item.spec.path_prefix, item))
        for routes in index.values():
            routes.sort(key=lambda pair: (-len(pair[0]), -pair[1].version, pair[1].name))
        return index
