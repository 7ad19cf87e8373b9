"""The feed from control to gateways: committed state and heartbeats of upstreams and gateways.

A gateway long-polls every replica that it knows, so that a commit reaches it at once and the loss
of any one replica has no effect. The state that it merges never goes back.
"""

from finchway.feed._cluster_view import World
from finchway.feed._directory import choose_gateways
from finchway.feed._gateway_table import GatewayStatus, GatewayTable
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
from finchway.feed._peer_gateways import Fellows

__all__ = [
    "Feed",
    "Fellows",
    "GatewayBeat",
    "GatewayTable",
    "GatewayPeer",
    "GatewayStatus",
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
