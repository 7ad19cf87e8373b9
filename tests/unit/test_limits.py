"""Rate limits of upstreams: distribution, division among processes, and enforcement."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from finchway.feed import PeerGateways
from finchway.policy import part_of_limit
from finchway.pushback import (
    MAX_LIMITS,
    MIN_RATE,
    LimitLog,
    LimitLogPosition,
    LimitReport,
    LimitReports,
    Part,
    RateLimiter,
)
from tests.limits import WINDOW_S, borne, most_in_a_window

LIMITS = st.floats(0.0, 1_000.0)
COUNTS = st.integers(1, 80)


def parts(names, incarnation, limit) -> list[Part]:
    found = [part_of_limit(name, incarnation, limit, names, ()) for name in names]
    return [part for part in found if part.rate > 0]


@given(COUNTS, LIMITS)
def test_parts_sum_to_the_limit_and_bursts_stay_within_the_allowance(count, limit):
    held = parts([f"g{number}" for number in range(count)], "i-1", limit)
    assert 1 <= len(held) == held[0].holders
    assert sum(part.rate for part in held) == pytest.approx(max(limit, MIN_RATE))
    at_once = sum(part.burst for part in held)
    assert WINDOW_S * max(limit, MIN_RATE) + at_once <= borne(limit)


@given(st.integers(2, 40), st.floats(0.1, 100.0), st.integers(0, 39))
def test_replacing_a_gateway_stays_within_the_allowance(count, limit, place):
    names = [f"g{number}" for number in range(count)]
    later = [name for name in names if name != f"g{place % count}"] + ["new"]
    # Worst case: each process sends the higher of its parts under both lists.
    found = {}
    for believed in (names, later):
        for name in believed:
            part = part_of_limit(name, "i-1", limit, believed, ())
            rate, burst = found.get(name, (0.0, 0.0))
            found[name] = max(rate, part.rate), max(burst, part.burst)
    rate = sum(held[0] for held in found.values())
    at_once = sum(burst for held_rate, burst in found.values() if held_rate)
    # The lists differ for at most half a window.
    sent = WINDOW_S / 2 * rate + WINDOW_S / 2 * limit + at_once
    assert sent <= borne(limit)


def test_holders_are_local_processes_and_others_only_if_there_are_none():
    near, everyone = ["g1", "g2"], ["g1", "g2", "g3", "g4"]
    assert part_of_limit("g3", "i-1", 30.0, near, everyone).rate == 0.0
    assert part_of_limit("g3", "i-1", 30.0, [], everyone).rate == 7.5
    assert part_of_limit("g9", "i-1", 30.0, [], []).rate == 30.0


@given(
    st.floats(0.0, 50.0),
    st.integers(1, 30),
    st.lists(st.floats(0.0, 0.5), min_size=1, max_size=300),
)
def test_requests_in_any_window_are_bounded_by_the_part_and_one_burst(rate, burst, gaps):
    reports = LimitReports()
    rate_limiter = RateLimiter(
        reports, random.Random(1), lambda incarnation, limit, now: Part(rate, burst)
    )
    reports.record("i-1", rate, 0.0, 0.0)
    now, sent = 0.0, []
    for gap in gaps:
        now += gap
        while rate_limiter.may_send("i-1", now) and len(sent) < 5_000:
            assert rate_limiter.take("i-1", now)
            sent.append(now)
    assert most_in_a_window(sent, 0.0) <= WINDOW_S * rate + burst + 1e-6


def test_unsent_requests_return_their_token_and_unlimited_ones_are_not_counted():
    reports = LimitReports()
    rate_limiter = RateLimiter(
        reports, random.Random(1), lambda incarnation, limit, now: Part(0.5, 1.0)
    )
    assert rate_limiter.may_send("i-1", 0.0)
    assert not rate_limiter.take("i-1", 0.0)
    reports.record("i-1", 0.5, 0.0, 0.0)
    rate_limiter.may_send("i-1", 1.0)
    assert rate_limiter.take("i-1", 10.0)
    assert not rate_limiter.may_send("i-1", 10.0)
    assert rate_limiter.wait("i-1", 10.0) == pytest.approx(2.0)
    rate_limiter.return_token("i-1")
    assert rate_limiter.may_send("i-1", 10.0)
    reports.record("i-1", None, 11.0, 12.0)
    assert (rate_limiter.part("i-1", 12.0), rate_limiter.wait("i-1", 12.0)) == (None, 0.0)


def test_state_of_ended_incarnations_is_bounded():
    reports = LimitReports()
    rate_limiter = RateLimiter(
        reports, random.Random(1), lambda incarnation, limit, now: Part(limit)
    )
    for number in range(MAX_LIMITS + 100):
        reports.record(f"i-{number}", 1.0, 0.0, 0.0)
        rate_limiter.may_send(f"i-{number}", 0.0)
    assert len(reports.limited()) == len(rate_limiter) == MAX_LIMITS


def test_each_report_is_delivered_once_and_changes_follow():
    gateway, replica = LimitReports(), LimitLog()
    gateway.record("i-1", 2.5, 0.0, 1.0)
    assert replica.merge(gateway.reports_to_send(1.2), 1.3)
    first = replica.since(LimitLogPosition(), 1.5)
    assert [(report.incarnation, report.rate) for report in first.reports] == [("i-1", 2.5)]
    assert first.reports[0].age == pytest.approx(0.4)
    assert not replica.merge(gateway.reports_to_send(2.0), 2.1)
    assert replica.since(first.position, 2.2) is None
    gateway.record("i-1", None, 3.0, 3.1)
    replica.merge(gateway.reports_to_send(3.2), 3.3)
    later = replica.since(first.position, 3.4)
    assert [(report.incarnation, report.rate) for report in later.reports] == [("i-1", None)]
    # Another replica process has its own numbering.
    assert LimitLog().since(later.position, 3.4) is None
    assert len(replica.since(LimitLogPosition("another", 99), 3.4).reports) == 1


def test_older_reports_are_ignored_and_repeats_do_not_refresh_direct_ones():
    reports = LimitReports()
    reports.record("i-1", 2.0, 0.0, 10.0)
    assert not reports.merge(LimitReport("i-1", 9.0, 3.0), 11.0)
    assert not reports.merge(LimitReport("i-1", 2.0, 0.1), 12.0)
    assert reports.age("i-1", 12.0) == 2.0
    assert reports.merge(LimitReport("i-1", None, 0.5), 12.0)
    assert reports.reports_to_send(12.0) == []
    # Reports of others are not sent on as direct ones.
    assert not reports.merge(LimitReport("i-2", None, 0.5), 12.0)
    assert reports.reports_to_send(12.0) == []


def test_reports_are_sent_in_batches_for_a_limited_time_new_ones_first():
    reports = LimitReports()
    for number in range(40):
        reports.record(f"i-{number:02}", 1.0, 0.0, 1.0)
    sent = [
        {report.incarnation for report in reports.reports_to_send(1.1 + step / 10)}
        for step in range(3)
    ]
    assert [len(incarnations) for incarnations in sent] == [16, 16, 16]
    assert len(set.union(*sent)) == 40
    reports.record("i-00", 3.0, 1.5, 1.6)
    assert reports.reports_to_send(1.7)[0].incarnation == "i-00"
    assert reports.reports_to_send(30.0) == []


def test_a_replica_drops_reports_that_are_not_repeated():
    replica = LimitLog()
    replica.merge([LimitReport("i-1", 2.0, 0.0)], 0.0)
    replica.merge([LimitReport("i-2", 2.0, 0.0)], 100.0)
    assert [report.incarnation for report in replica.since(LimitLogPosition(), 100.0).reports] == [
        "i-2"
    ]


def test_replies_are_bounded_and_the_next_one_continues():
    replica = LimitLog()
    replica.merge([LimitReport(f"i-{n}", 1.0, 0.0) for n in range(300)], 0.0)
    known, seen = LimitLogPosition(), []
    while (batch := replica.since(known, 1.0)) is not None:
        assert len(batch.reports) <= 128
        known, seen = batch.position, seen + [report.incarnation for report in batch.reports]
    assert len(seen) == len(set(seen)) == 300


def test_a_removed_gateway_counts_as_a_peer_for_a_grace_period():
    gateways = PeerGateways()
    gateways.update({"g1": "north", "g2": "south"}, 0.0)
    gateways.update({"g1": "north"}, 10.0)
    assert gateways.regions(12.0) == {"g1": "north", "g2": "south"}
    before = gateways.changes
    assert gateways.regions(13.5) == {"g1": "north"}
    assert gateways.changes > before
    gateways.update({"g1": "north", "g2": "west"}, 14.0)
    assert gateways.regions(14.0)["g2"] == "west"
