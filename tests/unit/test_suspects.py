"""The replicated table of requests that were in flight when upstreams crashed."""

import msgspec

from finchway.state import (
    QUARANTINE_DURATIONS_MS,
    Expire,
    ReportRequests,
    RequestReport,
    StateMachine,
    Steering,
    SteeringImage,
    SuspectState,
)
from finchway.state._suspects import MAX_QUARANTINED, MAX_SUSPECTS, SUSPICION_MS

REQUEST = "9f2c41d07be2a35f"


def crash_report(ends, incarnation="", request=REQUEST):
    return RequestReport(request, ends, incarnation or f"upstream-{ends}")


def answer_report(request=REQUEST):
    return RequestReport(request, answered=True)


def machine_with(*reports, now_ms=0):
    machine = StateMachine()
    report(machine, *reports, now_ms=now_ms)
    return machine


def report(machine, *reports, now_ms=0):
    machine.apply(ReportRequests(now_ms=now_ms, reports=list(reports)))


def suspect_of(machine, request=REQUEST):
    return machine.steering.suspects.get(request)


def test_request_is_quarantined_at_the_third_crash_over_all_reports():
    machine = machine_with(crash_report(1))
    report(machine, crash_report(2))
    assert suspect_of(machine).state is SuspectState.SUSPECTED
    report(machine, crash_report(3))
    assert suspect_of(machine).state is SuspectState.QUARANTINED
    assert suspect_of(machine).crashed_upstreams == ("upstream-1", "upstream-2", "upstream-3")


def test_simultaneous_crashes_count_once():
    machine = machine_with(*(crash_report(1, incarnation) for incarnation in "abcde"))
    assert suspect_of(machine).crashes == 1
    assert suspect_of(machine).crashed_upstreams == ("a",)


def test_duplicate_or_late_report_is_ignored():
    machine = machine_with(crash_report(1), crash_report(2))
    revision = machine.steering.revision
    report(machine, crash_report(2), crash_report(1))
    assert machine.steering.revision == revision


def test_answer_clears_a_request_and_resets_the_count():
    machine = machine_with(crash_report(2), answer_report(), crash_report(1), crash_report(2))
    assert suspect_of(machine).state is SuspectState.SUSPECTED
    assert suspect_of(machine).crashes == 2


def test_copy_receives_each_state_change():
    machine = machine_with(crash_report(1))
    copy = Steering(machine.steering.image())
    assert copy.suspects.get(REQUEST).state is SuspectState.SUSPECTED
    report(machine, crash_report(3))
    assert copy.merge(machine.steering.image(copy.revision))
    assert copy.suspects.get(REQUEST).state is SuspectState.QUARANTINED
    report(machine, answer_report())
    assert copy.merge(machine.steering.image(copy.revision))
    assert not copy.suspects.get(REQUEST).is_current


def test_suspicion_expires():
    machine = machine_with(crash_report(2), crash_report(1, request="other"))
    machine.apply(Expire(now_ms=SUSPICION_MS - 1))
    assert suspect_of(machine).is_current
    machine.apply(Expire(now_ms=SUSPICION_MS))
    assert not suspect_of(machine).is_current
    assert not suspect_of(machine, "other").is_current
    machine.apply(Expire(now_ms=2 * SUSPICION_MS))
    assert len(machine.steering.suspects) == 0


def test_quarantine_grows_with_each_failed_trial():
    machine = machine_with(crash_report(3))
    now_ms = 0
    for place, wait_ms in enumerate((*QUARANTINE_DURATIONS_MS, QUARANTINE_DURATIONS_MS[-1])):
        machine.apply(Expire(now_ms=now_ms + wait_ms - 1))
        assert suspect_of(machine).state is SuspectState.QUARANTINED
        now_ms += wait_ms
        machine.apply(Expire(now_ms=now_ms))
        assert suspect_of(machine).state is SuspectState.ON_TRIAL
        report(machine, crash_report(4 + place), now_ms=now_ms)
        assert suspect_of(machine).state is SuspectState.QUARANTINED


def test_late_report_does_not_extend_a_quarantine():
    machine = machine_with(crash_report(3))
    until_ms = suspect_of(machine).until_ms
    report(machine, crash_report(4), now_ms=1_000)
    assert suspect_of(machine).until_ms == until_ms
    assert suspect_of(machine).quarantines == 1


def test_answered_trial_clears_the_request():
    machine = machine_with(crash_report(3))
    machine.apply(Expire(now_ms=QUARANTINE_DURATIONS_MS[0]))
    report(machine, answer_report(), now_ms=QUARANTINE_DURATIONS_MS[0])
    assert not suspect_of(machine).is_current


def test_number_of_quarantined_requests_is_limited():
    machine = machine_with(*(crash_report(3, request=f"r{n}") for n in range(MAX_QUARANTINED + 1)))
    assert suspect_of(machine, f"r{MAX_QUARANTINED - 1}").state is SuspectState.QUARANTINED
    assert suspect_of(machine, f"r{MAX_QUARANTINED}").state is SuspectState.SUSPECTED


def test_table_is_bounded_and_retains_quarantined_requests():
    machine = machine_with(crash_report(3))
    for number in range(MAX_SUSPECTS + 5):
        report(machine, crash_report(1, request=f"r{number}"))
    suspects = machine.steering.suspects
    assert len(suspects) == MAX_SUSPECTS
    assert suspects.evicted == 6
    assert suspect_of(machine).state is SuspectState.QUARANTINED
    assert suspects.get("r0") is None


def test_table_is_restored_from_a_snapshot():
    machine = machine_with(crash_report(3), crash_report(1, request="other"))
    other = StateMachine()
    other.restore(machine.snapshot())
    assert other.digest() == machine.digest()
    report(other, crash_report(2, request="other"))
    assert suspect_of(other, "other").crashed_upstreams == ("upstream-1", "upstream-2")


def test_image_without_suspects_can_be_decoded():
    old = msgspec.msgpack.encode([3, [], [], []])
    assert msgspec.msgpack.decode(old, type=SteeringImage) == SteeringImage(3)
