"""Outcomes and errors of entries as seen by callers, with real processes."""

from __future__ import annotations

import errno
import hashlib
import socket
import threading
import uuid
from concurrent.futures import ThreadPoolExecutor

import httpcore
import msgspec
import pytest

from bench.deploy import fetch, resident_mb
from bench.history import History, Ran, check
from bench.shapes import credential_of
from tests.process.conftest import Caller, header

pytestmark = pytest.mark.xdist_group("entry")


def set_modes(deployment, service: str, **mode) -> None:
    for name, _, config in deployment.upstreams:
        if name == service:
            fetch(config.address, "/fake/mode", mode)


def runs(deployment, service: str) -> list[Ran]:
    found = []
    for name, _, config in deployment.upstreams:
        if name == service:
            for run in fetch(config.address, "/fake/report")["runs"]:
                found.append(
                    Ran(run["call"], run["key"], config.address, "", service, run["started"], 0.0)
                )
    return found


def received(deployment, service: str) -> set[str]:
    """Return the calls that have reached any upstream of a service."""
    found = set()
    for name, _, config in deployment.upstreams:
        if name == service:
            found |= set(fetch(config.address, "/fake/report")["received"])
    return found


@pytest.fixture(autouse=True)
def reset_modes(deployment):
    yield
    for service in ("bays", "reservations", "uploads"):
        set_modes(deployment, service, mode="normal")


def problem(response) -> dict:
    assert header(response, "content-type") == "application/problem+json"
    decoded = msgspec.json.decode(response.content)
    assert decoded["outcome"] == header(response, "finchway-outcome")
    return decoded


def test_response_headers_name_outcome_region_upstream_and_revision(deployment, caller):
    response = caller.call("e1", "bays")
    assert response.status == 200
    assert header(response, "finchway-outcome") == "ran"
    assert header(response, "finchway-region") == "north"
    assert header(response, "finchway-upstream") in {c.address for _, _, c in deployment.upstreams}
    assert int(header(response, "finchway-revision")) > 0


def test_steering_lists_live_entries_and_is_cacheable(deployment):
    address = deployment.entry["e1"]
    response = httpcore.request("GET", f"http://{address}/steer/bays?client=10.0.1.7")
    answer = msgspec.json.decode(response.content)
    assert {e["instance"] for e in answer["entries"]} == {"e1", "e2"}
    assert answer["ttl_ms"] == 3_000 and header(response, "cache-control") == "max-age=3"
    assert httpcore.request("GET", f"http://{address}/steer/nothing").status == 404


@pytest.mark.parametrize(
    ("service", "headers", "body", "status", "kind"),
    [
        ("nothing", {}, b"", 404, "not-found"),
        ("bays", {"authorization": ""}, b"", 401, "denied"),
        ("bays", {"authorization": "Bearer wrong"}, b"", 401, "denied"),
        ("reservations", {}, b"x", 400, "key-missing"),
        ("reservations", {"idempotency-key": "k" * 201}, b"x", 400, "key-missing"),
        ("reservations", {"idempotency-key": "big"}, b"x" * 100_000, 413, "too-large"),
        ("uploads", {}, b"x" * 17_000_000, 413, "too-large"),
    ],
)
def test_invalid_requests_are_refused_as_not_run(caller, service, headers, body, status, kind):
    response = caller.call("e1", service, body, headers)
    assert (response.status, problem(response)["type"]) == (status, kind)
    assert problem(response)["outcome"] == "not-run"


def test_an_organisation_without_a_contract_is_refused(deployment, caller):
    digest = hashlib.sha256(b"stranger").hexdigest()
    spec = {"credentials": [digest], "contracts": {}}
    revision = deployment.client.put("organisation", "stranger", spec)["revision"]
    deployment.wait_in_force(revision, 2)
    response = caller.call("e1", "bays", headers={"authorization": "Bearer stranger"})
    assert (response.status, problem(response)["type"]) == (403, "denied")


def test_requests_refused_by_an_upstream_are_retried_at_another(deployment, caller):
    first = next(c for s, _, c in deployment.upstreams if s == "bays")
    fetch(first.address, "/fake/mode", {"mode": "refuse"})
    answers = [caller.call("e1", "bays") for _ in range(10)]
    assert [a.status for a in answers] == [200] * 10
    assert first.address not in {header(a, "finchway-upstream") for a in answers}


def test_a_refusal_by_all_upstreams_is_not_run_and_has_retry_after(deployment, caller):
    set_modes(deployment, "bays", mode="refuse")
    before = len(runs(deployment, "bays"))
    response = caller.call("e1", "bays")
    assert response.status == 503
    assert problem(response)["outcome"] == "not-run"
    assert int(header(response, "retry-after")) >= 1
    assert len(runs(deployment, "bays")) == before


@pytest.mark.parametrize("mode", ["cut", "stall", "die", "fail", "silent", "late"])
def test_an_upstream_that_breaks_at_any_point_never_gives_a_broken_answer(deployment, caller, mode):
    """Look-ups may be tried again elsewhere; each answer is whole and belongs to its request.

    No call is refused as not run: the upstreams break once each and would serve it. And what an
    answer says is judged by the upstreams' own records as well: `not-run` must be true of that very
    call, and what any of them has had ends as unknown.
    """
    # Guards against a region that is taken for down and refuses what its upstreams would serve.
    for name, _, config in deployment.upstreams:
        if name == "bays":
            fetch(config.address, "/fake/mode", {"mode": mode, "count": 1})
    refusals: dict[str, dict] = {}
    for _ in range(8):
        response = caller.call("e1", "bays", headers={"finchway-timeout-ms": "1500"})
        if response.status == 200:
            assert msgspec.json.decode(response.content)["call"] == f"call{caller.calls}"
        else:
            found = problem(response)
            assert found["outcome"] == "unknown", found
            refusals[f"call{caller.calls}"] = found
    had = received(deployment, "bays")
    for call, found in refusals.items():
        expected = "unknown" if call in had else "not-run"
        assert found["outcome"] == expected, (call, found)


@pytest.mark.parametrize("mode", ["cut", "stall", "fail", "silent"])
def test_a_reservation_with_an_unknown_outcome_is_never_run_again(deployment, caller, mode):
    set_modes(deployment, "reservations", mode=mode, count=1)
    key = str(uuid.uuid4())
    fields = {"idempotency-key": key, "finchway-timeout-ms": "1000"}
    first = caller.call("e1", "reservations", b"one", fields)
    assert first.status in (502, 504)
    assert problem(first)["outcome"] == "unknown"
    set_modes(deployment, "reservations", mode="normal")

    def settled() -> bool:
        again = caller.call("e2", "reservations", b"one", {"idempotency-key": key})
        assert again.status == 409
        return problem(again)["type"] == "unknown"

    deployment.wait(settled, "the claim to be settled as unknown")
    assert sum(1 for run in runs(deployment, "reservations") if run.key == key) <= 1


def test_a_reservation_that_was_refused_everywhere_may_be_sent_again(deployment, caller):
    set_modes(deployment, "reservations", mode="refuse")
    key = str(uuid.uuid4())
    first = caller.call("e1", "reservations", b"one", {"idempotency-key": key})
    assert (first.status, problem(first)["outcome"]) == (503, "not-run")
    set_modes(deployment, "reservations", mode="normal")
    second = caller.call("e2", "reservations", b"one", {"idempotency-key": key})
    assert second.status == 200


def test_a_resend_through_another_entry_gets_the_same_response(deployment, caller):
    key = str(uuid.uuid4())
    first = caller.call("e1", "reservations", b"pay 5", {"idempotency-key": key})

    def replayed() -> bool:
        again = caller.call("e2", "reservations", b"pay 5", {"idempotency-key": key})
        if again.status == 409:
            return False
        assert (again.status, again.content) == (200, first.content)
        return header(again, "finchway-replayed") == "1"

    assert first.status == 200
    deployment.wait(replayed, "the response to be stored")
    other = caller.call("e2", "reservations", b"pay 6", {"idempotency-key": key})
    assert (other.status, problem(other)["type"]) == (422, "key-reused")
    assert sum(1 for run in runs(deployment, "reservations") if run.key == key) == 1


def test_racing_resends_run_once(deployment):
    keys = [str(uuid.uuid4()) for _ in range(12)]
    jobs = [(key, entry) for key in keys for entry in ("e1", "e2", "e1", "e2")]

    def send(job):
        key, entry = job
        own = Caller(deployment)
        return key, own.call(entry, "reservations", b"x", {"idempotency-key": key})

    with ThreadPoolExecutor(16) as pool:
        answers = list(pool.map(send, jobs))
    assert {a.status for _, a in answers} <= {200, 409}
    ran = [run for run in runs(deployment, "reservations") if run.key in keys]
    assert check(History(ran=ran, once_only=frozenset({"reservations"}))) == []
    assert {run.key for run in ran} == set(keys)


def test_uploads_and_large_responses_are_complete_with_bounded_memory(deployment, caller):
    pid = deployment.processes["e1"].pid
    body = bytes(range(256)) * 40_000
    caller.call("e1", "uploads", body)
    before = resident_mb(pid)
    for _ in range(4):
        response = caller.call("e1", "uploads", body)
        digest = msgspec.json.decode(response.content)["digest"]
        assert digest == hashlib.sha256(body).hexdigest()
        large = caller.call("e1", "uploads", headers={"x-size": "20000000"})
        assert len(msgspec.json.decode(large.content)["padding"]) == 20_000_000
    assert resident_mb(pid) - before < 15, "memory grew with the size of bodies"


def test_a_truncated_large_response_is_detected_by_the_caller(deployment, caller):
    set_modes(deployment, "uploads", mode="cut")
    for _ in range(2):
        with pytest.raises((httpcore.RemoteProtocolError, httpcore.ReadError)):
            caller.call("e1", "uploads", headers={"x-size": "5000000"})
    set_modes(deployment, "uploads", mode="normal")
    assert caller.call("e1", "uploads").status == 200


def test_responses_of_disconnected_callers_never_reach_others(deployment, caller):
    """Callers disconnect while upstreams respond late; later callers get their own responses."""
    set_modes(deployment, "bays", mode="late")
    host, _, port = deployment.entry["e1"].rpartition(":")

    def disconnect() -> None:
        request = (
            f"GET /s/bays/call HTTP/1.1\r\nhost: x\r\nx-call: gone\r\n"
            f"authorization: Bearer {credential_of('gold')}\r\n\r\n"
        )
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(request.encode())

    threads = [threading.Thread(target=disconnect) for _ in range(20)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    set_modes(deployment, "bays", mode="normal")
    for _ in range(30):
        response = caller.call("e1", "bays")
        if response.status == 200:
            assert msgspec.json.decode(response.content)["call"] == f"call{caller.calls}"


def test_callers_can_use_http2(deployment):
    with httpcore.ConnectionPool(http1=False, http2=True) as pool:
        response = pool.request(
            "GET",
            f"http://{deployment.entry['e1']}/s/bays/call",
            headers=[("authorization", f"Bearer {credential_of('gold')}"), ("x-call", "h2")],
        )
    assert response.status == 200
    assert response.extensions["http_version"] == b"HTTP/2"
    assert msgspec.json.decode(response.content)["call"] == "h2"


def send_and_read(sock, data: bytes) -> bytes:
    """Send a request and return the response; empty if the connection was closed or reset.

    An entry that refuses a request before reading all of it resets the connection, which makes
    either the shutdown or the read fail.
    """
    sock.sendall(data)
    try:
        sock.shutdown(socket.SHUT_WR)
        return sock.recv(1000)
    except OSError as error:
        if error.errno not in (errno.ENOTCONN, errno.ECONNRESET):
            raise
        return b""


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x01\x02\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"GET /s/bays/x HTTP/1.1\r\nhost: x\r\ncontent-length: nine\r\n\r\n",
        b"GET /s/bays/x HTTP/1.1\r\nhost: x\r\n" + b"a: " + b"b" * 100_000 + b"\r\n\r\n",
        b"POST /s/bays/x HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_malformed_requests_are_refused_without_affecting_others(deployment, caller, data):
    host, _, port = deployment.entry["e1"].rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        answer = send_and_read(sock, data)
    assert answer == b"" or b" 4" in answer.split(b"\r\n")[0]
    assert caller.call("e1", "bays").status == 200


def test_health_readiness_and_metrics(deployment):
    address = deployment.entry["e1"]
    assert httpcore.request("GET", f"http://{address}/healthz").status == 200
    assert httpcore.request("GET", f"http://{address}/readyz").status == 200
    text = httpcore.request("GET", f"http://{address}/metrics").content.decode()
    assert "finchway_requests_total" in text and "finchway_latency_seconds" in text
    api = deployment.api["c1"]
    assert httpcore.request("GET", f"http://{api}/readyz").status == 200
    assert b"finchway_state" in httpcore.request("GET", f"http://{api}/metrics").content
