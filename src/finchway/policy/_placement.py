"""Choice of an upstream in a region by cache affinity and load.

Upstreams serve cached keys faster and cache a bounded number of them. Each key therefore has an
order of a region's upstreams, by rendezvous hashing. The first one, the key's home, serves it even
if it has to queue there briefly, since a cache hit after a short wait is faster than a miss. Only
the second one takes overflow, and only into a free slot. Further upstreams are not used: under a
surge every key would reach every upstream and evict the others from its cache.

    order = UpstreamOrders().order("17", names)
    chosen = choose_for_key([candidates[name] for name in order[:UPSTREAMS_PER_KEY]])
"""

from __future__ import annotations

from msgspec import Struct

from finchway.policy._hashing import rank

# Upstreams of a region that serve a key; more would evict each other's keys from the caches.
UPSTREAMS_PER_KEY = 2
# Maximum requests per slot at which an upstream takes requests for keys of other homes.
MAX_RELIEF_LOAD = 0.85
# Maximum requests per slot at which an upstream takes requests for its own keys: one turn of
# waiting.
MAX_HOME_LOAD = 2.0


class Candidate(Struct):
    """An upstream that may serve a request.

    `in_flight` is the estimated number of requests in flight from all gateways, `own_in_flight` the
    number from this gateway, and `own_limit` the limit on the latter.
    """

    instance: str
    slots: int
    in_flight: float = 0.0
    own_in_flight: int = 0
    own_limit: int = 1_000_000

    @property
    def load_after(self) -> float:
        """Requests per slot including this one."""
        return (self.in_flight + 1) / max(self.slots, 1)


class UpstreamOrders:
    """Bounded cache of the rendezvous order of upstreams for each key."""

    def __init__(self, remembered: int = 20_000) -> None:
        self._max_orders = remembered
        self._orders: dict[tuple[str, tuple[str, ...]], list[str]] = {}

    def order(self, key: str, names: tuple[str, ...]) -> list[str]:
        """Return the order of upstreams for a key."""
        cached = self._orders.get((key, names))
        if cached is None:
            if len(self._orders) >= self._max_orders:
                self._orders.clear()
            cached = self._orders[key, names] = rank(key, names)
        return cached


def choose_for_key(ordered: list[Candidate], spilled: bool = False) -> Candidate | None:
    """Return the first candidate of a key's order with room for a request; None if all are full.

    The home takes requests up to `MAX_HOME_LOAD` per slot, the others up to `MAX_RELIEF_LOAD`. A
    request that `spilled` over from another region is cached nowhere and has no home.
    """
    for index, candidate in enumerate(ordered):
        if candidate.own_in_flight >= candidate.own_limit:
            continue
        is_home = index == 0 and not spilled
        if candidate.load_after <= (MAX_HOME_LOAD if is_home else MAX_RELIEF_LOAD):
            return candidate
    return None
