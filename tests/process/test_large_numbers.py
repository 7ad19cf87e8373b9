"""Numbers beyond 64 bits at the resource API and the entries of a deployment."""

from __future__ import annotations

from urllib.parse import quote

import httpcore
import msgspec
import pytest

from bench.deploy import CREDENTIAL
from finchway.exceptions import ResourceError

pytestmark = pytest.mark.xdist_group("large-numbers")
BEYOND_64_BITS = 2**64


def call(deployment, name: str, method: str, path: str, document=None) -> int:
    """Send one call to a replica's API; return the status."""
    response = httpcore.request(
        method,
        f"http://{deployment.api[name]}{path}",
        headers={"authorization": f"Bearer {CREDENTIAL}"},
        content=msgspec.json.encode(document) if document is not None else b"",
        extensions={"timeout": {"connect": 2.0, "read": 10.0, "write": 10.0, "pool": 2.0}},
    )
    return response.status


def assert_all_run(deployment) -> None:
    """Check that no process has ended and that a change is accepted, before and after planning."""
    for generation in range(2):
        deployment.client.put("region", "sound", {"latency_ms": {"north": float(generation)}})
    assert all(process.poll() is None for process in deployment.processes.values())


# Guards against a resource that is accepted and then ends each leader, also after a restart.
def test_a_resource_with_a_number_beyond_64_bits_is_refused_and_ends_no_process(deployment):
    service = deployment.client.get("service", "bays")["spec"]
    pool = deployment.client.read("/v1/resources/pool")["items"][0]
    first, *others = pool["spec"]["upstreams"]
    odd = [
        ("service", "bays", service | {"deadline_ms": BEYOND_64_BITS}),
        ("service", "bays", service | {"entries": BEYOND_64_BITS}),
        (
            "pool",
            pool["name"],
            pool["spec"] | {"upstreams": [first | {"slots": BEYOND_64_BITS}, *others]},
        ),
    ]
    for kind, name, spec in odd:
        with pytest.raises(ResourceError):
            deployment.client.put(kind, name, spec)
    assert_all_run(deployment)


# Guards against calls that get no answer, or end a leader, for a number beyond 64 bits.
@pytest.mark.parametrize(
    ("method", "path", "document"),
    [
        ("PUT", "/v1/resources/region/odd", {"spec": {}, "expected": BEYOND_64_BITS}),
        ("DELETE", f"/v1/resources/region/odd?expected={BEYOND_64_BITS}", None),
        ("DELETE", f"/v1/resources/region/odd?expected={'9' * 5_000}", None),
        ("DELETE", "/v1/resources/region/odd?expected=%C2%B2", None),
        ("GET", f"/v1/watch?since={'9' * 5_000}", None),
        ("GET", "/v1/events?after=" + quote('{"127.0.0.1:1":18446744073709551616}'), None),
        ("DELETE", "/v1/steering/upstreams/odd", {"born": BEYOND_64_BITS}),
        (
            "POST",
            "/v1/steering/items",
            {"kind": "limits", "name": "limits", "version": BEYOND_64_BITS, "spec": {}},
        ),
    ],
    ids=["put", "delete", "digits", "superscript", "watch", "events", "deregister", "items"],
)
def test_a_call_with_a_number_beyond_64_bits_is_refused_by_each_replica(
    deployment, method, path, document
):
    statuses = [call(deployment, name, method, path, document) for name in deployment.api]
    assert statuses == [422] * len(deployment.api)
    assert_all_run(deployment)


# Guards against a caller's odd timeout that is answered as an error of the entry.
@pytest.mark.parametrize(
    "timeout_ms",
    ["9" * 5_000, "9" * 20, "\u00b2", "0", "x"],
    ids=["5000-digits", "20-digits", "superscript", "zero", "letter"],
)
def test_an_odd_timeout_of_a_caller_counts_as_none(deployment, caller, timeout_ms):
    headers = {"finchway-timeout-ms": timeout_ms.encode("latin-1")}
    assert caller.call("e1", "bays", headers=headers).status == 200
    assert_all_run(deployment)
