"""The leader's side of capacity shares: which slots are lent to whom, and until when."""

from __future__ import annotations

from msgspec import Struct

from finchway.policy._hashing import rank
from finchway.policy._holder import Demand, Loan, LoanTiming
from finchway.policy._shares import (
    ShareKey,
    Slots,
    floors_in_force,
    larger,
    lendable,
    smaller,
)
from finchway.resources import Share


class _Borrower(Struct):
    """What the lender knows of one entry for one share."""

    demand: Demand
    granted: dict[int, Slots]
    heard_at: float
    acked: int = 0


class _Dealt(Struct):
    """What follows from one share: each member's floor, and what may be lent of its slots."""

    share: Share
    floors: dict[str, int]
    lendable: dict[str, Slots]


def _deal(share: Share) -> _Dealt:
    members = share.current.members
    return _Dealt(
        share,
        {m: sum(floors_in_force(share, m).values()) for m in members},
        {m: lendable(share, m) for m in members},
    )


class Lender:
    """The leader's side: which slots of a share's pool are lent to whom.

    A new leader does not know its predecessor's loans, so it lends nothing until they are over.
    Slots count as lent until the holder has acknowledged a smaller loan and reports them unused;
    of a silent holder, until the loan, the clock margin and the longest request are over.
    """

    def __init__(self, timing: LoanTiming, now: float) -> None:
        self._timing = timing
        self._started = now
        self._knows_all = False
        self._sent: dict[str, dict[int, float]] = {}
        self._touched: dict[str, float] = {}
        self._dealt: dict[ShareKey, _Dealt] = {}
        self._indexed: dict[ShareKey, Share] = {}
        self._by_member: dict[str, set[ShareKey]] = {}
        self._lent: dict[str, set[ShareKey]] = {}
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
        """Answer one heartbeat: note the entry's demands and return its loans.

        `holder` is one life of an entry, `instance@incarnation`: what an earlier life borrowed is
        not forgotten when it restarts. `acked` is the newest answer that the entry has applied,
        `sequence` the number of this one, `longest` the longest request of each service in
        seconds.
        """
        self._note_touch(holder, acked, sequence, now)
        wanted = {(demand.service, demand.region): demand for demand in demands}
        loans = []
        for key in self._keys_of(holder, wanted, shares):
            share = shares[key]
            demand = wanted.get(key) or Demand(key[0], key[1])
            borrowers = self._borrowers.setdefault(key, {})
            over = now - self._whole_term(key[0], longest)
            for silent in [name for name, b in borrowers.items() if b.heard_at < over]:
                del borrowers[silent]
                self._lent.pop(silent, None)
            known = borrowers.get(holder) or _Borrower(demand, {}, now)
            known.demand, known.heard_at, known.acked = demand, now, max(known.acked, acked)
            known.granted = {
                seq: slots for seq, slots in known.granted.items() if seq >= known.acked
            }
            borrowers[holder] = known
            self._lent.setdefault(holder, set()).add(key)
            if not self._may_lend(key[0], longest, now):
                continue
            slots = self._allot(holder, share, borrowers, now)
            known.granted[sequence] = slots
            if not slots and not _outstanding(known) and not wanted.get(key):
                self._lent[holder].discard(key)
            if slots:
                loans.append(Loan(key[0], key[1], slots, self._timing.ttl))
        return loans

    def _keys_of(
        self, holder: str, wanted: dict[ShareKey, Demand], shares: dict[ShareKey, Share]
    ) -> list[ShareKey]:
        """Return the shares that concern a holder: as a member, by demand, or by a loan."""
        if shares is not self._indexed:
            self._indexed = shares
            self._by_member = {}
            for key, share in shares.items():
                for member in share.current.members:
                    self._by_member.setdefault(member, set()).add(key)
        own = self._by_member.get(member_of(holder), set())
        lent = self._lent.get(holder, set())
        return sorted((own | lent | wanted.keys()) & shares.keys())

    def learn_all(self) -> None:
        """Note that every life that may have borrowed before has reported what it uses."""
        self._knows_all = True

    def _may_lend(self, service: str, longest: dict[str, float], now: float) -> bool:
        """Wait out the loans of an earlier leader, and the work of holders not heard since."""
        loans_end = self._started + self._timing.ttl + self._timing.margin
        if self._knows_all:
            return now >= loans_end
        return now >= loans_end + longest.get(service, 0.0)

    def _whole_term(self, service: str, longest: dict[str, float]) -> float:
        """Return after how long a loan that nobody renews has surely ended, its work included."""
        return self._timing.ttl + self._timing.margin + longest.get(service, 0.0)

    def _note_touch(self, holder: str, acked: int, sequence: int, now: float) -> None:
        """Note when the newest answer was sent that this life of an owner has acknowledged."""
        sent = self._sent.setdefault(holder, {})
        if acked in sent:
            member = member_of(holder)
            self._touched[member] = max(self._touched.get(member, 0.0), sent[acked])
        self._sent[holder] = {seq: at for seq, at in sent.items() if seq >= acked}
        self._sent[holder][sequence] = now

    def _pool(self, share: Share, now: float) -> Slots:
        """Return what may be lent now: the slots of owners that are in touch."""
        pool: Slots = {}
        for owner, slots in self._deal_once(share).lendable.items():
            if now - self._touched.get(owner, float("-inf")) < self._timing.touch:
                for address, count in slots.items():
                    pool[address] = pool.get(address, 0) + count
        return pool

    def _deal_once(self, share: Share) -> _Dealt:
        """Work out what follows from a share, once for each of its revisions."""
        key = (share.service, share.region)
        dealt = self._dealt.get(key)
        if dealt is None or dealt.share is not share:
            dealt = self._dealt[key] = _deal(share)
        return dealt

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
        return _spread(entry, {a: c for a, c in free.items() if c > 0}, target, held)

    def _target(self, entry: str, share: Share, borrowers: dict[str, _Borrower], total: int) -> int:
        """Return how many slots of the pool this entry should have.

        What is wanted beyond the floors is met by rank, the best rank of all entries first; what
        is left then goes to the members in equal parts, ready for a burst.
        """
        members = share.current.members
        floors = self._deal_once(share).floors
        needs = {
            name: _needs_by_rank(b.demand, floors.get(member_of(name), 0))
            for name, b in borrowers.items()
        }
        left = total
        target = 0
        for rank_number in sorted({r for need in needs.values() for r in need}):
            asked = sum(need.get(rank_number, 0) for need in needs.values())
            mine = needs[entry].get(rank_number, 0)
            if asked <= left:
                target += mine
                left -= asked
            else:
                target += -(-mine * left // asked)
                left = 0
                break
        spare = left // max(1, len(members)) if member_of(entry) in members else 0
        return target + spare


def member_of(holder: str) -> str:
    """Return the instance that a holder is one life of."""
    return holder.partition("@")[0]


def _outstanding(borrower: _Borrower) -> Slots:
    total = dict(borrower.demand.used)
    for slots in borrower.granted.values():
        total = larger(total, slots)
    return total


def _needs_by_rank(demand: Demand, floor: int) -> dict[int, int]:
    """Return what is wanted beyond the floor, which covers the best ranks first."""
    needs = {}
    for rank_number, count in sorted(demand.wanted.items()):
        covered = min(floor, count)
        floor -= covered
        if count > covered:
            needs[rank_number] = count - covered
    return needs


def _spread(entry: str, free: Slots, target: int, held: Slots) -> Slots:
    """Take up to `target` of the free slots: those held already first, then evenly.

    A slot that moves to another upstream stays taken until its work is done, so moving slots
    that could stay would leave capacity idle.
    """
    taken = _take_evenly(entry, smaller(held, free), target)
    rest = {address: count - taken.get(address, 0) for address, count in free.items()}
    more = _take_evenly(entry, rest, target - sum(taken.values()))
    return {a: taken.get(a, 0) + more.get(a, 0) for a in {*taken, *more}}


def _take_evenly(entry: str, free: Slots, target: int) -> Slots:
    order = rank(entry, [address for address, count in free.items() if count > 0])
    taken: Slots = {}
    while target > 0 and order:
        for address in list(order):
            if target == 0:
                break
            taken[address] = taken.get(address, 0) + 1
            target -= 1
            if taken[address] >= free[address]:
                order.remove(address)
    return taken
