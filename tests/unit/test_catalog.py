"""The traffic catalog: item versions, atomic changes and route matching."""

import pytest

from finchway.catalog import (
    Backend,
    Catalog,
    CatalogEntry,
    Item,
    ItemKind,
    Limits,
    Route,
    RouteType,
    ServiceSpec,
)
from finchway.state import ChangeItems, Rejected, Steered, Steering, VersionTaken


def route(name="r", version=1, **fields):
    spec = {
        "host": "a.example",
        "path_prefix": "/x/",
        "type": RouteType.SAFE,
        "timeout": 1.0,
        "target_latency": 0.3,
        "backends": (Backend("s", 1.0),),
    } | fields
    return Item(kind=ItemKind.ROUTE, name=name, version=version, spec=Route(**spec))


def service(name="s", version=1):
    return Item(kind=ItemKind.SERVICE, name=name, version=version, spec=ServiceSpec())


def change(*items):
    return ChangeItems(now_ms=0, items=list(items))


def populated_steering():
    steering = Steering()
    assert steering.change_items(change(service(), route())) == Steered(1)
    return steering


def held_route(steering):
    return steering.catalog.get("route/r")


def test_higher_version_wins_and_lower_is_ignored():
    steering = populated_steering()
    assert steering.change_items(change(route(version=5, timeout=2.0))) == Steered(2)
    assert steering.change_items(change(route(version=3, timeout=9.0))) == Steered(2)
    assert held_route(steering).spec.timeout == 2.0


def test_resending_a_change_is_idempotent():
    steering = populated_steering()
    resent = change(service(), route())
    assert steering.change_items(resent) == Steered(1)
    assert steering.change_items(resent) == Steered(1)


def test_same_version_with_other_content_is_refused_atomically():
    steering = populated_steering()
    result = steering.change_items(change(route(timeout=2.0), service("t")))
    assert isinstance(result, VersionTaken)
    assert held_route(steering).spec.timeout == 1.0
    assert steering.catalog.service("t") is None


def test_a_deleted_item_stays_deleted_when_an_older_change_arrives_late():
    steering = populated_steering()
    deletion = Item(kind=ItemKind.ROUTE, name="r", version=9)
    steering.change_items(change(deletion))
    steering.change_items(change(route(version=8)))
    assert steering.catalog.match("a.example", "/x/1") is None


@pytest.mark.parametrize(
    ("fields", "place"),
    [
        ({"backends": (Backend("missing", 1.0),)}, "backends"),
        ({"backends": (Backend("s", 0.0),)}, "backends"),
        ({"timeout": 601.0}, "timeout"),
        ({"timeout": 0.0}, "timeout"),
        ({"target_latency": 61.0}, "target_latency"),
        ({"path_prefix": "/x"}, "path_prefix"),
    ],
)
def test_an_invalid_change_is_refused_atomically(fields, place):
    steering = populated_steering()
    result = steering.change_items(change(service("t"), route(version=2, **fields)))
    assert isinstance(result, Rejected)
    assert any(place in found_place for found_place, _ in result.findings)
    assert steering.catalog.service("t") is None
    assert steering.revision == 1


def test_a_route_may_refer_to_a_service_of_the_same_change():
    steering = Steering()
    assert isinstance(steering.change_items(change(route(), service())), Steered)


def test_longest_prefix_of_the_host_wins():
    items = [
        route("short", path_prefix="/a/"),
        route("long", path_prefix="/a/b/"),
        route("other", host="b.example", path_prefix="/a/b/c/"),
    ]
    catalog = Catalog(CatalogEntry(1, item) for item in items)
    assert catalog.match("A.example", "/a/b/c/d")[0] == "long"
    assert catalog.match("a.example", "/a/x")[0] == "short"
    assert catalog.match("a.example", "/") is None


def test_limits_are_those_of_the_newest_item():
    catalog = Catalog()
    assert catalog.limits == Limits()
    newest = Limits(header_bytes=1, body_bytes=2, header_timeout=3.0, idle_timeout=4.0)
    catalog.put(CatalogEntry(1, Item(kind=ItemKind.LIMITS, name="limits", version=1, spec=newest)))
    assert catalog.limits == newest
