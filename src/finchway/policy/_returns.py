"""When refused callers should come back.

Upstreams refuse a part of their requests for some seconds, or more requests arrive than they take.
A caller that comes back at once meets the same surge, and brings it back if all callers do. One
that comes back too late gets its answer after its route's target latency. Returns are therefore
spread over the time in which an answer can still be on time, where that is long enough to spread
them, and over a later and longer time otherwise.

    return_after(available_in=0.0, on_time_in=0.7, rng=random)  # between 0.2 and 0.7
"""

from __future__ import annotations

import random

# Earliest return, and the shortest time over which returns are spread.
MIN_RETURN_S = 0.2
MIN_SPREAD_S = 0.2
# Range of the returns if an answer cannot be on time any more.
MIN_LATE_RETURN_S = 0.4
MAX_LATE_RETURN_S = 1.0
# Longest time while all upstreams are in backoff; new upstreams may register meanwhile.
MAX_RETURN_S = 30.0
# Latest return of a caller that another process can serve at once.
MAX_RETURN_ELSEWHERE_S = 0.1


def return_after(available_in: float, on_time_in: float, rng: random.Random) -> float:
    """Return the seconds after which a refused caller should come back.

    `available_in` is when an upstream may take a request, `on_time_in` the latest return whose
    answer is still on time; both in seconds from now.
    """
    earliest = max(MIN_RETURN_S, available_in)
    if on_time_in - earliest >= MIN_SPREAD_S:
        return rng.uniform(earliest, on_time_in)
    earliest = min(max(MIN_LATE_RETURN_S, available_in), MAX_RETURN_S)
    return rng.uniform(earliest, earliest + MAX_LATE_RETURN_S - MIN_LATE_RETURN_S)


def return_elsewhere(rng: random.Random) -> float:
    """Return the seconds after which a caller should come back that others can serve."""
    return rng.uniform(0, MAX_RETURN_ELSEWHERE_S)
