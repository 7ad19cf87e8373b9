"""Malformed documents: wrong types, huge numbers, deep nesting.

Conversion may raise only `ResourceError`, and what it accepts must be encodable for the feed.
"""

import copy

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_documents import (
    items_from_patch,
    registration_from_heartbeat,
    start_time_from_deregistration,
)

from finchway.exceptions import ResourceError
from finchway.feed import UpstreamHeartbeat
from finchway.registry import check_registration
from tests.adapter import documents

DEEPLY_NESTED = b"[" * 100_000
ARBITRARY_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**30, -1, 0, 2**63, 1.5, 1e308, "", "x", "²", "9" * 5_000, "1e9s"])
    | st.text(max_size=20),
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(st.text(max_size=9), children),
    max_leaves=6,
)


def value_paths(document, path=()):
    """Return the paths of all values in a document."""
    found = [path]
    entries = ()
    if isinstance(document, dict):
        entries = document.items()
    elif isinstance(document, list):
        entries = enumerate(document)
    for key, value in entries:
        found += value_paths(value, (*path, key))
    return found


def with_value(document, path, value):
    """Return a copy with the value at a path replaced, or removed if it is `KeyError`."""
    if not path:
        return value
    result = copy.deepcopy(document)
    parent = result
    for key in path[:-1]:
        parent = parent[key]
    if value is KeyError and isinstance(parent, dict):
        del parent[path[-1]]
    else:
        parent[path[-1]] = None if value is KeyError else value
    return result


def mutations(document):
    """Return a strategy for copies of the document with one or two values replaced."""
    change = st.tuples(
        st.sampled_from(value_paths(document)[1:]), ARBITRARY_VALUES | st.just(KeyError)
    )

    def apply(changes):
        result = document
        for path, value in changes:
            try:
                result = with_value(result, path, value)
            except (KeyError, IndexError, TypeError):
                continue
        return result

    return st.lists(change, min_size=1, max_size=2).map(apply)


HEARTBEAT = documents.heartbeat("10.0.0.1:80", "ready", 3) | {"born": 1_787_833_522_241}
PATCH = documents.patch(documents.service(), documents.route(), documents.LIMITS)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(mutations(HEARTBEAT))
def test_heartbeat_is_rejected_or_can_be_encoded(document):
    try:
        registration = registration_from_heartbeat("i-1", msgspec.json.encode(document))
    except ResourceError:
        return
    if not check_registration(registration):
        msgspec.msgpack.encode(UpstreamHeartbeat(registration, 0.0))


@settings(max_examples=400, deadline=None, derandomize=True)
@given(mutations(PATCH))
def test_patch_is_rejected_or_can_be_encoded(document):
    try:
        items = items_from_patch(msgspec.json.encode(document))
    except ResourceError:
        return
    msgspec.msgpack.encode(items)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=60) | ARBITRARY_VALUES.map(msgspec.json.encode))
def test_arbitrary_bytes_are_rejected_or_read(data):
    for read in (
        lambda: registration_from_heartbeat("i-1", data),
        lambda: items_from_patch(data),
        lambda: start_time_from_deregistration(data),
    ):
        try:
            read()
        except ResourceError:
            continue


def test_malformed_bodies_are_rejected():
    for data in (DEEPLY_NESTED, b'{"a":' * 50_000, b"\xff", b"null", b"3"):
        with pytest.raises(ResourceError):
            registration_from_heartbeat("i-1", data)
        with pytest.raises(ResourceError):
            items_from_patch(data)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        (("info", "slots"), 0),
        (("info", "slots"), -1),
        (("info", "slots"), True),
        (("info", "slots"), 1.5),
        (("info", "slots"), 10**30),
        (("info", "slots"), "4"),
        (("info", "version"), ["v1"]),
        (("info", "zone"), ""),
        (("info", "service"), "x" * 1_000),
        (("status", "sequence"), -1),
        (("status", "sequence"), 2**70),
        (("status", "state"), "resting"),
        (("status", "cold_remaining"), "9" * 400 + "s"),
        (("status", "cold_remaining"), "9999999s"),
        (("address",), "x"),
        (("address",), "10.0.0.1"),
        (("address",), "10.0.0.999:80"),
        (("address",), "10.0.0.1:99999"),
    ],
)
def test_heartbeat_with_invalid_field_is_rejected_naming_the_field(field, value):
    data = msgspec.json.encode(with_value(HEARTBEAT, field, value))
    with pytest.raises(ResourceError) as caught:
        registration = registration_from_heartbeat("i-1", data)
        findings = check_registration(registration)
        if findings:
            raise ResourceError(findings, "heartbeat")
    assert field[-1].partition("_")[0] in str(caught.value)
