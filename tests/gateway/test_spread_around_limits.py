"""Where requests go while a good part of their region's upstreams name a limit.

Three of a region's five upstreams named limits of 2 requests a second, and its gateways went on
planning with the slots of all five: what these three did not take found no free slot at the other
two, and was refused, while another region had room for it.
"""

import trio

from finchway.pushback import NamedLimit
from tests.gateway.test_router import Subject, on_virtual_time, passed_on_after, upstream
from tests.gateway.test_spread_around_rests import SHIFT_PER_WINDOW, WINDOW_S


def name_limits(subject, names, rate):
    subject.table.limits.learn([NamedLimit(name, rate, 0.0) for name in names])


@on_virtual_time
async def test_a_limited_upstream_bears_its_limit_and_the_rest_is_passed_on_within_the_cap():
    # Five upstreams bear 5 x 6 x 0.7 / 0.3 = 70 requests a second; with three limits 28 + 6.
    upstreams = [upstream(f"n{n}", "north-a") for n in range(5)]
    upstreams += [upstream(f"s{n}", "south-a") for n in range(10)]
    subject = Subject(upstreams, {"north": 56.0, "south": 20.0})
    assert await passed_on_after(subject, 40.0) == 0.0
    name_limits(subject, ("n0", "n1", "n2"), 2.0)
    soon = await passed_on_after(subject, WINDOW_S)
    assert 0.0 < soon <= SHIFT_PER_WINDOW
    assert await passed_on_after(subject, 20.0) > soon
    kept = subject.router.choose(subject.task("k"), trio.current_time()).kept_part
    assert abs(kept - 34 / 56) < 0.02
    name_limits(subject, ("n0", "n1", "n2"), None)
    assert await passed_on_after(subject, 40.0) == 0.0


@on_virtual_time
async def test_a_limit_beyond_what_an_upstream_bears_changes_nothing():
    upstreams = [upstream(f"n{n}", "north-a") for n in range(5)]
    upstreams += [upstream(f"s{n}", "south-a") for n in range(10)]
    subject = Subject(upstreams, {"north": 56.0, "south": 20.0})
    assert await passed_on_after(subject, 40.0) == 0.0
    name_limits(subject, ("n0", "n1", "n2"), 500.0)
    assert await passed_on_after(subject, 20.0) == 0.0


@on_virtual_time
async def test_while_a_region_is_at_its_limits_other_regions_take_what_is_left():
    upstreams = [upstream("n0", "north-a"), upstream("s0", "south-a")]
    subject = Subject(upstreams, dict.fromkeys(("north", "south"), 1.0))
    assert await passed_on_after(subject, 20.0) == 0.0
    name_limits(subject, ("n0",), 1.0)
    now = trio.current_time()
    subject.table.reserve(subject.table.get("n0"), "id", "k", now)
    for number in range(5):
        choice = subject.router.choose(subject.task(f"k-{number}"), now)
        assert choice is not None
        assert (choice.region, choice.passed.at_limit) == ("south", 1)
