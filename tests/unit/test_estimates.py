"""Estimates of service time and overload from response times."""

import random

import pytest

from finchway.feed import GatewayHeartbeat, GatewayTable, RegionDemand, ServiceRate
from finchway.gateway._estimates import ANSWER_WINDOW_S, MAX_MEAN_FACTOR, ServiceEstimate

WARM_S = 0.5
COLD_S = 1.7
COLD_FRACTION = 0.3
REQUESTS_PER_S = 80.0


def test_service_time_follows_the_fast_answers():
    rng = random.Random(1)
    estimate = ServiceEstimate(0.25)
    for _ in range(500):
        estimate.record_answer(rng.gauss(0.11, 0.015), 0.25, 0.0, True)
    assert estimate.service_time == pytest.approx(0.095, abs=0.012)
    assert not estimate.is_overloaded


def test_a_few_slow_answers_hardly_change_the_service_time():
    estimate = ServiceEstimate(0.1)
    for step in range(200):
        estimate.record_answer(0.36 if step % 20 == 0 else 0.1, 0.25, 0.0, True)
    assert estimate.service_time == pytest.approx(0.1, abs=0.005)
    assert not estimate.is_overloaded
    for _ in range(100):
        estimate.record_answer(0.36, 0.25, 0.0, True)
    assert estimate.is_overloaded


def test_initial_estimate_is_the_target_latency_and_overload():
    estimate = ServiceEstimate(0.25)
    assert estimate.service_time == 0.25
    assert estimate.is_overloaded
    assert estimate.slow_after > estimate.cold_key_after > estimate.service_time


# Guards against rates divided by an estimate of 0 s, and against a load that no answer shows.
@pytest.mark.parametrize("target_latency", [0.0, 5e-324, -1.0])
def test_a_target_that_no_answer_attains_says_neither_time_nor_load(target_latency):
    estimate = ServiceEstimate(target_latency)
    assert estimate.service_time > 0.01
    for _ in range(500):
        estimate.record_answer(0.1, target_latency, 0.0, True)
    assert estimate.service_time == pytest.approx(0.1)
    assert not estimate.is_overloaded
    for _ in range(30):
        estimate.record_answer(0.5, target_latency, 0.0, True)
    assert estimate.is_overloaded


def test_answers_that_take_no_time_leave_an_estimate_to_divide_by():
    estimate = ServiceEstimate(0.25)
    for _ in range(500):
        estimate.record_answer(0.0, 0.25, 0.0, True)
    assert 0.0 < estimate.service_time < 0.001


def fleet_report(gateways: int, lying: int = 0) -> RegionDemand:
    """Return the fleet's estimates after a time of load that is the same whatever its size.

    `lying` gateways report times that no answer took.
    """
    rng = random.Random(gateways)
    estimates = [ServiceEstimate(1.5) for _ in range(gateways)]
    for step in range(int(REQUESTS_PER_S * ANSWER_WINDOW_S)):
        mean = COLD_S if rng.random() < COLD_FRACTION else WARM_S
        now = step / REQUESTS_PER_S
        rng.choice(estimates).record_answer(rng.gauss(mean, 0.15 * mean), 1.5, now, True)
    table = GatewayTable(2.0)
    for number, estimate in enumerate(estimates):
        times = (
            estimate.reported_time(ANSWER_WINDOW_S),
            estimate.reported_mean(ANSWER_WINDOW_S),
        )
        service_ms, mean_ms = (1, 1) if number < lying else (round(1000 * t) for t in times)
        heartbeat = GatewayHeartbeat(
            name=f"g{number}",
            incarnation="1",
            address="",
            zone="north-a",
            region="north",
            rates=[ServiceRate("s", 1.0, service_ms, mean_ms)],
        )
        table.record(heartbeat, ANSWER_WINDOW_S)
    return table.demand(ANSWER_WINDOW_S)[0]


@pytest.mark.parametrize("gateways", [6, 65, 195])
def test_the_fleet_knows_the_service_time_at_any_size(gateways):
    """Guards against gateways that see few answers and go by the target latency for long."""
    assert fleet_report(gateways).service_ms / 1000 == pytest.approx(WARM_S, rel=0.15)


@pytest.mark.parametrize("gateways", [6, 65, 195])
def test_the_fleet_knows_the_mean_time_of_a_region_that_serves_cold_keys(gateways):
    """Guards against a small region whose gateways plan as if all its keys were warm."""
    mean = COLD_FRACTION * COLD_S + (1 - COLD_FRACTION) * WARM_S
    assert fleet_report(gateways).mean_ms / 1000 == pytest.approx(mean, rel=0.15)


def test_answers_that_queued_for_long_count_in_the_mean_up_to_a_bound():
    estimate = ServiceEstimate(1.5)
    estimate.use_fleet_time(0.5)
    for seconds in (0.5, 0.5, 0.5, 60.0):
        estimate.record_answer(seconds, 1.5, 0.0, True)
    assert estimate.reported_mean(0.0) == pytest.approx((3 * 0.5 + MAX_MEAN_FACTOR * 0.5) / 4)


def test_answers_of_other_regions_do_not_count_in_the_mean():
    estimate = ServiceEstimate(1.5)
    for seconds in (0.5, 0.5, 0.5):
        estimate.record_answer(seconds, 1.5, 0.0, True)
        estimate.record_answer(1.0, 1.5, 0.0, False)
    assert estimate.reported_mean(0.0) == pytest.approx(0.5)


@pytest.mark.parametrize("gateways", [6, 65, 195])
def test_gateways_that_report_nonsense_do_not_move_the_fleet(gateways):
    lying = gateways // 3
    expected, found = fleet_report(gateways), fleet_report(gateways, lying)
    assert found.service_ms == pytest.approx(expected.service_ms, rel=0.15)
    assert found.mean_ms == pytest.approx(expected.mean_ms, rel=0.25)


def test_the_fleet_is_followed_while_it_reports():
    estimate = ServiceEstimate(1.5)
    estimate.use_fleet_time(0.5)
    estimate.record_answer(1.7, 1.5, 0.0, True)
    assert estimate.service_time == 0.5
    assert estimate.cold_key_after < 1.7
    estimate.use_fleet_time(None)
    assert estimate.service_time == pytest.approx(1.7)


def test_an_estimate_is_reported_only_from_recent_answers():
    estimate = ServiceEstimate(1.5)
    assert estimate.reported_time(0.0) == 0.0
    for _ in range(3):
        estimate.record_answer(0.5, 1.5, 0.0, True)
    assert estimate.reported_time(1.0) == pytest.approx(0.5)
    assert estimate.reported_time(ANSWER_WINDOW_S + 1.0) == 0.0
