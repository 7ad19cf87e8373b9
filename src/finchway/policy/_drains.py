"""Drains: which upstreams and instances get no new requests, and when a drain is complete."""

from __future__ import annotations

from msgspec import Struct

from finchway.resources import Drain, DrainStatus, Phase, ResourceStore


class DrainReport(Struct, frozen=True):
    """One entry's count of requests in flight to the target of a drain."""

    drain: str
    in_flight: int


class DrainView(Struct, frozen=True):
    """The progress of a drain over all entries, as seen by the leader.

    `reports` maps entries that have applied the drain to their requests in flight; `unaware` lists
    entries that have not confirmed it and may still send.
    """

    reports: dict[str, int]
    unaware: list[str]


def drained_upstreams(store: ResourceStore) -> dict[str, list[str]]:
    """Return the addresses of drained upstreams, by drain."""
    return {
        drain.name: upstreams_of(drain.spec, store)
        for drain in store.of_kind("drain")
        if not drain.spec.target.startswith("instance/")
    }


def upstreams_of(drain: Drain, store: ResourceStore) -> list[str]:
    """Return the addresses of the upstreams that one drain covers."""
    what, _, name = drain.target.partition("/")
    return [
        upstream.address
        for pool in store.of_kind("pool")
        for upstream in pool.spec.upstreams
        if (what == "upstream" and upstream.address == name)
        or (what == "zone" and upstream.zone == name)
        or (what == "region" and pool.spec.region == name)
    ]


def drained_instances(store: ResourceStore) -> set[str]:
    """Return the names of the instances that are excluded from steering answers by drains.

    A drain of an availability zone or a region covers the instances in it.
    """
    zones = {zone.name: zone.spec.region for zone in store.of_kind("zone")}
    drained = set()
    for drain in store.of_kind("drain"):
        what, _, name = drain.spec.target.partition("/")
        for instance in store.of_kind("instance"):
            zone = instance.spec.zone
            if (
                (what == "instance" and instance.name == name)
                or (what == "zone" and zone == name)
                or (what == "region" and zones.get(zone) == name)
            ):
                drained.add(instance.name)
    return drained


def next_drain_status(status: DrainStatus | None, view: DrainView, now_ms: int) -> DrainStatus:
    """Return the next status of a drain.

    A drain is done once every entry that may send has confirmed it and has nothing in flight. An
    unreachable entry holds it and is named in the reason.
    """
    status = status or DrainStatus()
    started = status.started_ms or now_ms
    in_flight = sum(view.reports.values())
    if status.phase is Phase.DONE and in_flight == 0 and not view.unaware:
        return status
    if view.unaware:
        reason = f"not yet confirmed by {', '.join(sorted(view.unaware)[:8])}"
        phase = Phase.PENDING if status.phase is Phase.PENDING else Phase.HOLDING
        return DrainStatus(phase=phase, in_flight=in_flight, reason=reason, started_ms=started)
    if in_flight:
        reason = f"{in_flight} requests in flight"
        return DrainStatus(
            phase=Phase.RUNNING, in_flight=in_flight, reason=reason, started_ms=started
        )
    return DrainStatus(phase=Phase.DONE, started_ms=started, done_ms=now_ms)
