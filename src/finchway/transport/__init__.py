"""Messaging between finchway's processes, and the servers that accept connections.

`AppServer` is loaded on first use, since gateways do without it and its libraries load slowly.
"""

from typing import Any

from finchway.transport._answer_heads import HeadScanner, find_fault
from finchway.transport._arrivals import AcceptedStream, CallOrigin, origin_of
from finchway.transport._client_budget import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_MB,
    SMALL_BODY_BYTES,
    STALLED_AFTER_S,
    Account,
    BudgetState,
    ClientBudget,
    Holding,
)
from finchway.transport._client_limit_log import ClientLimitLog
from finchway.transport._keys import Keys, load_keys, make_keys
from finchway.transport._link import Handler, Link
from finchway.transport._listener import (
    NEXT_REQUEST_GRACE_S,
    RECEIVE_BUFFER_BYTES,
    SEND_BUFFER_BYTES,
    Listener,
)
from finchway.transport._messages import *  # noqa: F403
from finchway.transport._messages import __all__ as _messages
from finchway.transport._sockets import has_event, peer_has_closed
from finchway.transport._turns import EVENTS_PER_TURN, Turns

__all__ = [
    "DEFAULT_DESCRIPTORS",
    "DEFAULT_MEMORY_MB",
    "EVENTS_PER_TURN",
    "NEXT_REQUEST_GRACE_S",
    "RECEIVE_BUFFER_BYTES",
    "SEND_BUFFER_BYTES",
    "SMALL_BODY_BYTES",
    "STALLED_AFTER_S",
    "AcceptedStream",
    "Account",
    "AppServer",  # noqa: F405
    "BudgetState",
    "CallOrigin",
    "ClientBudget",
    "ClientLimitLog",
    "HeadScanner",
    "Handler",
    "Holding",
    "Keys",
    "Link",
    "Listener",
    "Turns",
    "find_fault",
    "has_event",
    "load_keys",
    "make_keys",
    "origin_of",
    "peer_has_closed",
    *_messages,
]


def __getattr__(name: str) -> Any:
    if name != "AppServer":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from finchway.transport._app_server import AppServer

    return AppServer
