"""The checkers are checked: a history that breaks a rule is found, one that keeps all is not."""

from __future__ import annotations

import msgspec
import pytest

from bench.history import Got, History, Leaving, Limit, Ran, Shift, check, peak_in_flight
from tests.linearizability import NEVER, Operation, State, is_linearizable

GOT = Got("c1", "pay", "gold", 0.0, 0.1, 200, "ran", "k1", "c1")
RAN = Ran("c1", "k1", "u1", "north", "pay", 0.0, 0.1)


def history(**fields) -> History:
    return History(**{"got": [GOT], "ran": [RAN], "once_only": frozenset({"pay"}), **fields})


def change(record, **fields):
    return msgspec.structs.replace(record, **fields)


def test_a_sound_history_passes():
    resend = change(GOT, call="c2", echo="c1")
    assert check(history(got=[GOT, resend])) == []


@pytest.mark.parametrize(
    ("rule", "fields"),
    [
        ("at most once", {"ran": [RAN, change(RAN, call="c2")]}),
        ("whole answers", {"got": [change(GOT, whole=False)]}),
        ("own answers", {"got": [change(GOT, key="", echo="c9")]}),
        (
            "own answers",
            {"got": [change(GOT, echo="c2"), change(GOT, call="c2", echo="c2", key="k2")]},
        ),
        ("truth of not-run", {"got": [change(GOT, status=503, outcome="not-run")]}),
        ("truth of ran", {"ran": []}),
        ("capacity", {"limits": [Limit("u1", 5, 4)]}),
        (
            "no new work when leaving",
            {"ran": [change(RAN, started=9.0)], "leaving": [Leaving("u1", 1.0, 3.0)]},
        ),
        (
            "cap of a shift",
            {
                "shifts": [Shift("north", 1.0, 15.0), Shift("north", 9.0, 15.0)],
                "cap_percent": 20.0,
                "window_s": 10.0,
            },
        ),
    ],
)
def test_each_broken_rule_is_found(rule, fields):
    assert rule in {violation.rule for violation in check(history(**fields))}


def test_steps_in_different_windows_or_regions_are_within_the_cap():
    shifts = [Shift("north", 1.0, 15.0), Shift("south", 2.0, 15.0), Shift("north", 12.0, 15.0)]
    assert check(history(shifts=shifts, cap_percent=20.0, window_s=10.0)) == []


def test_overlapping_runs_are_counted():
    runs = [change(RAN, started=s, ended=s + 1.0) for s in (0.0, 0.5, 0.9, 3.0)]
    assert peak_in_flight(runs) == 3


def op(kind, began, ended, generation, value, ok=True) -> Operation:
    return Operation(kind, began, ended, generation, value, ok)


def test_linearizable_histories_pass():
    start = State(0, "")
    assert is_linearizable([op("write", 0, 3, 0, "a"), op("read", 1, 2, 1, "a")], start)
    assert is_linearizable([op("write", 0, 3, 0, "a"), op("read", 1, 2, 0, "")], start)
    lost = op("write", 0, NEVER, 0, "a", None)
    assert is_linearizable([lost, op("read", 1, 2, 0, ""), op("read", 3, 4, 1, "a")], start)
    raced = [op("write", 0, 2, 0, "a"), op("write", 0, 2, 0, "b", False)]
    assert is_linearizable(raced, start)


def test_histories_that_are_not_linearizable_are_found():
    start = State(0, "")
    stale = [op("write", 0, 1, 0, "a"), op("read", 2, 3, 0, "")]
    assert not is_linearizable(stale, start)
    two_winners = [op("write", 0, 2, 0, "a"), op("write", 0, 2, 0, "b")]
    assert not is_linearizable(two_winners, start)
    reverted = [op("write", 0, 1, 0, "a"), op("read", 2, 3, 1, "a"), op("read", 4, 5, 0, "")]
    assert not is_linearizable(reverted, start)
    lost = op("write", 0, NEVER, 0, "a", None)
    flapping = [lost, op("read", 1, 2, 1, "a"), op("read", 3, 4, 0, "")]
    assert not is_linearizable(flapping, start)
