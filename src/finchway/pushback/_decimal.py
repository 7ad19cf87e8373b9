"""Parses decimal numbers in headers: digits and one point, no sign, no exponent."""

from __future__ import annotations

import re

# At most nine digits on each side of the point.
_DECIMAL = re.compile(r"\d{1,9}(\.\d{0,9})?|\.\d{1,9}", re.ASCII)


def read_decimal(value: str) -> float | None:
    """Return the number, or None if the text is not one.

    >>> read_decimal(" 7.2 ")
    7.2
    >>> read_decimal("1e3") is None
    True
    """
    value = value.strip()
    return float(value) if _DECIMAL.fullmatch(value) else None
