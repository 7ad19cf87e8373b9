"""The checks of the fault soak: each promise, broken on paper, is found; the plan is seeded."""

import pytest

from bench.soak import Answer, FaultKind, FaultWindow, Ledger, Run, Sent, Shape, check, make_plan
from bench.soak._checks import expected_body
from bench.soak._ledger import (
    NO_ANSWER,
    Arrival,
    AskedRest,
    Ended,
    Held,
    Left,
    LimitChanged,
    SaidLeaving,
    SaidLimit,
)
from bench.soak._plan import Fault
from bench.soak._proxy import Mode
from bench.soak._run import _mode

SHAPE = Shape(replicas=3, gateways=2)


def ledger(repeatable=False, status=200, ran=1, body=None, at=10.0, **answer):
    """Return what is seen when one request is sent and answered."""
    subject = Ledger()
    subject.sent["r"] = Sent("r", "g1", repeatable, at)
    for place in range(ran):
        subject.runs.append(Run("r", f"i-{place}", "z1", at + 0.1, answered=at + 0.2))
    right = expected_body("r", "i-0", b"")
    fields = {"complete": True} | answer
    subject.answers["r"] = Answer("r", at + 0.3, status, right if body is None else body, **fields)
    return subject


def broken(subject):
    return [violation.promise for violation in check(subject, SHAPE)]


def test_a_run_in_which_all_went_well_breaks_nothing():
    assert broken(ledger()) == []
    assert broken(ledger(repeatable=True, ran=2)) == []
    assert broken(ledger(status=503, ran=0)) == []
    assert broken(ledger(status=502, ran=1)) == []


@pytest.mark.parametrize(
    ("subject", "promise"),
    [
        (ledger(body=b"r i-9 0 "), "whole own answers"),
        (ledger(complete=False), "whole own answers"),
        (ledger(ran=0), "whole own answers"),
        (ledger(ran=2), "at most once"),
        (ledger(status=503), "not-run is true"),
        (ledger(status=429, repeatable=True), "not-run is true"),
        (ledger(status=None, body=b""), "nothing in flight is cut off"),
        (ledger(status=NO_ANSWER, body=b""), "an answer in time"),
    ],
)
def test_a_broken_answer_is_found(subject, promise):
    assert broken(subject) == [promise]


def test_a_run_that_nobody_asked_for_is_found():
    subject = ledger()
    subject.runs.append(Run("x", "i-1", "z1", 10.0))
    subject.runs.append(Run("r", "i-1", "z1", 10.0, b"other"))
    subject.sent["r"] = Sent("r", "g1", True, 10.0)
    assert broken(subject) == ["requests arrive unaltered", "only what was asked runs"]


def test_what_a_kill_cut_off_is_no_broken_promise_but_a_planned_stop_is():
    killed = ledger(status=None, body=b"")
    killed.faults.append(FaultWindow(FaultKind.KILL.value, "g1", 10.1, 11.0))
    assert broken(killed) == []
    stopped = ledger(status=None, body=b"")
    stopped.faults.append(FaultWindow(FaultKind.STOP.value, "g1", 9.0, 14.0))
    assert broken(stopped) == ["nothing in flight is cut off"]


@pytest.mark.parametrize(("kind", "places"), [("left", "i-0"), ("evacuated", "z1")])
def test_late_work_is_found_where_gateways_were_in_touch(kind, places):
    subject = ledger()
    getattr(subject, kind).append(Left(places, 2.0))
    assert len(broken(subject)) == 1
    subject.faults.append(FaultWindow(FaultKind.SILENCE.value, "c1", 3.0, 4.0))
    assert len(broken(subject)) == 1
    subject.faults.append(FaultWindow(FaultKind.SILENCE.value, "c2", 3.0, 4.0))
    assert broken(subject) == []
    early = ledger()
    getattr(early, kind).append(Left(places, 7.0))
    assert broken(early) == []


def test_lost_and_altered_changes_are_found():
    subject = Ledger()
    subject.offered += [Held("a", 3, "x"), Held("b", 2, "x"), Held("c", 2, "x")]
    subject.acknowledged += [Held("a", 3, "x"), Held("b", 2, "x"), Held("c", 2, "x")]
    subject.read_back += [Held("a", 2, "w"), Held("b", 2, "y")]
    found = check(subject, SHAPE)
    assert [v.promise for v in found] == ["accepted changes stay"] * 3 + [
        "changes are as they were sent"
    ]


def test_ends_and_missing_recovery_are_found():
    subject = Ledger()
    subject.ended += [Ended("c1", 1.0, 1, False), Ended("c2", 1.0, 3, True)]
    subject.ended.append(Ended("g1", 1.0, 0, True))
    subject.recovered |= {"g1": True, "g2": False}
    assert broken(subject) == ["processes stay up", "planned stops end well", "service comes back"]
    subject.faults.append(FaultWindow(FaultKind.FULL_DISK.value, "c1", 0.5, 3.0))
    assert broken(subject) == ["planned stops end well", "service comes back"]
    subject.faults.append(FaultWindow(FaultKind.PAUSE.value, "c2", 0.5, 0.8))
    assert broken(subject) == ["service comes back"]


def test_only_a_process_that_is_still_starting_may_end_by_the_signal_itself():
    # tests/process/test_soak.py, seed 1 beside load: a stop met a process that was importing.
    subject = Ledger()
    subject.ended.append(Ended("c1", 1.0, -15, True, starting=True))
    assert broken(subject) == []
    subject.ended.append(Ended("c1", 1.0, -15, True))
    subject.ended.append(Ended("c1", 1.0, -1, True, starting=True))
    subject.ended.append(Ended("c1", 1.0, -15, False, starting=True))
    assert broken(subject) == ["planned stops end well"] * 2 + ["processes stay up"]


def test_a_plan_follows_from_its_seed_and_loses_few_disks():
    plan = make_plan(7, Shape(faults=60, seconds=60.0))
    assert plan == make_plan(7, Shape(faults=60, seconds=60.0))
    assert plan != make_plan(8, Shape(faults=60, seconds=60.0))
    lost = [f.at for f in plan if f.kind in (FaultKind.LOST_DISK, FaultKind.FULL_DISK)]
    assert all(later - earlier >= 10.0 for earlier, later in zip(lost, lost[1:], strict=False))
    assert len({fault.kind for fault in plan}) > 10


@pytest.mark.parametrize(
    ("status", "after", "promises"),
    [
        (404, 2.6, ["accepted routes are not denied"]),
        (404, 2.4, []),
        (503, 9.0, []),
    ],
)
def test_a_denied_route_is_found_once_it_must_be_in_force(status, after, promises):
    subject = ledger(status=status, ran=0)
    subject.sent["r"] = Sent("r", "g1", True, 10.0, route="7")
    subject.routes_since["7"] = 10.0 - after
    assert broken(subject) == promises


def test_delays_of_odd_length_are_those_of_a_full_link():
    assert _mode(Fault(1.0, FaultKind.DELAY, "c1", 2.31)) is Mode.CROWDED
    assert _mode(Fault(1.0, FaultKind.DELAY, "c1", 2.3)) is Mode.DELAY
    assert _mode(Fault(1.0, FaultKind.SILENCE, "c1", 2.31)) is Mode.SILENCE


def rested(arrivals, until=13.0):
    """Return what is seen when a back end asks for rest at 10 s and some requests come after."""
    subject = Ledger()
    subject.asked.append(AskedRest("i-1@1", "r", 10.0, until))
    for number, at in enumerate([10.0, *arrivals]):
        name = "r" if number == 0 else f"r-{number}"
        subject.sent[name] = Sent(name, "g1", True, at)
        subject.answers[name] = Answer(name, at + 0.1, 503, b"", True)
        subject.arrivals.append(Arrival("i-1@1", name, at))
    return subject


def test_requests_amid_a_rest_are_found():
    promise = "back ends that ask for rest get it"
    assert broken(rested([10.6, 11.0, 12.9])) == [promise]
    assert broken(rested([10.1, 10.4, 11.0, 12.9, 13.1])) == []
    assert broken(rested([10.6, 11.0, 12.9], until=11.5)) == []
    struck = rested([10.6, 11.0, 12.9])
    struck.faults.append(FaultWindow(FaultKind.KILL.value, "g1", 11.0, 11.5))
    assert broken(struck) == []
    others = rested([10.6, 11.0, 12.9])
    others.sent["r-1"] = Sent("r-1", "g2", True, 10.6)
    assert broken(others) == []


def test_new_requests_for_what_says_that_it_leaves_are_found():
    subject = rested([11.0, 12.5])
    subject.said_leaving.append(SaidLeaving("i-1@1", "r", 10.0))
    assert broken(subject) == ["nothing new for what says that it leaves"]
    unheard = rested([11.0, 12.5])
    unheard.said_leaving.append(SaidLeaving("i-1@1", "r", 10.0))
    unheard.answers["r"] = Answer("r", 10.1, None)
    unheard.faults.append(FaultWindow(FaultKind.KILL.value, "g1", 9.9, 10.0))
    assert broken(unheard) == []


def limited(count, rate=2.0, until=None, told=True, over_s=3.5):
    """Return what is seen when a back end names a limit and gets requests a while later."""
    subject = Ledger()
    subject.limits.append(LimitChanged("i-1", 10.0, rate))
    if until is not None:
        subject.limits.append(LimitChanged("i-1", until, None))
    for number in range(count + 1):
        name = f"r-{number}"
        at = 20.0 + over_s * number / count
        subject.sent[name] = Sent(name, f"g{number % 2 + 1}", True, at)
        subject.answers[name] = Answer(name, at + 0.1, 502)
        subject.arrivals.append(Arrival("i-1", name, at))
    if told:
        for name in ("r-0", "r-1"):
            subject.said_limit.append(SaidLimit("i-1", name, 11.0))
    return subject


PROMISE = "back ends that name a limit are kept to it"


def test_more_than_a_back_end_bears_that_named_a_limit_is_found():
    # 1.5 x 4 s x 2 + 5 = 17 are bearable.
    assert broken(limited(16)) == []
    assert broken(limited(18)) == [PROMISE]
    assert broken(limited(18, rate=4.0)) == []


def test_what_does_not_count_against_a_limit():
    assert broken(limited(18, told=False)) == []
    assert broken(limited(18, until=23.0)) == []
    assert broken(limited(18, until=30.0)) == [PROMISE]
    assert broken(limited(18, over_s=12.0)) == []
    subject = limited(30)
    subject.faults.append(FaultWindow(FaultKind.PAUSE.value, "g1", 18.0, 20.6))
    assert broken(subject) == []


def test_the_highest_figure_of_the_last_moments_counts():
    subject = limited(18, rate=4.0)
    subject.limits.append(LimitChanged("i-1", 19.0, 1.0))
    assert broken(subject) == []
    subject = limited(18, rate=4.0)
    subject.limits.append(LimitChanged("i-1", 12.0, 1.0))
    assert broken(subject) == [PROMISE]
