"""Upstreams that register themselves by heartbeat, and the marks of those that leave."""

from finchway.registry._addresses import AddressHolders
from finchway.registry._check import LARGEST_COUNT, check_registration
from finchway.registry._registry import Heard, Registry
from finchway.registry._upstream import Mark, MarkKind, Registration, UpstreamState, name_life

__all__ = [
    "LARGEST_COUNT",
    "AddressHolders",
    "Heard",
    "Mark",
    "MarkKind",
    "Registration",
    "Registry",
    "UpstreamState",
    "check_registration",
    "name_life",
]
