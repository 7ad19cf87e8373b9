"""What a process shows of itself: the time line of events, metrics and logs."""

from finchway.observe._events import Event, EventKind, LogicalClock, Timeline, merge
from finchway.observe._logs import configure_logs
from finchway.observe._metrics import Metrics

__all__ = [
    "Event",
    "EventKind",
    "LogicalClock",
    "Metrics",
    "Timeline",
    "configure_logs",
    "merge",
]
