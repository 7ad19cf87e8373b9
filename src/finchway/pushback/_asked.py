"""Reads from an answer's head what its upstream asks of the process that sent the request."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from finchway.pushback._retry_after import read_retry_after

_UNAVAILABLE = 503
_MISDIRECTED = 421


class Asked(Struct, frozen=True):
    """What an answer asks of the process that it was sent to.

    `rest_s` is the time for which the upstream wants nothing more from it, and `leaving` tells that
    it wants nothing new for as long as it lives. `unread` is a `Retry-After` that makes no sense.
    """

    rest_s: float = 0.0
    leaving: bool = False
    unread: str = ""


ASKED_NOTHING = Asked()


def read_asked(
    status: int, headers: Iterable[tuple[bytes, bytes]], leaving: bytes, now_unix: float
) -> Asked:
    """Read an answer's head, whose header names are in lower case; `leaving` is one of them.

    Only a 503 asks for rest, whether or not it says that the request was not run: a 429 is meant
    for the caller. Of several `Retry-After` the longest counts, since each is a wish. A 421 comes
    from whoever has the address now, so it says nothing of the upstream that was meant.
    """
    if status == _MISDIRECTED:
        return ASKED_NOTHING
    is_leaving = False
    retry_after: list[str] = []
    date = None
    for name, value in headers:
        if name == leaving:
            is_leaving = is_leaving or value.strip() == b"1"
        elif status == _UNAVAILABLE and name == b"retry-after":
            retry_after.append(value.decode("latin-1"))
        elif name == b"date":
            date = value.decode("latin-1")
    if not is_leaving and not retry_after:
        return ASKED_NOTHING
    read = [read_retry_after(value, now_unix, date) for value in retry_after]
    rests = [seconds for seconds in read if seconds is not None]
    unread = [value for value, seconds in zip(retry_after, read, strict=True) if seconds is None]
    return Asked(max(rests, default=0.0), is_leaving, unread[0] if unread else "")
