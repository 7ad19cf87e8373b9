"""Who is live, leaving or silent, and the leader's decisions that follow from it."""

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
from finchway.membership._platform import PlatformList, PlatformView
from finchway.membership._progress import SYSTEM_OPERATOR, capacity_of
from finchway.membership._registry import Known, LeaseTiming, Registry

__all__ = [
    "SYSTEM_OPERATOR",
    "Coordinator",
    "Heartbeat",
    "HeartbeatReply",
    "Known",
    "LeaseTiming",
    "PlatformList",
    "PlatformView",
    "RateReport",
    "Registry",
    "UpstreamMark",
    "capacity_of",
    "changes_since",
    "full_state",
    "rate_key",
]
