"""Words that another writer sends: of any type, any size, any depth.

Heartbeats and calls that no program of ours would send ended calls without an answer, or were taken
and could not be passed on: 100,000 nested brackets raised `RecursionError`, `slots` of 10**30 was
kept and the feed to gateways could not be encoded any more, and an operator's call whose `remove`
is a list raised `AttributeError`. Only the typed error may come out, and what comes in must be fit
to be passed on.
"""

import copy

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_documents import born_from_deregistration, items_from_patch, registration_from_beat

from finchway.exceptions import ResourceError
from finchway.feed import HeardUpstream
from tests.adapter import documents

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
    msgspec.msgpack.encode(HeardUpstream(registration, 0.0))


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
