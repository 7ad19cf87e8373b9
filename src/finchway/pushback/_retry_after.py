"""Reads `Retry-After`: seconds, fractions included, or a date."""

from __future__ import annotations

from datetime import UTC
from email.utils import parsedate_to_datetime

from finchway.pushback._decimal import read_decimal


def read_retry_after(value: str, now_unix: float, date: str | None = None) -> float | None:
    """Return the seconds that a header's value asks for; None if it makes no sense.

    A date is counted from the answer's own `date` if it has one, so that the clocks of the two
    machines need not agree, and from `now_unix` otherwise; one that has passed asks for nothing.

        >>> read_retry_after("1.5", 0.0)
        1.5
        >>> read_retry_after("-3", 0.0) is None
        True
    """
    seconds = read_decimal(value)
    if seconds is not None:
        return seconds
    until = _read_date(value)
    if until is None:
        return None
    said_at = _read_date(date) if date else None
    return max(0.0, until - (now_unix if said_at is None else said_at))


def _read_date(value: str) -> float | None:
    """Return a date as Unix seconds; None if it is none."""
    try:
        date = parsedate_to_datetime(value.strip())
        if date.tzinfo is None:
            date = date.replace(tzinfo=UTC)
        return date.timestamp()
    except (ValueError, OverflowError, TypeError, IndexError):
        return None
