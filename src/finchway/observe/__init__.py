"""Observability of a process: event timeline, metrics and structured logs."""

from finchway.observe._decisions import (
    AnyDecision,
    AttemptEnded,
    ClientsLimited,
    CommandEnded,
    DecisionLog,
    PlanChanged,
    PollEnded,
    PollOutcome,
    ProcessChanged,
    RegionPlan,
    RequestEnded,
    RetryBudgeted,
    RetryDenied,
    StateChanged,
    UpstreamCrashed,
)
from finchway.observe._events import Event, EventKind, LogicalClock, Timeline, merge
from finchway.observe._gateway_metrics import GatewayMetrics, GatewayState, LimitTotals, RetryTotals
from finchway.observe._lag import LoopLag
from finchway.observe._logs import configure_logs
from finchway.observe._metrics import Metrics
from finchway.observe._replica_metrics import ReplicaMetrics, ReplicaState
from finchway.observe._writer import LogWriter

__all__ = [
    "AnyDecision",
    "AttemptEnded",
    "ClientsLimited",
    "StateChanged",
    "DecisionLog",
    "Event",
    "EventKind",
    "PollEnded",
    "PollOutcome",
    "GatewayMetrics",
    "GatewayState",
    "LimitTotals",
    "LogWriter",
    "LogicalClock",
    "LoopLag",
    "Metrics",
    "CommandEnded",
    "PlanChanged",
    "ProcessChanged",
    "RegionPlan",
    "RetryBudgeted",
    "RetryDenied",
    "ReplicaMetrics",
    "ReplicaState",
    "RequestEnded",
    "RetryTotals",
    "Timeline",
    "UpstreamCrashed",
    "configure_logs",
    "merge",
]
