"""A request in progress, and the choice of an upstream for it."""

from __future__ import annotations

from enum import Enum

import trio
from msgspec import Struct, field

from finchway.catalog import Route
from finchway.gateway._connection import UpstreamConnection
from finchway.gateway._fingerprint import fingerprint
from finchway.gateway._http import CallerRequest
from finchway.gateway._record import UpstreamRecord
from finchway.pushback import NO_PUSHBACK, Part, Pushback


class CrashEvidence(Struct):
    """Upstreams that have crashed under a request.

    `crashes_before` counts those known when the request arrived, `crashes_since` those since, and
    `last_crashed` is the incarnation of the latest. `is_over` is set after the last attempt, and
    `is_answered` once an upstream has run the request without a crash.
    """

    crashes_before: int = 0
    crashes_since: int = 0
    last_crashed: str = ""
    is_over: bool = False
    is_answered: bool = False

    @property
    def crashes(self) -> int:
        """Total number of upstreams that have crashed under it."""
        return self.crashes_before + self.crashes_since


class RequestContext(Struct, eq=False):
    """A request in progress; `refusal` is the reason why no upstream was chosen.

    `has_key` is set if the caller sent an affinity key; otherwise `key` is the request's id.
    `is_read` is set once the request has been read completely. With `at_most_once`, it is not
    retried if it may have run. Cancelling `scope` ends the attempts; `is_quarantined` marks a
    cancellation because of the quarantine, and `is_given_up` one because the gateway reaches no
    upstream any more. `is_too_long` is set if its streamed body exceeds the limit. `pushback` is
    that in the answer of the last attempt. `available_in_s` are the seconds until an upstream is
    available, if none is; `carried_by` has the connections that the request was sent on.
    """

    request: CallerRequest
    route_name: str
    route: Route
    service: str
    request_id: str
    key: str
    deadline: float
    attempts: int = 0
    upstream_count: int = 0
    refusal: str = ""
    tried: set[str] = set()
    carried_by: set[UpstreamConnection] = set()
    has_key: bool = True
    is_read: trio.Event = field(default_factory=trio.Event)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    at_most_once: bool = False
    is_quarantined: bool = False
    is_given_up: bool = False
    is_too_long: bool = False
    evidence: CrashEvidence = field(default_factory=CrashEvidence)
    digest: str = ""
    pushback: Pushback = NO_PUSHBACK
    available_in_s: float = 0.0

    @property
    def fingerprint(self) -> str:
        """The fingerprint that is the same for each retry by the caller; computed on demand."""
        if not self.digest:
            self.digest = fingerprint(self.request)
        return self.digest

    def drop_body(self) -> None:
        """Give up the first part of a streamed body, which was passed on, but for its digest."""
        self.digest = self.fingerprint
        self.request.body = b""


class ChoiceReason(Enum):
    """Why an upstream gets a request.

    HOME: it is the key's home. RELIEF: the home is full, and this one has a free slot. TRIAL: it is
    an outlier that is tried again. RETURN: its requested backoff is over, and one trial request is
    sent first. OTHER_REGION: the planned region has no available upstream. LAST_RESORT: it is an
    outlier that still answers, and no other upstream in any region may get the request.
    """

    HOME = "home"
    RELIEF = "relief"
    TRIAL = "trial"
    RETURN = "return"
    OTHER_REGION = "other-region"
    LAST_RESORT = "last-resort"


class SkippedUpstreams(Struct):
    """Numbers of upstreams that were skipped before one was chosen, over all regions tried.

    `in_backoff` counts those in a requested backoff, `at_limit` those at their named limit,
    `outliers` those that answer worse than their peers.
    """

    in_backoff: int = 0
    at_limit: int = 0
    outliers: int = 0


class Choice(Struct):
    """An upstream for one attempt, and the data that the choice is based on.

    `estimated_load` is from a report that was `report_age` seconds old, `feed_age` the age of the
    latest feed, and `local_share` the share of the service's requests that the home region handles
    itself. `backoff_left` are the seconds left of a backoff that it requested. `limit` is the rate
    limit that it has named, if any, `limit_age` its age, and `part` this gateway's share.
    """

    record: UpstreamRecord
    region: str
    reason: ChoiceReason
    estimated_load: float
    report_age: float
    feed_age: float
    local_share: float
    backoff_left: float = 0.0
    skipped: SkippedUpstreams = field(default_factory=SkippedUpstreams)
    limit: float | None = None
    limit_age: float = 0.0
    part: Part | None = None
