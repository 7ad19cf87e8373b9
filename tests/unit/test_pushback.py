"""What answers ask of whoever sent the request: how it is read, within bounds."""

import math
import random
from email.utils import formatdate

import pytest
from hypothesis import given
from hypothesis import strategies as st

from finchway.pushback import (
    JITTER_FRACTION,
    LONGEST_REST_S,
    MAX_JITTER_S,
    MOST_LIMITS,
    Asked,
    LeavingLives,
    LimitWords,
    RestBook,
    read_asked,
    read_retry_after,
)

NOW = 1_796_000_000.0
LEAVING = b"leaves"
LIMIT = b"takes"


def asked(status, *headers):
    return read_asked(status, list(headers), LEAVING, LIMIT, NOW)


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        ("3", 3.0),
        ("0", 0.0),
        (" 0.25 ", 0.25),
        (".5", 0.5),
        ("2.", 2.0),
        ("999999999", 999_999_999.0),
        ("-3", None),
        ("+3", None),
        ("nan", None),
        ("inf", None),
        ("1e3", None),
        ("0x10", None),
        ("1,5", None),
        ("3 s", None),
        ("3, 5", None),
        ("", None),
        ("soon", None),
        ("²", None),
        ("٣", None),
        ("9999999999", None),
        ("Mon, 99 Nov 2026 00:00:00 GMT", None),
    ],
)
def test_a_time_to_stay_away_is_read_or_passed_over(value, seconds):
    assert read_retry_after(value, NOW) == seconds


def test_a_date_is_counted_from_the_answers_own_so_that_clocks_need_not_agree():
    value, said_at = formatdate(NOW + 10, usegmt=True), formatdate(NOW + 7, usegmt=True)
    assert read_retry_after(value, NOW + 86_400, said_at) == 3.0
    assert read_retry_after(value, NOW, "no date") == 10.0
    assert read_retry_after(value, NOW + 11) == 0.0


@given(st.text(max_size=60))
def test_any_text_is_read_as_a_bounded_number_or_not_at_all(text):
    read = read_retry_after(text, NOW)
    assert read is None or (math.isfinite(read) and read >= 0)


@given(st.integers(100, 599), st.lists(st.tuples(st.binary(max_size=20), st.binary(max_size=40))))
def test_any_head_is_read(status, headers):
    words = [(name, value) for _, value in headers for name in (b"retry-after", LIMIT)]
    found = asked(status, *headers, *words)
    assert math.isfinite(found.rest_s)
    assert found.limit is None or (math.isfinite(found.limit) and found.limit >= 0)
    assert found.rest_s == 0 or status == 503


def test_only_a_503_asks_for_rest():
    assert asked(503, (b"retry-after", b"3")) == Asked(rest_s=3.0)
    for status in (200, 301, 421, 429, 500, 502):
        assert asked(status, (b"retry-after", b"3")) == Asked()


def test_of_several_times_the_longest_counts_and_what_makes_no_sense_is_told():
    found = asked(503, (b"retry-after", b"1"), (b"retry-after", b"nan"), (b"retry-after", b"2"))
    assert found == Asked(rest_s=2.0, unread="nan")


def test_every_answer_may_tell_that_its_upstream_leaves_but_one_of_another_upstream():
    for status in (200, 204, 404, 429, 500, 503):
        assert asked(status, (LEAVING, b"1")).leaving
    assert not asked(421, (LEAVING, b"1")).leaving
    for value in (b"0", b"", b"true", b"11"):
        assert not asked(200, (LEAVING, value)).leaving


def test_every_answer_may_name_a_limit_but_one_of_another_upstream():
    for status in (200, 204, 404, 429, 500, 503):
        assert asked(status, (LIMIT, b" 7.2 ")).limit == 7.2
    assert asked(421, (LIMIT, b"7.2")) == Asked()
    assert asked(200, (LIMIT, b"0")).limit == 0.0


def test_of_several_limits_the_lowest_counts_and_what_makes_no_sense_is_told():
    found = asked(200, (LIMIT, b"3"), (LIMIT, b"-1"), (LIMIT, b"2.5"))
    assert found == Asked(limit=2.5, unread_limit="-1")
    for value in (b"nan", b"1,2", b"1e3", b"", b"Mon, 23 Nov 2026 00:00:00 GMT"):
        assert asked(200, (LIMIT, value)).limit is None
        assert asked(200, (LIMIT, value)).unread_limit == value.decode()


def test_only_an_answer_to_what_was_sent_since_lifts_a_limit():
    words = LimitWords()
    assert not words.hear("i-1", None, 0.0, 1.0)
    assert words.hear("i-1", 5.0, 0.0, 1.0)
    assert not words.hear("i-1", None, 0.5, 1.1)
    assert not words.hear("i-1", 9.0, 0.5, 1.1)
    assert words.hear("i-1", 2.0, 0.5, 1.2)
    assert (words.rate("i-1"), round(words.age("i-1", 2.0), 6)) == (2.0, 0.8)
    assert words.hear("i-1", None, 1.3, 1.4)
    assert (words.rate("i-1"), words.limited()) == (None, [])
    # One that was sent before the limit ended may still be answered with it.
    assert words.hear("i-1", 2.0, 1.35, 1.5)


def test_limits_that_are_remembered_are_bounded():
    words = LimitWords()
    for number in range(MOST_LIMITS + 10):
        words.hear(f"i-{number}", 1.0, 0.0, 1.0)
    assert len(words.limited()) == MOST_LIMITS
    assert words.rate("i-0") is None


def test_the_latest_end_of_a_rest_counts_whichever_was_asked_last():
    rests = book()
    rests.ask("i-1", 3.0, 10.0)
    rests.ask("i-1", 1.0, 10.5)
    assert 2.0 <= rests.left("i-1", 11.0) <= 2.0 + 3.0 * JITTER_FRACTION
    rests.ask("i-1", 3.0, 11.0)
    assert 3.0 <= rests.left("i-1", 11.0) <= 3.0 + 3.0 * JITTER_FRACTION
    assert rests.left("i-1@2", 11.0) == 0.0
    assert (rests.resting(11.0), rests.resting(15.0)) == (["i-1"], [])


def test_a_rest_is_bounded_and_so_are_those_that_are_remembered():
    rests = book()
    rests.ask("i-1", 1e9, 0.0)
    longest = rests.left("i-1", 0.0)
    assert LONGEST_REST_S <= longest <= LONGEST_REST_S + MAX_JITTER_S
    for number in range(10_000):
        rests.ask(f"j-{number}", 5.0, 0.0)
    assert len(rests.resting(0.0)) == 4_096
    assert rests.left("i-1", 0.0) == longest


def book(seed=1):
    return RestBook(random.Random(seed))


def test_after_a_rest_one_request_goes_first_and_the_others_once_it_was_taken():
    rests = book()
    rests.ask("i-1", 2.0, 0.0)
    back_at = rests.left("i-1", 0.0)
    assert 2.0 <= back_at <= 2.0 * (1 + JITTER_FRACTION)
    assert not rests.may_send("i-1", back_at - 0.01)
    assert rests.may_send("i-1", back_at)
    assert rests.begin("i-1", back_at)
    assert not rests.may_send("i-1", back_at + 0.1)
    rests.end_trial("i-1", True)
    assert rests.may_send("i-1", back_at + 0.1)
    assert not rests.begin("i-1", back_at + 0.1)


def test_a_trial_that_brought_nothing_is_followed_by_another_and_one_that_lasts_was_taken():
    rests = book()
    rests.ask("i-1", 1.0, 0.0)
    assert rests.begin("i-1", 2.0)
    rests.end_trial("i-1", False)
    assert rests.may_send("i-1", 2.0)
    assert rests.begin("i-1", 2.0)
    assert rests.is_returning("i-1", 2.1)
    assert rests.may_send("i-1", 2.5)
    assert not rests.begin("i-1", 2.5)
    assert not rests.is_returning("i-1", 2.5)


def test_an_upstream_that_asks_again_when_it_is_tried_rests_again():
    rests = book()
    rests.ask("i-1", 1.0, 0.0)
    assert rests.begin("i-1", 2.0)
    rests.ask("i-1", 3.0, 2.01)
    rests.end_trial("i-1", False)
    assert rests.left("i-1", 2.01) >= 3.0
    rests.end_trial("i-1", True)
    assert not rests.may_send("i-1", 3.0)


def test_those_who_were_told_the_same_end_come_back_one_after_the_other():
    """Ten gateways that come back at once fill the six slots of the upstream that they rest."""
    backs = []
    for seed in range(10):
        rests = book(seed)
        rests.ask("i-1", 3.0, 0.0)
        backs.append(rests.left("i-1", 0.0))
    assert min(backs) >= 3.0
    busiest = max(sum(at <= other < at + 0.1 for other in backs) for at in backs)
    assert busiest <= 4


def test_a_life_that_leaves_is_remembered_and_so_many_are():
    leaving = LeavingLives()
    assert leaving.add("i-1@1")
    assert not leaving.add("i-1@1")
    assert "i-1@1" in leaving
    assert "i-1@2" not in leaving
    for number in range(5_000):
        leaving.add(f"j-{number}")
    assert "i-1@1" not in leaving
    assert "j-4999" in leaving
