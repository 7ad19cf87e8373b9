"""Upstreams that return to entries the request rate that they accept from all of them together.

Guards against entries that ignore the limit, or that each use all of it.
"""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from bench.deploy import fetch
from tests.limits import KNOWN_WITHIN_S, WINDOW_S, borne, most_in_a_window
from tests.process.conftest import Caller, header

pytestmark = pytest.mark.xdist_group("named-limit")

LIMIT = 1.0
LOAD_S = 7.5
CALLS_PER_S = 40


def bays(deployment) -> list[str]:
    return [c.address for service, _, c in deployment.upstreams if service == "bays"]


def set_limit(deployment, limit: str) -> None:
    for address in bays(deployment):
        fetch(address, "/fake/mode", {"mode": "normal", "limit": limit})


def send_load(deployment, seconds: float) -> list:
    """Call both entries in turn at a constant rate; return each response with its latency."""

    def call(number: int):
        started = time.monotonic()
        response = Caller(deployment).call(f"e{number % 2 + 1}", "bays")
        return response, time.monotonic() - started

    with ThreadPoolExecutor(200) as pool:
        calls = []
        for number in range(int(seconds * CALLS_PER_S)):
            calls.append(pool.submit(call, number))
            time.sleep(1 / CALLS_PER_S)
        return [done.result() for done in calls]


def max_requests_in_a_window(deployment, address: str, since: float) -> int:
    """Return the largest number of requests begun in any window after `since`."""
    runs = fetch(address, "/fake/report")["runs"]
    return most_in_a_window([run["started"] for run in runs], since)


@pytest.fixture(autouse=True)
def remove_limits(deployment):
    yield
    set_limit(deployment, "")


def test_entries_together_stay_within_an_upstreams_limit(deployment):
    set_limit(deployment, str(LIMIT))
    started = time.time()
    answers = send_load(deployment, LOAD_S)
    most = {
        a: max_requests_in_a_window(deployment, a, started + KNOWN_WITHIN_S)
        for a in bays(deployment)
    }
    assert max(most.values()) <= borne(LIMIT), most
    assert min(most.values()) >= LIMIT * WINDOW_S / 2, most
    refused = [(r, took) for r, took in answers if r.status == 503]
    assert len(refused) > len(answers) / 2
    assert {header(r, "finchway-outcome") for r, _ in refused} == {"not-run"}
    assert all(int(header(r, "retry-after")) >= 1 for r, _ in refused)


def test_entries_serve_all_requests_again_once_the_limit_is_removed(deployment):
    set_limit(deployment, str(LIMIT))
    send_load(deployment, 2.0)
    set_limit(deployment, "")
    send_load(deployment, 4.0)
    statuses = [response.status for response, _ in send_load(deployment, 1.0)]
    assert set(statuses) == {200}


def test_an_invalid_limit_is_ignored(deployment):
    set_limit(deployment, "many")
    assert {response.status for response, _ in send_load(deployment, 1.0)} == {200}
