"""The typed messages between finchway's processes, except those of the replicated log.

Every request has exactly one reply. An error is sent as a `Failure`, from which the requesting
process restores the original exception.
"""

from __future__ import annotations

from msgspec import Struct

from finchway.feed import Feed, PackedFeed, ReportedRequests, ShareHeartbeats, Subscribe
from finchway.membership import Heartbeat, HeartbeatReply
from finchway.observe import Event
from finchway.replication import AnyMessage, Member, Members
from finchway.resources import Change
from finchway.state import AnyCommand, AnyResult

__all__ = [
    "AnyBody",
    "Body",
    "ChangeReplicas",
    "Changes",
    "Confirm",
    "Confirmed",
    "Entries",
    "EntryInfo",
    "EntryQuery",
    "Envelope",
    "Events",
    "Failure",
    "FetchChanges",
    "FetchEvents",
    "HeartbeatBatch",
    "HeartbeatBatchReply",
    "Join",
    "JoinReply",
    "Ok",
    "RaftBody",
    "Replica",
    "ReplicaStatus",
    "Submit",
    "Submitted",
    "Validity",
]


class Body(Struct, frozen=True, tag=True, kw_only=True):
    """Base class of message bodies."""


class HeartbeatBatch(Body):
    """Heartbeats that a relay has collected from peer entries."""

    heartbeats: list[Heartbeat]


class HeartbeatBatchReply(Body):
    """Replies to a batch, in its order; without changes, which the relay provides itself."""

    replies: list[HeartbeatReply]


class FetchChanges(Body):
    """Request the changes after a revision from a replica or peer entry."""

    since: int


class Changes(Body):
    """The changes after a revision, or a snapshot if they are no longer available."""

    revision: int
    changes: list[Change] = []
    snapshot: list[Change] | None = None


class Validity(Struct, frozen=True):
    """Until when an order may enter the log, on the clock of the leader of a term."""

    term: int
    until: float


class Submit(Body):
    """Request that a command be committed and applied; without a validity, at any time."""

    command: AnyCommand
    validity: Validity | None = None


class Submitted(Body):
    """The result of applying a command."""

    result: AnyResult


class Confirm(Body):
    """Request the latest committed revision from the leader, confirmed by a quorum.

    The leader may reuse an earlier confirmation that is at most `within` seconds old.
    """

    within: float = 0.0


class Confirmed(Body):
    """A revision and log index covering all changes accepted `age` seconds before this reply.

    `clock` is the leader's clock in this `term`.
    """

    revision: int
    index: int
    age: float = 0.0
    term: int = 0
    clock: float = 0.0


class Join(Body):
    """A replica without data requests to join; the first time without an incarnation."""

    member: Member


class JoinReply(Body):
    """The id of the cluster that a joining replica becomes part of."""

    cluster: str


class ChangeReplicas(Body):
    """Admit a further replica, or remove one, by name; without a validity, at any time."""

    add: str = ""
    remove: str = ""
    validity: Validity | None = None


class ReplicaStatus(Body):
    """Request the state of a replica."""


class Replica(Body):
    """State of a replica."""

    id: str
    role: str
    term: int
    commit: int
    applied: int
    revision: int
    digest: str
    leader: str
    members: Members
    matches: dict[str, int] = {}


class FetchEvents(Body):
    """Request a process's events after a sequence number."""

    since: int
    limit: int = 500


class Events(Body):
    """Events of a process; `next` is the `since` of the next request."""

    instance: str
    events: list[Event]
    next: int


class EntryQuery(Body):
    """Request the revisions in force at all entries from the leader."""


class EntryInfo(Struct, frozen=True):
    """The leader's view of an entry."""

    instance: str
    state: str
    revision: int
    peer: str
    in_flight: int


class Entries(Body):
    """All entries, and the revision that the leader has confirmed."""

    revision: int
    entries: list[EntryInfo]


class RaftBody(Body):
    """A Raft message with the address of its sender."""

    message: AnyMessage
    address: str


class Ok(Body):
    """The request was carried out; the reply has no content."""


class Failure(Body):
    """The request failed; `code` is the exception's class name, `leader` the current leader."""

    code: str
    message: str
    leader: str = ""


AnyBody = (
    Heartbeat
    | HeartbeatReply
    | HeartbeatBatch
    | HeartbeatBatchReply
    | FetchChanges
    | Changes
    | Submit
    | Submitted
    | Confirm
    | Confirmed
    | Join
    | JoinReply
    | ChangeReplicas
    | ReplicaStatus
    | Replica
    | FetchEvents
    | Events
    | EntryQuery
    | Entries
    | RaftBody
    | Subscribe
    | Feed
    | PackedFeed
    | ShareHeartbeats
    | ReportedRequests
    | Ok
    | Failure
)


class Envelope(Struct, frozen=True, array_like=True):
    """A message on the wire; a reply has the correlation number of its request.

    `clock` is the sender's logical clock, which orders events across processes.
    """

    sender: str
    correlation: int
    is_reply: bool
    clock: int
    body: AnyBody
