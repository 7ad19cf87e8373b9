"""Which processes may use what an upstream takes from all of them, and how much each.

Each process sees only its own requests, so a bound on their sum is kept by parts. Whoever has a
part at all may send one request at any moment, however small its part is: the sum of these counts
as well, so there are only as many holders as the bound has room for.
"""

from __future__ import annotations

from collections.abc import Collection

from finchway.policy._hashing import rank
from finchway.pushback import LEAST_RATE, Part

# What an upstream bears beyond the limit that it names: in any `WINDOW_S` so many times as much,
# and some more.
OVERAGE = 1.5
SLACK = 5
WINDOW_S = 4.0
# Part of that room which one request of each holder may take, and part for several at once where
# holders are few; what is left is for moments in which processes believe in different holders.
HOLDERS_ROOM = 0.5
BURST_ROOM = 0.3


def part_of_limit(
    name: str, life: str, limit: float, near: Collection[str], others: Collection[str]
) -> Part:
    """Return one process's part of what a life of an upstream takes a second.

    The holders are some of the `near` processes, which have most requests for it, and of `others`
    only where none is near. All processes with the same lists work out the same holders.
    """
    room = (OVERAGE - 1.0) * WINDOW_S * limit + SLACK
    holders = rank(life, near or others or (name,))[: max(1, int(HOLDERS_ROOM * room))]
    if name not in holders:
        return Part(0.0, holders=len(holders))
    count = len(holders)
    return Part(max(limit, LEAST_RATE) / count, max(1.0, BURST_ROOM * room / count), count)
