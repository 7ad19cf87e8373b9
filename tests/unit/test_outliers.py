"""Upstreams that answer worse than their fellows."""

from finchway.policy import Standing, find_poor
from finchway.policy._outliers import TRIAL_INTERVAL_S

NONE = frozenset()


def standing(outcomes):
    held = Standing()
    for mark in outcomes:
        held.note(mark == "x")
    return held


def region(**outcomes):
    return {name: standing(text) for name, text in outcomes.items()}


def test_one_that_is_slow_is_left_out():
    assert find_poor({"north": region(a="....xxx", b="....", c="....")}, NONE) == {"a"}


def test_one_or_two_bad_answers_in_a_row_say_nothing():
    assert find_poor({"north": region(a="....xx", b="....", c="....")}, NONE) == NONE
    assert find_poor({"north": region(a="xx", b="", c="")}, NONE) == NONE


def test_when_all_are_alike_none_is_left_out():
    assert find_poor({"north": region(a="xxxx", b="xxxx", c="x.xx")}, NONE) == NONE


def test_it_shows_also_while_two_fifths_are_slow_and_the_others_fail_now_and_then():
    # Brazos trouble-2: held against the mean of their fellows, 40% slow upstreams were no outliers.
    found = region(a="xxxx", b="xxxx", c="xxx.", d="xxxx", e=".x..", f="....", g="..x.", h="....")
    found |= region(i="....", j="...x")
    assert find_poor({"north": found}, NONE) == {"a", "b", "c", "d"}


def test_requests_that_are_overdue_count_before_they_end():
    found = region(a="....", b="....", c="....")
    found["a"].note_overdue(2)
    assert find_poor({"north": found}, NONE) == NONE
    found["a"].note_overdue(3)
    assert find_poor({"north": found}, NONE) == {"a"}
    found["a"].note_overdue(0)
    assert find_poor({"north": found}, NONE) == NONE


def test_what_is_not_known_is_not_held_to_be_well():
    assert find_poor({"north": region(a="xxxx", b="", c="")}, NONE) == NONE


def test_a_region_keeps_half_of_its_upstreams():
    slow = region(a="xxxx", b="xxxx", c="xxxx", d="....")
    others = region(**{f"o{n}": "........" for n in range(9)})
    assert find_poor({"north": slow, "south": others}, NONE) == {"a", "b"}
    assert find_poor({"north": slow, "south": others}, frozenset({"c"})) == {"a", "c"}
    assert find_poor({"north": region(a="xxxx"), "south": others}, NONE) == NONE


def test_two_good_answers_bring_it_back():
    found = region(a="xxxx", b="....", c="....", d="....")
    assert find_poor({"north": found}, NONE) == {"a"}
    found["a"].note(False)
    assert find_poor({"north": found}, frozenset({"a"})) == {"a"}
    found["a"].note(False)
    assert find_poor({"north": found}, frozenset({"a"})) == NONE


def test_it_is_tried_again_now_and_then():
    held = standing("xxxx")
    assert held.may_try(1.0)
    held.note_trial(1.0)
    assert not held.may_try(1.0 + 0.9 * TRIAL_INTERVAL_S)
    assert held.may_try(1.0 + TRIAL_INTERVAL_S)
