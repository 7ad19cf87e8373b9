"""Back-pressure from upstreams: backoff, rate limits and leaving marks in response headers.

The entry and the gateway use the same parser and state for it, so that it is honoured for every
response.
"""

from finchway.pushback._allowance import MIN_RATE, Allowances, Part
from finchway.pushback._backoffs import (
    JITTER_FRACTION,
    MAX_BACKOFF_S,
    MAX_JITTER_S,
    BackoffTable,
)
from finchway.pushback._decimal import read_decimal
from finchway.pushback._leaving import LeavingLives
from finchway.pushback._limit_log import LimitNews, LimitsHeard, LimitsKnown
from finchway.pushback._limit_reports import MOST_LIMITS, LimitWords, NamedLimit
from finchway.pushback._pushback import NO_PUSHBACK, Pushback, is_own_answer, read_pushback
from finchway.pushback._retry_after import read_retry_after

__all__ = [
    "NO_PUSHBACK",
    "MIN_RATE",
    "MAX_BACKOFF_S",
    "MAX_JITTER_S",
    "MOST_LIMITS",
    "JITTER_FRACTION",
    "Allowances",
    "Pushback",
    "LeavingLives",
    "LimitNews",
    "LimitWords",
    "LimitsHeard",
    "LimitsKnown",
    "NamedLimit",
    "Part",
    "BackoffTable",
    "is_own_answer",
    "read_pushback",
    "read_decimal",
    "read_retry_after",
]
