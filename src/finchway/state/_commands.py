"""Commands of the replicated log, and the results of applying them.

`now_ms` is the leader's wall clock at the time of the proposal. The state machine reads no clock,
so all replicas reach the same state.
"""

from __future__ import annotations

from enum import Enum

import msgspec
from msgspec import Struct

from finchway.catalog import Item
from finchway.exceptions import EncodingError
from finchway.registry import MarkKind
from finchway.resources import Status
from finchway.state._suspects import RequestReport


class ClaimState(Enum):
    """The state of a claim on an idempotency key."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"
    UNKNOWN = "unknown"


class Command(Struct, frozen=True, kw_only=True, tag=True):
    """The base class of all commands."""

    now_ms: int


class PutResource(Command):
    """Create or replace a spec.

    `expected` is the generation that the resource must have, 0 if it must not exist, None to write
    unconditionally. Retries with the same `change_id` are idempotent.
    """

    kind: str
    name: str
    spec: bytes
    expected: int | None = None
    change_id: str = ""
    operator: str = ""


class DeleteResource(Command):
    """Delete a resource; the fields have the same meaning as in `PutResource`."""

    kind: str
    name: str
    expected: int | None = None
    change_id: str = ""
    operator: str = ""


class PutStatus(Command):
    """Write the status of a resource if its spec still has this generation."""

    kind: str
    name: str
    generation: int
    status: Status


class ClaimKey(Command):
    """Claim an idempotency key for an attempt before the request is dispatched."""

    service: str
    organisation: str
    key: str
    digest: str
    attempt: str
    holder: str
    retain_s: float


class SettleClaim(Command):
    """Record the outcome of an attempt: DONE with an answer, RELEASED if not run, or UNKNOWN."""

    service: str
    organisation: str
    key: str
    attempt: str
    outcome: ClaimState
    answer: bytes = b""


class Expire(Command):
    """Delete expired change ids and claims, and update suspect requests that are due."""


class ChangeItems(Command):
    """Set or remove items of the traffic catalog atomically."""

    items: list[Item]


class MarkUpstream(Command):
    """Mark an incarnation of an upstream as leaving.

    `born` identifies the incarnation; 0 if it is not known.
    """

    instance: str
    kind: MarkKind
    born: int = 0


class SetEvacuation(Command):
    """Start or end the evacuation of an availability zone."""

    zone: str
    active: bool


class ReportRequests(Command):
    """Record gateways' reports on requests that were in flight when upstreams crashed."""

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
    """The change was accepted; `resource` is the encoded resource after the change."""

    revision: int
    generation: int
    resource: bytes


class Conflict(Struct, frozen=True, tag=True):
    """The expected generation is not the current one; `winner` is the encoded current resource."""

    generation: int
    winner: bytes


class Rejected(Struct, frozen=True, tag=True):
    """The change is invalid, or refers to a resource that does not exist."""

    findings: list[tuple[str, str]]


class Missing(Struct, frozen=True, tag=True):
    """The resource of a delete or status command does not exist."""


class Reused(Struct, frozen=True, tag=True):
    """The change id was already used for a different change."""


class Claimed(Struct, frozen=True, tag=True):
    """The claim on a key after the command.

    `granted` means that the command took effect: for `ClaimKey`, that the attempt may dispatch.
    `mismatch` means that the key was used for a different request, `expired` that the record of
    the key is no longer retained.
    """

    granted: bool
    state: ClaimState
    attempt: str
    answer: bytes = b""
    mismatch: bool = False
    expired: bool = False


class Done(Struct, frozen=True, tag=True):
    """The command was applied and has no further result."""


class Steered(Struct, frozen=True, tag=True):
    """The steering state includes the command as of this revision."""

    revision: int


class VersionTaken(Struct, frozen=True, tag=True):
    """Items exist under the same version with different content; nothing was changed."""

    items: list[str]


AnyResult = (
    Accepted | Conflict | Rejected | Missing | Reused | Claimed | Done | Steered | VersionTaken
)

_ENCODER = msgspec.msgpack.Encoder()
_COMMAND_DECODER = msgspec.msgpack.Decoder(AnyCommand)


def encode_command(command: AnyCommand) -> bytes:
    """Encode a command as msgpack for the log; raises `EncodingError` if that is impossible."""
    try:
        return _ENCODER.encode(command)
    except (OverflowError, ValueError) as error:
        raise EncodingError(type(command).__name__, error) from error


def decode_command(data: bytes) -> AnyCommand:
    """Decode a command from the log; raises `msgspec.MsgspecError` if it is invalid."""
    return _COMMAND_DECODER.decode(data)
