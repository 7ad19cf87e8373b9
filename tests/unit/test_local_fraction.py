"""Limit on the fraction of its requests that a region serves itself."""

import random
from collections import OrderedDict

import pytest

from finchway.policy import LocalFractionLimit


def run_limit(
    limit: LocalFractionLimit, seconds, local_misses, remote_misses=0.0, start=0.0, rate=20
):
    """Record repeats at a steady rate and return the final limit."""
    rng = random.Random(7)
    for step in range(int(seconds * rate)):
        now = start + step / rate
        limit.record(True, rng.random() < local_misses(limit.max_fraction(now)))
        limit.record(False, rng.random() < remote_misses)
    return limit.max_fraction(start + seconds)


def test_without_cache_misses_a_region_keeps_all_requests():
    assert run_limit(LocalFractionLimit(), 30, lambda kept: 0.01) == 1.0


def test_the_limit_falls_until_cache_misses_stop():
    kept = run_limit(LocalFractionLimit(), 60, lambda kept: max(0.0, kept - 0.8))
    assert 0.75 <= kept <= 0.9


def test_the_limit_falls_at_a_bounded_rate():
    limit = LocalFractionLimit()
    assert run_limit(limit, 5, lambda kept: 0.2) >= 1 - 5 * 0.04


def test_equal_miss_rates_in_all_regions_do_not_lower_the_limit():
    assert run_limit(LocalFractionLimit(), 30, lambda kept: 0.5, remote_misses=0.5) >= 0.95


def test_the_limit_rises_again_slowly():
    limit = LocalFractionLimit()
    low = run_limit(limit, 20, lambda kept: 0.3)
    high = run_limit(limit, 20, lambda kept: 0.0, start=20.0)
    assert low < high <= low + 0.15


@pytest.mark.parametrize("seed", range(3))
def test_with_lru_upstreams_most_requests_hit_the_cache(seed):
    rng = random.Random(seed)
    limit, memory = LocalFractionLimit(), OrderedDict()
    hits = []
    for step in range(4_000):
        kept = limit.max_fraction(step / 40)
        key = rng.randrange(40)
        if key >= 40 * kept:
            continue
        known = key in memory
        memory.pop(key, None)
        memory[key] = True
        if len(memory) > 30:
            memory.popitem(last=False)
        hits.append(known)
        limit.record(True, not known)
    assert sum(hits[:400]) / 400 < 0.85
    assert sum(hits[-1000:]) / 1000 > 0.9
