"""The traffic catalog: versioned routes, services and limits for callers.

catalog = Catalog()
findings = catalog.check(ChangeItems(now_ms=0, items=[...]))
"""

from finchway.catalog._catalog import Catalog, CatalogEntry
from finchway.catalog._check import check_items, check_values
from finchway.catalog._items import (
    Backend,
    Item,
    ItemKind,
    Limits,
    Route,
    RouteType,
    ServiceSpec,
    Spec,
)

__all__ = [
    "Backend",
    "Catalog",
    "CatalogEntry",
    "Item",
    "ItemKind",
    "Limits",
    "Route",
    "RouteType",
    "ServiceSpec",
    "Spec",
    "check_items",
    "check_values",
]
