"""What an entry and the leader tell each other in every heartbeat.

One message carries liveness, the applied revision, demands for capacity, drain counts and load
reports; its answer carries the lease, the missing changes and the loans.
"""

from __future__ import annotations

from msgspec import Struct

from finchway.policy import Demand, DrainReport, Loan
from finchway.pushback import LimitsHeard, LimitsKnown, NamedLimit
from finchway.resources import Change


class RateReport(Struct, frozen=True):
    """Requests per second of one organisation at one service, as one entry sees them."""

    organisation: str
    service: str
    rate: float


class UpstreamMark(Struct, frozen=True):
    """What an entry knows of one life of an upstream: whether it is leaving."""

    address: str
    incarnation: str
    leaving: bool


class Heartbeat(Struct, frozen=True, tag=True, kw_only=True):
    """An entry tells the leader that it lives, what it has applied and what it wants.

    `sequence` numbers the heartbeats of one incarnation; `loans_applied` is the newest answer
    whose loans are in use; `shrunk` maps shares to the epoch that the entry's work fits. `loads`
    gives the busy part of each share's region, from fresh reports only. `stopped` says that the
    entry will never send again. `limits` are what upstreams have told it that they take, and
    `limits_known` tells which news of the leader's on that it has.
    """

    instance: str
    incarnation: str
    address: str
    peer: str
    zone: str
    sequence: int
    revision: int
    leaving: bool = False
    stopped: bool = False
    in_flight: int = 0
    loans_applied: int = 0
    demands: list[Demand] = []
    shrunk: dict[str, int] = {}
    drains: list[DrainReport] = []
    loads: dict[str, float] = {}
    rates: list[RateReport] = []
    marks: list[UpstreamMark] = []
    limits: list[NamedLimit] = []
    limits_known: LimitsKnown = LimitsKnown()

    @property
    def holder(self) -> str:
        """The identity under which this life of the entry claims keys."""
        return f"{self.instance}@{self.incarnation}"


class HeartbeatReply(Struct, frozen=True, tag=True, kw_only=True):
    """The leader confirms a revision and lends slots.

    `changes` follow the revision that the entry has; `snapshot`, the state at
    `snapshot_revision`, replaces them when it is too far behind. The lease runs for `lease_s`
    from the moment the heartbeat was sent. `rates` gives the part of each paid rate that this
    entry may let through, by organisation and service; `limits` are what upstreams have newly told
    any entry that they take.
    """

    sequence: int
    revision: int
    lease_s: float
    changes: list[Change] = []
    snapshot: list[Change] | None = None
    snapshot_revision: int = 0
    loans: list[Loan] = []
    rates: dict[str, float] = {}
    limits: LimitsHeard | None = None


def rate_key(organisation: str, service: str) -> str:
    """Return the name of an organisation's paid rate at a service."""
    return f"{organisation}/{service}"
