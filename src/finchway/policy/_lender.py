"""The leader's side of capacity shares: which slots are lent to which entry."""

from __future__ import annotations

from msgspec import Struct

from finchway.policy._hashing import rank
from finchway.policy._holder import Demand, Loan, LoanTiming
from finchway.policy._shares import (
    ShareKey,
    Slots,
    floors_in_force,
    lendable,
    per_upstream_max,
    per_upstream_min,
)
from finchway.resources import Share


class _Borrower(Struct):
    """The demand and outstanding loans of one entry for one share."""

    demand: Demand
    granted: dict[int, Slots]
    last_heartbeat: float
    acked: int = 0


class _Allocation(Struct):
    """Derived from one share: each member's floor and lendable slots."""

    share: Share
    floors: dict[str, int]
    lendable: dict[str, Slots]


def _allocate(share: Share) -> _Allocation:
    members = share.current.members
    return _Allocation(
        share,
        {m: sum(floors_in_force(share, m).values()) for m in members},
        {m: lendable(share, m) for m in members},
    )


class Lender:
    """Lends the slots of shares to entries.

    A new leader does not know its predecessor's loans and lends nothing until they have expired.
    Slots count as lent until the holder has acknowledged a smaller loan and reports them unused; if
    the holder is silent, until loan, clock margin and maximum request time have passed.
    """

    def __init__(self, timing: LoanTiming, now: float) -> None:
        self._timing = timing
        self._started = now
        self._all_reported = False
        self._replies_sent: dict[str, dict[int, float]] = {}
        self._last_contact: dict[str, float] = {}
        self._allocations: dict[ShareKey, _Allocation] = {}
        self._indexed_shares: dict[ShareKey, Share] = {}
        self._keys_by_member: dict[str, set[ShareKey]] = {}
        self._keys_by_holder: dict[str, set[ShareKey]] = {}
        self._borrowers: dict[ShareKey, dict[str, _Borrower]] = {}

    def lend(
        self,
        holder: str,
        demands: list[Demand],
        acked: int,
        sequence: int,
        shares: dict[ShareKey, Share],
        longest: dict[str, float],
        now: float,
    ) -> list[Loan]:
        """Record the demands of one heartbeat and return the entry's loans.

        `holder` is one incarnation of an entry, `instance@incarnation`, so that loans of an earlier
        incarnation still count after a restart. `acked` is the newest reply that the entry has
        applied, `sequence` the number of this reply, `longest` the maximum request time of each
        service in seconds.
        """
        self._record_contact(holder, acked, sequence, now)
        wanted = {(demand.service, demand.region): demand for demand in demands}
        loans = []
        for key in self._keys_of(holder, wanted, shares):
            share = shares[key]
            demand = wanted.get(key) or Demand(key[0], key[1])
            borrowers = self._borrowers.setdefault(key, {})
            oldest = now - self._max_loan_lifetime(key[0], longest)
            for silent in [name for name, b in borrowers.items() if b.last_heartbeat < oldest]:
                del borrowers[silent]
                self._keys_by_holder.pop(silent, None)
            borrower = borrowers.get(holder) or _Borrower(demand, {}, now)
            borrower.demand, borrower.last_heartbeat, borrower.acked = (
                demand,
                now,
                max(borrower.acked, acked),
            )
            borrower.granted = {
                seq: slots for seq, slots in borrower.granted.items() if seq >= borrower.acked
            }
            borrowers[holder] = borrower
            self._keys_by_holder.setdefault(holder, set()).add(key)
            if not self._may_lend(key[0], longest, now):
                continue
            slots = self._allot(holder, share, borrowers, now)
            borrower.granted[sequence] = slots
            if not slots and not _outstanding(borrower) and not wanted.get(key):
                self._keys_by_holder[holder].discard(key)
            if slots:
                loans.append(Loan(key[0], key[1], slots, self._timing.ttl))
        return loans

    def _keys_of(
        self, holder: str, wanted: dict[ShareKey, Demand], shares: dict[ShareKey, Share]
    ) -> list[ShareKey]:
        """Return the shares of which a holder is a member, has demand, or has borrowed."""
        if shares is not self._indexed_shares:
            self._indexed_shares = shares
            self._keys_by_member = {}
            for key, share in shares.items():
                for member in share.current.members:
                    self._keys_by_member.setdefault(member, set()).add(key)
        own = self._keys_by_member.get(member_of(holder), set())
        lent = self._keys_by_holder.get(holder, set())
        return sorted((own | lent | wanted.keys()) & shares.keys())

    def mark_all_reported(self) -> None:
        """Record that every incarnation that may have borrowed earlier has reported its use."""
        self._all_reported = True

    def _may_lend(self, service: str, longest: dict[str, float], now: float) -> bool:
        """Return whether loans of an earlier leader, and requests under them, have ended."""
        loans_end = self._started + self._timing.ttl + self._timing.margin
        if self._all_reported:
            return now >= loans_end
        return now >= loans_end + longest.get(service, 0.0)

    def _max_loan_lifetime(self, service: str, longest: dict[str, float]) -> float:
        """Return the time after which an unrenewed loan and all requests under it have ended."""
        return self._timing.ttl + self._timing.margin + longest.get(service, 0.0)

    def _record_contact(self, holder: str, acked: int, sequence: int, now: float) -> None:
        """Record when the newest reply that this owner has acknowledged was sent."""
        sent = self._replies_sent.setdefault(holder, {})
        if acked in sent:
            member = member_of(holder)
            self._last_contact[member] = max(self._last_contact.get(member, 0.0), sent[acked])
        self._replies_sent[holder] = {seq: at for seq, at in sent.items() if seq >= acked}
        self._replies_sent[holder][sequence] = now

    def _pool(self, share: Share, now: float) -> Slots:
        """Return the lendable slots of all owners that are in contact."""
        pool: Slots = {}
        for owner, slots in self._allocation(share).lendable.items():
            if now - self._last_contact.get(owner, float("-inf")) < self._timing.touch:
                for address, count in slots.items():
                    pool[address] = pool.get(address, 0) + count
        return pool

    def _allocation(self, share: Share) -> _Allocation:
        """Return the allocation of a share, cached for each of its revisions."""
        key = (share.service, share.region)
        allocation = self._allocations.get(key)
        if allocation is None or allocation.share is not share:
            allocation = self._allocations[key] = _allocate(share)
        return allocation

    def _allot(
        self, entry: str, share: Share, borrowers: dict[str, _Borrower], now: float
    ) -> Slots:
        pool = self._pool(share, now)
        free = dict(pool)
        for name, borrower in borrowers.items():
            if name != entry:
                for address, count in _outstanding(borrower).items():
                    free[address] = free.get(address, 0) - count
        target = self._target(entry, share, borrowers, sum(pool.values()))
        granted = borrowers[entry].granted
        held = granted[max(granted)] if granted else {}
        return _pick_slots(entry, {a: c for a, c in free.items() if c > 0}, target, held)

    def _target(self, entry: str, share: Share, borrowers: dict[str, _Borrower], total: int) -> int:
        """Return how many slots of the pool this entry should have.

        Demand beyond the floors is met in order of rank over all entries. Remaining slots are
        divided equally among the members as a reserve for bursts.
        """
        members = share.current.members
        floors = self._allocation(share).floors
        needs = {
            name: _needs_by_rank(b.demand, floors.get(member_of(name), 0))
            for name, b in borrowers.items()
        }
        remaining = total
        target = 0
        for rank_number in sorted({r for need in needs.values() for r in need}):
            requested = sum(need.get(rank_number, 0) for need in needs.values())
            own = needs[entry].get(rank_number, 0)
            if requested <= remaining:
                target += own
                remaining -= requested
            else:
                target += -(-own * remaining // requested)
                remaining = 0
                break
        spare = remaining // max(1, len(members)) if member_of(entry) in members else 0
        return target + spare


def member_of(holder: str) -> str:
    """Return the instance of a holder key `instance@incarnation`."""
    return holder.partition("@")[0]


def _outstanding(borrower: _Borrower) -> Slots:
    total = dict(borrower.demand.used)
    for slots in borrower.granted.values():
        total = per_upstream_max(total, slots)
    return total


def _needs_by_rank(demand: Demand, floor: int) -> dict[int, int]:
    """Return the demand beyond the floor, which covers the best ranks first."""
    needs = {}
    for rank_number, count in sorted(demand.wanted.items()):
        covered = min(floor, count)
        floor -= covered
        if count > covered:
            needs[rank_number] = count - covered
    return needs


def _pick_slots(entry: str, free: Slots, target: int, held: Slots) -> Slots:
    """Choose up to `target` free slots, preferring those already held, then evenly.

    A slot at the old upstream stays in use until its request ends, so needless moves leave capacity
    idle.
    """
    taken = _take_evenly(entry, per_upstream_min(held, free), target)
    rest = {address: count - taken.get(address, 0) for address, count in free.items()}
    added = _take_evenly(entry, rest, target - sum(taken.values()))
    return {a: taken.get(a, 0) + added.get(a, 0) for a in {*taken, *added}}


def _take_evenly(entry: str, free: Slots, target: int) -> Slots:
    """Choose `target` slots in rounds of one slot of each upstream that has some left.

    Rounds in which no upstream runs out are taken at once.
    """
    order = rank(entry, [address for address, count in free.items() if count > 0])
    taken: Slots = {}
    while target > 0 and order:
        fewest_left = min(free[address] - taken.get(address, 0) for address in order)
        rounds = min(target // len(order), fewest_left)
        for address in order if rounds else order[:target]:
            taken[address] = taken.get(address, 0) + max(rounds, 1)
        target -= rounds * len(order) if rounds else target
        order = [address for address in order if taken.get(address, 0) < free[address]]
    return taken
