"""How many requests an upstream may get that names a rate limit.

The limit applies to all gateways together. In any `WINDOW_S` they may exceed it by half and by a
few requests more, which were on their way when it was named.
"""

from __future__ import annotations

WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5


def max_in_window(limit: float) -> float:
    """Return the most requests that an upstream may get in a window."""
    return OVERAGE * WINDOW_S * limit + SLACK
