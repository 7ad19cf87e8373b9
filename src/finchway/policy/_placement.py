"""Which upstream gets a request: near, warm for its key, and with room.

Upstreams work faster on keys that they have seen lately and keep a bounded number of them. So each
key has an order of the upstreams of a region, by rendezvous hashing, and goes to the first of them
with room: consistent hashing with bounded loads.

    chosen = Placement().choose(candidates, "17")
"""

from __future__ import annotations

from msgspec import Struct

from finchway.policy._hashing import rank

FILLED = 0.85


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

    def __init__(self, filled: float = FILLED, remembered: int = 20_000) -> None:
        self._filled = filled
        self._remembered = remembered
        self._orders: dict[tuple[str, frozenset[str]], list[str]] = {}

    def choose(self, candidates: list[Candidate], key: str) -> Candidate | None:
        """Return the first in the key's order with room, else the least loaded; None if empty.

        There is room while one more request keeps the upstream at or below the filled part of
        its slots; the reports that the estimate rests on are a moment old.
        """
        if not candidates:
            return None
        by_name = {candidate.instance: candidate for candidate in candidates}
        for name in self._order(key, frozenset(by_name)):
            candidate = by_name[name]
            if candidate.busy + 1 <= self._filled * candidate.slots:
                return candidate
        return min(candidates, key=lambda c: c.load)

    def _order(self, key: str, names: frozenset[str]) -> list[str]:
        held = self._orders.get((key, names))
        if held is None:
            if len(self._orders) >= self._remembered:
                self._orders.clear()
            held = self._orders[key, names] = rank(key, names)
        return held
