"""The adapter's translation, with every finding and its place."""

import msgspec
import pytest
from platform_documents import (
    born_from_deregistration,
    items_from_patch,
    items_to_document,
    registration_from_beat,
)
from platform_settings import load_settings, to_seconds

from finchway.catalog import Backend, Catalog, HeldItem, ItemKind, RouteType
from finchway.exceptions import ResourceError, SettingsError
from finchway.registry import UpstreamState
from tests.adapter import documents


def load(tmp_path, document):
    path = tmp_path / "settings.json"
    path.write_bytes(msgspec.json.encode(document))
    return load_settings(path)


def encode(document):
    return msgspec.json.encode(document)


@pytest.mark.parametrize(("text", "seconds"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)])
def test_times_are_read(text, seconds):
    assert to_seconds(text) == pytest.approx(seconds)


@pytest.mark.parametrize("text", ["5", "5m", "", 5, None, "-1s", "1s "])
def test_other_times_are_refused(text):
    with pytest.raises(ValueError, match="is not a time"):
        to_seconds(text)


def test_settings_of_an_edge_become_a_gateway(tmp_path):
    settings = load(tmp_path, documents.settings())
    product = settings.product_settings()
    assert product.roles == ("gateway",)
    assert product.gateway_address == "10.1.0.34:8548"
    assert product.peer_address == "10.1.0.34:7540"
    assert settings.peer_seeds == ["10.1.0.37:7540", "10.2.0.36:7540", "10.3.0.17:7540"]
    assert product.bounds.repeat_slack == 64
    assert product.bounds.voters == 5
    assert product.bounds.apply_within == 2.0


def test_settings_of_a_core_become_a_founder_only_at_the_first_start(tmp_path):
    document = documents.settings(ip="10.1.0.37", edge=False)
    product = load(tmp_path, document).product_settings()
    assert product.roles == ("control",)
    assert product.instance == "10.1.0.37"
    assert dict(product.founders)["10.2.0.36"] == "10.2.0.36:7540"
    document["self"]["bootstrap"] = False
    assert load(tmp_path, document).product_settings().founders == ()


def test_all_faults_of_settings_are_reported_together_with_their_place(tmp_path):
    document = documents.settings()
    document["network"]["listen"]["front"] = "nowhere"
    document["network"]["seeds"][1] = "10.2.0.36"
    document["terms"]["bounds"]["grace"] = "six"
    document["terms"]["bounds"]["max_shift"] = "much"
    del document["self"]["ip"]
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, document)
    places = {finding.place for finding in caught.value.findings}
    assert places == {
        "network.listen.front",
        "network.seeds[1]",
        "terms.bounds.grace",
        "terms.bounds.max_shift",
        "self.ip",
    }


def test_settings_that_are_no_json_name_their_file(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text("{")
    with pytest.raises(SettingsError, match=r"settings\.json"):
        load_settings(path)


def test_a_change_is_read_whole():
    split = [{"service": "huvo11a", "weight": 90}, {"service": "kafi81c", "weight": 10}]
    entries = (
        documents.route(service=None, backends=split, type="unsafe"),
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


def test_what_is_read_back_is_what_was_sent():
    entries = [documents.service(), documents.route(), documents.LIMITS]
    items = items_from_patch(encode(documents.patch(*entries)))
    catalog = Catalog(HeldItem(1, item) for item in items)
    document = msgspec.json.decode(items_to_document(catalog.standing()))
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
def test_a_malformed_change_is_refused_with_its_place(body, place):
    with pytest.raises(ResourceError) as caught:
        items_from_patch(body)
    assert place in {finding.place for finding in caught.value.findings}


def test_a_heartbeat_is_read():
    beat = documents.beat(state="draining", sequence=4)
    beat["status"]["cold_remaining"] = "2500ms"
    registration = registration_from_beat("i-1", encode(beat))
    assert registration.state is UpstreamState.DRAINING
    assert (registration.sequence, registration.slots, registration.cold_for) == (4, 6, 2.5)


@pytest.mark.parametrize("missing", ["address", "info", "status"])
def test_an_incomplete_heartbeat_is_refused(missing):
    beat = documents.beat()
    del beat[missing]
    with pytest.raises(ResourceError, match=missing):
        registration_from_beat("i-1", encode(beat))


def test_the_start_of_a_worker_is_read_and_tells_its_lives_apart():
    document = documents.beat("10.0.0.1:1", "ready", 3)
    assert registration_from_beat("i-1", encode(document)).born == 0
    registration = registration_from_beat("i-1", encode(document | {"born": 1_787_833_522_241}))
    assert registration.incarnation == "i-1@1787833522241"


@pytest.mark.parametrize("born", [True, 1.5, "1787833522241", -1, 2**60, None, [1]])
def test_a_start_that_is_no_whole_number_of_milliseconds_is_refused(born):
    document = documents.beat("10.0.0.1:1", "ready", 3) | {"born": born}
    with pytest.raises(ResourceError, match="born"):
        registration_from_beat("i-1", encode(document))
    with pytest.raises(ResourceError, match="born"):
        born_from_deregistration(encode({"born": born}))


def test_a_deregistration_may_tell_which_life_ends():
    assert born_from_deregistration(b"") == 0
    assert born_from_deregistration(b"{}") == 0
    assert born_from_deregistration(encode({"born": 5})) == 5
