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
