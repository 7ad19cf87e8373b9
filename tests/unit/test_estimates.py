"""Estimates of service time and overload from response times."""

import random

import pytest

from finchway.gateway._estimates import ServiceEstimate


def test_service_time_follows_the_fast_answers():
    rng = random.Random(1)
    estimate = ServiceEstimate(0.25)
    for _ in range(500):
        estimate.record_answer(rng.gauss(0.11, 0.015), 0.25)
    assert estimate.service_time == pytest.approx(0.095, abs=0.012)
    assert not estimate.is_overloaded


def test_a_few_slow_answers_hardly_change_the_service_time():
    estimate = ServiceEstimate(0.1)
    for step in range(200):
        estimate.record_answer(0.36 if step % 20 == 0 else 0.1, 0.25)
    assert estimate.service_time == pytest.approx(0.1, abs=0.005)
    assert not estimate.is_overloaded
    for _ in range(100):
        estimate.record_answer(0.36, 0.25)
    assert estimate.is_overloaded


def test_initial_estimate_is_the_target_latency_and_overload():
    estimate = ServiceEstimate(0.25)
    assert estimate.service_time == 0.25
    assert estimate.is_overloaded
    assert estimate.slow_after > estimate.cold_key_after > estimate.service_time
