"""Words that another writer sends: of any type, any size, any depth.

Heartbeats and calls that no program of ours would send ended calls without an answer, or were taken
and could not be passed on: 100,000 nested brackets raised `RecursionError`, `slots` of 10**30 was
kept and the feed to gateways could not be encoded any more, and an operator's call whose `remove`
is a list raised `AttributeError`. Only the typed error may come out, and what comes in must be fit
to be passed on.
"""

import copy

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_documents import born_from_deregistration, items_from_patch, registration_from_beat

from finchway.exceptions import ResourceError
from finchway.feed import UpstreamHeartbeat
from finchway.registry import check_registration
from tests.adapter import documents

NESTED = b"[" * 100_000
ODD = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**30, -1, 0, 2**63, 1.5, 1e308, "", "x", "²", "9" * 5_000, "1e9s"])
    | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=9), inner),
    max_leaves=6,
)


def places(document, path=()):
    """Return the paths of all values in a document."""
    found = [path]
    entries = ()
    if isinstance(document, dict):
        entries = document.items()
    elif isinstance(document, list):
        entries = enumerate(document)
    for key, value in entries:
        found += places(value, (*path, key))
    return found


def changed(document, path, value):
    """Return a copy with another value at a place, or without it."""
    if not path:
        return value
    made = copy.deepcopy(document)
    holder = made
    for key in path[:-1]:
        holder = holder[key]
    if value is KeyError and isinstance(holder, dict):
        del holder[path[-1]]
    else:
        holder[path[-1]] = None if value is KeyError else value
    return made


def mutations(document):
    """Return a strategy of the document with one or two places changed."""
    change = st.tuples(st.sampled_from(places(document)[1:]), ODD | st.just(KeyError))

    def apply(changes):
        made = document
        for path, value in changes:
            try:
                made = changed(made, path, value)
            except (KeyError, IndexError, TypeError):
                continue
        return made

    return st.lists(change, min_size=1, max_size=2).map(apply)


BEAT = documents.beat("10.0.0.1:80", "ready", 3) | {"born": 1_787_833_522_241}
PATCH = documents.patch(documents.service(), documents.route(), documents.LIMITS)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(mutations(BEAT))
def test_a_heartbeat_is_refused_or_fit_to_be_passed_on(document):
    try:
        registration = registration_from_beat("i-1", msgspec.json.encode(document))
    except ResourceError:
        return
    if not check_registration(registration):
        msgspec.msgpack.encode(UpstreamHeartbeat(registration, 0.0))


@settings(max_examples=400, deadline=None, derandomize=True)
@given(mutations(PATCH))
def test_a_change_is_refused_or_fit_to_be_passed_on(document):
    try:
        items = items_from_patch(msgspec.json.encode(document))
    except ResourceError:
        return
    msgspec.msgpack.encode(items)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=60) | ODD.map(msgspec.json.encode))
def test_bytes_of_any_kind_are_refused_or_read(data):
    for read in (
        lambda: registration_from_beat("i-1", data),
        lambda: items_from_patch(data),
        lambda: born_from_deregistration(data),
    ):
        try:
            read()
        except ResourceError:
            continue


def test_what_cannot_be_read_is_refused():
    for data in (NESTED, b'{"a":' * 50_000, b"\xff", b"null", b"3"):
        with pytest.raises(ResourceError):
            registration_from_beat("i-1", data)
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
def test_a_heartbeat_with_a_field_out_of_bounds_is_refused_by_its_name(field, value):
    data = msgspec.json.encode(changed(BEAT, field, value))
    with pytest.raises(ResourceError) as caught:
        registration = registration_from_beat("i-1", data)
        findings = check_registration(registration)
        if findings:
            raise ResourceError(findings, "heartbeat")
    assert field[-1].partition("_")[0] in str(caught.value)
