"""How a region learns how much it can keep."""

import random
from collections import OrderedDict

import pytest

from finchway.policy import KeepLimit


def play(limit, seconds, forgotten_home, forgotten_elsewhere=0.0, start=0.0, rate=20):
    """Note repeats at a steady rate and return the limit at the end."""
    rng = random.Random(7)
    for step in range(int(seconds * rate)):
        now = start + step / rate
        limit.note(True, rng.random() < forgotten_home(limit.most_kept(now)))
        limit.note(False, rng.random() < forgotten_elsewhere)
    return limit.most_kept(start + seconds)


def test_a_region_whose_upstreams_remember_keeps_all():
    assert play(KeepLimit(), 30, lambda kept: 0.01) == 1.0


def test_a_region_that_forgets_keeps_less_until_it_remembers():
    # Brazos quiet-1: Austin's two look-up upstreams keep about 33 keys each of 79.
    kept = play(KeepLimit(), 60, lambda kept: max(0.0, kept - 0.8))
    assert 0.75 <= kept <= 0.9


def test_it_falls_no_faster_than_shifts_are_allowed():
    limit = KeepLimit()
    assert play(limit, 5, lambda kept: 0.2) >= 1 - 5 * 0.04


def test_when_all_regions_are_slow_nothing_moves():
    assert play(KeepLimit(), 30, lambda kept: 0.5, forgotten_elsewhere=0.5) >= 0.95


def test_the_limit_rises_again_slowly():
    limit = KeepLimit()
    low = play(limit, 20, lambda kept: 0.3)
    high = play(limit, 20, lambda kept: 0.0, start=20.0)
    assert low < high <= low + 0.15


@pytest.mark.parametrize("seed", range(3))
def test_with_upstreams_that_forget_the_oldest_key_most_requests_find_their_key(seed):
    rng = random.Random(seed)
    limit, memory = KeepLimit(), OrderedDict()
    hits = []
    for step in range(4_000):
        kept = limit.most_kept(step / 40)
        key = rng.randrange(40)
        if key >= 40 * kept:
            continue
        known = key in memory
        memory.pop(key, None)
        memory[key] = True
        if len(memory) > 30:
            memory.popitem(last=False)
        hits.append(known)
        limit.note(True, not known)
    assert sum(hits[:400]) / 400 < 0.85
    assert sum(hits[-1000:]) / 1000 > 0.9
