"""Capacity shares: all entries together never exceed the capacity of an upstream.

The unit is one slot of one upstream. Each slot is owned by one member entry. Part of an owner's
slots is its floor, which it may always use; the leader lends the rest for a short time to where
demand is highest. A loan expires on the holder's clock before the lender counts it as returned.

When the control plane is unreachable, loans expire and each owner reclaims all its slots. To make
this safe, the leader lends an owner's slots only while the owner has recently acknowledged a reply,
and the owner waits until all loans of its slots, and requests under them, have ended. A single
isolated entry thus causes no overload, and without a control plane all capacity stays usable.

A new division takes effect in two steps: each entry first shrinks to the minimum of the old and the
new division, and grows once all have shrunk.
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
    """Return the in-flight limit of each upstream of a pool; at least one.

    The total is rounded down once, and the remainder is distributed by hash, so that all processes
    compute the same limits. No upstream gets more than its own capacity, rounded up.
    """
    exact = {a: n * (1 + queue_allowance) * (1 - headroom) for a, n in slots.items()}
    usable = {address: max(1, int(value + 1e-9)) for address, value in exact.items()}
    remainder = int(sum(exact.values()) + 1e-9) - sum(usable.values())
    for address in rank("usable", exact):
        if remainder <= 0:
            break
        if usable[address] < exact[address]:
            usable[address] += 1
            remainder -= 1
    return usable


def floor_total(address: str, slots: int, fraction: float) -> int:
    """Return how many slots of one upstream are floors.

    Rounding by a hash of the address keeps the total over many upstreams near the fraction, and
    each upstream independent of the others.
    """
    return min(slots, int(slots * fraction + position("floor", address)))


def floor_of(division: Division, member: str) -> Slots:
    """Return the floor slots of a member; empty for an entry that is not a member."""
    return _part_of(division, member, lambda a, n: floor_total(a, n, division.floor_fraction))


def owned_by(division: Division, member: str) -> Slots:
    """Return the slots that a member owns: its floor and its lendable slots."""
    return _part_of(division, member, lambda address, slots: slots)


def _part_of(division: Division, member: str, count: Callable[[str, int], int]) -> Slots:
    """Return a member's part of the first `count` slots of each upstream, dealt round robin."""
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
    """Return a member's floors; the minimum of both divisions while the share is changing."""
    current = floor_of(share.current, member)
    if share.previous is None:
        return current
    return per_upstream_min(current, floor_of(share.previous, member))


def owned_in_force(share: Share, member: str) -> Slots:
    """Return a member's own slots; the minimum of both divisions while the share is changing."""
    current = owned_by(share.current, member)
    if share.previous is None:
        return current
    return per_upstream_min(current, owned_by(share.previous, member))


def lendable(share: Share, owner: str) -> Slots:
    """Return the slots of an owner that the leader may lend."""
    floor = floors_in_force(share, owner)
    owned = owned_in_force(share, owner)
    rest = {address: count - floor.get(address, 0) for address, count in owned.items()}
    return {address: count for address, count in rest.items() if count > 0}


def per_upstream_min(one: Slots, other: Slots) -> Slots:
    """Return the smaller count for each upstream that is in both."""
    both = {address: min(count, other.get(address, 0)) for address, count in one.items()}
    return {address: count for address, count in both.items() if count > 0}


def per_upstream_max(one: Slots, other: Slots) -> Slots:
    """Return the larger count for each upstream that is in either."""
    return {address: max(one.get(address, 0), other.get(address, 0)) for address in {*one, *other}}


def next_division(
    share: Share | None, wanted: Division, shrunk: set[str], gone: set[str], silent: set[str]
) -> tuple[int, Division, Division | None] | None:
    """Decide the next step of a share: (epoch, current, previous), or None to leave it.

    `shrunk` holds the entries that have reported shrinking for the current epoch, `gone` those
    known to be dead. A new division starts only while no member is silent, since a silent member
    cannot report that it has shrunk.
    """
    if share is None:
        return 1, wanted, Division()
    if share.previous is not None:
        required = {*share.current.members, *share.previous.members} - gone
        if required <= shrunk:
            return share.epoch, share.current, None
        return None
    if wanted == share.current:
        return None
    if silent & set(share.current.members):
        return None
    return share.epoch + 1, wanted, share.current
