"""Division of an upstream's rate limit among the processes that send it requests.

Each process sees only its own requests, so it enforces a part of the limit. Every process with a
part may send one request at any moment, however small its part, so the number of holders is limited
to what the upstream's burst allowance covers.
"""

from __future__ import annotations

from collections.abc import Collection

from finchway.policy._hashing import rank
from finchway.pushback import MIN_RATE, Part

# An upstream tolerates `OVERAGE` times its limit plus `SLACK` requests in any window.
OVERAGE = 1.5
SLACK = 5
WINDOW_S = 4.0
# Fractions of the allowance beyond the limit for one request of each holder, and for bursts when
# there are few holders; the rest covers times when processes disagree on the holders.
HOLDERS_FRACTION = 0.5
BURST_FRACTION = 0.3


def part_of_limit(
    name: str, incarnation: str, limit: float, local: Collection[str], others: Collection[str]
) -> Part:
    """Return one process's part of the rate limit of an upstream's incarnation.

    Holders are chosen among the `local` processes, which send it most requests, or among `others`
    if there are none. All processes with the same lists choose the same holders.
    """
    allowance = (OVERAGE - 1.0) * WINDOW_S * limit + SLACK
    holders = rank(incarnation, local or others or (name,))[
        : max(1, int(HOLDERS_FRACTION * allowance))
    ]
    if name not in holders:
        return Part(0.0, holders=len(holders))
    count = len(holders)
    return Part(max(limit, MIN_RATE) / count, max(1.0, BURST_FRACTION * allowance / count), count)
