"""Reads a decimal number as headers have it: digits and one point, no sign, no exponent."""

from __future__ import annotations

import re

# Digits on each side of the point of a number that is read at all: no wish needs more.
_DECIMAL = re.compile(r"\d{1,9}(\.\d{0,9})?|\.\d{1,9}", re.ASCII)


def read_decimal(value: str) -> float | None:
    """Return a number; None if it is none.

    >>> read_decimal(" 7.2 ")
    7.2
    >>> read_decimal("1e3") is None
    True
    """
    value = value.strip()
    return float(value) if _DECIMAL.fullmatch(value) else None
