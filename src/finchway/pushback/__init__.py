"""What upstreams ask of whoever sends them requests: rest for a while, or nothing new for good.

The entry and the gateway read it from every answer in the same way, and keep to it by the same
book, so that no answer's words are passed over where nobody thought of them.
"""

from finchway.pushback._asked import ASKED_NOTHING, Asked, read_asked
from finchway.pushback._leaving import LeavingLives
from finchway.pushback._rests import (
    LONGEST_REST_S,
    LONGEST_SPREAD_S,
    RETURN_SPREAD,
    RestBook,
)
from finchway.pushback._retry_after import read_retry_after

__all__ = [
    "ASKED_NOTHING",
    "LONGEST_REST_S",
    "LONGEST_SPREAD_S",
    "RETURN_SPREAD",
    "Asked",
    "LeavingLives",
    "RestBook",
    "read_asked",
    "read_retry_after",
]
