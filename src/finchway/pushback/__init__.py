"""Back-pressure from upstreams: backoff, rate limits and leaving marks in response headers.

The entry and the gateway use the same parser and state for it, so that it is honoured for every
response.
"""

from finchway.pushback._backoffs import (
    JITTER_FRACTION,
    MAX_BACKOFF_S,
    MAX_JITTER_S,
    BackoffTable,
)
from finchway.pushback._decimal import read_decimal
from finchway.pushback._leaving import LeavingIncarnations
from finchway.pushback._limit_log import LimitLog, LimitLogEntries, LimitLogPosition
from finchway.pushback._limit_reports import MAX_LIMITS, LimitReport, LimitReports
from finchway.pushback._pushback import NO_PUSHBACK, Pushback, is_own_answer, read_pushback
from finchway.pushback._rate_limiter import MIN_RATE, Part, RateLimiter
from finchway.pushback._retry_after import read_retry_after

__all__ = [
    "NO_PUSHBACK",
    "MIN_RATE",
    "MAX_BACKOFF_S",
    "MAX_JITTER_S",
    "MAX_LIMITS",
    "JITTER_FRACTION",
    "RateLimiter",
    "Pushback",
    "LeavingIncarnations",
    "LimitLog",
    "LimitReports",
    "LimitLogEntries",
    "LimitLogPosition",
    "LimitReport",
    "Part",
    "BackoffTable",
    "is_own_answer",
    "read_pushback",
    "read_decimal",
    "read_retry_after",
]
