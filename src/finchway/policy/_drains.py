"""Drains: no new work for what is leaving, and an honest account of what is still in flight."""

from __future__ import annotations

from msgspec import Struct

from finchway.resources import Drain, DrainStatus, Phase, ResourceStore


class DrainReport(Struct, frozen=True):
    """What one entry says of a drain: requests in flight to what is leaving, at its revision."""

    drain: str
    in_flight: int


class DrainView(Struct, frozen=True):
    """What the leader knows of a drain from all entries.

    `reports` maps each entry that knows of the drain to its count; `unaware` lists entries that
    may still send, because they have not said that they know of it.
    """

    reports: dict[str, int]
    unaware: list[str]


def drained_upstreams(store: ResourceStore) -> dict[str, list[str]]:
    """Return the addresses of upstreams that drains take out of service, by drain."""
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
    """Return the names of our own instances that a drain takes out of steering answers.

    A drain of an availability zone or a region takes the instances in it along.
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
    """Return the state of a drain after this moment.

    It is done only when every entry that could send has said that it knows of the drain and has
    nothing in flight; an entry that cannot be heard holds it, and the reason names it.
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
