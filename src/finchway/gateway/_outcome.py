"""The outcome of an attempt at an upstream."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from finchway.gateway._connection import Answer, UpstreamConnection
from finchway.gateway._record import UpstreamRecord


class Verdict(Enum):
    """Whether a request ran at an upstream, as far as the gateway can tell."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    LEFT = "left"


class Outcome(Struct):
    """The verdict on an attempt, with its answer if there is one."""

    verdict: Verdict
    detail: str = ""
    answer: Answer | None = None
    connection: UpstreamConnection | None = None
    record: UpstreamRecord | None = None
