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
from finchway.state._suspects import MOST_SUSPECTS, SUSPECTED_FOR_MS

REQUEST = "9f2c41d07be2a35f"


def ended(*lives, request=REQUEST):
    return RequestReport(request, lives)


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


def test_a_request_is_quarantined_with_the_third_upstream_whoever_saw_it():
    machine = machine_with(ended("a"))
    report(machine, ended("b"))
    assert held(machine).state is SuspectState.SUSPECTED
    report(machine, ended("c"))
    assert held(machine).state is SuspectState.QUARANTINED
    assert held(machine).ended == ("a", "b", "c")


def test_an_upstream_that_is_reported_twice_counts_once():
    machine = machine_with(ended("a"), ended("a"), ended("b", "a"))
    assert held(machine).ended == ("a", "b")
    assert held(machine).state is SuspectState.SUSPECTED


def test_an_answer_clears_a_request_and_it_needs_three_more():
    machine = machine_with(ended("a", "b"), answered(), ended("c"), ended("d"))
    assert held(machine).state is SuspectState.SUSPECTED
    assert held(machine).ended == ("c", "d")


def test_gateways_hear_nothing_of_a_request_with_one_upstream():
    machine = machine_with(ended("a"))
    assert machine.steering.revision == 0
    assert machine.steering.image(0) == SteeringImage()
    report(machine, answered())
    assert held(machine) is None
    assert machine.steering.revision == 0


def test_a_copy_learns_of_each_step_that_matters():
    machine = machine_with(ended("a", "b"))
    copy = Steering(machine.steering.image(0))
    assert copy.suspects.get(REQUEST).state is SuspectState.SUSPECTED
    report(machine, ended("c"))
    assert copy.merge(machine.steering.image(copy.revision))
    assert copy.suspects.get(REQUEST).state is SuspectState.QUARANTINED
    report(machine, answered())
    assert copy.merge(machine.steering.image(copy.revision))
    assert not copy.suspects.get(REQUEST).is_current


def test_suspicion_passes_with_time():
    machine = machine_with(ended("a", "b"), ended("x", request="other"))
    machine.apply(Expire(now_ms=SUSPECTED_FOR_MS - 1))
    assert held(machine).is_current
    machine.apply(Expire(now_ms=SUSPECTED_FOR_MS))
    assert not held(machine).is_current
    assert held(machine, "other") is None
    machine.apply(Expire(now_ms=2 * SUSPECTED_FOR_MS))
    assert len(machine.steering.suspects) == 0


def test_a_quarantined_request_is_tried_again_and_then_waits_longer_for_each_upstream_more():
    machine = machine_with(ended("a", "b", "c"))
    now_ms = 0
    for place, wait_ms in enumerate((*QUARANTINED_FOR_MS, QUARANTINED_FOR_MS[-1])):
        machine.apply(Expire(now_ms=now_ms + wait_ms - 1))
        assert held(machine).state is SuspectState.QUARANTINED
        now_ms += wait_ms
        machine.apply(Expire(now_ms=now_ms))
        assert held(machine).state is SuspectState.ON_TRIAL
        report(machine, ended(f"trial-{place}"), now_ms=now_ms)
        assert held(machine).state is SuspectState.QUARANTINED


def test_a_late_report_does_not_lengthen_a_quarantine():
    machine = machine_with(ended("a", "b", "c"))
    until_ms = held(machine).until_ms
    report(machine, ended("d"), now_ms=1_000)
    assert held(machine).until_ms == until_ms
    assert held(machine).quarantines == 1


def test_a_trial_that_is_answered_clears_the_request():
    machine = machine_with(ended("a", "b", "c"))
    machine.apply(Expire(now_ms=QUARANTINED_FOR_MS[0]))
    report(machine, answered(), now_ms=QUARANTINED_FOR_MS[0])
    assert not held(machine).is_current


def test_the_table_is_bounded_and_keeps_what_is_quarantined():
    machine = machine_with(ended("a", "b", "c"))
    for number in range(MOST_SUSPECTS + 5):
        report(machine, ended(f"u{number}", request=f"r{number}"))
    suspects = machine.steering.suspects
    assert len(suspects) == MOST_SUSPECTS
    assert suspects.dropped == 6
    assert held(machine).state is SuspectState.QUARANTINED
    assert suspects.get("r0") is None


def test_the_table_survives_a_snapshot_with_what_gateways_need_not_know():
    machine = machine_with(ended("a", "b", "c"), ended("x", request="other"))
    other = StateMachine()
    other.restore(machine.snapshot())
    assert other.digest() == machine.digest()
    report(other, ended("y", request="other"))
    assert held(other, "other").ended == ("x", "y")


def test_a_state_of_before_there_were_suspects_can_be_read():
    old = msgspec.msgpack.encode([3, [], [], []])
    assert msgspec.msgpack.decode(old, type=SteeringImage) == SteeringImage(3)
