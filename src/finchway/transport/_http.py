"""Helpers for ASGI applications: reading requests, sending responses and problem details."""

from __future__ import annotations

from math import ceil
from typing import Any
from urllib.parse import parse_qs

import msgspec
import trio
from msgspec import Struct

from finchway.transport._arrivals import UNKNOWN_ORIGIN, CallOrigin

JSON = b"application/json"
PROBLEM = b"application/problem+json"
PROMETHEUS_TEXT = b"text/plain; version=0.0.4"
READ_TIMEOUT_S = 30.0
# The key of a request's `CallOrigin` in the state of its scope.
ORIGIN = "origin"


class Problem(Struct, frozen=True, omit_defaults=True):
    """An error in the form of `application/problem+json`; `outcome` is whether the request ran."""

    type: str
    title: str
    status: int
    detail: str = ""
    outcome: str = ""
    findings: list[dict[str, str]] = []
    winner: msgspec.Raw = msgspec.Raw(b"")
    oldest: int = 0
    retry_after_s: float = 0.0


class BodyTooLargeError(Exception):
    """The request body exceeds the allowed size."""


class Request:
    """An ASGI request with decoded headers and query."""

    __slots__ = ("_receive", "headers", "method", "origin", "path", "query", "scope")

    def __init__(self, scope: dict[str, Any], receive) -> None:
        self.scope = scope
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.headers = {
            k.decode("latin-1").lower(): v.decode("latin-1") for k, v in scope["headers"]
        }
        query = parse_qs(scope["query_string"].decode("latin-1"))
        self.query = {key: values[-1] for key, values in query.items()}
        self.origin: CallOrigin = scope.get("state", {}).get(ORIGIN, UNKNOWN_ORIGIN)
        self._receive = receive

    @property
    def bearer(self) -> str:
        """The bearer token of the `Authorization` header, or an empty string."""
        scheme, _, token = self.headers.get("authorization", "").partition(" ")
        return token.strip() if scheme.lower() == "bearer" else ""

    async def read(self, limit: int) -> bytes:
        """Return the whole body; raises `BodyTooLargeError` beyond `limit` bytes."""
        chunks: list[bytes] = []
        size = 0
        with trio.fail_after(READ_TIMEOUT_S):
            while True:
                event = await self._receive()
                if event["type"] == "http.disconnect":
                    raise ConnectionError("client disconnected before the end of the request body")
                size += len(event.get("body", b""))
                if size > limit:
                    raise BodyTooLargeError
                chunks.append(event.get("body", b""))
                if not event.get("more_body"):
                    return b"".join(chunks)


async def send(respond, status: int, body: bytes, content_type: bytes = JSON, headers=()) -> None:
    """Send a complete response."""
    fields = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
        *headers,
    ]
    await send_start(respond, status, fields)
    await respond({"type": "http.response.body", "body": body, "more_body": False})


async def send_start(respond, status: int, headers) -> None:
    """Send the head of a response; its body follows."""
    await respond({"type": "http.response.start", "status": status, "headers": list(headers)})


async def send_json(respond, value: Any, status: int = 200, headers=()) -> None:
    """Send a value as a JSON response."""
    await send(respond, status, msgspec.json.encode(value), JSON, headers)


async def send_problem(respond, problem: Problem, headers=()) -> None:
    """Send a problem as a response, with `Retry-After` if it has a retry delay."""
    extra = list(headers)
    if problem.retry_after_s:
        # Rounded up: a client that retries too early is refused again.
        seconds = max(1, ceil(problem.retry_after_s))
        extra.append((b"retry-after", str(seconds).encode()))
    encoded = msgspec.json.encode(_without_empty_fields(problem))
    await send(respond, problem.status, encoded, PROBLEM, extra)


def _without_empty_fields(problem: Problem) -> dict[str, Any]:
    fields = {f: getattr(problem, f) for f in problem.__struct_fields__}
    always = ("type", "title", "status")
    return {
        name: v
        for name, v in fields.items()
        if name in always or (len(bytes(v)) if isinstance(v, msgspec.Raw) else v)
    }
