"""Messaging between finchway's processes, and the servers that accept connections."""

from finchway.transport._app_server import AppServer
from finchway.transport._keys import Keys, load_keys, make_keys
from finchway.transport._link import Handler, Link
from finchway.transport._listener import NEXT_REQUEST_GRACE_S, Listener
from finchway.transport._messages import *  # noqa: F403
from finchway.transport._messages import __all__ as _messages
from finchway.transport._sockets import has_event, peer_has_closed

__all__ = [
    "NEXT_REQUEST_GRACE_S",
    "AppServer",
    "Handler",
    "Keys",
    "Link",
    "Listener",
    "has_event",
    "load_keys",
    "make_keys",
    "peer_has_closed",
    *_messages,
]
