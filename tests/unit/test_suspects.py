"""The replicated table of requests under which upstreams ended."""

import msgspec

from finchway.state import (
    QUARANTINED_FOR_MS,
    Expire,
    ReportRequests,
    RequestReport,
    StateMachine,
    Steering,
    SteeringImage,
    SuspectState,
)
from finchway.state._suspects import MOST_QUARANTINED, MOST_SUSPECTS, SUSPECTED_FOR_MS

REQUEST = "9f2c41d07be2a35f"


def ended(ends, life="", request=REQUEST):
    return RequestReport(request, ends, life or f"life-{ends}")


def answered(request=REQUEST):
    return RequestReport(request, answered=True)


def machine_with(*reports, now_ms=0):
    machine = StateMachine()
    report(machine, *reports, now_ms=now_ms)
    return machine


def report(machine, *reports, now_ms=0):
    machine.apply(ReportRequests(now_ms=now_ms, reports=list(reports)))


def held(machine, request=REQUEST):
    return machine.steering.suspects.get(request)


def test_a_request_is_quarantined_with_the_third_end_whoever_saw_it():
    machine = machine_with(ended(1))
    report(machine, ended(2))
    assert held(machine).state is SuspectState.SUSPECTED
    report(machine, ended(3))
    assert held(machine).state is SuspectState.QUARANTINED
    assert held(machine).ended == ("life-1", "life-2", "life-3")


def test_ends_that_were_seen_at_the_same_time_count_once():
    machine = machine_with(*(ended(1, life) for life in "abcde"))
    assert held(machine).ends == 1
    assert held(machine).ended == ("a",)


def test_a_report_that_comes_twice_or_late_changes_nothing():
    machine = machine_with(ended(1), ended(2))
    revision = machine.steering.revision
    report(machine, ended(2), ended(1))
    assert machine.steering.revision == revision


def test_an_answer_clears_a_request_and_it_needs_three_more():
    machine = machine_with(ended(2), answered(), ended(1), ended(2))
    assert held(machine).state is SuspectState.SUSPECTED
    assert held(machine).ends == 2


def test_a_copy_learns_of_each_step():
    machine = machine_with(ended(1))
    copy = Steering(machine.steering.image())
    assert copy.suspects.get(REQUEST).state is SuspectState.SUSPECTED
    report(machine, ended(3))
    assert copy.merge(machine.steering.image(copy.revision))
    assert copy.suspects.get(REQUEST).state is SuspectState.QUARANTINED
    report(machine, answered())
    assert copy.merge(machine.steering.image(copy.revision))
    assert not copy.suspects.get(REQUEST).is_current


def test_suspicion_passes_with_time():
    machine = machine_with(ended(2), ended(1, request="other"))
    machine.apply(Expire(now_ms=SUSPECTED_FOR_MS - 1))
    assert held(machine).is_current
    machine.apply(Expire(now_ms=SUSPECTED_FOR_MS))
    assert not held(machine).is_current
    assert not held(machine, "other").is_current
    machine.apply(Expire(now_ms=2 * SUSPECTED_FOR_MS))
    assert len(machine.steering.suspects) == 0


def test_a_quarantined_request_is_tried_again_and_then_waits_longer_for_each_upstream_more():
    machine = machine_with(ended(3))
    now_ms = 0
    for place, wait_ms in enumerate((*QUARANTINED_FOR_MS, QUARANTINED_FOR_MS[-1])):
        machine.apply(Expire(now_ms=now_ms + wait_ms - 1))
        assert held(machine).state is SuspectState.QUARANTINED
        now_ms += wait_ms
        machine.apply(Expire(now_ms=now_ms))
        assert held(machine).state is SuspectState.ON_TRIAL
        report(machine, ended(4 + place), now_ms=now_ms)
        assert held(machine).state is SuspectState.QUARANTINED


def test_a_late_report_does_not_lengthen_a_quarantine():
    machine = machine_with(ended(3))
    until_ms = held(machine).until_ms
    report(machine, ended(4), now_ms=1_000)
    assert held(machine).until_ms == until_ms
    assert held(machine).quarantines == 1


def test_a_trial_that_is_answered_clears_the_request():
    machine = machine_with(ended(3))
    machine.apply(Expire(now_ms=QUARANTINED_FOR_MS[0]))
    report(machine, answered(), now_ms=QUARANTINED_FOR_MS[0])
    assert not held(machine).is_current


def test_when_upstreams_end_under_very_many_requests_these_are_not_to_blame():
    machine = machine_with(*(ended(3, request=f"r{n}") for n in range(MOST_QUARANTINED + 1)))
    assert held(machine, f"r{MOST_QUARANTINED - 1}").state is SuspectState.QUARANTINED
    assert held(machine, f"r{MOST_QUARANTINED}").state is SuspectState.SUSPECTED


def test_the_table_is_bounded_and_keeps_what_is_quarantined():
    machine = machine_with(ended(3))
    for number in range(MOST_SUSPECTS + 5):
        report(machine, ended(1, request=f"r{number}"))
    suspects = machine.steering.suspects
    assert len(suspects) == MOST_SUSPECTS
    assert suspects.dropped == 6
    assert held(machine).state is SuspectState.QUARANTINED
    assert suspects.get("r0") is None


def test_the_table_survives_a_snapshot():
    machine = machine_with(ended(3), ended(1, request="other"))
    other = StateMachine()
    other.restore(machine.snapshot())
    assert other.digest() == machine.digest()
    report(other, ended(2, request="other"))
    assert held(other, "other").ended == ("life-1", "life-2")


def test_a_state_of_before_there_were_suspects_can_be_read():
    old = msgspec.msgpack.encode([3, [], [], []])
    assert msgspec.msgpack.decode(old, type=SteeringImage) == SteeringImage(3)
