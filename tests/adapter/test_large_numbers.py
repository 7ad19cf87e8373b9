"""Changes with numbers that no encoding holds, sent to each replica of a deployment."""

from __future__ import annotations

from tests.adapter import documents
from tests.adapter.test_processes import CORES, deployment, run

# The time of a change to the microsecond, as 20 digits: more than 64 bits hold.
LONG_VERSION = 20261207033300123456


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
