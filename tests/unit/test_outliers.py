"""Detection of upstreams that perform much worse than their peers."""

from finchway.policy import Standing, find_poor
from finchway.policy._outliers import TRIAL_INTERVAL_S

NONE = frozenset()


def standing(outcomes) -> Standing:
    held = Standing()
    for mark in outcomes:
        held.note(mark == "x")
    return held


def region(**outcomes) -> dict[str, Standing]:
    return {name: standing(text) for name, text in outcomes.items()}


def test_a_slow_upstream_is_an_outlier():
    assert find_poor({"north": region(a="....xxx", b="....", c="....")}, NONE) == {"a"}


def test_one_or_two_consecutive_bad_outcomes_are_no_outlier():
    assert find_poor({"north": region(a="....xx", b="....", c="....")}, NONE) == NONE
    assert find_poor({"north": region(a="xx", b="", c="")}, NONE) == NONE


def test_if_all_upstreams_are_equally_bad_none_is_an_outlier():
    assert find_poor({"north": region(a="xxxx", b="xxxx", c="x.xx")}, NONE) == NONE


def test_outliers_are_found_when_two_fifths_are_slow_and_others_fail_occasionally():
    # Compared with the mean instead of the median, 40% of slow upstreams would not be detected.
    found = region(a="xxxx", b="xxxx", c="xxx.", d="xxxx", e=".x..", f="....", g="..x.", h="....")
    found |= region(i="....", j="...x")
    assert find_poor({"north": found}, NONE) == {"a", "b", "c", "d"}


def test_overdue_requests_count_before_they_end():
    found = region(a="....", b="....", c="....")
    found["a"].note_overdue(2)
    assert find_poor({"north": found}, NONE) == NONE
    found["a"].note_overdue(3)
    assert find_poor({"north": found}, NONE) == {"a"}
    found["a"].note_overdue(0)
    assert find_poor({"north": found}, NONE) == NONE


def test_upstreams_without_outcomes_do_not_count_as_healthy():
    assert find_poor({"north": region(a="xxxx", b="", c="")}, NONE) == NONE


def test_at_most_half_of_a_region_are_outliers():
    slow = region(a="xxxx", b="xxxx", c="xxxx", d="....")
    others = region(**{f"o{n}": "........" for n in range(9)})
    assert find_poor({"north": slow, "south": others}, NONE) == {"a", "b"}
    assert find_poor({"north": slow, "south": others}, frozenset({"c"})) == {"a", "c"}
    assert find_poor({"north": region(a="xxxx"), "south": others}, NONE) == NONE


def test_two_good_outcomes_end_an_outlier():
    found = region(a="xxxx", b="....", c="....", d="....")
    assert find_poor({"north": found}, NONE) == {"a"}
    found["a"].note(False)
    assert find_poor({"north": found}, frozenset({"a"})) == {"a"}
    found["a"].note(False)
    assert find_poor({"north": found}, frozenset({"a"})) == NONE


def test_an_outlier_gets_trial_requests_at_an_interval():
    held = standing("xxxx")
    assert held.may_try(1.0)
    held.note_trial(1.0)
    assert not held.may_try(1.0 + 0.9 * TRIAL_INTERVAL_S)
    assert held.may_try(1.0 + TRIAL_INTERVAL_S)
