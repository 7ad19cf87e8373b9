"""Reconciliation of leaving marks, drains and moves by the leader.

Each function compares the replicated state with the latest heartbeats, and returns the commands
that update the replicated state.
"""

from __future__ import annotations

import msgspec

from finchway.membership._registry import HeartbeatRegistry
from finchway.policy import (
    DrainView,
    ShiftView,
    next_drain_status,
    next_move_status,
    recent_percent,
    share_name,
)
from finchway.resources import (
    Capacity,
    Instance,
    InstanceState,
    LeavingMark,
    Resource,
    ResourceStore,
    Share,
    Status,
)
from finchway.state import (
    AnyCommand,
    DeleteResource,
    PutResource,
    PutStatus,
    StateMachine,
)

SYSTEM_OPERATOR = "system"


def plan_marks(
    store: ResourceStore, registry: HeartbeatRegistry, now: float, now_ms: int
) -> list[AnyCommand]:
    """Replicate leaving marks of upstreams, and delete them once a new incarnation is reported."""
    commands: dict[str, AnyCommand] = {}
    for latest in registry:
        if registry.is_silent(latest.heartbeat.instance, now):
            continue
        for mark in latest.heartbeat.marks:
            current = store.get("leaving", mark.address)
            if mark.leaving and current is None:
                spec = LeavingMark(incarnation=mark.incarnation)
                commands[mark.address] = put_command("leaving", mark.address, spec, now_ms)
            elif not mark.leaving and current and current.spec.incarnation != mark.incarnation:
                commands.setdefault(
                    mark.address,
                    DeleteResource(
                        now_ms=now_ms,
                        kind="leaving",
                        name=mark.address,
                        operator=SYSTEM_OPERATOR,
                    ),
                )
    return list(commands.values())


def plan_drains(
    store: ResourceStore, registry: HeartbeatRegistry, now: float, now_ms: int
) -> list[AnyCommand]:
    commands: list[AnyCommand] = []
    for drain in store.of_kind("drain"):
        status = next_drain_status(drain.status, _drain_view(store, registry, drain, now), now_ms)
        if status != drain.status:
            commands.append(status_command("drain", drain, status, now_ms))
    return commands


def _drain_view(
    store: ResourceStore, registry: HeartbeatRegistry, drain: Resource, now: float
) -> DrainView:
    reports: dict[str, int] = {}
    not_reporting = []
    for instance in store.of_kind("instance"):
        if instance.spec.state is InstanceState.GONE:
            continue
        latest = registry.get(instance.name)
        counts = {r.drain: r.in_flight for r in latest.heartbeat.drains} if latest else {}
        if registry.is_silent(instance.name, now) or drain.name not in counts:
            not_reporting.append(instance.name)
        else:
            reports[instance.name] = counts[drain.name]
    return DrainView(reports, not_reporting)


def plan_moves(
    machine: StateMachine, registry: HeartbeatRegistry, min_applied_revision: int, now_ms: int
) -> list[AnyCommand]:
    store = machine.store
    moves = store.of_kind("move")
    commands: list[AnyCommand] = []
    updated: set[tuple[str, str]] = set()
    for move in moves:
        percent = move.status.percent if move.status else 0.0
        source, target = move.spec.source, move.spec.target
        receiving_region = target if move.spec.goal_percent >= percent else source
        if (move.spec.service, receiving_region) in updated:
            continue
        capacity = capacity_of(store, move.spec.service, receiving_region)
        pairs = [(other.spec, other.status) for other in moves]
        accepted_ms = _accepted_ms(machine, move)
        view = ShiftView(
            cap_percent=capacity.inbound_percent,
            window_s=capacity.window_s,
            recent_percent=recent_percent(
                pairs, move.spec.service, receiving_region, capacity.window_s, now_ms
            ),
            in_force=min_applied_revision >= move.revision,
            free_fraction=_free_capacity_fraction(
                registry, move.spec.service, receiving_region, capacity.headroom
            ),
            accepted_ms=accepted_ms,
        )
        status = next_move_status(move.spec, move.status, view, now_ms)
        if status != move.status:
            commands.append(status_command("move", move, status, now_ms))
            updated.add((move.spec.service, receiving_region))
    return commands


def _accepted_ms(machine: StateMachine, move: Resource) -> int:
    """Return the time at which a move was accepted, or 0 if it has already made a step."""
    if move.status is not None and move.status.steps:
        return 0
    changes = machine.history.changes
    times = [c.now_ms for c in changes if (c.kind, c.name) == ("move", move.name)]
    return times[0] if times else 0


def _free_capacity_fraction(
    registry: HeartbeatRegistry, service: str, region: str, headroom: float
) -> float | None:
    name = share_name(service, region)
    loads = [latest.heartbeat.loads[name] for latest in registry if name in latest.heartbeat.loads]
    return 1 - headroom - sum(loads) / len(loads) if loads else None


def capacity_of(store: ResourceStore, service: str, region: str) -> Capacity:
    """Return the declared capacity limits of a service in a region, or the defaults."""
    for capacity in store.of_kind("capacity"):
        if (capacity.spec.service, capacity.spec.region) == (service, region):
            return capacity.spec
    return Capacity(service=service, region=region)


def put_command(
    kind: str, name: str, spec: Instance | Share | LeavingMark, now_ms: int
) -> PutResource:
    """Return a command by which the system itself writes a spec."""
    return PutResource(
        now_ms=now_ms,
        kind=kind,
        name=name,
        spec=msgspec.json.encode(spec),
        operator=SYSTEM_OPERATOR,
    )


def status_command(kind: str, resource: Resource, status: Status, now_ms: int) -> PutStatus:
    """Return the command that writes the status of a resource."""
    return PutStatus(
        now_ms=now_ms,
        kind=kind,
        name=resource.name,
        generation=resource.generation,
        status=status,
    )
