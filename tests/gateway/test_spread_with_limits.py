"""Where requests go while many upstreams of their region name a limit.

The plan must count a limited upstream by its limit, not by its slots.
"""

import trio

from finchway.pushback import LimitReport
from tests.gateway.test_router import (
    RouterUnderTest,
    on_virtual_time,
    registration,
    remote_fraction_after,
)
from tests.gateway.test_spread_during_backoff import MAX_SHIFT_PER_WINDOW, WINDOW_S


def name_limits(subject, names, rate):
    subject.table.limits.merge([LimitReport(name, rate, 0.0) for name in names])


@on_virtual_time
async def test_requests_over_a_limit_move_within_the_cap_on_shifts():
    # Five upstreams can serve 5 x 6 x 0.7 / 0.3 = 70 requests per second; with three limits 28 + 6.
    upstreams = [registration(f"n{n}", "north-a") for n in range(5)]
    upstreams += [registration(f"s{n}", "south-a") for n in range(10)]
    subject = RouterUnderTest(upstreams, {"north": 56.0, "south": 20.0})
    assert await remote_fraction_after(subject, 40.0) == 0.0
    name_limits(subject, ("n0", "n1", "n2"), 2.0)
    soon = await remote_fraction_after(subject, WINDOW_S)
    assert 0.0 < soon <= MAX_SHIFT_PER_WINDOW
    assert await remote_fraction_after(subject, 20.0) > soon
    local_share = subject.router.choose(subject.context("k"), trio.current_time()).local_share
    assert abs(local_share - 34 / 56) < 0.02
    name_limits(subject, ("n0", "n1", "n2"), None)
    assert await remote_fraction_after(subject, 40.0) == 0.0


@on_virtual_time
async def test_limit_above_the_capacity_changes_nothing():
    upstreams = [registration(f"n{n}", "north-a") for n in range(5)]
    upstreams += [registration(f"s{n}", "south-a") for n in range(10)]
    subject = RouterUnderTest(upstreams, {"north": 56.0, "south": 20.0})
    assert await remote_fraction_after(subject, 40.0) == 0.0
    name_limits(subject, ("n0", "n1", "n2"), 500.0)
    assert await remote_fraction_after(subject, 20.0) == 0.0


@on_virtual_time
async def test_other_regions_serve_requests_over_the_limits():
    upstreams = [registration("n0", "north-a"), registration("s0", "south-a")]
    subject = RouterUnderTest(upstreams, dict.fromkeys(("north", "south"), 1.0))
    assert await remote_fraction_after(subject, 20.0) == 0.0
    name_limits(subject, ("n0",), 1.0)
    now = trio.current_time()
    subject.table.reserve(subject.table.get("n0"), "id", "k", now)
    for number in range(5):
        choice = subject.router.choose(subject.context(f"k-{number}"), now)
        assert choice is not None
        assert (choice.region, choice.skipped.at_limit) == ("south", 1)
