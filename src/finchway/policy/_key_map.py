"""Assignment of affinity keys to regions and upstreams, consistent among a region's gateways.

Upstreams cache a bounded number of keys and evict the least recently used one, so an upstream with
too many keys has constant cache misses, and a reassigned key misses once at its new upstream. The
recently seen keys are therefore kept in one fixed hash order that determines both assignments:

- A region serves the first keys of the order, up to its part of the requests, and passes on the
  rest. When its part changes, only keys next to the boundary move, and they move back when the
  change is reversed.
- Within a region with few upstreams, a key goes to the first upstream of its rendezvous order whose
  number of keys is within the bound for the keys that precede it in the order.

    keys = KeyMap("north")
    keys.record("17")
    keys.follow({"north": 0.7, "south": 0.3}, {"north": ("n1", "n2"), "south": ("s1",)}, now)
    keys.region_of("17"), keys.balanced_upstream("17", "north")
"""

from __future__ import annotations

from bisect import bisect_left, insort

from msgspec import Struct

from finchway.policy._hashing import position, rank, rank_weighted

# Minimum time between two updates of the assignment. At the fastest shift of a plan, the
# boundary lags by 1% of the requests.
UPDATE_INTERVAL_S = 0.25
# Half-life of the request counts; long enough to see each key of a region a few times.
HALF_LIFE_S = 10.0
# Hysteresis of the boundary, as a fraction of the requests: about one key of fifty.
BOUNDARY_TOLERANCE = 0.02
# A key at the boundary with more than this fraction of the requests is split between regions.
SPLIT_THRESHOLD = 0.1
# An upstream may hold this many times its even share of the keys, plus a few. A tighter bound
# would move more keys away from the first upstream of their rendezvous order, which gateways have
# to agree on. How many keys upstreams can cache is not known.
LOAD_BOUND_FACTOR = 1.1
LOAD_BOUND_EXTRA_KEYS = 2
# Keys per upstream from which a region's keys are balanced. With fewer, the upstreams' caches hold
# all their keys, and balancing would only move keys while a gateway discovers them.
MIN_KEYS_PER_UPSTREAM = 10
# Bounds memory and the time of an update; keys beyond are placed by hash alone, which is even
# enough for so many keys. An update of so many takes about 4 ms.
MAX_KEYS = 2_000
# Decayed request count below which a key is dropped: 43 s after a single request.
MIN_COUNT = 0.05


class _KeyState(Struct):
    """The position of a recently seen key in the order, and its decayed request count."""

    position: float
    count: float = 0.0
    is_kept: bool | None = None
    kept_fraction: float = 1.0
    credit: float = 0.0


class KeyMap:
    """The recently seen keys of one service at one gateway, and their regions and upstreams."""

    def __init__(self, home: str) -> None:
        self._home = home
        self._keys: dict[str, _KeyState] = {}
        self._order: list[tuple[float, str]] = []
        self._parts: dict[str, float] = {home: 1.0}
        self._other_parts: dict[str, float] = {}
        self._upstreams: dict[str, tuple[str, ...]] = {}
        self._home_upstreams: dict[str, dict[str, str]] = {}
        self._ranks: dict[tuple[str, str], tuple[tuple[str, ...], list[str]]] = {}
        self._updated_at = float("-inf")
        self._keys_changed = False
        self._credits: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def record(self, key: str) -> None:
        """Count a request for a key."""
        state = self._keys.get(key)
        if state is None:
            if len(self._keys) >= MAX_KEYS:
                return
            state = self._keys[key] = _KeyState(position("spread", key))
            insort(self._order, (state.position, key))
            self._keys_changed = True
        state.count += 1.0

    def follow(
        self, parts: dict[str, float], names: dict[str, tuple[str, ...]], now: float
    ) -> None:
        """Apply the regions' parts and upstreams; recompute the assignment if it is due."""
        changed = names != self._upstreams
        if not changed and now - self._updated_at < UPDATE_INTERVAL_S:
            return
        self._expire_keys(now)
        self._updated_at = now
        self._parts = dict(parts)
        self._other_parts = {r: part for r, part in parts.items() if r != self._home and part > 0}
        if changed:
            self._upstreams = dict(names)
            self._ranks.clear()
        self._move_boundary()
        if changed or self._keys_changed:
            self._home_upstreams = {region: self._balance_keys(region) for region in names}
            self._keys_changed = False

    def region_of(self, key: str) -> str:
        """Return the region that serves a request for a key."""
        state = self._keys.get(key)
        if not self._other_parts:
            return self._home
        if state is None or state.is_kept is None:
            is_kept = position("spread", key) < self._parts.get(self._home, 0.0)
        elif 0.0 < state.kept_fraction < 1.0:
            state.credit += state.kept_fraction
            is_kept = state.credit >= 0.5
            state.credit -= is_kept
        else:
            is_kept = state.is_kept
        return self._home if is_kept else rank_weighted(key, self._other_parts)[0]

    def next_region(self) -> str:
        """Return the region for a request without a key, by weighted round robin."""
        for region, part in self._parts.items():
            self._credits[region] = self._credits.get(region, 0.0) + part
        chosen = max(self._parts, key=lambda region: self._credits.get(region, 0.0))
        self._credits[chosen] -= 1.0
        return chosen

    def balanced_upstream(self, key: str, region: str) -> str | None:
        """Return a key's balanced upstream in a region; None means the first of its order."""
        return self._home_upstreams.get(region, {}).get(key)

    def _expire_keys(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s == float("inf"):
            return
        decay = 0.5 ** (elapsed_s / HALF_LIFE_S)
        for state in self._keys.values():
            state.count *= decay
        for key in [key for key, state in self._keys.items() if state.count < MIN_COUNT]:
            self._keys_changed = True
            key_position = self._keys.pop(key).position
            del self._order[bisect_left(self._order, (key_position, key))]
            for region in self._upstreams:
                self._ranks.pop((key, region), None)

    def _move_boundary(self) -> None:
        """Mark the keys that the home region keeps: the first ones, up to its part of the requests.

        A key's weight is the average of its count and the mean count, since low counts are noisy.
        """
        total = sum(state.count for state in self._keys.values())
        mean = total / max(1, len(self._keys))
        part = self._parts.get(self._home, 0.0)
        before = 0.0
        for _, key in self._order:
            state = self._keys[key]
            width = (state.count + mean) / (2 * total) if total else 0.0
            self._update_kept(state, before, before + width, part)
            before += width

    def _update_kept(self, state: _KeyState, start: float, end: float, part: float) -> None:
        state.kept_fraction = 1.0
        if end - start > SPLIT_THRESHOLD:
            state.is_kept = start < part
            state.kept_fraction = min(1.0, max(0.0, (part - start) / (end - start)))
            return
        middle = (start + end) / 2
        if state.is_kept is None:
            state.is_kept = middle < part
        elif state.is_kept and middle > part + BOUNDARY_TOLERANCE:
            state.is_kept = False
        elif not state.is_kept and middle < part - BOUNDARY_TOLERANCE:
            state.is_kept = True

    def _balance_keys(self, region: str) -> dict[str, str]:
        """Return each key's upstream in a region.

        It depends only on preceding keys in the order, so the boundary may move without moving
        the other keys.
        """
        names = self._upstreams[region]
        if not MIN_KEYS_PER_UPSTREAM * len(names) <= len(self._keys) < MAX_KEYS:
            return {}
        counts = dict.fromkeys(names, 0)
        homes: dict[str, str] = {}
        for number, (_, key) in enumerate(self._order, 1):
            max_count = LOAD_BOUND_FACTOR * number / len(names) + LOAD_BOUND_EXTRA_KEYS
            order = self._rank(key, region)
            chosen = next((name for name in order if counts[name] + 1 <= max_count), order[0])
            counts[chosen] += 1
            homes[key] = chosen
        return homes

    def _rank(self, key: str, region: str) -> list[str]:
        names = self._upstreams[region]
        cached = self._ranks.get((key, region))
        if cached is None or cached[0] is not names:
            cached = self._ranks[key, region] = (names, rank(key, names))
        return cached[1]
