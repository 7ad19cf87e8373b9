"""The feed from control to gateways: committed state and heartbeats of upstreams and gateways.

A gateway long-polls every replica that it knows, so that a commit reaches it at once and the loss
of any one replica has no effect. The state that it merges never goes back.
"""

from finchway.feed._cluster_view import ClusterView
from finchway.feed._directory import choose_gateways
from finchway.feed._gateway_table import GatewayStatus, GatewayTable
from finchway.feed._messages import (
    Feed,
    GatewayHeartbeat,
    GatewayPeer,
    RegionDemand,
    ReplicaAddress,
    ReportedRequests,
    Roster,
    ServiceRate,
    ShareHeartbeats,
    Subscribe,
    UpstreamHeartbeat,
)
from finchway.feed._packing import ImageCache, PackedFeed, pack, unpack
from finchway.feed._peer_gateways import PeerGateways

__all__ = [
    "Feed",
    "ImageCache",
    "PackedFeed",
    "PeerGateways",
    "GatewayHeartbeat",
    "GatewayTable",
    "GatewayPeer",
    "GatewayStatus",
    "UpstreamHeartbeat",
    "RegionDemand",
    "ReplicaAddress",
    "ReportedRequests",
    "Roster",
    "ServiceRate",
    "ShareHeartbeats",
    "Subscribe",
    "ClusterView",
    "choose_gateways",
    "pack",
    "unpack",
]
