"""The entry's side of capacity shares: its in-flight limit at each upstream."""

from __future__ import annotations

from msgspec import Struct

from finchway.policy._shares import ShareKey, Slots, floors_in_force, owned_in_force
from finchway.resources import Share


class Loan(Struct, frozen=True):
    """Slots lent to one entry, valid until `ttl` seconds after it sent its heartbeat."""

    service: str
    region: str
    slots: Slots
    ttl: float


class Demand(Struct, frozen=True):
    """An entry's demand for slots of a service in a region.

    `wanted` counts requests in flight and queued by priority rank; `used` counts requests in flight
    at each upstream beyond the entry's floor.
    """

    service: str
    region: str
    wanted: dict[int, int] = {}
    used: Slots = {}


class LoanTiming(Struct, frozen=True):
    """Timing of loans, in seconds.

    A loan is valid for `ttl`; `margin` allows for clock drift. The leader lends an owner's slots
    for `touch` after sending a reply that the owner has acknowledged.
    """

    ttl: float = 1.0
    margin: float = 0.5
    touch: float = 1.0

    def reclaim_after(self, longest_request: float) -> float:
        """Return the time after its last answered heartbeat when an owner reclaims its slots."""
        return self.touch + self.ttl + 2 * self.margin + longest_request


class Holder:
    """Tracks one entry's floors, valid loans and owned slots.

    `started` is the start time of this incarnation: the leader may have lent the entry's slots
    while an earlier incarnation was in contact.
    """

    __slots__ = (
        "_last_reply_sent_at",
        "_limits",
        "_loans_expire_at",
        "_floors",
        "_loans",
        "_max_request_s",
        "_member",
        "_owned",
        "_timing",
    )

    def __init__(self, member: str, timing: LoanTiming | None = None, started: float = 0.0) -> None:
        self._member = member
        self._timing = timing or LoanTiming()
        self._last_reply_sent_at = started
        self._owned: dict[ShareKey, Slots] = {}
        self._max_request_s: dict[str, float] = {}
        self._floors: dict[ShareKey, Slots] = {}
        self._loans: dict[ShareKey, Slots] = {}
        self._limits: dict[ShareKey, Slots] = {}
        self._loans_expire_at = float("-inf")

    def set_shares(self, shares: list[Share], longest: dict[str, float]) -> None:
        """Apply all shares of a new revision, and the maximum request time of each service."""
        self._max_request_s = longest
        self._owned = {
            (share.service, share.region): owned_in_force(share, self._member) for share in shares
        }
        self._floors = {
            (share.service, share.region): floors_in_force(share, self._member) for share in shares
        }
        self._limits = {}

    def set_loans(self, loans: list[Loan], sent_at: float) -> None:
        """Replace all loans by those in the reply to the heartbeat sent at `sent_at`."""
        self._loans = {(loan.service, loan.region): loan.slots for loan in loans}
        ttl = min((loan.ttl for loan in loans), default=0.0)
        self._loans_expire_at = sent_at + ttl
        self._last_reply_sent_at = max(self._last_reply_sent_at, sent_at)
        self._limits = {}

    def floor(self, key: ShareKey) -> Slots:
        """Return the floor slots of a service in a region."""
        return self._floors.get(key, {})

    def limits(self, key: ShareKey, now: float) -> Slots:
        """Return the in-flight limit of this entry at each upstream."""
        if now >= self._loans_expire_at:
            if now >= self._last_reply_sent_at + self._timing.reclaim_after(
                self._max_request_s.get(key[0], 0.0)
            ):
                return self._owned.get(key, {})
            return self._floors.get(key, {})
        combined = self._limits.get(key)
        if combined is None:
            combined = dict(self._floors.get(key, {}))
            for address, count in self._loans.get(key, {}).items():
                combined[address] = combined.get(address, 0) + count
            self._limits[key] = combined
        return combined

    def may_borrow(self, now: float) -> bool:
        """Return whether the leader replied recently enough that it may lend slots."""
        return now - self._last_reply_sent_at < self._timing.touch + self._timing.ttl

    def fits(self, key: ShareKey, in_flight: Slots, now: float) -> bool:
        """Return whether the requests in flight are within the limits."""
        limits = self.limits(key, now)
        return all(count <= limits.get(address, 0) for address, count in in_flight.items())

    def used_beyond_floor(self, key: ShareKey, in_flight: Slots) -> Slots:
        """Return the requests in flight at each upstream beyond the floor."""
        floors = self._floors.get(key, {})
        beyond = {addr: count - floors.get(addr, 0) for addr, count in in_flight.items()}
        return {address: count for address, count in beyond.items() if count > 0}
