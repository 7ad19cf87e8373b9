"""What upstreams ask of whoever sends them requests: rest, so many a second, or nothing new.

The entry and the gateway read it from every answer in the same way, and keep to it by the same
book, so that no answer's words are passed over where nobody thought of them.
"""

from finchway.pushback._asked import ASKED_NOTHING, Asked, is_own_answer, read_asked
from finchway.pushback._decimal import read_decimal
from finchway.pushback._leaving import LeavingLives
from finchway.pushback._rests import (
    LONGEST_REST_S,
    LONGEST_SPREAD_S,
    RETURN_SPREAD,
    RestBook,
)
from finchway.pushback._retry_after import read_retry_after
from finchway.pushback._words import LimitWords

__all__ = [
    "ASKED_NOTHING",
    "LONGEST_REST_S",
    "LONGEST_SPREAD_S",
    "RETURN_SPREAD",
    "Asked",
    "LeavingLives",
    "LimitWords",
    "RestBook",
    "is_own_answer",
    "read_asked",
    "read_decimal",
    "read_retry_after",
]
