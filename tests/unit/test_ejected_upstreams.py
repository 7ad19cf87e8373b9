"""What an entry does while the only upstreams that do not rest, leave or drain are ejected."""

from __future__ import annotations

import pytest

from finchway.policy import Grant, Refusal, Ticket
from finchway.policy._choice import EJECTED_FRACTION, EJECTION_S, EJECTION_TRIAL_INTERVAL_S
from finchway.resources import Division, Share
from tests.unit.test_policy import POOL, gate, ticket

OTHERS = ["rests", "leaves", "drains"]
EJECTED = POOL[:2]
assert len(EJECTED) == EJECTED_FRACTION * len(POOL)


def division(slots):
    return Division(members=["e1"], slots=slots, floor_fraction=1.0)


def take_out(made, how, addresses, now=0.0):
    match how:
        case "rests":
            for address in addresses:
                made.directory.record_backoff(address, 30.0, now)
        case "leaves":
            for address in addresses:
                made.directory.mark_leaving(address)
        case "drains":
            made.directory.set_drained(set(addresses))


def eject(made, addresses=EJECTED, now=0.0):
    for address in addresses:
        for _ in range(3):
            made.directory.record_failure(address, POOL, now)


@pytest.fixture(params=OTHERS)
def made(request):
    """Return a gate whose upstreams are half ejected, and the others out in one way."""
    made = gate(slots=2)
    eject(made)
    take_out(made, request.param, POOL[2:])
    return made


def request_slot(made, number, now, deadline=1.5):
    decision, _ = made.request_slot("s", ticket(number, deadline=deadline), now)
    return decision


def test_each_ejected_upstream_gets_a_trial_and_other_requests_are_refused_at_once(made):
    """What cannot be served before its deadline must not wait for it."""
    decisions = [request_slot(made, number, 0.1) for number in range(6)]
    assert {d.address for d in decisions if isinstance(d, Grant)} == set(EJECTED)
    refusals = [d for d in decisions if isinstance(d, Refusal)]
    assert len(refusals) == 4
    assert all(0 < r.retry_after_s <= EJECTION_TRIAL_INTERVAL_S for r in refusals)
    assert all("failed" in r.reason for r in refusals)


def test_first_success_ends_the_ejection(made):
    """Otherwise callers are refused for up to a minute although an upstream serves."""
    trial = request_slot(made, 1, 0.1)
    made.directory.record_success(trial.address)
    made.release(trial, 0.2, True)
    decisions = [request_slot(made, number, 0.2) for number in range(2, 4)]
    assert [d.address for d in decisions] == [trial.address] * 2


def test_failed_trial_leaves_the_ejection_and_the_next_one_comes_later(made):
    trials = [request_slot(made, number, 0.1) for number in range(2)]
    for trial in trials:
        made.directory.record_failure(trial.address, POOL, 0.2)
        made.release(trial, 0.2, False)
    assert isinstance(request_slot(made, 3, 0.3), Refusal)
    later = request_slot(made, 4, 0.1 + EJECTION_TRIAL_INTERVAL_S, deadline=1.5)
    assert isinstance(later, Grant)


def test_request_does_not_wait_for_the_end_of_an_ejection(made):
    """Those that waited would be sent together to an upstream that has shown nothing new."""
    for number in range(2):
        request_slot(made, number, 0.1)
    assert isinstance(request_slot(made, 3, 0.1, deadline=EJECTION_S + 1.0), Refusal)


def test_request_waits_for_the_end_of_a_backoff_before_its_deadline():
    made = gate(slots=2)
    eject(made)
    for address in POOL[2:]:
        made.directory.record_backoff(address, 1.0, 0.0)
    for number in range(2):
        assert isinstance(request_slot(made, number, 0.1), Grant)
    assert request_slot(made, 3, 0.1, deadline=3.0) is None


def test_queued_requests_are_refused_once_no_upstream_is_left_before_their_deadlines():
    """A request that waits for a slot must not wait on for upstreams that are out."""
    made = gate(slots=1)
    grants = [made.request_slot("s", ticket(n), 0.0)[0] for n in range(4)]
    assert request_slot(made, 10, 0.0) is None
    eject(made, now=0.1)
    take_out(made, "rests", POOL[2:], 0.1)
    for grant in grants:
        if grant.address not in EJECTED:
            made.release(grant, 0.2, True)
    ((waiting, refusal),) = made.process_queues(0.2)
    assert (waiting.sequence, type(refusal)) == (10, Refusal)


def test_usable_upstream_of_another_region_comes_first():
    made = gate(slots=2)
    eject(made)
    take_out(made, "rests", POOL[2:])
    far = "10.0.1.1:80"
    shares = [
        Share(service="s", region=region, epoch=1, current=division(dict.fromkeys(addresses, 1)))
        for region, addresses in (("r", POOL), ("other", [far]))
    ]
    made._holder.set_shares(shares, {"s": 2.0})
    made.directory.sync(dict.fromkeys([*POOL, far], 0.0), 0.0, warm=True)
    both = Ticket(1, 0, 1.5, 0.0, ("r", "other"))
    assert made.request_slot("s", both, 0.1)[0].address == far


def test_ejected_upstream_gets_no_trial_while_another_may_be_used():
    made = gate(slots=1)
    eject(made)
    decisions = [request_slot(made, number, 0.1) for number in range(4)]
    assert {d.address for d in decisions if d} == set(POOL[2:])


def test_success_of_an_earlier_request_does_not_end_an_ejection():
    made = gate(slots=2)
    eject(made)
    made.directory.record_success(EJECTED[0])
    assert not made.directory.is_usable(EJECTED[0], 0.1)
