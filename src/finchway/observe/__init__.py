"""Observability of a process: event timeline, metrics and structured logs."""

from finchway.observe._decisions import (
    AnyDecision,
    AttemptEnded,
    BeliefChanged,
    DecisionLog,
    FeedEnded,
    FeedOutcome,
    OrderEnded,
    PlanChanged,
    ProcessChanged,
    RegionShare,
    RepeatDenied,
    RequestEnded,
    UpstreamEnded,
)
from finchway.observe._events import Event, EventKind, LogicalClock, Timeline, merge
from finchway.observe._gateway_metrics import GatewayMetrics, GatewayState, LimitTotals
from finchway.observe._lag import LoopLag
from finchway.observe._logs import configure_logs
from finchway.observe._metrics import Metrics
from finchway.observe._replica_metrics import ReplicaMetrics, ReplicaState
from finchway.observe._writer import LogWriter

__all__ = [
    "AnyDecision",
    "AttemptEnded",
    "BeliefChanged",
    "DecisionLog",
    "Event",
    "EventKind",
    "FeedEnded",
    "FeedOutcome",
    "GatewayMetrics",
    "GatewayState",
    "LimitTotals",
    "LogWriter",
    "LogicalClock",
    "LoopLag",
    "Metrics",
    "OrderEnded",
    "PlanChanged",
    "ProcessChanged",
    "RegionShare",
    "RepeatDenied",
    "ReplicaMetrics",
    "ReplicaState",
    "RequestEnded",
    "Timeline",
    "UpstreamEnded",
    "configure_logs",
    "merge",
]
