"""The operating limits that a deployment sets for gateways and replicas."""

from __future__ import annotations

from msgspec import Struct


class Bounds(Struct, frozen=True, kw_only=True):
    """The bounds to observe; times are in seconds.

    `repeat_ratio`, `repeat_slack` and `repeat_window` bound the retries of all gateways together;
    `cold_overage` and `cold_slack` the requests per second to a cold upstream; `shift_per_window`
    the share of a region's requests that may move to another region from one `shift_window` to the
    next. `grace` is the time from the stop signal until the process is killed, and `apply_within`
    the time in which an accepted change takes effect everywhere.
    """

    heartbeat: float = 1.5
    drain: float = 2.0
    grace: float = 6.0
    repeat_ratio: float = 0.2
    repeat_slack: float = 60.0
    repeat_window: float = 10.0
    cold_overage: float = 1.5
    cold_slack: float = 5.0
    shift_per_window: float = 0.15
    shift_window: float = 2.0
    apply_within: float = 2.5
    directory_ttl: float = 1.0
    voters: int = 5
