"""The leader's plans for what operators have declared: leaving marks, drains and moves.

Each function compares the replicated state with what the entries say, and returns the commands
that bring the produced state up to date.
"""

from __future__ import annotations

import msgspec

from finchway.membership._registry import Registry
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
    Leaving,
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
    store: ResourceStore, registry: Registry, now: float, now_ms: int
) -> list[AnyCommand]:
    """Tell all entries which upstreams are leaving, until a new life of them is seen."""
    commands: dict[str, AnyCommand] = {}
    for known in registry:
        if registry.is_silent(known.heartbeat.instance, now):
            continue
        for mark in known.heartbeat.marks:
            held = store.get("leaving", mark.address)
            if mark.leaving and held is None:
                spec = Leaving(incarnation=mark.incarnation)
                commands[mark.address] = put_command("leaving", mark.address, spec, now_ms)
            elif not mark.leaving and held and held.spec.incarnation != mark.incarnation:
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
    store: ResourceStore, registry: Registry, now: float, now_ms: int
) -> list[AnyCommand]:
    commands: list[AnyCommand] = []
    for drain in store.of_kind("drain"):
        status = next_drain_status(drain.status, _drain_view(store, registry, drain, now), now_ms)
        if status != drain.status:
            commands.append(status_command("drain", drain, status, now_ms))
    return commands


def _drain_view(store: ResourceStore, registry: Registry, drain: Resource, now: float) -> DrainView:
    reports: dict[str, int] = {}
    unaware = []
    for instance in store.of_kind("instance"):
        if instance.spec.state is InstanceState.GONE:
            continue
        known = registry.get(instance.name)
        counts = {r.drain: r.in_flight for r in known.heartbeat.drains} if known else {}
        if registry.is_silent(instance.name, now) or drain.name not in counts:
            unaware.append(instance.name)
        else:
            reports[instance.name] = counts[drain.name]
    return DrainView(reports, unaware)


def plan_moves(
    machine: StateMachine, registry: Registry, in_force: int, now_ms: int
) -> list[AnyCommand]:
    store = machine.store
    moves = store.of_kind("move")
    commands: list[AnyCommand] = []
    pending: set[tuple[str, str]] = set()
    for move in moves:
        percent = move.status.percent if move.status else 0.0
        source, target = move.spec.source, move.spec.target
        into = target if move.spec.goal_percent >= percent else source
        if (move.spec.service, into) in pending:
            continue
        capacity = capacity_of(store, move.spec.service, into)
        pairs = [(other.spec, other.status) for other in moves]
        accepted_ms = _accepted_ms(machine, move)
        view = ShiftView(
            cap_percent=capacity.inbound_percent,
            window_s=capacity.window_s,
            recent_percent=recent_percent(
                pairs, move.spec.service, into, capacity.window_s, now_ms
            ),
            in_force=in_force >= move.revision,
            free_fraction=_free_fraction(registry, move.spec.service, into, capacity.headroom),
            accepted_ms=accepted_ms,
        )
        status = next_move_status(move.spec, move.status, view, now_ms)
        if status != move.status:
            commands.append(status_command("move", move, status, now_ms))
            pending.add((move.spec.service, into))
    return commands


def _accepted_ms(machine: StateMachine, move: Resource) -> int:
    """Return when a move began; one that has made steps has waited its window already."""
    if move.status is not None and move.status.steps:
        return 0
    changes = machine.history.changes
    times = [c.now_ms for c in changes if (c.kind, c.name) == ("move", move.name)]
    return times[0] if times else 0


def _free_fraction(registry: Registry, service: str, region: str, headroom: float) -> float | None:
    name = share_name(service, region)
    loads = [known.heartbeat.loads[name] for known in registry if name in known.heartbeat.loads]
    return 1 - headroom - sum(loads) / len(loads) if loads else None


def capacity_of(store: ResourceStore, service: str, region: str) -> Capacity:
    """Return the declared limits of a service in a region, or the defaults."""
    for capacity in store.of_kind("capacity"):
        if (capacity.spec.service, capacity.spec.region) == (service, region):
            return capacity.spec
    return Capacity(service=service, region=region)


def put_command(kind: str, name: str, spec: Instance | Share | Leaving, now_ms: int) -> PutResource:
    """Return the command that writes a spec of the system's own."""
    return PutResource(
        now_ms=now_ms,
        kind=kind,
        name=name,
        spec=msgspec.json.encode(spec),
        operator=SYSTEM_OPERATOR,
    )


def status_command(kind: str, resource: Resource, status: Status, now_ms: int) -> PutStatus:
    """Return the command that writes the produced state of a resource."""
    return PutStatus(
        now_ms=now_ms,
        kind=kind,
        name=resource.name,
        generation=resource.generation,
        status=status,
    )
