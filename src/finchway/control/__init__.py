"""The control role: the replica runner, the leader's background tasks and the resource API."""

from finchway.control._api import ResourceApi
from finchway.control._bootstrap import Bootstrapped, bootstrap, found_cluster
from finchway.control._replica import ReplicaRunner
from finchway.control._server import ControlServer
from finchway.control._steering import SteeringService

__all__ = [
    "Bootstrapped",
    "ControlServer",
    "ReplicaRunner",
    "ResourceApi",
    "SteeringService",
    "bootstrap",
    "found_cluster",
]
