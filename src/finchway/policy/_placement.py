"""Which upstream of a region gets a request: warm for its key, and with room.

Upstreams work faster on keys that they have seen lately and keep a bounded number of them. So each
key has an order of the upstreams of a region, by rendezvous hashing. The first of the order, the
key's home, serves it even when it has to wait there for a turn or two: warm work after a short
wait is done before cold work at once. Only the second of the order relieves it, when a slot is
free there: beyond them, a surge would bring every key to every upstream, all would forget them,
and work would stay slow after the surge.

    order = UpstreamOrders().order("17", names)
    chosen = choose_home([candidates[name] for name in order[:HOMES]])
"""

from __future__ import annotations

from msgspec import Struct

from finchway.policy._hashing import rank

# Upstreams of a region that serve a key: more make all of them forget (docs/DESIGN.md, "Gateways").
HOMES = 2
# Requests for each slot up to which an upstream takes those of keys that belong elsewhere.
FILLED = 0.85
# Requests for each slot up to which an upstream takes those of its own keys: one turn of waiting.
ADMITTED = 2.0


class Candidate(Struct):
    """An upstream that may get the request.

    `busy` is the estimated number of requests at it, from all gateways; `own` are those of this
    gateway, and `own_most` is its part of what the upstream may have.
    """

    instance: str
    slots: int
    busy: float = 0.0
    own: int = 0
    own_most: int = 1_000_000

    @property
    def after(self) -> float:
        """Requests for each slot once this one is there."""
        return (self.busy + 1) / max(self.slots, 1)


class UpstreamOrders:
    """The orders of upstreams for keys, remembered up to a bounded number of them."""

    def __init__(self, remembered: int = 20_000) -> None:
        self._remembered = remembered
        self._orders: dict[tuple[str, tuple[str, ...]], list[str]] = {}

    def order(self, key: str, names: tuple[str, ...]) -> list[str]:
        """Return the order of upstreams for a key; the same names give the same order."""
        held = self._orders.get((key, names))
        if held is None:
            if len(self._orders) >= self._remembered:
                self._orders.clear()
            held = self._orders[key, names] = rank(key, names)
        return held


def choose_home(ordered: list[Candidate], spilled: bool = False) -> Candidate | None:
    """Return the upstream for a request out of its key's homes, in order; None if all are full.

    The first takes requests up to `ADMITTED` for each of its slots: what is beyond would wait for
    longer than its answer is worth. Another one takes a request only while that keeps it at
    `FILLED` of its slots. A request that `spilled` over from elsewhere is warm nowhere and only
    takes a free slot.
    """
    for place, candidate in enumerate(ordered):
        if candidate.own >= candidate.own_most:
            continue
        is_home = place == 0 and not spilled
        if candidate.after <= (ADMITTED if is_home else FILLED):
            return candidate
    return None
