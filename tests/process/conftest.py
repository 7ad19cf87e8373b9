"""Real processes on loopback: one small deployment for each test module."""

from __future__ import annotations

import httpcore
import pytest

from bench.deploy import Deployment
from bench.shapes import ServiceShape, Shape, credential_of

SMALL = Shape(
    "small",
    ("north",),
    0.0,
    0.0,
    0.0,
    (
        ServiceShape("bays", 4, 5.0, deadline_ms=3_000),
        ServiceShape("reservations", 4, 5.0, once_only=True, deadline_ms=3_000),
        ServiceShape("uploads", 2, 5.0, deadline_ms=10_000),
    ),
)


class Caller:
    """Sends requests to the entries of a deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.pool = httpcore.ConnectionPool()
        self.calls = 0

    def call(
        self, entry: str, service: str, body: bytes = b"", headers=None, method="", path="/call"
    ):
        """Send one request; returns the response."""
        self.calls += 1
        fields = {
            "authorization": f"Bearer {credential_of('gold')}",
            "x-call": f"call{self.calls}",
            **(headers or {}),
        }
        return self.pool.request(
            method or ("POST" if body or "idempotency-key" in fields else "GET"),
            f"http://{self.deployment.entry[entry]}/s/{service}{path}",
            headers=[(k, v) for k, v in fields.items() if v],
            content=body,
            extensions={"timeout": {"connect": 2.0, "read": 20.0, "write": 20.0, "pool": 2.0}},
        )


def header(response, name: str) -> str:
    """Return a header of a response, or an empty text."""
    fields = {key.lower(): value.decode() for key, value in response.headers}
    return fields.get(name.encode(), "")


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    made = Deployment(tmp_path_factory.mktemp("deployment"), SMALL, entries=2, replicas=3)
    try:
        made.start_declared()
        yield made
    finally:
        made.stop()


@pytest.fixture(scope="module")
def caller(deployment):
    return Caller(deployment)
