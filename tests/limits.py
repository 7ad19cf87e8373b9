"""Bounds on the requests to an upstream that names a rate limit, for tests."""

from __future__ import annotations

from bench.limits import WINDOW_S
from bench.limits import max_in_window as borne

__all__ = ["KNOWN_WITHIN_S", "WINDOW_S", "borne", "most_in_a_window"]

# Seconds after which all gateways must keep to a limit that an upstream has named.
KNOWN_WITHIN_S = 2.5


def most_in_a_window(times: list[float], since: float) -> int:
    """Return the most requests received in any window from a time on."""
    counted = [at for at in times if at >= since]
    return max((sum(at <= one < at + WINDOW_S for one in counted) for at in counted), default=0)
