"""Changes with numbers that no encoding holds, sent to each replica of a deployment."""

from __future__ import annotations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_documents import items_from_patch, items_to_document

from finchway.catalog import check_values
from finchway.exceptions import ResourceError
from finchway.state import ChangeItems, StateMachine, Steered, decode_command, encode_command
from tests.adapter import documents
from tests.adapter.test_malformed_documents import PATCH, value_paths, with_value
from tests.adapter.test_processes import CORES, deployment, run

# The time of a change to the microsecond, as 20 digits: more than 64 bits hold.
LONG_VERSION = 20261207033300123456


REMOVAL = documents.patch(remove=[("r-1", 8)])
NUMBERS = st.integers(-(2**70), 2**70) | st.floats(allow_nan=False, allow_infinity=False)
NUMBERS |= st.sampled_from([2**53 - 1, 2**53, 2**63, 2**64 - 1, 2**64, 10**400, 1e308, 5e-324])


def number_paths(document):
    """Return the paths of all numbers of a document."""
    return [path for path in value_paths(document) if is_number_at(document, path)]


def is_number_at(document, path) -> bool:
    for key in path:
        document = document[key]
    return isinstance(document, int | float) and not isinstance(document, bool)


def odd_changes():
    """Return changes of which each has one number that 64 bits do not hold."""
    limits = documents.LIMITS
    service = documents.service()
    return [
        documents.patch(documents.route(version=LONG_VERSION)),
        documents.patch(remove=[("r-1", LONG_VERSION)]),
        documents.patch(documents.route(version=8, priority=2**64)),
        documents.patch(documents.route(version=8, priority=-(2**70))),
        documents.patch(documents.route(version=8, max_attempts=2**64)),
        documents.patch(service | {"spec": service["spec"] | {"max_connections": 2**64}}),
        documents.patch(limits | {"spec": limits["spec"] | {"max_header_bytes": 2**64}}),
        documents.patch(limits | {"spec": limits["spec"] | {"max_body_bytes": 2**64}}),
    ]


# Guards against one order that ends each leader that reads it, without an answer to the operator.
def test_a_number_beyond_64_bits_is_refused_by_every_replica_and_ends_none(tmp_path):
    async def check(folder):
        async with deployment(folder) as subject:
            for change in odd_changes():
                for ip in CORES:
                    status, _, body = await subject.call_control(
                        "/-/Config.Patch", change, cores=[ip]
                    )
                    assert (status, b"must be" in body) == (400, True)
            assert all(process.poll() is None for process in subject.running.values())
            sound = documents.patch(documents.route(version=9, timeout="700ms"))
            assert (await subject.call_control("/-/Config.Patch", sound))[0] == 200
            status, _, body = await subject.call_control("/-/Config.Get", method="GET")
            assert b"700ms" in body

    run(check, tmp_path)


# Guards against numbers that are taken where they are read and lost, or fatal, further on.
@settings(max_examples=500, deadline=None, derandomize=True)
@given(
    st.sampled_from(
        [(document, p) for document in (PATCH, REMOVAL) for p in number_paths(document)]
    ),
    NUMBERS,
)
def test_any_number_is_refused_or_comes_back_after_the_log_a_snapshot_and_a_start(place, number):
    document, path = place
    changed = with_value(document, path, number)
    try:
        items = items_from_patch(msgspec.json.encode(changed))
    except ResourceError:
        return
    if check_values(items):
        return
    command = decode_command(encode_command(ChangeItems(now_ms=0, items=items)))
    assert command.items == items
    machine, restored = StateMachine(), StateMachine()
    if not isinstance(machine.apply(command), Steered):
        # A route without its service, as where the service's own item is not in the change.
        assert document is not PATCH
        return
    restored.restore(machine.snapshot())
    assert restored.digest() == machine.digest()
    read_back = msgspec.json.decode(items_to_document(restored.steering.catalog.active_items()))
    sent = (changed["upsert"]["resources"]) or []
    assert sorted(map(str, read_back["resources"])) == sorted(map(str, sent))
