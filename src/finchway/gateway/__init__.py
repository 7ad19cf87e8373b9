"""The gateway role: routes callers' requests by host and path to registered upstreams."""

from finchway.gateway._bounds import Bounds
from finchway.gateway._feed_log import FeedLog
from finchway.gateway._forward import Forwarder
from finchway.gateway._header_names import HeaderNames
from finchway.gateway._http import (
    NO_BODY_LIMITS,
    WHOLE_BODY_LIMITS,
    CallerConnection,
    CallerRequest,
    HttpServer,
    Reply,
    Serve,
)
from finchway.gateway._reports import ReportSender
from finchway.gateway._request_context import Choice, ChoiceReason, RequestContext
from finchway.gateway._request_log import RequestLog
from finchway.gateway._role import GatewayRole, GatewaySettings
from finchway.gateway._router import Router
from finchway.gateway._session import GatewaySession
from finchway.gateway._suspects import Clearance, SuspectTracker
from finchway.gateway._table import UpstreamTable

__all__ = [
    "NO_BODY_LIMITS",
    "WHOLE_BODY_LIMITS",
    "Bounds",
    "CallerConnection",
    "CallerRequest",
    "Choice",
    "ChoiceReason",
    "Clearance",
    "FeedLog",
    "Forwarder",
    "GatewayRole",
    "GatewaySession",
    "GatewaySettings",
    "HeaderNames",
    "HttpServer",
    "Reply",
    "ReportSender",
    "RequestLog",
    "Router",
    "Serve",
    "SuspectTracker",
    "RequestContext",
    "UpstreamTable",
]
