"""The typed messages between finchway's processes, apart from those of the replicated log.

Every request has exactly one answer; a `Failure` stands for an error, and is raised again at the
asker as the exception that it came from.
"""

from __future__ import annotations

from msgspec import Struct

from finchway.feed import Feed, ReportedRequests, ShareHeartbeats, Subscribe
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
]


class Body(Struct, frozen=True, tag=True, kw_only=True):
    """The base of all message bodies."""


class HeartbeatBatch(Body):
    """Heartbeats that a relay has gathered from fellow entries."""

    heartbeats: list[Heartbeat]


class HeartbeatBatchReply(Body):
    """Answers to a batch, in its order, without changes: the relay serves those itself."""

    replies: list[HeartbeatReply]


class FetchChanges(Body):
    """Ask any replica or fellow entry for the changes after a revision."""

    since: int


class Changes(Body):
    """The changes after a revision; a snapshot where they are no longer held."""

    revision: int
    changes: list[Change] = []
    snapshot: list[Change] | None = None


class Submit(Body):
    """Have a command committed and applied."""

    command: AnyCommand


class Submitted(Body):
    """What applying the command answered."""

    result: AnyResult


class Confirm(Body):
    """Ask the leader for the newest committed revision, confirmed by a quorum.

    A confirmation that the leader has already and that is at most `within` seconds old will do.
    """

    within: float = 0.0


class Confirmed(Body):
    """A revision and an index that cover any change accepted `age` seconds before this answer."""

    revision: int
    index: int
    age: float = 0.0


class Join(Body):
    """A replica without data asks to be taken in; first without an incarnation, for the cluster."""

    member: Member


class JoinReply(Body):
    """The cluster that a joining replica is to belong to."""

    cluster: str


class ChangeReplicas(Body):
    """Expect one more replica, or remove one, by name."""

    add: str = ""
    remove: str = ""


class ReplicaStatus(Body):
    """Ask a replica how it stands."""


class Replica(Body):
    """How one replica stands."""

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
    """Ask a process for its events after a sequence number."""

    since: int
    limit: int = 500


class Events(Body):
    """Events of one process; `next` is what to ask for the following ones."""

    instance: str
    events: list[Event]
    next: int


class EntryQuery(Body):
    """Ask the leader which entries have which revision in force."""


class EntryInfo(Struct, frozen=True):
    """What the leader knows of one entry."""

    instance: str
    state: str
    revision: int
    peer: str
    in_flight: int


class Entries(Body):
    """All entries, with the revision that the leader has confirmed."""

    revision: int
    entries: list[EntryInfo]


class RaftBody(Body):
    """A message of the replicated log, and where its sender is reached."""

    message: AnyMessage
    address: str


class Ok(Body):
    """The request was carried out and there is nothing more to say."""


class Failure(Body):
    """The request failed; `code` names the exception, `leader` where to go instead."""

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
    | ShareHeartbeats
    | ReportedRequests
    | Ok
    | Failure
)


class Envelope(Struct, frozen=True, array_like=True):
    """A message on the wire; answers carry the correlation number of their request.

    `clock` is the sender's logical clock, which orders the time line over all processes.
    """

    sender: str
    correlation: int
    is_reply: bool
    clock: int
    body: AnyBody
