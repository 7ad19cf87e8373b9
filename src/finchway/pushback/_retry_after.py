"""Parses `Retry-After`: seconds, with fractions, or a date."""

from __future__ import annotations

from datetime import UTC
from email.utils import parsedate_to_datetime

from finchway.pushback._decimal import read_decimal


def read_retry_after(value: str, now_unix: float, date: str | None = None) -> float | None:
    """Return the delay in seconds; None if the value is invalid.

    A date is relative to the response's own `date`, so that clock skew has no effect, or else to
    `now_unix`. A date in the past gives 0.

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
    answered_at = _read_date(date) if date else None
    return max(0.0, until - (now_unix if answered_at is None else answered_at))


def _read_date(value: str) -> float | None:
    """Return a date as Unix seconds; None if it is invalid."""
    try:
        date = parsedate_to_datetime(value.strip())
        if date.tzinfo is None:
            date = date.replace(tzinfo=UTC)
        return date.timestamp()
    except (ValueError, OverflowError, TypeError, IndexError):
        return None
