"""The entry role: answers steering requests and proxies requests to upstreams."""

from finchway.entry._app import EntryApp, EntryState
from finchway.entry._call import Answer, Body, Call, CallError, ResponseMetadata, UpstreamError
from finchway.entry._claims import ClaimClient
from finchway.entry._dispatch import Dispatcher
from finchway.entry._probe import Prober, platform_source
from finchway.entry._role import EntryRole
from finchway.entry._session import ControlSession, EntryIdentity
from finchway.entry._upstream import UpstreamClient
from finchway.entry._view import EntryView

__all__ = [
    "Answer",
    "Body",
    "Call",
    "CallError",
    "ClaimClient",
    "ControlSession",
    "Dispatcher",
    "EntryApp",
    "EntryIdentity",
    "EntryRole",
    "EntryState",
    "EntryView",
    "ResponseMetadata",
    "Prober",
    "UpstreamClient",
    "UpstreamError",
    "platform_source",
]
