"""Reads from an answer's head what its upstream asks of the process that sent the request."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from finchway.pushback._decimal import read_decimal
from finchway.pushback._retry_after import read_retry_after

_UNAVAILABLE = 503
_MISDIRECTED = 421


class Asked(Struct, frozen=True):
    """What an answer asks of the process that it was sent to.

    `rest_s` is the time for which the upstream wants nothing more from it, and `leaving` tells that
    it wants nothing new for as long as it lives. `limit` are the requests a second that it takes
    from all processes together, for as long as it says so; None if it names no limit that can be
    read. `unread` is a `Retry-After`, and `unread_limit` a limit, that makes no sense.
    """

    rest_s: float = 0.0
    leaving: bool = False
    unread: str = ""
    limit: float | None = None
    unread_limit: str | None = None


ASKED_NOTHING = Asked()


def is_own_answer(status: int) -> bool:
    """Tell whether an answer is of the upstream that was meant: a 421 is whoever's is there now."""
    return status != _MISDIRECTED


def read_asked(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    leaving: bytes,
    limit: bytes,
    now_unix: float,
) -> Asked:
    """Read an answer's head, whose header names are in lower case as `leaving` and `limit` are.

    Only a 503 asks for rest, whether or not it says that the request was not run: a 429 is meant
    for the caller. Of several `Retry-After` the longest counts, and of several limits the lowest,
    since each is a wish. A 421 says nothing of the upstream that was meant.
    """
    if not is_own_answer(status):
        return ASKED_NOTHING
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
        return ASKED_NOTHING
    read = [read_retry_after(value, now_unix, date) for value in retry_after]
    rests = [seconds for seconds in read if seconds is not None]
    unread = [value for value, seconds in zip(retry_after, read, strict=True) if seconds is None]
    rates = [read_decimal(value) for value in limits]
    return Asked(
        max(rests, default=0.0),
        is_leaving,
        unread[0] if unread else "",
        min((rate for rate in rates if rate is not None), default=None),
        next((v for v, rate in zip(limits, rates, strict=True) if rate is None), None),
    )
