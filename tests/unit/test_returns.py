"""When refused callers come back, under upstreams that refuse and under a surge."""

import random
from collections import Counter

import pytest

from finchway.policy import return_after
from finchway.policy._returns import (
    MAX_LATE_RETURN_S,
    MAX_RETURN_S,
    MIN_LATE_RETURN_S,
    MIN_RETURN_S,
)

CALLERS = 2_000
TARGET_S = 1.2
SERVICE_S = 0.5


def returns(available_in: float, on_time_in: float) -> list[float]:
    rng = random.Random(1)
    return [return_after(available_in, on_time_in, rng) for _ in range(CALLERS)]


def test_callers_return_while_their_answers_can_be_on_time():
    """Upstreams refuse half of their requests: those who come back are mostly served then."""
    on_time = [after + SERVICE_S <= TARGET_S for after in returns(0.0, TARGET_S - SERVICE_S)]
    assert all(on_time)


@pytest.mark.parametrize("on_time_in", [-1.0, 0.0, 0.15, 0.3, 0.7, 5.0])
def test_no_wave_of_callers_returns_in_one_instant(on_time_in):
    """Guards against refused callers who bring the same surge back."""
    tenths = Counter(int(after * 10) for after in returns(0.0, on_time_in))
    assert max(tenths.values()) <= 0.55 * CALLERS
    assert min(tenths) >= int(MIN_RETURN_S * 10)


def test_callers_whose_answers_would_be_late_return_after_the_surge():
    assert min(returns(0.0, 0.3)) >= MIN_LATE_RETURN_S


def test_callers_do_not_return_before_an_upstream_is_available():
    assert min(returns(0.45, 0.7)) >= 0.45
    assert min(returns(2.0, 0.7)) >= 2.0
    assert max(returns(600.0, 0.7)) <= MAX_RETURN_S + 1.0


def served_on_time(gateways: int, draw, seed: int = 1) -> float:
    """Return the share of callers that are answered on time while upstreams refuse half of them.

    Each caller asks a gateway, is refused or served, and comes back once to any gateway.
    """
    rng = random.Random(seed)
    streams = [random.Random(f"{seed}-{number}") for number in range(gateways)]
    on_time = 0
    for _ in range(CALLERS):
        if rng.random() < 0.5:
            on_time += SERVICE_S <= TARGET_S
            continue
        after = draw(rng.choice(streams))
        on_time += rng.random() < 0.5 and after + SERVICE_S <= TARGET_S
    return on_time / CALLERS


@pytest.mark.parametrize("gateways", [6, 65, 195])
def test_more_callers_are_served_on_time_while_upstreams_refuse(gateways):
    """Half are served at once and half of the others when they return, if that is not too late."""
    found = served_on_time(gateways, lambda rng: return_after(0.0, TARGET_S - SERVICE_S, rng))
    assert found >= 0.72
    late = served_on_time(gateways, lambda rng: rng.uniform(MIN_LATE_RETURN_S, MAX_LATE_RETURN_S))
    assert late <= 0.65
