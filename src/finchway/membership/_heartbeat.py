"""The heartbeat of an entry and the leader's reply.

The heartbeat carries liveness, the applied revision, demands for capacity, drain counts and load
reports. The reply carries the lease, the missing changes and the loans.
"""

from __future__ import annotations

from msgspec import Struct

from finchway.policy import Demand, DrainReport, Loan
from finchway.pushback import LimitLogEntries, LimitLogPosition, LimitReport
from finchway.resources import Change


class RateReport(Struct, frozen=True):
    """Requests per second of one organisation at one service, observed by one entry."""

    organisation: str
    service: str
    rate: float


class UpstreamMark(Struct, frozen=True):
    """Whether an incarnation of an upstream is leaving, observed by one entry."""

    address: str
    incarnation: str
    leaving: bool


class Heartbeat(Struct, frozen=True, tag=True, kw_only=True):
    """A heartbeat from an entry to the leader: its state and its demand for capacity.

    `sequence` numbers the heartbeats of one incarnation. `loans_applied` is the sequence of the
    newest reply whose loans are in use. `shrunk` maps each share to the newest epoch to whose
    slots the entry's requests in flight have shrunk. `loads` is the busy fraction of each share,
    from recent reports only. `stopped` marks the last heartbeat of an incarnation. `limits` are the
    rate limits that upstreams have reported to the entry; `limits_known` identifies the limit
    reports that it has received from the leader. `cut_off` means that it reaches no upstream.
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
    limits: list[LimitReport] = []
    limits_known: LimitLogPosition = LimitLogPosition()
    cut_off: bool = False

    @property
    def holder(self) -> str:
        """The identity of this incarnation as a holder of claims and loans."""
        return f"{self.instance}@{self.incarnation}"


class HeartbeatReply(Struct, frozen=True, tag=True, kw_only=True):
    """The leader's reply: confirmed revision, missing changes, lease, loans and rates.

    `changes` follow the entry's revision. If the entry is too far behind, `snapshot` has the full
    state at `snapshot_revision` instead. The lease lasts `lease_s` from the time when the heartbeat
    was sent. `rates` is the entry's portion of each contracted rate, by organisation and service.
    `limits` are new rate limits that upstreams have reported to any entry.
    """

    sequence: int
    revision: int
    lease_s: float
    changes: list[Change] = []
    snapshot: list[Change] | None = None
    snapshot_revision: int = 0
    loans: list[Loan] = []
    rates: dict[str, float] = {}
    limits: LimitLogEntries | None = None


def rate_key(organisation: str, service: str) -> str:
    """Return the key of an organisation's contracted rate at a service."""
    return f"{organisation}/{service}"
