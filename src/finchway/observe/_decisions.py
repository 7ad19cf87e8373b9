"""Structured log records of a process's decisions, each with the inputs that led to it.

Ages are in milliseconds at the time of the decision. Bodies and credentials are never logged.
"""

from __future__ import annotations

import time
from enum import Enum

import msgspec
from msgspec import Struct

from finchway.observe._writer import LogWriter


class Decision(Struct, frozen=True, kw_only=True, tag_field="event", omit_defaults=True):
    """Base class of all decision records."""

    @property
    def is_vital(self) -> bool:
        """Whether the line goes to the queue that is the last to drop lines."""
        return True


class RequestEnded(Decision, frozen=True, kw_only=True, tag="request"):
    """The end of a caller's request: the status that was returned, and the reason.

    `revision` is the configuration that routed it, `heard_ms` the age of the latest feed, and
    `known_ms` the age of the time up to which all accepted changes are known here. Requests that
    are refused before any attempt also have `up_ms`, the process's uptime, and `lag_ms`, the event
    loop's lag over the last second. `digest` identifies equal requests of a caller; it is set for
    failed requests while any request is suspected of crashing upstreams. `back_ms` is the time
    until the first upstream is available again if all of them are in backoff. For requests that
    failed, `reached_ms` is the time since any upstream accepted a connection or answered. While the
    gateway stops, `stop_left_ms` is the time until it closes the connections that are left.
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
    reached_ms: float | None = None
    stop_left_ms: float | None = None
    digest: str = ""

    @property
    def is_vital(self) -> bool:
        """True for failed and refused requests."""
        return self.status >= 400 or self.status == 0


class AttemptEnded(Decision, frozen=True, kw_only=True, tag="attempt"):
    """One attempt at an upstream: why it was selected, and how it ended.

    The inputs are as of the selection: `reason` is home, relief, trial, return, other-region or
    last-resort; `busy` the estimated load of the upstream in requests, based on a report
    `report_ms` old (-1: none);
    `heard_ms` the age of the latest message from a replica; `kept` the fraction of the service's
    requests that this region handles itself; `passed_over` the number of upstreams skipped because
    of backoff, and `rest_left_ms` the remaining backoff of the selected one. `limit` is the rate
    limit that the upstream had reported `limit_ms` before, in requests per second, `limit_part`
    this gateway's part of it and `limit_holders` the number of gateways that divide it; `at_limit`
    counts the upstreams skipped because of their limits, and `outliers` those skipped because they
    answer worse than their peers.

    `connection` numbers the connection that it used, 0 if it got none, and `strays` counts the
    answers to other requests that were skipped on it so far.

    From the response: `asked_ms` is the backoff that it requests, `leaving` whether it announces
    that the upstream is leaving, and `named_limit` the rate limit that it reports. `digest`
    identifies equal requests; it is set where the outcome of the attempt is unknown.
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
    connection: int = 0
    strays: int = 0
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
    outliers: int = 0
    named_limit: float | None = None
    ms: float

    @property
    def is_vital(self) -> bool:
        """True for attempts that returned no answer."""
        return self.result != "answered"


class UpstreamCrashed(Decision, frozen=True, kw_only=True, tag="upstream-ended"):
    """An upstream crashed: its connection broke during a request, and its address refuses new ones.

    `digest` identifies equal requests; `ended` counts the consecutive crashes during this request
    that this gateway knows of, `under_way` the gateway's other requests in flight at the upstream.
    """

    id: str
    digest: str
    caller: str
    target: str
    upstream: str
    address: str
    ended: int
    under_way: int


class RetryBudgeted(Decision, frozen=True, kw_only=True, tag="repeat-budget"):
    """Whether this gateway's part of the retry budget admitted a retry, and its inputs.

    `requests` and `before` are the service's requests and granted retries within the window as this
    process has counted them, `left` the retries that it had earned and not spent. The slack of the
    budget was divided by `gateways` (0: not known yet), a number from a replica's message
    `heard_ms` old; it is earned once that number is `settled`. `up_ms` is the process's uptime.
    """

    id: str
    service: str
    granted: bool
    requests: int
    before: int
    left: float
    gateways: int
    settled: bool
    heard_ms: float
    up_ms: float


class RetryDenied(Decision, frozen=True, kw_only=True, tag="repeat-denied"):
    """A retry that was not made, and the reason."""

    id: str
    service: str
    reason: str
    after: str


class PollOutcome(Enum):
    """Outcome of a poll of a replica that is logged."""

    FIRST = "first"
    ANNOUNCED = "announced"
    SLOW = "slow"
    LATE = "late"
    GIVEN_UP = "given-up"


class PollEnded(Decision, frozen=True, kw_only=True, tag="feed"):
    """A replica's first answer, one that announces a large image, a slow or late one, or none.

    `ms` is the time since the poll was sent, `held_ms` the part of it for which the replica waited
    for changes; `upstreams` counts those in the answer, `revision` is the steering revision known
    before it, and `lag_ms` the event loop's lag over the last second.
    """

    replica: str
    outcome: PollOutcome
    ms: float
    held_ms: float = -1.0
    upstreams: int = 0
    revision: int = 0
    lag_ms: float


class StateChanged(Decision, frozen=True, kw_only=True, tag="belief"):
    """The process's view of an upstream, replica, zone or other subject changed."""

    subject: str
    now: str
    before: str = ""
    source: str = ""
    revision: int = 0
    age_ms: float = -1.0


class RegionPlan(Struct, frozen=True):
    """A region in a plan: demand and capacity in requests per second, and the planned fraction.

    `mean_ms` is the mean time of its answers, or the service time if its gateways report none.
    """

    demand: float
    capacity: float
    part: float
    mean_ms: int = 0


class PlanChanged(Decision, frozen=True, kw_only=True, tag="plan"):
    """A gateway's plan for a service changed: the fraction of its requests for each region.

    `work_ms` is the estimated service time of a request, `most_kept` the largest fraction for which
    the home region's upstreams can keep the keys warm, `kept` the fraction handled there now, which
    approaches the planned one step by step; `poor` counts the upstreams ejected as outliers.
    """

    service: str
    regions: dict[str, RegionPlan]
    work_ms: float
    most_kept: float
    kept: float
    poor: int


class ProcessChanged(Decision, frozen=True, kw_only=True, tag="process"):
    """The process started, stops, reloaded its settings, or lost or regained a dependency."""

    change: str
    detail: str = ""


class ClientsLimited(Decision, frozen=True, kw_only=True, tag="clients-limited"):
    """Clients were refused or ended, since all of them together held too much.

    `connections` and `held_bytes` are what they hold, beside the most that they may. Since the
    start of the process, `ended` connections were closed to make room, `refused_connections` were
    not accepted, and `refused_requests` were answered with 503 or cut off.
    """

    connections: int
    max_connections: int
    held_bytes: int
    max_bytes: int
    ended: int
    refused_connections: int
    refused_requests: int


class CommandEnded(Decision, frozen=True, kw_only=True, tag="order"):
    """The end of a command from an operator or an upstream at a replica.

    `outcome` is committed, refused, conflict, expired (dropped, since its caller no longer waited)
    or open (no quorum confirmed it in time); `revision` is the steering revision at this replica.
    The command was at most `age_ms` old when it was taken up, and `left` tells whether its caller
    had closed the connection by then.
    """

    order: str
    subject: str
    outcome: str
    detail: str = ""
    revision: int = 0
    age_ms: float = -1.0
    left: bool = False
    ms: float


AnyDecision = (
    RequestEnded
    | AttemptEnded
    | UpstreamCrashed
    | RetryBudgeted
    | RetryDenied
    | PollEnded
    | StateChanged
    | PlanChanged
    | ProcessChanged
    | ClientsLimited
    | CommandEnded
)


class DecisionLog:
    """Encodes decisions as JSON lines and queues them at a `LogWriter`."""

    def __init__(self, instance: str, writer: LogWriter) -> None:
        self._writer = writer
        self._encoder = msgspec.json.Encoder()
        self._prefix = msgspec.json.encode(instance)

    @property
    def writer(self) -> LogWriter:
        """The writer that the lines are queued at."""
        return self._writer

    def write(self, decision: AnyDecision) -> None:
        """Queue one line without blocking."""
        line = b'{"t":%.3f,"instance":%s,' % (time.time(), self._prefix)
        self._writer.put(line + self._encoder.encode(decision)[1:], decision.is_vital)
