"""Lookup table from IPv4 client prefixes to sites.

Nested prefixes are flattened into disjoint ranges when the table is built, so that a lookup is one
binary search over compact arrays.
"""

from __future__ import annotations

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable

NO_SITE = 0xFFFF


class BlockTable:
    """Maps client addresses to sites by longest prefix.

    table = BlockTable.build([("10.1.0.0/16", "colombo")])
    table.find("10.1.2.3")  # "colombo"
    """

    __slots__ = ("_numbers", "_sites", "_starts")

    def __init__(self, starts: array, numbers: array, sites: list[str]) -> None:
        self._starts = starts
        self._numbers = numbers
        self._sites = sites

    def __len__(self) -> int:
        return len(self._starts)

    @property
    def size_bytes(self) -> int:
        """The memory used by the arrays."""
        arrays = (self._starts, self._numbers)
        return sum(a.itemsize * len(a) for a in arrays)

    @classmethod
    def build(cls, blocks: Iterable[tuple[str, str]]) -> BlockTable:
        """Build the table from (`prefix/length`, site) pairs; a longer prefix wins."""
        sites: dict[str, int] = {}
        spans = []
        for text, site in blocks:
            start, end = parse_block(text)
            spans.append((start, -end, sites.setdefault(site, len(sites))))
        spans.sort()
        return cls(*_flatten(spans), list(sites))

    def find(self, address: str) -> str | None:
        """Return the site of an address, or None if no block contains it."""
        try:
            value = int(ipaddress.IPv4Address(address))
        except ValueError:
            return None
        return self.find_number(value)

    def find_number(self, value: int) -> str | None:
        """Return the site of an address given as an integer."""
        index = bisect_right(self._starts, value) - 1
        if index < 0 or self._numbers[index] == NO_SITE:
            return None
        return self._sites[self._numbers[index]]


def parse_block(text: str) -> tuple[int, int]:
    """Return the first address of a block and the address after its last, as integers."""
    prefix, _, length = text.partition("/")
    a, b, c, d = (int(part) for part in prefix.split("."))
    size = 1 << (32 - int(length))
    start = ((a << 24) | (b << 16) | (c << 8) | d) & ~(size - 1)
    return start, start + size


def _flatten(spans: list[tuple[int, int, int]]) -> tuple[array, array]:
    starts, numbers = array("I"), array("H")
    open_spans: list[tuple[int, int]] = []

    def close_until(position: int) -> None:
        while open_spans and open_spans[-1][0] <= position:
            end = open_spans.pop()[0]
            _mark(starts, numbers, end, open_spans[-1][1] if open_spans else NO_SITE)

    for start, negative_end, site in spans:
        close_until(start)
        _mark(starts, numbers, start, site)
        open_spans.append((-negative_end, site))
    close_until(1 << 32)
    return starts, numbers


def _mark(starts: array, numbers: array, start: int, site: int) -> None:
    if start > 0xFFFFFFFF:
        return
    if starts and starts[-1] == start:
        numbers[-1] = site
    elif not numbers or numbers[-1] != site:
        starts.append(start)
        numbers.append(site)
