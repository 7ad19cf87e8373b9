"""What an upstream bears that names a limit, as the aim says it."""

from __future__ import annotations

# In any `WINDOW_S` half as much again as the limit allows and five more, from `KNOWN_WITHIN_S`
# after it was first named.
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
KNOWN_WITHIN_S = 2.5


def borne(limit: float) -> float:
    """Return how many requests an upstream bears in a window."""
    return OVERAGE * WINDOW_S * limit + SLACK


def most_in_a_window(times: list[float], since: float) -> int:
    """Return the most requests that came in any window, of those that came since a moment."""
    counted = [at for at in times if at >= since]
    return max((sum(at <= one < at + WINDOW_S for one in counted) for at in counted), default=0)
