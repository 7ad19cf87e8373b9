"""Parses backoff, rate limit and leaving mark from response headers."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from finchway.pushback._decimal import read_decimal
from finchway.pushback._retry_after import read_retry_after

_UNAVAILABLE = 503
_MISDIRECTED = 421


class Pushback(Struct, frozen=True):
    """What a response requests of the process that receives it.

    `backoff_s` is the requested backoff in seconds, `leaving` marks an upstream that accepts no new
    requests until it ends, and `limit` is the rate in requests per second that it accepts from all
    processes together, None without a valid one. `invalid_retry_after` is an invalid `Retry-After`
    value, `invalid_limit` an invalid limit.
    """

    backoff_s: float = 0.0
    leaving: bool = False
    invalid_retry_after: str = ""
    limit: float | None = None
    invalid_limit: str | None = None


NO_PUSHBACK = Pushback()


def is_own_answer(status: int) -> bool:
    """Return whether the intended upstream responded; a 421 is from another one at its address."""
    return status != _MISDIRECTED


def read_pushback(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    leaving: bytes,
    limit: bytes,
    now_unix: float,
) -> Pushback:
    """Parse response headers, whose names are in lower case like `leaving` and `limit`.

    Only a 503 requests a backoff; the `Retry-After` of a 429 is for the caller. The longest
    `Retry-After` and the lowest limit apply. A 421 is ignored, since another upstream sent it.
    """
    if not is_own_answer(status):
        return NO_PUSHBACK
    is_leaving = False
    retry_after: list[str] = []
    limits: list[str] = []
    date = None
    for name, value in headers:
        if name == leaving:
            is_leaving = is_leaving or value.strip() == b"1"
        elif name == limit:
            limits.append(value.decode("latin-1"))
        elif status == _UNAVAILABLE and name == b"retry-after":
            retry_after.append(value.decode("latin-1"))
        elif name == b"date":
            date = value.decode("latin-1")
    if not is_leaving and not retry_after and not limits:
        return NO_PUSHBACK
    parsed_retry_after = [read_retry_after(value, now_unix, date) for value in retry_after]
    backoffs = [seconds for seconds in parsed_retry_after if seconds is not None]
    invalid = [
        value
        for value, seconds in zip(retry_after, parsed_retry_after, strict=True)
        if seconds is None
    ]
    rates = [read_decimal(value) for value in limits]
    return Pushback(
        max(backoffs, default=0.0),
        is_leaving,
        invalid[0] if invalid else "",
        min((rate for rate in rates if rate is not None), default=None),
        next((v for v, rate in zip(limits, rates, strict=True) if rate is None), None),
    )
