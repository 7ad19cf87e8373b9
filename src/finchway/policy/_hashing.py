"""Stable hashes, identical on every instance and in every process and version."""

from __future__ import annotations

import math
from collections.abc import Iterable

import xxhash

_SCALE = float(2**64)


def position(*parts: str) -> float:
    """Return a stable pseudo-random position in [0, 1) for some text.

    position("bays", "10.1.2.0/24")  # the same number everywhere
    """
    return _digest("\x00".join(parts)) / _SCALE


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Order members by rendezvous hashing; removing one keeps the order of the others."""
    return sorted(members, key=lambda member: _digest(f"{key}\x00{member}"))


def rank_weighted(key: str, weights: dict[str, float]) -> list[str]:
    """Order members by weighted rendezvous hashing; double weight attracts double the keys."""
    scores = {
        member: -math.log(max(position(key, member), 1e-18)) / weight
        for member, weight in weights.items()
        if weight > 0
    }
    return sorted(scores, key=scores.__getitem__)


def _digest(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
