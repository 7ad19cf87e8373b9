"""Which region and which upstream each key belongs to, alike at all gateways of a region.

Upstreams remember a bounded number of keys and forget the one that they have not seen for longest.
An upstream with a few keys too many therefore forgets all the time, and a key that changes its
place is slow once at the new one. So the keys that a gateway has lately seen stand in one fixed
order, by hash, and both decisions follow from it:

- a region keeps the first keys of the order, as many as make up its part of the requests, and
  passes on the rest; when its part changes, only the keys next to the border move, and those come
  back to where they were when it changes back;
- within a region with few upstreams for its keys, a key goes to the first upstream of its
  rendezvous order that has no more keys than its even share of the keys before it.

    keys = KeyMap("north")
    keys.note("17")
    keys.follow({"north": 0.7, "south": 0.3}, {"north": ("n1", "n2"), "south": ("s1",)}, now)
    keys.region_of("17"), keys.home_of("17", "north")
"""

from __future__ import annotations

from bisect import bisect_left, insort

from msgspec import Struct

from finchway.policy._hashing import position, rank, rank_weighted

# Seconds between two workings-out: a border that follows the parts this often lags by 1% of the
# requests at the fastest shift that is allowed.
RENEW_EVERY_S = 0.25
# Seconds until a request counts half: long enough to see each key of a region a few times.
HALF_LIFE_S = 10.0
# Part of the requests by which the border may be off before a key moves: about one key of fifty.
BORDER_TOLERANCE = 0.02
# A single key with more than this part of the requests is split between two regions at the border.
SPLIT_ABOVE = 0.1
# An upstream's keys may exceed the even share by a tenth and two: what upstreams remember is not
# known, and each key that is turned away from its first choice is one more to agree on.
EVEN_SHARE_SLACK = 1.1
EVEN_SHARE_EXTRA = 2
# Keys for each upstream of a region from which they are evened out. With fewer, the most loaded
# upstream still has about twenty, which all those seen remember; and while a gateway learns the
# keys, each evened one may move once (Brazos quiet-1: 52 more moves in 10 s without this bound).
EVENED_FROM = 10
# Keys that are known at most; hashing places the ones beyond, and is even to a few percent then. A
# renewal with so many takes about 4 ms (docs/CAPACITY.md).
MOST_KNOWN = 2_000
# Count below which a key is forgotten: a single request after 43 s.
FORGET_BELOW = 0.05


class _Key(Struct):
    """A key that was seen lately: its place in the order, and how often it was asked for."""

    place: float
    count: float = 0.0
    is_kept: bool | None = None
    kept_part: float = 1.0
    owed: float = 0.0


class KeyMap:
    """The keys of one service as one gateway sees them, and where they belong."""

    def __init__(self, home: str) -> None:
        self._home = home
        self._keys: dict[str, _Key] = {}
        self._order: list[tuple[float, str]] = []
        self._parts: dict[str, float] = {home: 1.0}
        self._others: dict[str, float] = {}
        self._names: dict[str, tuple[str, ...]] = {}
        self._homes: dict[str, dict[str, str]] = {}
        self._ranks: dict[tuple[str, str], tuple[tuple[str, ...], list[str]]] = {}
        self._renewed_at = float("-inf")
        self._has_other_keys = False
        self._owed: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def note(self, key: str) -> None:
        """Count a request for a key."""
        held = self._keys.get(key)
        if held is None:
            if len(self._keys) >= MOST_KNOWN:
                return
            held = self._keys[key] = _Key(position("spread", key))
            insort(self._order, (held.place, key))
            self._has_other_keys = True
        held.count += 1.0

    def follow(
        self, parts: dict[str, float], names: dict[str, tuple[str, ...]], now: float
    ) -> None:
        """Take in the regions' parts and upstreams, and work out the places now and then."""
        changed = names != self._names
        if not changed and now - self._renewed_at < RENEW_EVERY_S:
            return
        self._forget(now)
        self._renewed_at = now
        self._parts = dict(parts)
        self._others = {r: part for r, part in parts.items() if r != self._home and part > 0}
        if changed:
            self._names = dict(names)
            self._ranks.clear()
        self._draw_border()
        if changed or self._has_other_keys:
            self._homes = {region: self._balance(region) for region in names}
            self._has_other_keys = False

    def region_of(self, key: str) -> str:
        """Return the region that serves a request for a key."""
        held = self._keys.get(key)
        if not self._others:
            return self._home
        if held is None or held.is_kept is None:
            is_kept = position("spread", key) < self._parts.get(self._home, 0.0)
        elif 0.0 < held.kept_part < 1.0:
            held.owed += held.kept_part
            is_kept = held.owed >= 0.5
            held.owed -= is_kept
        else:
            is_kept = held.is_kept
        return self._home if is_kept else rank_weighted(key, self._others)[0]

    def region_in_turn(self) -> str:
        """Return the region that serves a request which has no key: what is due comes first."""
        for region, part in self._parts.items():
            self._owed[region] = self._owed.get(region, 0.0) + part
        chosen = max(self._parts, key=lambda region: self._owed.get(region, 0.0))
        self._owed[chosen] -= 1.0
        return chosen

    def home_of(self, key: str, region: str) -> str | None:
        """Return the upstream of a region that a key was given to; None: the first of its order."""
        return self._homes.get(region, {}).get(key)

    def _forget(self, now: float) -> None:
        passed = now - self._renewed_at
        if passed == float("inf"):
            return
        fade = 0.5 ** (passed / HALF_LIFE_S)
        for held in self._keys.values():
            held.count *= fade
        for key in [key for key, held in self._keys.items() if held.count < FORGET_BELOW]:
            self._has_other_keys = True
            place = self._keys.pop(key).place
            del self._order[bisect_left(self._order, (place, key))]
            for region in self._names:
                self._ranks.pop((key, region), None)

    def _draw_border(self) -> None:
        """Mark the keys that the home region keeps, in order, up to its part of the requests.

        Counts of few requests scatter, so each key counts half by itself and half as the mean.
        """
        total = sum(held.count for held in self._keys.values())
        mean = total / max(1, len(self._keys))
        part = self._parts.get(self._home, 0.0)
        before = 0.0
        for _, key in self._order:
            held = self._keys[key]
            width = (held.count + mean) / (2 * total) if total else 0.0
            self._mark(held, before, before + width, part)
            before += width

    def _mark(self, held: _Key, start: float, end: float, part: float) -> None:
        held.kept_part = 1.0
        if end - start > SPLIT_ABOVE:
            held.is_kept = start < part
            held.kept_part = min(1.0, max(0.0, (part - start) / (end - start)))
            return
        middle = (start + end) / 2
        if held.is_kept is None:
            held.is_kept = middle < part
        elif held.is_kept and middle > part + BORDER_TOLERANCE:
            held.is_kept = False
        elif not held.is_kept and middle < part - BORDER_TOLERANCE:
            held.is_kept = True

    def _balance(self, region: str) -> dict[str, str]:
        """Return each key's upstream in a region.

        A key's place depends only on the keys before it in the order, so the border may move
        without moving the others.
        """
        names = self._names[region]
        if not EVENED_FROM * len(names) <= len(self._keys) < MOST_KNOWN:
            return {}
        counts = dict.fromkeys(names, 0)
        homes: dict[str, str] = {}
        for number, (_, key) in enumerate(self._order, 1):
            most = EVEN_SHARE_SLACK * number / len(names) + EVEN_SHARE_EXTRA
            order = self._rank(key, region)
            chosen = next((name for name in order if counts[name] + 1 <= most), order[0])
            counts[chosen] += 1
            homes[key] = chosen
        return homes

    def _rank(self, key: str, region: str) -> list[str]:
        names = self._names[region]
        held = self._ranks.get((key, region))
        if held is None or held[0] is not names:
            held = self._ranks[key, region] = (names, rank(key, names))
        return held[1]
