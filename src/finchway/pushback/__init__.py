"""Back-pressure from upstreams: backoff, rate limits and leaving marks in response headers.

The entry and the gateway use the same parser and state for it, so that it is honoured for every
response.
"""

from finchway.pushback._allowance import MIN_RATE, Allowances, Part
from finchway.pushback._backoffs import (
    JITTER_FRACTION,
    LONGEST_REST_S,
    MAX_JITTER_S,
    RestBook,
)
from finchway.pushback._decimal import read_decimal
from finchway.pushback._leaving import LeavingLives
from finchway.pushback._limit_log import LimitNews, LimitsHeard, LimitsKnown
from finchway.pushback._limit_reports import MOST_LIMITS, LimitWords, NamedLimit
from finchway.pushback._pushback import ASKED_NOTHING, Asked, is_own_answer, read_asked
from finchway.pushback._retry_after import read_retry_after

__all__ = [
    "ASKED_NOTHING",
    "MIN_RATE",
    "LONGEST_REST_S",
    "MAX_JITTER_S",
    "MOST_LIMITS",
    "JITTER_FRACTION",
    "Allowances",
    "Asked",
    "LeavingLives",
    "LimitNews",
    "LimitWords",
    "LimitsHeard",
    "LimitsKnown",
    "NamedLimit",
    "Part",
    "RestBook",
    "is_own_answer",
    "read_asked",
    "read_decimal",
    "read_retry_after",
]
