"""Fingerprints that identify retries of the same request."""

import pytest
from msgspec.structs import replace

from finchway.gateway import CallerRequest
from finchway.gateway._fingerprint import fingerprint

REQUEST = CallerRequest(
    "POST", "/x/1?q=2", "a.example", [(b"authorization", b"me")], b"body", 0.0, caller="10.0.0.1"
)


@pytest.mark.parametrize(
    "change",
    [
        {"method": "PUT"},
        {"target": "/x/1?q=3"},
        {"host": "b.example"},
        {"body": b"bod"},
        {"headers": [(b"authorization", b"other")]},
        {"headers": [(b"authorization", b"meP")], "method": "OST"},
    ],
)
def test_caller_target_and_body_change_the_fingerprint(change):
    assert fingerprint(replace(REQUEST, **change)) != fingerprint(REQUEST)


@pytest.mark.parametrize(
    "change",
    [
        {"headers": [(b"request-id", b"2"), (b"authorization", b"me")]},
        {"arrived_at": 9.0},
        {"caller": "10.0.0.2"},
    ],
)
def test_ids_times_and_addresses_do_not_change_the_fingerprint(change):
    assert fingerprint(replace(REQUEST, **change)) == fingerprint(REQUEST)


def test_declared_length_distinguishes_streamed_bodies_with_the_same_start():
    def streamed(length):
        return replace(REQUEST, headers=[(b"content-length", length)], is_streamed=True)

    assert fingerprint(streamed(b"10")) != fingerprint(streamed(b"11"))
    assert fingerprint(streamed(b"10")) == fingerprint(streamed(b"10"))
