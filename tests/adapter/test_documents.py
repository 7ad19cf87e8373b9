"""Conversion of the platform's documents, and the findings for invalid ones."""

import msgspec
import pytest
from platform_documents import (
    items_from_patch,
    items_to_document,
    registration_from_heartbeat,
    start_time_from_deregistration,
)
from platform_settings import load_settings, to_seconds

from finchway.catalog import Backend, Catalog, CatalogEntry, ItemKind, RouteType
from finchway.exceptions import ResourceError, SettingsError
from finchway.registry import UpstreamState
from tests.adapter import documents


def load_document(tmp_path, document):
    path = tmp_path / "settings.json"
    path.write_bytes(msgspec.json.encode(document))
    return load_settings(path)


def encode(document):
    return msgspec.json.encode(document)


@pytest.mark.parametrize(("text", "seconds"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)])
def test_durations_are_parsed(text, seconds):
    assert to_seconds(text) == pytest.approx(seconds)


@pytest.mark.parametrize("text", ["5", "5m", "", 5, None, "-1s", "1s "])
def test_invalid_durations_are_rejected(text):
    with pytest.raises(ValueError, match="is not a time"):
        to_seconds(text)


def test_edge_settings_convert_to_a_gateway(tmp_path):
    settings = load_document(tmp_path, documents.settings())
    product = settings.product_settings()
    assert product.roles == ("gateway",)
    assert product.gateway_address == "10.1.0.34:8548"
    assert product.peer_address == "10.1.0.34:7540"
    assert settings.peer_seeds == ["10.1.0.37:7540", "10.2.0.36:7540", "10.3.0.17:7540"]
    assert product.bounds.repeat_slack == 64
    assert product.bounds.voters == 5
    assert product.bounds.apply_within == 2.0


def test_core_settings_convert_to_a_founder_only_at_bootstrap(tmp_path):
    document = documents.settings(ip="10.1.0.37", edge=False)
    product = load_document(tmp_path, document).product_settings()
    assert product.roles == ("control",)
    assert product.instance == "10.1.0.37"
    assert dict(product.founders)["10.2.0.36"] == "10.2.0.36:7540"
    document["self"]["bootstrap"] = False
    assert load_document(tmp_path, document).product_settings().founders == ()


@pytest.mark.parametrize(
    ("limits", "expected"),
    [
        ({"memory_mb": 200, "max_fds": 4100}, (200, 4100)),
        ({"memory_mb": 200.5, "max_fds": 0}, (200, 4096)),
        ({}, (300, 4096)),
    ],
)
def test_the_machine_limits_what_clients_may_hold(tmp_path, limits, expected):
    settings = load_document(tmp_path, documents.settings(limits=limits)).product_settings()
    assert (settings.memory_mb, settings.max_descriptors) == expected


def test_all_settings_errors_are_reported_with_their_place(tmp_path):
    document = documents.settings()
    document["network"]["listen"]["front"] = "nowhere"
    document["network"]["seeds"][1] = "10.2.0.36"
    document["terms"]["bounds"]["grace"] = "six"
    document["terms"]["bounds"]["max_shift"] = "much"
    del document["self"]["ip"]
    with pytest.raises(SettingsError) as caught:
        load_document(tmp_path, document)
    places = {finding.place for finding in caught.value.findings}
    assert places == {
        "network.listen.front",
        "network.seeds[1]",
        "terms.bounds.grace",
        "terms.bounds.max_shift",
        "self.ip",
    }


def test_settings_error_for_invalid_json_names_the_file(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text("{")
    with pytest.raises(SettingsError, match=r"settings\.json"):
        load_settings(path)


def test_patch_converts_to_items():
    backends = [{"service": "huvo11a", "weight": 90}, {"service": "kafi81c", "weight": 10}]
    entries = (
        documents.route(service=None, backends=backends, type="unsafe"),
        documents.service(),
        documents.service("kafi81c"),
        documents.LIMITS,
    )
    items = items_from_patch(encode(documents.patch(*entries, remove=[("r-old", 9)])))
    kinds = [item.kind for item in items]
    assert kinds == [ItemKind.ROUTE, ItemKind.SERVICE, ItemKind.SERVICE, ItemKind.LIMITS] + [
        ItemKind.ROUTE
    ]
    route = items[0].spec
    assert route.backends == (Backend("huvo11a", 90.0), Backend("kafi81c", 10.0))
    assert route.type is RouteType.UNSAFE
    assert route.timeout == pytest.approx(0.8)
    assert items[-1].name == "r-old"
    assert items[-1].spec is None


def test_items_are_returned_as_they_were_sent():
    entries = [documents.service(), documents.route(), documents.LIMITS]
    items = items_from_patch(encode(documents.patch(*entries)))
    catalog = Catalog(CatalogEntry(1, item) for item in items)
    document = msgspec.json.decode(items_to_document(catalog.active_items()))
    assert sorted(document["resources"], key=str) == sorted(entries, key=str)


@pytest.mark.parametrize(
    ("body", "place"),
    [
        (b'{"upsert":{"resources":[{"reso', "body"),
        (b"[]", "body"),
        (encode(documents.patch(documents.route(type="odd"))), "upsert.resources[0]"),
        (encode(documents.patch(documents.route(timeout="5"))), "upsert.resources[0]"),
        (encode(documents.patch(documents.route(version="7"))), "upsert.resources[0]"),
        (encode(documents.patch(documents.route(host=None))), "upsert.resources[0]"),
        (encode({"remove": {"routes": [{"name": "r"}]}}), "remove.routes[0]"),
        (encode({"upsert": {"resources": {"a": 1}}}), "upsert.resources"),
    ],
)
def test_malformed_patch_is_rejected_with_its_place(body, place):
    with pytest.raises(ResourceError) as caught:
        items_from_patch(body)
    assert place in {finding.place for finding in caught.value.findings}


def test_heartbeat_converts_to_a_registration():
    heartbeat = documents.heartbeat(state="draining", sequence=4)
    heartbeat["status"]["cold_remaining"] = "2500ms"
    registration = registration_from_heartbeat("i-1", encode(heartbeat))
    assert registration.state is UpstreamState.DRAINING
    assert (registration.sequence, registration.slots, registration.cold_for) == (4, 6, 2.5)


@pytest.mark.parametrize("missing", ["address", "info", "status"])
def test_incomplete_heartbeat_is_rejected(missing):
    heartbeat = documents.heartbeat()
    del heartbeat[missing]
    with pytest.raises(ResourceError, match=missing):
        registration_from_heartbeat("i-1", encode(heartbeat))


def test_start_time_distinguishes_incarnations_of_a_worker():
    document = documents.heartbeat("10.0.0.1:1", "ready", 3)
    assert registration_from_heartbeat("i-1", encode(document)).born == 0
    registration = registration_from_heartbeat(
        "i-1", encode(document | {"born": 1_787_833_522_241})
    )
    assert registration.incarnation == "i-1@1787833522241"


@pytest.mark.parametrize("born", [True, 1.5, "1787833522241", -1, 2**60, None, [1]])
def test_start_time_must_be_a_non_negative_integer(born):
    document = documents.heartbeat("10.0.0.1:1", "ready", 3) | {"born": born}
    with pytest.raises(ResourceError, match="born"):
        registration_from_heartbeat("i-1", encode(document))
    with pytest.raises(ResourceError, match="born"):
        start_time_from_deregistration(encode({"born": born}))


def test_deregistration_may_include_the_start_time():
    assert start_time_from_deregistration(b"") == 0
    assert start_time_from_deregistration(b"{}") == 0
    assert start_time_from_deregistration(encode({"born": 5})) == 5
