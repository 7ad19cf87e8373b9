"""What a gateway learns of a service from the times of its answers."""

import random

import pytest

from finchway.gateway._estimates import ServiceEstimate


def test_work_settles_at_the_quick_repeats():
    rng = random.Random(1)
    estimate = ServiceEstimate(0.25)
    for _ in range(500):
        estimate.note_answer(rng.gauss(0.11, 0.015), 0.25)
    assert estimate.work == pytest.approx(0.095, abs=0.012)
    assert not estimate.is_strained


def test_a_few_slow_answers_move_the_work_little():
    estimate = ServiceEstimate(0.1)
    for step in range(200):
        estimate.note_answer(0.36 if step % 20 == 0 else 0.1, 0.25)
    assert estimate.work == pytest.approx(0.1, abs=0.005)
    assert not estimate.is_strained
    for _ in range(100):
        estimate.note_answer(0.36, 0.25)
    assert estimate.is_strained


def test_until_answers_tell_more_work_takes_as_long_as_it_may():
    estimate = ServiceEstimate(0.25)
    assert estimate.work == 0.25
    assert estimate.is_strained
    assert estimate.slow_after > estimate.forgotten_after > estimate.work
