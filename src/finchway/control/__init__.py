"""The control role: the replica's shell, the leader's loops and the resource API."""

from finchway.control._api import ResourceApi
from finchway.control._bootstrap import Bootstrapped, bootstrap
from finchway.control._replica import ReplicaRunner
from finchway.control._server import ControlServer

__all__ = ["Bootstrapped", "ControlServer", "ReplicaRunner", "ResourceApi", "bootstrap"]
