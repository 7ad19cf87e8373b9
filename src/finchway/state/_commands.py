"""Commands of the replicated log, and what applying them answers.

`now_ms` is the wall clock of the leader when it proposed the command. The state machine reads no
clock of its own, so every replica reaches the same state.
"""

from __future__ import annotations

from enum import Enum

import msgspec
from msgspec import Struct

from finchway.catalog import Item
from finchway.registry import MarkKind
from finchway.resources import Status
from finchway.state._suspects import RequestReport


class ClaimState(Enum):
    """Where an idempotency key stands."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"
    UNKNOWN = "unknown"


class Command(Struct, frozen=True, kw_only=True, tag=True):
    """The base of all commands."""

    now_ms: int


class PutResource(Command):
    """Create or replace a spec.

    `expected` is the generation that the operator saw, 0 for a resource that must not exist yet,
    None to write whatever is there. `change_id` makes a resend harmless.
    """

    kind: str
    name: str
    spec: bytes
    expected: int | None = None
    change_id: str = ""
    operator: str = ""


class DeleteResource(Command):
    """Delete a resource; fields as for `PutResource`."""

    kind: str
    name: str
    expected: int | None = None
    change_id: str = ""
    operator: str = ""


class PutStatus(Command):
    """Write the produced state of a resource, if its spec is still of this generation."""

    kind: str
    name: str
    generation: int
    status: Status


class ClaimKey(Command):
    """Claim an idempotency key for one attempt, before the request is dispatched."""

    service: str
    organisation: str
    key: str
    digest: str
    attempt: str
    holder: str
    retain_s: float


class SettleClaim(Command):
    """Say how the attempt ended: with an answer, certainly not run, or unknown."""

    service: str
    organisation: str
    key: str
    attempt: str
    outcome: ClaimState
    answer: bytes = b""


class Expire(Command):
    """Forget change ids and claims whose time is over."""


class ChangeItems(Command):
    """Set or drop items of the traffic catalog, as one unit."""

    items: list[Item]


class MarkUpstream(Command):
    """Note that a life of an upstream leaves; `born` is 0 if it did not say which one."""

    instance: str
    kind: MarkKind
    born: int = 0


class SetEvacuation(Command):
    """Begin or end the evacuation of an availability zone."""

    zone: str
    active: bool


class ReportRequests(Command):
    """Take in what gateways have seen of requests under which upstreams ended."""

    reports: list[RequestReport]


AnyCommand = (
    PutResource
    | DeleteResource
    | PutStatus
    | ClaimKey
    | SettleClaim
    | Expire
    | ChangeItems
    | MarkUpstream
    | SetEvacuation
    | ReportRequests
)


class Accepted(Struct, frozen=True, tag=True):
    """The change is accepted; `resource` is the encoded resource as it stands after it."""

    revision: int
    generation: int
    resource: bytes


class Conflict(Struct, frozen=True, tag=True):
    """The expected generation is not the present one; `winner` is the resource that stands."""

    generation: int
    winner: bytes


class Rejected(Struct, frozen=True, tag=True):
    """The change breaks a rule or refers to something that does not exist (any more)."""

    findings: list[tuple[str, str]]


class Missing(Struct, frozen=True, tag=True):
    """The resource to delete or to write a status to does not exist."""


class Reused(Struct, frozen=True, tag=True):
    """The change id was used before for another change."""


class Claimed(Struct, frozen=True, tag=True):
    """How a key stands after the command; `granted` means this attempt may dispatch."""

    granted: bool
    state: ClaimState
    attempt: str
    answer: bytes = b""
    mismatch: bool = False
    expired: bool = False


class Done(Struct, frozen=True, tag=True):
    """The command had nothing more to tell."""


class Steered(Struct, frozen=True, tag=True):
    """The steering state covers the command as of this revision."""

    revision: int


class VersionTaken(Struct, frozen=True, tag=True):
    """Items are held under the same version with other content; nothing was changed."""

    items: list[str]


AnyResult = (
    Accepted | Conflict | Rejected | Missing | Reused | Claimed | Done | Steered | VersionTaken
)

_ENCODER = msgspec.msgpack.Encoder()
_COMMAND_DECODER = msgspec.msgpack.Decoder(AnyCommand)


def encode_command(command: AnyCommand) -> bytes:
    """Encode a command for the log."""
    return _ENCODER.encode(command)


def decode_command(data: bytes) -> AnyCommand:
    """Decode a command from the log; raises `msgspec.MsgspecError` if it is malformed."""
    return _COMMAND_DECODER.decode(data)
