"""Limit on the fraction of requests that a region serves itself, by cache misses of its upstreams.

Upstreams do not report their cache size. A repeated request for a key at the same upstream that
takes as long as one for a new key indicates a cache miss. While misses are more frequent in the
home region than in the others, the region keeps a smaller fraction of its requests.

    limit = LocalFractionLimit()
    limit.record(is_local=True, is_miss=True)
    limit.max_fraction(now)
"""

from __future__ import annotations

# Weight of one repeat in the moving average of the miss rate, which covers about fifty of them.
MISS_RATE_WEIGHT = 0.02
# Excess of the local miss rate over the remote one that is tolerated: rare misses cost less than
# sending the requests to another region.
TOLERATED_MISS_RATE = 0.04
# Decrease of the limit per second, as a multiple of the excess miss rate. With a fifth of misses it
# is 3% a second, the speed that is allowed for shifts.
DECREASE_GAIN = 0.2
MAX_INCREASE_PER_S = 0.005
MIN_LIMIT = 0.2


class LocalFractionLimit:
    """The maximum fraction of its requests that a region should serve itself."""

    __slots__ = ("_updated_at", "_miss_rates", "_limit")

    def __init__(self) -> None:
        self._miss_rates = {True: 0.0, False: 0.0}
        self._limit = 1.0
        self._updated_at: float | None = None

    def record(self, is_local: bool, is_miss: bool) -> None:
        """Record whether a repeated request, local or remote, was a cache miss."""
        rate = self._miss_rates[is_local]
        self._miss_rates[is_local] = rate + MISS_RATE_WEIGHT * (is_miss - rate)

    def max_fraction(self, now: float) -> float:
        """Return the limit, adjusted for the time since the last call."""
        elapsed_s = now - self._updated_at if self._updated_at is not None else 0.0
        self._updated_at = now
        excess = self._miss_rates[True] - self._miss_rates[False] - TOLERATED_MISS_RATE
        change = -DECREASE_GAIN * excess * elapsed_s
        self._limit = min(
            1.0, max(MIN_LIMIT, self._limit + min(change, MAX_INCREASE_PER_S * elapsed_s))
        )
        return self._limit
