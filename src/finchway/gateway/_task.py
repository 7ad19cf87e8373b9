"""A request on its way, and the choice of an upstream for it with the reasons."""

from __future__ import annotations

from enum import Enum

import trio
from msgspec import Struct, field

from finchway.catalog import Route
from finchway.gateway._fingerprint import fingerprint
from finchway.gateway._http import CallerRequest
from finchway.gateway._record import UpstreamRecord
from finchway.pushback import ASKED_NOTHING, Asked, Part


class Evidence(Struct):
    """What a request has done to upstreams, as far as this gateway knows.

    `known` counts the upstreams that were known to have ended under it when it came, `seen` those
    that have since; `last` names the life of the newest. `is_over` tells that no further attempt
    follows, and `is_answered` that an upstream has run it and lives.
    """

    known: int = 0
    seen: int = 0
    last: str = ""
    is_over: bool = False
    is_answered: bool = False

    @property
    def ends(self) -> int:
        """How many upstreams have ended under it, one after the other."""
        return self.known + self.seen


class Task(Struct, eq=False):
    """A request on its way; `refusal` says why no upstream was chosen.

    `has_key` tells whether the caller named the thing that the request concerns; `key` is the
    request's id otherwise. `is_read` is set once the caller has nothing more to send. `once` has it
    run by one upstream at most. Cancelling `scope` ends the attempts; `is_quarantined` tells that
    this was done since upstreams end under the request. `asked` is what the answer of the last
    attempt asked of this gateway. `back_in` are the seconds until an upstream wants requests again,
    when all that could serve it rest.
    """

    request: CallerRequest
    route_name: str
    route: Route
    service: str
    request_id: str
    key: str
    deadline: float
    attempts: int = 0
    choices: int = 0
    refusal: str = ""
    tried: set[str] = set()
    has_key: bool = True
    is_read: trio.Event = field(default_factory=trio.Event)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    once: bool = False
    is_quarantined: bool = False
    evidence: Evidence = field(default_factory=Evidence)
    digest: str = ""
    asked: Asked = ASKED_NOTHING
    back_in: float = 0.0

    @property
    def fingerprint(self) -> str:
        """The same for each time that its caller sends it; worked out when it is first needed."""
        if not self.digest:
            self.digest = fingerprint(self.request)
        return self.digest


class ChoiceReason(Enum):
    """Why an upstream gets a request.

    HOME: it is where the key belongs. RELIEF: that one has no room, and this one has a free slot.
    TRIAL: it was left out for its poor answers, and one request tries it again. RETURN: its rest is
    over, and one request goes first. OTHER_REGION: the region whose turn it is has no upstream that
    may get anything.
    """

    HOME = "home"
    RELIEF = "relief"
    TRIAL = "trial"
    RETURN = "return"
    OTHER_REGION = "other-region"


class PassedOver(Struct):
    """How many upstreams were passed over before one was chosen, in all regions that were tried.

    `resting` for the rest that they had asked for, `at_limit` for the limits that they name.
    """

    resting: int = 0
    at_limit: int = 0


class Choice(Struct):
    """An upstream for one attempt, and what decided for it.

    `busy` is the estimated requests at it, from a report that was `report_age` seconds old;
    `heard_age` is the age of the newest word of a replica, and `kept_part` the part of the
    service's requests that this region keeps at the moment. `rest_left` is what was left of the
    rest that it had asked for, in seconds. `limit` are the requests a second that it has said it
    takes, if it has, `limit_age` how long ago, and `part` what this gateway may send of them.
    """

    record: UpstreamRecord
    region: str
    reason: ChoiceReason
    busy: float
    report_age: float
    heard_age: float
    kept_part: float
    rest_left: float = 0.0
    passed: PassedOver = field(default_factory=PassedOver)
    limit: float | None = None
    limit_age: float = 0.0
    part: Part | None = None
