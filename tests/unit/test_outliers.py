"""Detection of upstreams that perform much worse than their peers."""

from finchway.policy import RecentOutcomes, find_outliers
from finchway.policy._outliers import TRIAL_INTERVAL_S

NONE = frozenset()


def recent_outcomes(marks) -> RecentOutcomes:
    outcomes = RecentOutcomes()
    for mark in marks:
        outcomes.record(mark == "x")
    return outcomes


def region(**outcomes) -> dict[str, RecentOutcomes]:
    return {name: recent_outcomes(text) for name, text in outcomes.items()}


def test_a_slow_upstream_is_an_outlier():
    assert find_outliers({"north": region(a="....xxx", b="....", c="....")}, NONE) == {"a"}


def test_one_or_two_consecutive_bad_outcomes_are_no_outlier():
    assert find_outliers({"north": region(a="....xx", b="....", c="....")}, NONE) == NONE
    assert find_outliers({"north": region(a="xx", b="", c="")}, NONE) == NONE


def test_if_all_upstreams_are_equally_bad_none_is_an_outlier():
    assert find_outliers({"north": region(a="xxxx", b="xxxx", c="x.xx")}, NONE) == NONE


def test_outliers_are_found_when_two_fifths_are_slow_and_others_fail_occasionally():
    # Compared with the mean instead of the median, 40% of slow upstreams would not be detected.
    found = region(a="xxxx", b="xxxx", c="xxx.", d="xxxx", e=".x..", f="....", g="..x.", h="....")
    found |= region(i="....", j="...x")
    assert find_outliers({"north": found}, NONE) == {"a", "b", "c", "d"}


def test_overdue_requests_count_before_they_end():
    found = region(a="....", b="....", c="....")
    found["a"].set_overdue(2)
    assert find_outliers({"north": found}, NONE) == NONE
    found["a"].set_overdue(3)
    assert find_outliers({"north": found}, NONE) == {"a"}
    found["a"].set_overdue(0)
    assert find_outliers({"north": found}, NONE) == NONE


def test_upstreams_without_outcomes_do_not_count_as_healthy():
    assert find_outliers({"north": region(a="xxxx", b="", c="")}, NONE) == NONE


def test_at_most_half_of_a_region_are_outliers():
    slow = region(a="xxxx", b="xxxx", c="xxxx", d="....")
    others = region(**{f"o{n}": "........" for n in range(9)})
    assert find_outliers({"north": slow, "south": others}, NONE) == {"a", "b"}
    assert find_outliers({"north": slow, "south": others}, frozenset({"c"})) == {"a", "c"}
    assert find_outliers({"north": region(a="xxxx"), "south": others}, NONE) == NONE


def test_two_good_outcomes_end_an_outlier():
    found = region(a="xxxx", b="....", c="....", d="....")
    assert find_outliers({"north": found}, NONE) == {"a"}
    found["a"].record(False)
    assert find_outliers({"north": found}, frozenset({"a"})) == {"a"}
    found["a"].record(False)
    assert find_outliers({"north": found}, frozenset({"a"})) == NONE


def test_an_outlier_gets_trial_requests_at_an_interval():
    outcomes = recent_outcomes("xxxx")
    assert outcomes.may_try(1.0)
    outcomes.record_trial(1.0)
    assert not outcomes.may_try(1.0 + 0.9 * TRIAL_INTERVAL_S)
    assert outcomes.may_try(1.0 + TRIAL_INTERVAL_S)
