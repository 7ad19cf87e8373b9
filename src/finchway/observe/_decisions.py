"""The decisions that a process logs, each a typed line with the inputs that decided it.

Ages are in milliseconds at the time of the decision. Bodies and credentials never get here.
"""

from __future__ import annotations

import time
from enum import Enum

import msgspec
from msgspec import Struct

from finchway.observe._writer import LogWriter


class Decision(Struct, frozen=True, kw_only=True, tag_field="event", omit_defaults=True):
    """The base of all lines."""

    @property
    def is_vital(self) -> bool:
        """Whether the line outlives those of requests that went well."""
        return True


class RequestEnded(Decision, frozen=True, kw_only=True, tag="request"):
    """The end of a caller's request: what the caller was told, and why.

    `revision` is the configuration that routed it, `heard_ms` the age of the newest feed, and
    `known_ms` the age of the moment up to which all that was accepted is known here. Refusals
    before any attempt also tell `up_ms`, the age of the process, and `lag_ms`, how late its
    event loop ran in the last second. `digest` is the same each time that a caller sends the
    same request; it is there for those that failed, once any is suspected of ending upstreams.
    `back_ms` is the time until an upstream wants requests again, where all of them rest.
    """

    id: str
    route: str = ""
    service: str = ""
    priority: int = -1
    status: int
    reason: str
    attempts: int = 0
    ms: float
    budget_ms: float = 0.0
    revision: int = 0
    heard_ms: float = -1.0
    known_ms: float = -1.0
    up_ms: float = -1.0
    lag_ms: float = -1.0
    back_ms: float | None = None
    digest: str = ""

    @property
    def is_vital(self) -> bool:
        """Failures and refusals are vital."""
        return self.status >= 400 or self.status == 0


class AttemptEnded(Decision, frozen=True, kw_only=True, tag="attempt"):
    """One attempt at an upstream: why it was chosen, and how it ended.

    What decided stands as it was when the choice was made: `reason` is home, relief, trial or
    other-region; `busy` the estimated requests at the upstream, resting on a report of `report_ms`
    before (-1: none); `heard_ms` the age of the newest word of a replica; `kept` the part of the
    service's requests that this region keeps; `passed_over` the upstreams that were passed over for
    the rest that they had asked for, and `rest_left_ms` what was left of this one's. `asked_ms` is
    the rest that the answer asks for, `leaving` that it says that the upstream leaves. `limit` are
    the requests a second that the upstream had said it takes, `limit_ms` before, `limit_part` those
    that this gateway may send of them and `limit_holders` among how many they are divided;
    `at_limit` counts the upstreams that were passed over for their limits, and `named_limit` is
    what this answer names. `digest`
    names the request, whenever it is sent, where it is not known how the attempt ended.
    """

    id: str
    number: int
    key: str
    upstream: str
    zone: str
    region: str
    reason: str
    busy: float
    slots: int
    report_ms: float
    heard_ms: float
    kept: float
    choices: int
    result: str
    detail: str = ""
    digest: str = ""
    passed_over: int = 0
    rest_left_ms: float | None = None
    asked_ms: float | None = None
    leaving: bool = False
    limit: float | None = None
    limit_ms: float | None = None
    limit_part: float | None = None
    limit_holders: int = 0
    at_limit: int = 0
    named_limit: float | None = None
    ms: float

    @property
    def is_vital(self) -> bool:
        """Attempts that brought no answer are vital."""
        return self.result != "answered"


class UpstreamEnded(Decision, frozen=True, kw_only=True, tag="upstream-ended"):
    """An upstream's connection broke under a request, and nothing listens at its address any more.

    `digest` names the request whenever it is sent; `ended` counts the upstreams that ended under it
    one after the other, as far as this gateway knows, and `under_way` are its other requests there.
    """

    id: str
    digest: str
    caller: str
    target: str
    upstream: str
    address: str
    ended: int
    under_way: int


class RepeatDenied(Decision, frozen=True, kw_only=True, tag="repeat-denied"):
    """A further attempt was not made, and why."""

    id: str
    service: str
    reason: str
    after: str


class FeedOutcome(Enum):
    """How a question to a replica went, where that is worth a line."""

    FIRST = "first"
    SLOW = "slow"
    LATE = "late"
    GIVEN_UP = "given-up"


class FeedEnded(Decision, frozen=True, kw_only=True, tag="feed"):
    """A replica's first answer, a slow or late one, or a question that was given up.

    `ms` counts from the question, `held_ms` is how much of it the replica waited for news;
    `upstreams` are those in the answer, `revision` is the steering revision known before it, and
    `lag_ms` is how late the event loop ran in the last second.
    """

    replica: str
    outcome: FeedOutcome
    ms: float
    held_ms: float = -1.0
    upstreams: int = 0
    revision: int = 0
    lag_ms: float


class BeliefChanged(Decision, frozen=True, kw_only=True, tag="belief"):
    """Something this process holds to be true changed."""

    subject: str
    now: str
    before: str = ""
    source: str = ""
    revision: int = 0
    age_ms: float = -1.0


class RegionShare(Struct, frozen=True):
    """One region in a plan: requests a second asked and bearable, and its planned part."""

    demand: float
    capacity: float
    part: float


class PlanChanged(Decision, frozen=True, kw_only=True, tag="plan"):
    """A gateway's plan for a service has moved: which part of its requests goes to which region.

    `work_ms` is the estimated work of a request, `most_kept` the part that the region's upstreams
    can remember, `kept` the part that is kept now, on its way to the planned one; `poor` counts
    upstreams left out for poor answers.
    """

    service: str
    regions: dict[str, RegionShare]
    work_ms: float
    most_kept: float
    kept: float
    poor: int


class ProcessChanged(Decision, frozen=True, kw_only=True, tag="process"):
    """The process started, stops, read its settings anew, or lost or regained a dependency."""

    change: str
    detail: str = ""


class OrderEnded(Decision, frozen=True, kw_only=True, tag="order"):
    """The end of an operator's or upstream's order at a replica.

    `outcome` is committed, refused, conflict or open (no quorum confirmed it in time); `revision`
    is the steering revision at this replica.
    """

    order: str
    subject: str
    outcome: str
    detail: str = ""
    revision: int = 0
    ms: float


AnyDecision = (
    RequestEnded
    | AttemptEnded
    | UpstreamEnded
    | RepeatDenied
    | FeedEnded
    | BeliefChanged
    | PlanChanged
    | ProcessChanged
    | OrderEnded
)


class DecisionLog:
    """Encodes decisions and queues them."""

    def __init__(self, instance: str, writer: LogWriter) -> None:
        self._writer = writer
        self._encoder = msgspec.json.Encoder()
        self._prefix = msgspec.json.encode(instance)

    @property
    def writer(self) -> LogWriter:
        """Where the lines go."""
        return self._writer

    def write(self, decision: AnyDecision) -> None:
        """Queue one line; never waits."""
        line = b'{"t":%.3f,"instance":%s,' % (time.time(), self._prefix)
        self._writer.put(line + self._encoder.encode(decision)[1:], decision.is_vital)
