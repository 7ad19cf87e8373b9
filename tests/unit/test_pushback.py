"""Parsing of back-pressure headers, and the state of backoffs, limits and leaving marks."""

import math
import random
from email.utils import formatdate

import pytest
from hypothesis import given
from hypothesis import strategies as st

from finchway.pushback import (
    JITTER_FRACTION,
    MAX_BACKOFF_S,
    MAX_JITTER_S,
    MAX_LIMITS,
    BackoffTable,
    LeavingIncarnations,
    LimitReports,
    Pushback,
    read_pushback,
    read_retry_after,
)

NOW = 1_796_000_000.0
LEAVING = b"leaves"
LIMIT = b"takes"


def parse(status, *headers) -> Pushback:
    return read_pushback(status, list(headers), LEAVING, LIMIT, NOW)


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
def test_retry_after_is_parsed_or_ignored(value, seconds):
    assert read_retry_after(value, NOW) == seconds


def test_a_date_is_relative_to_the_date_of_the_response():
    value, answered_at = formatdate(NOW + 10, usegmt=True), formatdate(NOW + 7, usegmt=True)
    assert read_retry_after(value, NOW + 86_400, answered_at) == 3.0
    assert read_retry_after(value, NOW, "no date") == 10.0
    assert read_retry_after(value, NOW + 11) == 0.0


@given(st.text(max_size=60))
def test_any_text_gives_a_finite_delay_or_none(text):
    read = read_retry_after(text, NOW)
    assert read is None or (math.isfinite(read) and read >= 0)


@given(st.integers(100, 599), st.lists(st.tuples(st.binary(max_size=20), st.binary(max_size=40))))
def test_any_headers_are_parsed(status, headers):
    extra = [(name, value) for _, value in headers for name in (b"retry-after", LIMIT)]
    found = parse(status, *headers, *extra)
    assert math.isfinite(found.backoff_s)
    assert found.limit is None or (math.isfinite(found.limit) and found.limit >= 0)
    assert found.backoff_s == 0 or status == 503


def test_only_a_503_requests_a_backoff():
    assert parse(503, (b"retry-after", b"3")) == Pushback(backoff_s=3.0)
    for status in (200, 301, 421, 429, 500, 502):
        assert parse(status, (b"retry-after", b"3")) == Pushback()


def test_the_longest_retry_after_applies_and_invalid_ones_are_reported():
    found = parse(503, (b"retry-after", b"1"), (b"retry-after", b"nan"), (b"retry-after", b"2"))
    assert found == Pushback(backoff_s=2.0, invalid_retry_after="nan")


def test_any_response_of_the_intended_upstream_may_carry_a_leaving_mark():
    for status in (200, 204, 404, 429, 500, 503):
        assert parse(status, (LEAVING, b"1")).leaving
    assert not parse(421, (LEAVING, b"1")).leaving
    for value in (b"0", b"", b"true", b"11"):
        assert not parse(200, (LEAVING, value)).leaving


def test_any_response_of_the_intended_upstream_may_announce_a_limit():
    for status in (200, 204, 404, 429, 500, 503):
        assert parse(status, (LIMIT, b" 7.2 ")).limit == 7.2
    assert parse(421, (LIMIT, b"7.2")) == Pushback()
    assert parse(200, (LIMIT, b"0")).limit == 0.0


def test_the_lowest_limit_applies_and_invalid_ones_are_reported():
    found = parse(200, (LIMIT, b"3"), (LIMIT, b"-1"), (LIMIT, b"2.5"))
    assert found == Pushback(limit=2.5, invalid_limit="-1")
    for value in (b"nan", b"1,2", b"1e3", b"", b"Mon, 23 Nov 2026 00:00:00 GMT"):
        assert parse(200, (LIMIT, value)).limit is None
        assert parse(200, (LIMIT, value)).invalid_limit == value.decode()


def test_only_a_response_to_a_later_request_raises_a_limit():
    reports = LimitReports()
    assert not reports.record("i-1", None, 0.0, 1.0)
    assert reports.record("i-1", 5.0, 0.0, 1.0)
    assert not reports.record("i-1", None, 0.5, 1.1)
    assert not reports.record("i-1", 9.0, 0.5, 1.1)
    assert reports.record("i-1", 2.0, 0.5, 1.2)
    assert (reports.rate("i-1"), round(reports.age("i-1", 2.0), 6)) == (2.0, 0.8)
    assert reports.record("i-1", None, 1.3, 1.4)
    assert (reports.rate("i-1"), reports.limited()) == (None, [])
    # A request sent before the limit was withdrawn may still return it.
    assert reports.record("i-1", 2.0, 1.35, 1.5)


def test_stored_limits_are_bounded():
    reports = LimitReports()
    for number in range(MAX_LIMITS + 10):
        reports.record(f"i-{number}", 1.0, 0.0, 1.0)
    assert len(reports.limited()) == MAX_LIMITS
    assert reports.rate("i-0") is None


def test_the_latest_end_of_a_backoff_applies():
    backoffs = make_backoffs()
    backoffs.start("i-1", 3.0, 10.0)
    backoffs.start("i-1", 1.0, 10.5)
    assert 2.0 <= backoffs.remaining_s("i-1", 11.0) <= 2.0 + 3.0 * JITTER_FRACTION
    backoffs.start("i-1", 3.0, 11.0)
    assert 3.0 <= backoffs.remaining_s("i-1", 11.0) <= 3.0 + 3.0 * JITTER_FRACTION
    assert backoffs.remaining_s("i-1@2", 11.0) == 0.0
    assert (backoffs.backed_off(11.0), backoffs.backed_off(15.0)) == (["i-1"], [])


def test_the_length_and_number_of_backoffs_are_bounded():
    backoffs = make_backoffs()
    backoffs.start("i-1", 1e9, 0.0)
    longest = backoffs.remaining_s("i-1", 0.0)
    assert MAX_BACKOFF_S <= longest <= MAX_BACKOFF_S + MAX_JITTER_S
    for number in range(10_000):
        backoffs.start(f"j-{number}", 5.0, 0.0)
    assert len(backoffs.backed_off(0.0)) == 4_096
    assert backoffs.remaining_s("i-1", 0.0) == longest


def make_backoffs(seed=1) -> BackoffTable:
    return BackoffTable(random.Random(seed))


def test_after_a_backoff_one_trial_is_sent_and_others_once_it_is_accepted():
    backoffs = make_backoffs()
    backoffs.start("i-1", 2.0, 0.0)
    retry_at = backoffs.remaining_s("i-1", 0.0)
    assert 2.0 <= retry_at <= 2.0 * (1 + JITTER_FRACTION)
    assert not backoffs.may_send("i-1", retry_at - 0.01)
    assert backoffs.may_send("i-1", retry_at)
    assert backoffs.begin("i-1", retry_at)
    assert not backoffs.may_send("i-1", retry_at + 0.1)
    backoffs.end_trial("i-1", True)
    assert backoffs.may_send("i-1", retry_at + 0.1)
    assert not backoffs.begin("i-1", retry_at + 0.1)


def test_a_failed_trial_is_repeated_and_a_long_one_counts_as_accepted():
    backoffs = make_backoffs()
    backoffs.start("i-1", 1.0, 0.0)
    assert backoffs.begin("i-1", 2.0)
    backoffs.end_trial("i-1", False)
    assert backoffs.may_send("i-1", 2.0)
    assert backoffs.begin("i-1", 2.0)
    assert backoffs.is_awaiting_trial("i-1", 2.1)
    assert backoffs.may_send("i-1", 2.5)
    assert not backoffs.begin("i-1", 2.5)
    assert not backoffs.is_awaiting_trial("i-1", 2.5)


def test_a_new_backoff_in_response_to_a_trial_applies():
    backoffs = make_backoffs()
    backoffs.start("i-1", 1.0, 0.0)
    assert backoffs.begin("i-1", 2.0)
    backoffs.start("i-1", 3.0, 2.01)
    backoffs.end_trial("i-1", False)
    assert backoffs.remaining_s("i-1", 2.01) >= 3.0
    backoffs.end_trial("i-1", True)
    assert not backoffs.may_send("i-1", 3.0)


def test_processes_with_the_same_backoff_resume_at_different_times():
    """Gateways that resume at the same time would overload the upstream again."""
    resumed = []
    for seed in range(10):
        backoffs = make_backoffs(seed)
        backoffs.start("i-1", 3.0, 0.0)
        resumed.append(backoffs.remaining_s("i-1", 0.0))
    assert min(resumed) >= 3.0
    busiest = max(sum(at <= other < at + 0.1 for other in resumed) for at in resumed)
    assert busiest <= 4


def test_leaving_incarnations_are_stored_up_to_a_bound():
    leaving = LeavingIncarnations()
    assert leaving.add("i-1@1")
    assert not leaving.add("i-1@1")
    assert "i-1@1" in leaving
    assert "i-1@2" not in leaving
    for number in range(5_000):
        leaving.add(f"j-{number}")
    assert "i-1@1" not in leaving
    assert "j-4999" in leaving
