"""The replicated state machine: what the log's commands do."""

from finchway.state._claims import Claim, Claims, key_time_ms
from finchway.state._commands import (
    Accepted,
    AnyCommand,
    AnyResult,
    Claimed,
    ClaimKey,
    ClaimState,
    Command,
    Conflict,
    DeleteResource,
    Done,
    Expire,
    Missing,
    PutResource,
    PutStatus,
    Rejected,
    Reused,
    SettleClaim,
    decode_command,
    encode_command,
)
from finchway.state._history import History
from finchway.state._machine import StateMachine, encode_resource

__all__ = [
    "Accepted",
    "AnyCommand",
    "AnyResult",
    "Claim",
    "ClaimKey",
    "ClaimState",
    "Claimed",
    "Claims",
    "Command",
    "Conflict",
    "DeleteResource",
    "Done",
    "Expire",
    "History",
    "Missing",
    "PutResource",
    "PutStatus",
    "Rejected",
    "Reused",
    "SettleClaim",
    "StateMachine",
    "decode_command",
    "encode_command",
    "encode_resource",
    "key_time_ms",
]
