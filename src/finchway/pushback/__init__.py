"""What upstreams ask of whoever sends them requests: rest, so many a second, or nothing new.

The entry and the gateway read it from every answer in the same way, and keep to it by the same
book, so that no answer's words are passed over where nobody thought of them.
"""

from finchway.pushback._allowance import LEAST_RATE, Allowances, Part
from finchway.pushback._asked import ASKED_NOTHING, Asked, is_own_answer, read_asked
from finchway.pushback._decimal import read_decimal
from finchway.pushback._leaving import LeavingLives
from finchway.pushback._news import LimitNews, LimitsHeard, LimitsKnown
from finchway.pushback._rests import (
    LONGEST_REST_S,
    LONGEST_SPREAD_S,
    RETURN_SPREAD,
    RestBook,
)
from finchway.pushback._retry_after import read_retry_after
from finchway.pushback._words import MOST_LIMITS, LimitWords, NamedLimit

__all__ = [
    "ASKED_NOTHING",
    "LEAST_RATE",
    "LONGEST_REST_S",
    "LONGEST_SPREAD_S",
    "MOST_LIMITS",
    "RETURN_SPREAD",
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
