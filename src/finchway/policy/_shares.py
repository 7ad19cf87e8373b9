"""Capacity shares: no region and no upstream is sent more than its capacity by all entries.

The unit is one slot of one upstream. Each slot has an owner among the member entries. A part of
an owner's slots is its floor, which it always uses; the rest the leader lends, to whom it serves
best, for a short time. A loan ends on the holder's clock before the lender counts it as returned.

When control falls silent, loans end and each owner takes all its slots back. For that the leader
lends an owner's slots only while the owner has acknowledged an answer lately, and the owner waits
until all loans of its slots have surely ended, the work under them included. So an entry that is
cut off alone does no harm, and without any control the whole capacity stays in use.

A new division comes into force in two steps: every entry shrinks to the smaller of what it has
under both, then it grows.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from finchway.policy._hashing import position, rank
from finchway.resources import Division, Share

ShareKey = tuple[str, str]
Slots = dict[str, int]


def share_name(service: str, region: str) -> str:
    """Return the name of the share resource of a service in a region."""
    return f"{service}.{region}"


def usable_slots(slots: Slots, queue_allowance: float, headroom: float) -> Slots:
    """Return how many requests may be in flight at each upstream of a pool; at least one.

    The whole is rounded down once; the upstreams that get one more of the rest are picked by a
    hash, so that the choice is the same everywhere. None gets more than its own capacity.
    """
    exact = {a: n * (1 + queue_allowance) * (1 - headroom) for a, n in slots.items()}
    usable = {address: max(1, int(value + 1e-9)) for address, value in exact.items()}
    left = int(sum(exact.values()) + 1e-9) - sum(usable.values())
    for address in rank("usable", exact):
        if left <= 0:
            break
        if usable[address] < exact[address]:
            usable[address] += 1
            left -= 1
    return usable


def floor_total(address: str, slots: int, fraction: float) -> int:
    """Return how many slots of one upstream are floors, rounded by a hash of its address.

    Rounding by hash keeps the sum over many upstreams near the fraction, and one upstream's
    floors independent of all others.
    """
    return min(slots, int(slots * fraction + position("floor", address)))


def floor_of(division: Division, member: str) -> Slots:
    """Return the slots that a member always uses; empty for an entry that is no member."""
    return _part_of(division, member, lambda a, n: floor_total(a, n, division.floor_fraction))


def owned_by(division: Division, member: str) -> Slots:
    """Return the slots that a member owns: its floor, and what the leader lends of its slots."""
    return _part_of(division, member, lambda address, slots: slots)


def _part_of(division: Division, member: str, count: Callable[[str, int], int]) -> Slots:
    """Deal the first `count` slots of each upstream in turn; return what the member gets."""
    if member not in division.members:
        return {}
    part: Slots = {}
    for address, slots in division.slots.items():
        order = rank(address, division.members)
        dealt = len(range(order.index(member), count(address, slots), len(order)))
        if dealt:
            part[address] = dealt
    return part


def floors_in_force(share: Share, member: str) -> Slots:
    """Return a member's floors under a share, the smaller of both while it is not settled."""
    current = floor_of(share.current, member)
    if share.previous is None:
        return current
    return smaller(current, floor_of(share.previous, member))


def owned_in_force(share: Share, member: str) -> Slots:
    """Return what a member owns under a share, the smaller of both while it is not settled."""
    current = owned_by(share.current, member)
    if share.previous is None:
        return current
    return smaller(current, owned_by(share.previous, member))


def lendable(share: Share, owner: str) -> Slots:
    """Return the slots of an owner that the leader may lend."""
    floor = floors_in_force(share, owner)
    owned = owned_in_force(share, owner)
    rest = {address: count - floor.get(address, 0) for address, count in owned.items()}
    return {address: count for address, count in rest.items() if count > 0}


def smaller(one: Slots, other: Slots) -> Slots:
    """Return the smaller count for each upstream that both name."""
    both = {address: min(count, other.get(address, 0)) for address, count in one.items()}
    return {address: count for address, count in both.items() if count > 0}


def larger(one: Slots, other: Slots) -> Slots:
    """Return the larger count for each upstream that either names."""
    return {address: max(one.get(address, 0), other.get(address, 0)) for address in {*one, *other}}


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

    def fits(self, key: ShareKey, in_flight: Slots, now: float) -> bool:
        """Tell whether what is in flight is within the limits, so that others may grow."""
        limits = self.limits(key, now)
        return all(count <= limits.get(address, 0) for address, count in in_flight.items())

    def used_beyond_floor(self, key: ShareKey, in_flight: Slots) -> Slots:
        """Return what is in flight at each upstream beyond the floor."""
        floors = self._floors.get(key, {})
        beyond = {addr: count - floors.get(addr, 0) for addr, count in in_flight.items()}
        return {address: count for address, count in beyond.items() if count > 0}


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

    def outstanding(self, key: ShareKey, entry: str) -> Slots:
        """Return what must be counted as lent to an entry."""
        borrower = self._borrowers.get(key, {}).get(entry)
        return _outstanding(borrower) if borrower else {}

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


def next_division(
    share: Share | None, wanted: Division, shrunk: set[str], gone: set[str], silent: set[str]
) -> tuple[int, Division, Division | None] | None:
    """Decide the next step of a share: (epoch, current, previous), or None to leave it.

    `shrunk` holds the entries that report to have shrunk under the present epoch, `gone` those
    known to be dead. A re-division starts only when no member is silent, since a silent member
    cannot say that it has shrunk.
    """
    if share is None:
        return 1, wanted, Division()
    if share.previous is not None:
        holders = {*share.current.members, *share.previous.members} - gone
        if holders <= shrunk:
            return share.epoch, share.current, None
        return None
    if wanted == share.current:
        return None
    if silent & set(share.current.members):
        return None
    return share.epoch + 1, wanted, share.current
