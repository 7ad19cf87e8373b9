"""Where requests go while a good part of their region's upstreams rest.

A region's only two upstreams asked for rest, and so did four of the others' eighteen. Its own
gateways still planned with the slots of all of them: its requests went to other regions one by
one, each only as far as the first of these, and where that had no free slot the caller was
refused. With three gateways and 20 upstreams 8.5% and 9.3% of that region's requests were refused
while other upstreams had free slots.
"""

import trio

from finchway.gateway import ChoiceReason
from tests.gateway.test_router import Subject, on_virtual_time, passed_on_after, upstream

ZONES = {"north-a": "north", "south-a": "south", "west-a": "west"}
# The cap on shifts: the part of a region's requests that may move in this time.
SHIFT_PER_WINDOW, WINDOW_S = 0.15, 2.0


@on_virtual_time
async def test_what_rests_bears_nothing_and_is_passed_on_within_the_cap_on_shifts():
    # Five upstreams bear 5 x 6 x 0.7 / 0.3 = 70 requests a second, the two that are left 28.
    upstreams = [upstream(f"n{n}", "north-a") for n in range(5)]
    upstreams += [upstream(f"s{n}", "south-a") for n in range(10)]
    subject = Subject(upstreams, {"north": 56.0, "south": 20.0})
    assert await passed_on_after(subject, 40.0) == 0.0
    for name in ("n0", "n1", "n2"):
        subject.table.rests.ask(name, 60.0, trio.current_time())
    soon = await passed_on_after(subject, WINDOW_S)
    assert 0.0 < soon <= SHIFT_PER_WINDOW
    assert 0.4 <= await passed_on_after(subject, 20.0) <= 0.6


@on_virtual_time
async def test_what_finds_no_free_slot_in_one_other_region_goes_to_the_next():
    upstreams = [upstream(f"n{n}", "north-a") for n in range(2)]
    upstreams += [upstream(f"s{n}", "south-a") for n in range(3)]
    upstreams += [upstream(f"w{n}", "west-a") for n in range(3)]
    subject = Subject(upstreams, dict.fromkeys(("north", "south", "west"), 1.0), zones=ZONES)
    assert await passed_on_after(subject, 20.0) == 0.0
    now = trio.current_time()
    for name in ("n0", "n1"):
        subject.table.rests.ask(name, 10.0, now)
    for name in ("s0", "s1", "s2"):
        subject.table.get(name).in_flight = 12
    for number in range(20):
        choice = subject.router.choose(subject.task(f"k-{number}"), now)
        assert choice is not None
        assert (choice.region, choice.reason) == ("west", ChoiceReason.OTHER_REGION)
