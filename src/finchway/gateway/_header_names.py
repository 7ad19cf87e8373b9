"""Names of the HTTP headers between callers, gateways and upstreams, in lower case."""

from __future__ import annotations

from msgspec import Struct


class HeaderNames(Struct, frozen=True, kw_only=True):
    """Names of the headers that a gateway interprets; a deployment may set its own."""

    request_id: bytes = b"finchway-request-id"
    deadline_ms: bytes = b"finchway-deadline-ms"
    affinity_key: bytes = b"finchway-affinity-key"
    signature: bytes = b"finchway-signature"
    expected_instance: bytes = b"finchway-expected-instance"
    instance_id: bytes = b"finchway-instance"
    load: bytes = b"finchway-server-load"
    not_executed: bytes = b"finchway-not-executed"
    cold_ms: bytes = b"finchway-cold-ms"
    leaving: bytes = b"finchway-leaving"
    limit: bytes = b"finchway-limit"


HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
