"""Stable hashes: the same on every instance, in every process and version."""

from __future__ import annotations

import math
from collections.abc import Iterable

import xxhash

_SCALE = float(2**64)


def position(*parts: str) -> float:
    """Return where some text lies in [0, 1); a caller keeps its place for good.

    position("bays", "10.1.2.0/24")  # the same number everywhere
    """
    return _digest("\x00".join(parts)) / _SCALE


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Order members by rendezvous hashing; taking one away leaves the others' order alone."""
    return sorted(members, key=lambda member: _digest(f"{key}\x00{member}"))


def rank_weighted(key: str, weights: dict[str, float]) -> list[str]:
    """Order members by weighted rendezvous hashing; a double weight gets double the keys."""
    scores = {
        member: -math.log(max(position(key, member), 1e-18)) / weight
        for member, weight in weights.items()
        if weight > 0
    }
    return sorted(scores, key=scores.__getitem__)


def _digest(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
