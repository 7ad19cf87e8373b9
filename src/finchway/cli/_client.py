"""HTTP client of the resource API, built on httpcore.

Calls that fail are retried at the next address. Changes carry an idempotency key (the change id):
a retried change that was already accepted gets its first response again. A replica that sent
`Retry-After` gets no calls until that time has passed.
"""

from __future__ import annotations

import random
import ssl
import time
import uuid
from collections.abc import Iterator
from typing import Any
from urllib.parse import urlencode

import httpcore
import msgspec

from finchway.exceptions import (
    ConflictError,
    DeniedError,
    FinchwayError,
    Finding,
    GoneError,
    NotFoundError,
    ResourceError,
    UnavailableError,
)
from finchway.pushback import BackoffTable, read_pushback

_TIMEOUTS = {"connect": 2.0, "read": 10.0, "write": 5.0, "pool": 2.0}
_MAX_ATTEMPTS = 12
_RETRY_DELAY_S = 0.5
# Upper bound on a replica's Retry-After, because an operator is waiting.
_MAX_BACKOFF_S = 10.0
_CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class ApiClient:
    """Calls the resource API, with retries over several addresses."""

    def __init__(self, addresses: list[str], credential: str, ca_file: str = "") -> None:
        self._addresses = addresses
        self._scheme = "https" if ca_file else "http"
        context = ssl.create_default_context(cafile=ca_file) if ca_file else None
        self._pool = httpcore.ConnectionPool(ssl_context=context)
        self._backoffs = BackoffTable(random.Random())
        self._headers = [(b"authorization", f"Bearer {credential}".encode())]

    def list(self, kind: str) -> Any:
        """Return the resources of a kind and the current revision."""
        return self._call("GET", f"/v1/resources/{kind}")

    def get(self, kind: str, name: str) -> Any:
        """Return one resource."""
        return self._call("GET", f"/v1/resources/{kind}/{name}")

    def put(self, kind: str, name: str, spec: Any, expected: int | None = None) -> Any:
        """Create or replace a resource; retries are safe because of the change id."""
        body = {"spec": spec, "expected": expected, "change_id": uuid.uuid4().hex}
        return self._call("PUT", f"/v1/resources/{kind}/{name}", body)

    def delete(self, kind: str, name: str, expected: int | None = None) -> Any:
        """Delete a resource."""
        query = {"change_id": uuid.uuid4().hex}
        if expected is not None:
            query["expected"] = str(expected)
        return self._call("DELETE", f"/v1/resources/{kind}/{name}?{urlencode(query)}")

    def read(self, path: str, query: dict[str, str] | None = None) -> Any:
        """Return the decoded response of a GET request for any path."""
        return self._call("GET", f"{path}?{urlencode(query)}" if query else path)

    def post(self, path: str, body: Any) -> Any:
        """Send a POST request for a change that is not a resource."""
        return self._call("POST", path, body)

    def watch(self, since: int, kind: str = "") -> Iterator[Any]:
        """Yield the decoded lines of a watch; raises `GoneError` if the history was compacted."""
        path = f"/v1/watch?{urlencode({'since': since, 'kind': kind})}"
        for address in self._addresses:
            try:
                yield from self._stream(address, path)
                return
            except httpcore.ConnectError:
                continue
        raise UnavailableError(f"cannot connect to the API at {', '.join(self._addresses)}")

    def _stream(self, address: str, path: str) -> Iterator[Any]:
        url = f"{self._scheme}://{address}{path}"
        with self._pool.stream(
            "GET", url, headers=self._headers, extensions={"timeout": _TIMEOUTS}
        ) as response:
            if response.status != 200:
                response.read()
                raise error_from_response(response.status, response.content)
            pending = b""
            for chunk in response.iter_stream():
                *lines, pending = (pending + chunk).split(b"\n")
                for line in lines:
                    decoded = msgspec.json.decode(line)
                    if decoded.get("gone"):
                        raise GoneError(decoded["oldest"])
                    yield decoded

    def _call(self, method: str, path: str, body: Any = None) -> Any:
        content = msgspec.json.encode(body) if body is not None else b""
        last_error: FinchwayError = UnavailableError("no API address is set", "set --api")
        for attempt in range(_MAX_ATTEMPTS):
            address = self._next_address(attempt)
            try:
                response = self._pool.request(
                    method,
                    f"{self._scheme}://{address}{path}",
                    headers=self._headers,
                    content=content,
                    extensions={"timeout": _TIMEOUTS},
                )
            except _CONNECTION_ERRORS as error:
                last_error = UnavailableError(f"{address}: {error or type(error).__name__}")
            else:
                if response.status < 300:
                    return msgspec.json.decode(response.content)
                error = error_from_response(response.status, response.content)
                if not isinstance(error, UnavailableError):
                    raise error
                last_error = error
                self._apply_pushback(address, response)
            if attempt + 1 < _MAX_ATTEMPTS:
                time.sleep(_RETRY_DELAY_S if attempt + 1 >= len(self._addresses) else 0)
        raise last_error

    def _next_address(self, attempt: int) -> str:
        """Return the next address that is not in backoff; sleeps if all of them are."""
        candidates = [
            self._addresses[(attempt + k) % len(self._addresses)]
            for k in range(len(self._addresses))
        ]
        now = time.monotonic()
        address = min(candidates, key=lambda address: self._backoffs.remaining_s(address, now))
        time.sleep(self._backoffs.remaining_s(address, now))
        return address

    def _apply_pushback(self, address: str, response: httpcore.Response) -> None:
        """Record the backoff that a replica requested, capped at `_MAX_BACKOFF_S`."""
        headers = [(name.lower(), value) for name, value in response.headers]
        pushback = read_pushback(response.status, headers, b"", b"", time.time())
        self._backoffs.start(address, min(pushback.backoff_s, _MAX_BACKOFF_S), time.monotonic())


def error_from_response(status: int, content: bytes) -> FinchwayError:
    """Convert an error response of the API to the matching exception."""
    try:
        problem = msgspec.json.decode(content)
        detail = problem.get("detail") or problem.get("title", "")
    except (msgspec.MsgspecError, AttributeError):
        return FinchwayError(f"status {status}: {content[:200]!r}")
    match status:
        case 422:
            findings = [
                Finding(f["place"], f["problem"], f.get("hint", ""))
                for f in problem.get("findings", [])
            ]
            return ResourceError(findings) if findings else FinchwayError(detail)
        case 409:
            winner = problem.get("winner")
            return ConflictError(detail, msgspec.json.encode(winner) if winner else b"")
        case 404:
            return NotFoundError(detail)
        case 410:
            return GoneError(problem.get("oldest", 0))
        case 401 | 403:
            return DeniedError(detail, "set --credential or FINCHWAY_CREDENTIAL")
        case 503:
            return UnavailableError(detail)
    return FinchwayError(detail)
