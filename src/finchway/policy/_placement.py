"""Which upstream gets a request: near, warm for its key, and with room.

Upstreams work faster on keys that they have seen lately and keep a bounded number of them. So each
key has an order of the upstreams of a region, by rendezvous hashing, and goes to the first of them
with room; a few more share it when the first is busy.

    placement = Placement(keys_share=0.3)
    chosen = placement.choose(candidates, "17", "north-a", "north")
"""

from __future__ import annotations

import math

from msgspec import Struct

from finchway.policy._hashing import rank

SHARED_BY = 0.3
FULL = 1.0


class Candidate(Struct):
    """An upstream that may get the request.

    `busy` is the estimated number of requests at it, from all gateways.
    """

    instance: str
    zone: str
    region: str
    slots: int
    busy: float = 0.0

    @property
    def load(self) -> float:
        """Requests at the upstream for each of its slots."""
        return self.busy / max(self.slots, 1)


class Placement:
    """Orders upstreams for keys, and remembers the orders."""

    def __init__(self, shared_by: float = SHARED_BY, remembered: int = 20_000) -> None:
        self._shared_by = shared_by
        self._remembered = remembered
        self._orders: dict[tuple[str, frozenset[str]], list[str]] = {}

    def choose(self, candidates: list[Candidate], key: str) -> Candidate | None:
        """Return the best of the candidates of one region, or None if there are none."""
        if not candidates:
            return None
        by_name = {candidate.instance: candidate for candidate in candidates}
        order = self._order(key, frozenset(by_name))
        homes = max(1, math.ceil(len(order) * self._shared_by))
        first = [by_name[name] for name in order[:homes]]
        best = min(first, key=lambda c: int(c.load * 2))
        if best.load < FULL:
            return best
        rest = [by_name[name] for name in order[homes:]]
        free = next((c for c in rest if c.load < FULL), None)
        return free or min(candidates, key=lambda c: c.load)

    def _order(self, key: str, names: frozenset[str]) -> list[str]:
        held = self._orders.get((key, names))
        if held is None:
            if len(self._orders) >= self._remembered:
                self._orders.clear()
            held = self._orders[key, names] = rank(key, names)
        return held
