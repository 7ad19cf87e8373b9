"""Validation of resources: each problem is reported with its place, malformed input rejected."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from finchway.exceptions import ResourceError
from finchway.resources import (
    OPERATOR_KINDS,
    Pool,
    Region,
    Resource,
    ResourceStore,
    Service,
    Zone,
    check_references,
    find_dependents,
    parse_document,
    parse_spec,
)
from finchway.transport import AnyBody, Envelope


def places(error) -> list[str]:
    return [finding.place for finding in error.value.findings]


def test_all_problems_of_a_document_are_reported_together():
    documents = [
        {"kind": "pool", "name": "p", "spec": {"service": "s", "upstreams": [{"slots": 0}]}},
        {"kind": "nothing", "name": "x"},
        {"kind": "service", "name": "Bad Name", "spec": {"deadline_ms": "soon", "extra": 1}},
        "text",
    ]
    with pytest.raises(ResourceError) as caught:
        parse_document(documents, "f.yaml")
    assert places(caught) == [
        "f.yaml[0].spec.region",
        "f.yaml[0].spec.upstreams[0].address",
        "f.yaml[0].spec.upstreams[0].zone",
        "f.yaml[0].spec.upstreams[0].slots",
        "f.yaml[1].kind",
        "f.yaml[2].name",
        "f.yaml[2].spec.extra",
        "f.yaml[2].spec.deadline_ms",
        "f.yaml[3]",
    ]


def test_operators_cannot_write_system_kinds():
    with pytest.raises(ResourceError):
        parse_document([{"kind": "share", "name": "s", "spec": {}}], "f")


def test_references_must_exist_and_be_consistent():
    store = ResourceStore(
        [
            Resource("region", "north", Region(), 1, 1),
            Resource("region", "south", Region(), 1, 2),
            Resource("zone", "z", Zone(region="south"), 1, 3),
            Resource("service", "s", Service(), 1, 4),
        ],
        4,
    )
    upstream = {"address": "10.0.0.1:80", "zone": "z"}
    spec = parse_spec(
        "pool", {"service": "s", "region": "north", "upstreams": [upstream, upstream]}
    )
    problems = [str(finding) for finding in check_references("pool", "p", spec, store)]
    assert any("not in region north" in text for text in problems)
    assert any("listed twice" in text for text in problems)
    other = parse_spec("pool", {"service": "s", "region": "south", "upstreams": [upstream]})
    assert not check_references("pool", "q", other, store)
    store.put(Resource("pool", "q", other, 1, 5))
    assert any("belongs to pool/q" in str(f) for f in check_references("pool", "p", spec, store))
    assert {f.place for f in find_dependents("service", "s", store)} == {"pool/q.service"}


def test_a_drain_must_have_an_existing_target():
    store = ResourceStore()
    spec = parse_spec("drain", {"target": "upstream/10.0.0.1:80"})
    assert "no pool has" in str(check_references("drain", "d", spec, store)[0])
    with pytest.raises(ResourceError):
        parse_spec("drain", {"target": "everything"})


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(["service", "region", "upstreams", "address", "zone", "rank", "x"]),
        inner,
        max_size=4,
    ),
    max_leaves=8,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(kind=st.sampled_from(OPERATOR_KINDS), raw=JSON)
def test_any_json_is_converted_or_rejected_with_findings(kind, raw):
    try:
        spec = parse_spec(kind, raw)
    except ResourceError as error:
        assert all(f.place.startswith("spec") and f.problem for f in error.findings)
    else:
        assert msgspec.convert(msgspec.to_builtins(spec), type(spec)) == spec


def test_parse_spec_agrees_with_the_decoder():
    raw = {"service": "s", "region": "r", "upstreams": [{"address": "1.2.3.4:5", "zone": "z"}]}
    assert parse_spec("pool", raw) == msgspec.convert(raw, Pool)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(data=st.binary(max_size=200))
def test_any_bytes_are_decoded_or_rejected_with_an_error(data):
    try:
        envelope = msgspec.msgpack.decode(data, type=Envelope)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return
    assert isinstance(envelope.body, AnyBody)
