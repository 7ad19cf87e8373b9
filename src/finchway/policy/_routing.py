"""Routing: the region that serves a caller, and the entries in its steering answer.

A caller's position is a stable hash, so that each step of a move adds callers and returns none.
"""

from __future__ import annotations

from msgspec import Struct

from finchway.policy._blocks import BlockTable
from finchway.policy._drains import drained_instances
from finchway.policy._hashing import position, rank_weighted
from finchway.policy._shares import share_name
from finchway.resources import InstanceState, MoveStatus, ResourceStore

UNKNOWN_LATENCY_MS = 1_000.0
LOCAL_LATENCY_MS = 0.0


class Caller(Struct, frozen=True):
    """The client block and the organisation of a caller."""

    block: str
    organisation: str


class MoveWeight(Struct, frozen=True):
    """The committed percentage of a region's callers that a move sends to a target."""

    target: str
    percent: float


class EntryPoint(Struct, frozen=True):
    """An entry in a steering answer."""

    instance: str
    address: str
    zone: str
    region: str


class Routes:
    """Routing tables compiled from the resources at one revision.

    The client blocks of the `previous` tables are reused if they have not changed, since building
    a large table takes seconds.
    """

    def __init__(self, store: ResourceStore, previous: Routes | None = None) -> None:
        self._revision = store.revision
        self._latency = {r.name: r.spec.latency_ms for r in store.of_kind("region")}
        self._zone_region = {z.name: z.spec.region for z in store.of_kind("zone")}
        self._site_region = {s.name: s.spec.region for s in store.of_kind("site")}
        self._pools = _pool_regions(store)
        self._moves = _move_weights(store)
        self._points = self._entry_points(store)
        self._members = {
            share.name: frozenset(share.spec.current.members) for share in store.of_kind("share")
        }
        self._groups_by_share: dict[tuple[str, str], list[list[EntryPoint]]] = {}
        chunks = store.of_kind("client-blocks")
        self._blocks_version = [(chunk.name, chunk.revision) for chunk in chunks]
        if previous is not None and previous._blocks_version == self._blocks_version:
            self._blocks = previous._blocks
        else:
            self._blocks = BlockTable.build(
                (block, chunk.spec.site) for chunk in chunks for block in chunk.spec.blocks
            )

    @property
    def revision(self) -> int:
        """The revision of the resources that the tables were compiled from."""
        return self._revision

    def region_of_zone(self, zone: str) -> str | None:
        """Return the region of an availability zone."""
        return self._zone_region.get(zone)

    def home_region(self, client: str, default: str) -> str:
        """Return the region nearest to a client address."""
        site = self._blocks.find(client)
        return self._site_region.get(site, default) if site else default

    def distance_ms(self, source: str, target: str) -> float:
        """Return the one-way latency between two regions, declared in either direction."""
        if source == target:
            return LOCAL_LATENCY_MS
        latency_ms = self._latency.get(source, {}).get(target)
        if latency_ms is None:
            latency_ms = self._latency.get(target, {}).get(source, UNKNOWN_LATENCY_MS)
        return latency_ms

    def nearest(self, service: str, home: str) -> list[str]:
        """Return the regions that have upstreams of a service, nearest first."""
        regions = self._pools.get(service, [])
        return sorted(regions, key=lambda region: (self.distance_ms(home, region), region))

    def assigned(self, service: str, home: str, caller: Caller) -> str | None:
        """Return the region that the committed moves assign to a caller."""
        order = self.nearest(service, home)
        if not order:
            return None
        return self._follow_moves(service, order[0], caller)

    def _follow_moves(self, service: str, region: str, caller: Caller) -> str:
        seen = {region}
        while True:
            percentile = caller_position(service, region, caller) * 100
            for move in self._moves.get((service, region), []):
                if percentile < move.percent:
                    break
                percentile -= move.percent
            else:
                return region
            if move.target in seen:
                return region
            region = move.target
            seen.add(region)

    def candidates(self, service: str, home: str, caller: Caller) -> list[str]:
        """Return the regions for a caller: the assigned one, then the others by distance."""
        assigned = self.assigned(service, home, caller)
        if assigned is None:
            return []
        others = [r for r in self.nearest(service, assigned) if r != assigned]
        return [assigned, *others]

    def move_percent_into(self, service: str, region: str) -> float:
        """Return the total percentage of callers that committed moves send into a region."""
        return sum(
            weight.percent
            for (moved, _), weights in self._moves.items()
            for weight in weights
            if moved == service and weight.target == region
        )

    def steer(self, service: str, home: str, caller: Caller, limit: int = 4) -> list[EntryPoint]:
        """Return the entries for a caller, best first; empty if there is none.

        Members of the assigned region's share come first, ordered by rendezvous hashing, then
        other entries by distance. The last one is in another region if possible, so that a caller
        with a cached answer survives the loss of a region.
        """
        assigned = self.assigned(service, home, caller) or home
        named: list[EntryPoint] = []
        for group in self._entry_groups(service, assigned):
            # Groups are ranked lazily, until an entry of another region is found.
            ranked = _rank_points(f"{service}\x00{caller.block}", group)
            if len(named) < limit:
                named += ranked[: limit - len(named)]
            elsewhere = [p for p in ranked if p.region != named[0].region]
            if any(p.region != named[0].region for p in named):
                break
            if len(named) == limit and elsewhere:
                named[-1] = elsewhere[0]
                break
        return named

    def _entry_groups(self, service: str, region: str) -> list[list[EntryPoint]]:
        """Return the entries for a region in groups, best first; cached per revision."""
        key = (service, region)
        if key not in self._groups_by_share:
            members = self._members.get(share_name(service, region), frozenset())
            groups: dict[tuple[bool, float, str], list[EntryPoint]] = {}
            for point in self._points:
                distance = self.distance_ms(region, point.region)
                sort_key = (point.instance not in members, distance, point.region)
                groups.setdefault(sort_key, []).append(point)
            self._groups_by_share[key] = [groups[sort_key] for sort_key in sorted(groups)]
        return self._groups_by_share[key]

    def _entry_points(self, store: ResourceStore) -> list[EntryPoint]:
        drained = drained_instances(store)
        return [
            EntryPoint(i.name, i.spec.address, i.spec.zone, self._zone_region.get(i.spec.zone, ""))
            for i in store.of_kind("instance")
            if i.spec.state is InstanceState.LIVE and i.name not in drained
        ]


def _rank_points(key: str, group: list[EntryPoint]) -> list[EntryPoint]:
    by_name = {point.instance: point for point in group}
    return [by_name[name] for name in rank_weighted(key, dict.fromkeys(by_name, 1.0))]


def caller_position(service: str, region: str, caller: Caller) -> float:
    """Return a caller's stable position in [0, 1) among the callers of a service in a region."""
    return position(service, region, caller.block)


def client_block(address: str) -> str:
    """Return the client block of an address: its /24, or the address itself if not IPv4."""
    parts = address.split(".")
    return f"{'.'.join(parts[:3])}.0/24" if len(parts) == 4 else address


def _pool_regions(store: ResourceStore) -> dict[str, list[str]]:
    regions: dict[str, list[str]] = {}
    for pool in store.of_kind("pool"):
        if pool.spec.upstreams and pool.spec.region not in regions.get(pool.spec.service, []):
            regions.setdefault(pool.spec.service, []).append(pool.spec.region)
    return regions


def _move_weights(store: ResourceStore) -> dict[tuple[str, str], list[MoveWeight]]:
    weights: dict[tuple[str, str], list[MoveWeight]] = {}
    for move in store.of_kind("move"):
        percent = move.status.percent if isinstance(move.status, MoveStatus) else 0.0
        if percent > 0:
            key = (move.spec.service, move.spec.source)
            weights.setdefault(key, []).append(MoveWeight(move.spec.target, percent))
    return weights
