"""Helpers for ASGI applications: reading requests, sending responses and problem details."""

from __future__ import annotations

from math import ceil
from typing import Any
from urllib.parse import parse_qs

import msgspec
import trio
from msgspec import Struct

from finchway.exceptions import NoRoomError
from finchway.transport._arrivals import UNKNOWN_ORIGIN, CallOrigin
from finchway.transport._client_budget import SMALL_BODY_BYTES, Holding
from finchway.transport._listener import RECEIVE_BUFFER_BYTES

JSON = b"application/json"
PROBLEM = b"application/problem+json"
PROMETHEUS_TEXT = b"text/plain; version=0.0.4"
READ_TIMEOUT_S = 30.0
# Keys in the state of a request's scope: of its `CallOrigin`, and of the `ConnectionRequests`.
ORIGIN = "origin"
REQUESTS = "requests"
# The key of a request's `Holding` in its scope.
HOLDING = "finchway.holding"
# Bytes that are read at once; they become one part of a body.
RECEIVE_BYTES = 16 * 1024
# Parts that a connection can hold besides what the application has read: ten wait for it in
# hypercorn's queue, one waits to be queued, and one is being parsed.
_UNREAD_PARTS = 12
# What a connection can hold of a body besides what the application has read.
UNREAD_BODY_BYTES = _UNREAD_PARTS * RECEIVE_BYTES + RECEIVE_BUFFER_BYTES


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


class BodyCollector:
    """A body that is collected from the parts in which it arrives.

    It draws on the clients' budget before it grows, unless it is short; without a holding, it draws
    on none. `declared` is its length, if its request says one.
    """

    __slots__ = ("_data", "_declared", "_holding")

    def __init__(self, holding: Holding | None, declared: int | None) -> None:
        self._holding = holding
        self._declared = declared
        self._data = bytearray()

    @property
    def size(self) -> int:
        """The bytes collected so far."""
        return len(self._data)

    def append(self, part: bytes, has_more: bool) -> None:
        """Add a part; raises `NoRoomError` if there is no room for what follows it."""
        self._data += part
        needed = self._needed_bytes(has_more)
        if self._holding is None:
            return
        if not self._holding.resize(needed if needed > SMALL_BODY_BYTES else 0):
            raise NoRoomError

    def _needed_bytes(self, has_more: bool) -> int:
        if not has_more:
            return self.size
        if self._declared is None:
            return self.size + UNREAD_BODY_BYTES
        return min(self._declared, self.size + UNREAD_BODY_BYTES)

    def take(self) -> bytes:
        """Return the body and give up the buffer."""
        body = bytes(self._data)
        self._data = bytearray()
        return body


class Request:
    """An ASGI request with decoded headers and query."""

    __slots__ = ("_receive", "headers", "holding", "method", "origin", "path", "query", "scope")

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
        self.holding: Holding | None = scope.get(HOLDING)
        self._receive = receive

    @property
    def declared_length(self) -> int | None:
        """The length of the body by the `Content-Length` header, or None."""
        length = self.headers.get("content-length", "")
        return int(length) if length.isascii() and length.isdigit() else None

    @property
    def bearer(self) -> str:
        """The bearer token of the `Authorization` header, or an empty string."""
        scheme, _, token = self.headers.get("authorization", "").partition(" ")
        return token.strip() if scheme.lower() == "bearer" else ""

    async def read(self, limit: int) -> bytes:
        """Return the whole body; raises `BodyTooLargeError` beyond `limit` bytes.

        Raises `NoRoomError` if other clients leave no room for it.
        """
        body = BodyCollector(self.holding, self.declared_length)
        with trio.fail_after(READ_TIMEOUT_S):
            while True:
                event = await self._receive()
                if event["type"] == "http.disconnect":
                    raise ConnectionError("client disconnected before the end of the request body")
                has_more = event.get("more_body", False)
                body.append(event.get("body", b""), has_more)
                if body.size > limit:
                    raise BodyTooLargeError
                if not has_more:
                    return body.take()


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
