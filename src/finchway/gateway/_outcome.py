"""How an attempt at an upstream ended, and with it perhaps the request."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from finchway.gateway._connection import Answer, UpstreamConnection
from finchway.gateway._record import UpstreamRecord


class Verdict(Enum):
    """How a request ended, as far as this gateway can tell."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    LEFT = "left"


class Outcome(Struct):
    """How an attempt ended: with an answer, or certainly not run, or unknown."""

    verdict: Verdict
    detail: str = ""
    answer: Answer | None = None
    connection: UpstreamConnection | None = None
    record: UpstreamRecord | None = None
