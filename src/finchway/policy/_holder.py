"""An entry's side of capacity shares: what it may have in flight at each upstream now."""

from __future__ import annotations

from msgspec import Struct

from finchway.policy._shares import ShareKey, Slots, floors_in_force, owned_in_force
from finchway.resources import Share


class Loan(Struct, frozen=True):
    """Slots lent to one entry until `ttl` seconds after the entry sent its heartbeat."""

    service: str
    region: str
    slots: Slots
    ttl: float


class Demand(Struct, frozen=True):
    """What an entry wants of a service in a region.

    `wanted` counts requests in flight and waiting by rank of priority; `used` counts those in
    flight at each upstream beyond the entry's floor.
    """

    service: str
    region: str
    wanted: dict[int, int] = {}
    used: Slots = {}


class LoanTiming(Struct, frozen=True):
    """Times of loans in seconds.

    A loan runs for `ttl`; `margin` allows for clocks that differ. The leader lends an owner's
    slots for `touch` after it sent an answer that the owner has acknowledged.
    """

    ttl: float = 1.0
    margin: float = 0.5
    touch: float = 1.0

    def reclaim_after(self, longest_request: float) -> float:
        """Return how long after its last answered heartbeat an owner takes its slots back."""
        return self.touch + self.ttl + 2 * self.margin + longest_request


class Holder:
    """One entry's side: its floors, the loans that are still good, and what it owns besides.

    `started` is when this life of the entry began; an earlier life may have let the leader lend
    until then.
    """

    __slots__ = (
        "_answered",
        "_both",
        "_expires",
        "_floors",
        "_loans",
        "_longest",
        "_member",
        "_owned",
        "_timing",
    )

    def __init__(self, member: str, timing: LoanTiming | None = None, started: float = 0.0) -> None:
        self._member = member
        self._timing = timing or LoanTiming()
        self._answered = started
        self._owned: dict[ShareKey, Slots] = {}
        self._longest: dict[str, float] = {}
        self._floors: dict[ShareKey, Slots] = {}
        self._loans: dict[ShareKey, Slots] = {}
        self._both: dict[ShareKey, Slots] = {}
        self._expires = float("-inf")

    def set_shares(self, shares: list[Share], longest: dict[str, float]) -> None:
        """Take over all shares at a new revision, and the longest request of each service."""
        self._longest = longest
        self._owned = {
            (share.service, share.region): owned_in_force(share, self._member) for share in shares
        }
        self._floors = {
            (share.service, share.region): floors_in_force(share, self._member) for share in shares
        }
        self._both = {}

    def set_loans(self, loans: list[Loan], sent_at: float) -> None:
        """Replace all loans by those of an answer to the heartbeat sent at `sent_at`."""
        self._loans = {(loan.service, loan.region): loan.slots for loan in loans}
        ttl = min((loan.ttl for loan in loans), default=0.0)
        self._expires = sent_at + ttl
        self._answered = max(self._answered, sent_at)
        self._both = {}

    def floor(self, key: ShareKey) -> Slots:
        """Return the floors of a service in a region."""
        return self._floors.get(key, {})

    def limits(self, key: ShareKey, now: float) -> Slots:
        """Return how many requests this entry may have in flight at each upstream now."""
        if now >= self._expires:
            if now >= self._answered + self._timing.reclaim_after(self._longest.get(key[0], 0.0)):
                return self._owned.get(key, {})
            return self._floors.get(key, {})
        both = self._both.get(key)
        if both is None:
            both = dict(self._floors.get(key, {}))
            for address, count in self._loans.get(key, {}).items():
                both[address] = both.get(address, 0) + count
            self._both[key] = both
        return both

    def may_borrow(self, now: float) -> bool:
        """Tell whether the leader answered lately, so that slots may come with its next answer."""
        return now - self._answered < self._timing.touch + self._timing.ttl

    def fits(self, key: ShareKey, in_flight: Slots, now: float) -> bool:
        """Tell whether what is in flight is within the limits, so that others may grow."""
        limits = self.limits(key, now)
        return all(count <= limits.get(address, 0) for address, count in in_flight.items())

    def used_beyond_floor(self, key: ShareKey, in_flight: Slots) -> Slots:
        """Return what is in flight at each upstream beyond the floor."""
        floors = self._floors.get(key, {})
        beyond = {addr: count - floors.get(addr, 0) for addr, count in in_flight.items()}
        return {address: count for address, count in beyond.items() if count > 0}
