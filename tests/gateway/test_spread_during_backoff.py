"""Where requests go while many upstreams of their region are in backoff.

The plan must not count these upstreams' slots, and every other region with free slots is tried.
"""

import trio

from finchway.gateway import ChoiceReason
from tests.gateway.test_router import (
    RouterUnderTest,
    on_virtual_time,
    registration,
    remote_fraction_after,
)

ZONES = {"north-a": "north", "south-a": "south", "west-a": "west"}
# The cap on shifts: the fraction of a region's requests that may move per window.
MAX_SHIFT_PER_WINDOW, WINDOW_S = 0.15, 2.0


@on_virtual_time
async def test_requests_move_within_the_cap_on_shifts():
    # Five upstreams can serve 5 x 6 x 0.7 / 0.3 = 70 requests per second, the remaining two 28.
    upstreams = [registration(f"n{n}", "north-a") for n in range(5)]
    upstreams += [registration(f"s{n}", "south-a") for n in range(10)]
    subject = RouterUnderTest(upstreams, {"north": 56.0, "south": 20.0})
    assert await remote_fraction_after(subject, 40.0) == 0.0
    for name in ("n0", "n1", "n2"):
        subject.table.backoffs.start(name, 60.0, trio.current_time())
    soon = await remote_fraction_after(subject, WINDOW_S)
    assert 0.0 < soon <= MAX_SHIFT_PER_WINDOW
    assert 0.4 <= await remote_fraction_after(subject, 20.0) <= 0.6


@on_virtual_time
async def test_requests_go_to_the_next_region_when_one_is_full():
    upstreams = [registration(f"n{n}", "north-a") for n in range(2)]
    upstreams += [registration(f"s{n}", "south-a") for n in range(3)]
    upstreams += [registration(f"w{n}", "west-a") for n in range(3)]
    subject = RouterUnderTest(
        upstreams, dict.fromkeys(("north", "south", "west"), 1.0), zones=ZONES
    )
    assert await remote_fraction_after(subject, 20.0) == 0.0
    now = trio.current_time()
    for name in ("n0", "n1"):
        subject.table.backoffs.start(name, 10.0, now)
    for name in ("s0", "s1", "s2"):
        subject.table.get(name).in_flight = 12
    for number in range(20):
        choice = subject.router.choose(subject.context(f"k-{number}"), now)
        assert choice is not None
        assert (choice.region, choice.reason) == ("west", ChoiceReason.OTHER_REGION)
