"""The bounds that a deployment sets for gateways and replicas; times in seconds."""

from __future__ import annotations

from msgspec import Struct


class Bounds(Struct, frozen=True, kw_only=True):
    """What must be kept to, as the deployment's settings say it.

    `repeat_ratio`, `repeat_slack` and `repeat_window` bound arrivals beyond the first of each
    request over all gateways; `cold_overage` and `cold_slack` the requests that a cold upstream
    gets in a second; `shift_per_window` the part of a region's requests that may move to another
    region between two windows of `shift_window`; `grace` is the time from the request to stop
    until the process is killed; `apply_within` is the time after which an accepted change must be
    in force everywhere.
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
