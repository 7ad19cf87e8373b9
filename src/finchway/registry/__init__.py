"""Upstreams registered by heartbeat, and the marks of those that are draining or gone."""

from finchway._counts import Count
from finchway.registry._addresses import AddressOwners
from finchway.registry._check import check_registration
from finchway.registry._registry import ReceivedHeartbeat, Registry
from finchway.registry._upstream import (
    Mark,
    MarkKind,
    Registration,
    UpstreamState,
    incarnation_name,
)

__all__ = [
    "AddressOwners",
    "Count",
    "ReceivedHeartbeat",
    "Mark",
    "MarkKind",
    "Registration",
    "Registry",
    "UpstreamState",
    "check_registration",
    "incarnation_name",
]
