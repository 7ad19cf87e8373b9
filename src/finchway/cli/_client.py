"""The tool's side of the resource API, over httpcore.

A change carries a change id. When an answer is lost, the same change is sent again, to the next
address if there is one, and an accepted change gets its first answer. A replica that asks for rest
gets none of its calls until that is over.
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
_TRIES = 12
_RETRY_S = 0.5
# Seconds for which the tool leaves a replica alone at most, whatever it asks for: somebody waits.
_MAX_BACKOFF_S = 10.0
_FAILED = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class ApiClient:
    """Calls the resource API at the first address that answers."""

    def __init__(self, addresses: list[str], credential: str, ca_file: str = "") -> None:
        self._addresses = addresses
        self._scheme = "https" if ca_file else "http"
        context = ssl.create_default_context(cafile=ca_file) if ca_file else None
        self._pool = httpcore.ConnectionPool(ssl_context=context)
        self._backoffs = BackoffTable(random.Random())
        self._headers = [(b"authorization", f"Bearer {credential}".encode())]

    def list(self, kind: str) -> Any:
        """Return the resources of a kind and the revision."""
        return self._call("GET", f"/v1/resources/{kind}")

    def get(self, kind: str, name: str) -> Any:
        """Return one resource."""
        return self._call("GET", f"/v1/resources/{kind}/{name}")

    def put(self, kind: str, name: str, spec: Any, expected: int | None = None) -> Any:
        """Create or replace a resource; safe to repeat, since it carries a change id."""
        body = {"spec": spec, "expected": expected, "change_id": uuid.uuid4().hex}
        return self._call("PUT", f"/v1/resources/{kind}/{name}", body)

    def delete(self, kind: str, name: str, expected: int | None = None) -> Any:
        """Delete a resource."""
        query = {"change_id": uuid.uuid4().hex}
        if expected is not None:
            query["expected"] = str(expected)
        return self._call("DELETE", f"/v1/resources/{kind}/{name}?{urlencode(query)}")

    def read(self, path: str, query: dict[str, str] | None = None) -> Any:
        """Return the decoded answer of another path."""
        return self._call("GET", f"{path}?{urlencode(query)}" if query else path)

    def post(self, path: str, body: Any) -> Any:
        """Send a change that is not a resource."""
        return self._call("POST", path, body)

    def watch(self, since: int, kind: str = "") -> Iterator[Any]:
        """Yield the lines of a watch until it ends; raises `GoneError` after compaction."""
        path = f"/v1/watch?{urlencode({'since': since, 'kind': kind})}"
        for address in self._addresses:
            try:
                yield from self._stream(address, path)
                return
            except httpcore.ConnectError:
                continue
        raise UnavailableError(f"no API answers at {', '.join(self._addresses)}")

    def _stream(self, address: str, path: str) -> Iterator[Any]:
        url = f"{self._scheme}://{address}{path}"
        with self._pool.stream(
            "GET", url, headers=self._headers, extensions={"timeout": _TIMEOUTS}
        ) as response:
            if response.status != 200:
                response.read()
                raise as_error(response.status, response.content)
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
        last: FinchwayError = UnavailableError("no API address is set", "set --api")
        for number in range(_TRIES):
            address = self._next_address(number)
            try:
                response = self._pool.request(
                    method,
                    f"{self._scheme}://{address}{path}",
                    headers=self._headers,
                    content=content,
                    extensions={"timeout": _TIMEOUTS},
                )
            except _FAILED as error:
                last = UnavailableError(f"{address}: {error or type(error).__name__}")
            else:
                if response.status < 300:
                    return msgspec.json.decode(response.content)
                error = as_error(response.status, response.content)
                if not isinstance(error, UnavailableError):
                    raise error
                last = error
                self._record_pushback(address, response)
            if number + 1 < _TRIES:
                time.sleep(_RETRY_S if number + 1 >= len(self._addresses) else 0)
        raise last

    def _next_address(self, number: int) -> str:
        """Return the next address in turn that does not rest, once there is one."""
        turn = [
            self._addresses[(number + k) % len(self._addresses)]
            for k in range(len(self._addresses))
        ]
        now = time.monotonic()
        address = min(turn, key=lambda address: self._backoffs.remaining_s(address, now))
        time.sleep(self._backoffs.remaining_s(address, now))
        return address

    def _record_pushback(self, address: str, response: httpcore.Response) -> None:
        """Take in the rest that a replica asks for, up to what a person at a prompt waits."""
        headers = [(name.lower(), value) for name, value in response.headers]
        pushback = read_pushback(response.status, headers, b"", b"", time.time())
        self._backoffs.start(address, min(pushback.backoff_s, _MAX_BACKOFF_S), time.monotonic())


def as_error(status: int, content: bytes) -> FinchwayError:
    """Turn a problem of the API into the exception that it stands for."""
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
