"""The feed from control to gateways: what is committed, and what upstreams and gateways say.

A gateway keeps one question open at every replica that it knows, so a commit reaches it at once,
and losing any one replica changes nothing. Everything it takes in only ever moves forward.
"""

from finchway.feed._book import GatewayBook, HeardGateway
from finchway.feed._directory import choose_gateways
from finchway.feed._fellows import Fellows
from finchway.feed._messages import (
    Feed,
    GatewayBeat,
    GatewayPeer,
    HeardUpstream,
    RegionDemand,
    ReplicaAddress,
    ReportedRequests,
    Roster,
    ServiceRate,
    ShareHeard,
    Subscribe,
)
from finchway.feed._world import World

__all__ = [
    "Feed",
    "Fellows",
    "GatewayBeat",
    "GatewayBook",
    "GatewayPeer",
    "HeardGateway",
    "HeardUpstream",
    "RegionDemand",
    "ReplicaAddress",
    "ReportedRequests",
    "Roster",
    "ServiceRate",
    "ShareHeard",
    "Subscribe",
    "World",
    "choose_gateways",
]
