"""Upstreams that name to entries how many requests a second they take from all of them.

Upstreams that had named limits of 7.2 and 2.7 requests a second to gateways got 53 and 28 in 4 s,
what they would have got without any limit. Entries read the same answers and passed the figure over
as well: four upstreams that named 1 a second each ran 36 to 48 requests in 4 s, where 11 each are
bearable.
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


def name_limit(deployment, limit: str) -> None:
    for address in bays(deployment):
        fetch(address, "/fake/mode", {"mode": "normal", "limit": limit})


def send_load(deployment, seconds: float) -> list:
    """Call both entries in turn at a steady rate; returns each answer and the time it took."""

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
    """Return the most requests that an upstream has begun in any window after a moment."""
    runs = fetch(address, "/fake/report")["runs"]
    return most_in_a_window([run["started"] for run in runs], since)


@pytest.fixture(autouse=True)
def remove_limits(deployment):
    yield
    name_limit(deployment, "")


def test_entries_together_send_an_upstream_no_more_than_it_bears(deployment):
    name_limit(deployment, str(LIMIT))
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


def test_entries_serve_all_again_when_answers_name_no_limit_any_more(deployment):
    name_limit(deployment, str(LIMIT))
    send_load(deployment, 2.0)
    name_limit(deployment, "")
    send_load(deployment, 4.0)
    statuses = [response.status for response, _ in send_load(deployment, 1.0)]
    assert set(statuses) == {200}


def test_a_limit_that_makes_no_sense_changes_nothing(deployment):
    name_limit(deployment, "many")
    assert {response.status for response, _ in send_load(deployment, 1.0)} == {200}
