"""Membership of entries: heartbeats, leases, and the leader's decisions based on them."""

from finchway.membership._coordinator import (
    Coordinator,
    changes_since,
    full_state,
)
from finchway.membership._heartbeat import (
    Heartbeat,
    HeartbeatReply,
    RateReport,
    UpstreamMark,
    rate_key,
)
from finchway.membership._plans import SYSTEM_OPERATOR, capacity_of
from finchway.membership._platform import PlatformList, PlatformView
from finchway.membership._registry import HeartbeatRegistry, LatestHeartbeat, LeaseTiming

__all__ = [
    "SYSTEM_OPERATOR",
    "Coordinator",
    "Heartbeat",
    "HeartbeatReply",
    "HeartbeatRegistry",
    "LatestHeartbeat",
    "LeaseTiming",
    "PlatformList",
    "PlatformView",
    "RateReport",
    "UpstreamMark",
    "capacity_of",
    "changes_since",
    "full_state",
    "rate_key",
]
