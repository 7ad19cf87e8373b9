"""The leader's control loop, without I/O: liveness, division of capacity, drains and moves.

The coordinator reads the replicated resources and the heartbeats, answers each heartbeat, and
plans the commands that reconcile the replicated state. Each new leader creates its own.
"""

from __future__ import annotations

import msgspec

from finchway.exceptions import GoneError
from finchway.membership._heartbeat import Heartbeat, HeartbeatReply, rate_key
from finchway.membership._plans import (
    SYSTEM_OPERATOR,
    capacity_of,
    plan_drains,
    plan_marks,
    plan_moves,
    put_command,
)
from finchway.membership._platform import PlatformView
from finchway.membership._registry import HeartbeatRegistry, LeaseTiming
from finchway.policy import (
    Lender,
    LoanTiming,
    drained_instances,
    next_division,
    rank,
    share_name,
    usable_slots,
)
from finchway.pushback import LimitLog
from finchway.resources import (
    Division,
    Instance,
    InstanceState,
    Operation,
    Resource,
    ResourceStore,
    Share,
    change_of,
)
from finchway.state import (
    AnyCommand,
    DeleteResource,
    Expire,
    StateMachine,
)

MAX_DELTA_CHANGES = 200
EXPIRE_INTERVAL_S = 10.0


class Coordinator:
    """The leader's view of the entries and its reconciliation of the replicated state."""

    def __init__(
        self,
        machine: StateMachine,
        now: float,
        lease: LeaseTiming | None = None,
        loans: LoanTiming | None = None,
    ) -> None:
        self._machine = machine
        self._lease = lease or LeaseTiming()
        self._registry = HeartbeatRegistry(self._lease, now)
        self._platform = PlatformView()
        self._limits = LimitLog()
        self._max_request_s = _max_request_durations(machine.store)
        self._lender = Lender(loans or LoanTiming(), now)
        self._awaited_holders = {
            f"{i.name}@{i.spec.incarnation}"
            for i in machine.store.of_kind("instance")
            if i.spec.state is not InstanceState.GONE
        }
        self._indexed_revision = -1
        self._targets_revision = -1
        self._targets: dict[tuple[str, str], Division] = {}
        self._shares: dict[tuple[str, str], Share] = {}
        self._expire_at = now + EXPIRE_INTERVAL_S

    @property
    def registry(self) -> HeartbeatRegistry:
        """The latest heartbeat of each entry."""
        return self._registry

    @property
    def platform(self) -> PlatformView:
        """The platform's view of the instances."""
        return self._platform

    @property
    def lender(self) -> Lender:
        """The lender of slots and its outstanding loans."""
        return self._lender

    def handle_heartbeat(
        self, heartbeat: Heartbeat, now: float, with_changes: bool = True
    ) -> HeartbeatReply:
        """Answer a heartbeat with the revision, missing changes, lease, loans and rates.

        The caller must have confirmed the leadership with a quorum just before.
        """
        self._refresh_indexes()
        is_new = self._registry.record(heartbeat, now)
        self._limits.merge(heartbeat.limits, now)
        self._awaited_holders.discard(heartbeat.holder)
        if not self._awaited_holders:
            self._lender.mark_all_reported()
        loans = []
        if is_new and not heartbeat.stopped and self._is_registered(heartbeat):
            loans = self._lender.lend(
                heartbeat.holder,
                heartbeat.demands,
                heartbeat.loans_applied,
                heartbeat.sequence,
                self._shares,
                self._max_request_s,
                now,
            )
        changes, snapshot = [], None
        if with_changes:
            changes, snapshot = changes_since(self._machine, heartbeat.revision)
        return HeartbeatReply(
            sequence=heartbeat.sequence,
            revision=self._machine.revision,
            lease_s=self._lease.lease,
            changes=changes,
            snapshot=snapshot,
            snapshot_revision=self._machine.revision,
            loans=loans,
            rates=self._rates(heartbeat),
            limits=self._limits.since(heartbeat.limits_known, now),
        )

    def _is_registered(self, heartbeat: Heartbeat) -> bool:
        """Whether this incarnation is registered; a new leader waits for registered borrowers."""
        resource = self._store.get("instance", heartbeat.instance)
        return resource is not None and resource.spec.incarnation == heartbeat.incarnation

    def plan(self, now: float, now_ms: int) -> list[AnyCommand]:
        """Return the commands that reconcile the replicated state with the declared resources."""
        self._refresh_indexes()
        commands: list[AnyCommand] = []
        commands += self._plan_instances(now, now_ms)
        commands += self._plan_shares(now, now_ms)
        store, registry = self._store, self._registry
        commands += plan_marks(store, registry, now, now_ms)
        commands += plan_drains(store, registry, now, now_ms)
        commands += plan_moves(self._machine, registry, self.min_applied_revision(now), now_ms)
        if now >= self._expire_at:
            self._expire_at = now + EXPIRE_INTERVAL_S
            commands.append(Expire(now_ms=now_ms))
        return commands

    def min_applied_revision(self, now: float) -> int:
        """Return the highest revision that all entries which may serve have applied.

        Silent entries are not counted, since their leases have expired.
        """
        revisions = [
            latest.heartbeat.revision if latest else 0
            for instance in self._store.of_kind("instance")
            if instance.spec.state is not InstanceState.GONE
            and not self._registry.is_silent(instance.name, now)
            for latest in [self._registry.get(instance.name)]
        ]
        return min(revisions, default=self._machine.revision)

    @property
    def _store(self) -> ResourceStore:
        return self._machine.store

    def _refresh_indexes(self) -> None:
        if self._indexed_revision == self._machine.revision:
            return
        self._indexed_revision = self._machine.revision
        self._max_request_s = _max_request_durations(self._store)
        self._shares = {
            (share.spec.service, share.spec.region): share.spec
            for share in self._store.of_kind("share")
        }

    def _rates(self, heartbeat: Heartbeat) -> dict[str, float]:
        """Divide each contracted rate among the entries in proportion to their observed rates."""
        rates: dict[str, float] = {}
        for report in heartbeat.rates:
            organisation = self._store.get("organisation", report.organisation)
            contract = organisation and organisation.spec.contracts.get(report.service)
            if not contract:
                continue
            total = sum(
                observed.rate
                for latest in self._registry
                for observed in latest.heartbeat.rates
                if (observed.organisation, observed.service)
                == (report.organisation, report.service)
            )
            fraction = report.rate / total if total > 0 else 1.0
            rates[rate_key(report.organisation, report.service)] = contract.rate * fraction
        return rates

    # Instances

    def _plan_instances(self, now: float, now_ms: int) -> list[AnyCommand]:
        commands: list[AnyCommand] = []
        for latest in list(self._registry):
            commands += self._plan_reporting(latest.heartbeat, now, now_ms)
        for resource in self._store.of_kind("instance"):
            commands += self._plan_silent(resource, now, now_ms)
        return commands

    def _plan_reporting(self, heartbeat: Heartbeat, now: float, now_ms: int) -> list[AnyCommand]:
        current = self._store.get("instance", heartbeat.instance)
        if self._registry.is_silent(heartbeat.instance, now):
            return []
        state = InstanceState.LIVE
        if heartbeat.stopped:
            state = InstanceState.GONE
        elif heartbeat.leaving or heartbeat.instance in self._platform.leaving:
            state = InstanceState.LEAVING
        elif heartbeat.cut_off and self._is_any_reaching(now):
            # Callers are steered to others, which get its slots, until it reaches upstreams again.
            state = InstanceState.LEAVING
        spec = Instance(
            address=heartbeat.address,
            peer=heartbeat.peer,
            zone=heartbeat.zone,
            incarnation=heartbeat.incarnation,
            state=state,
        )
        if current is None and heartbeat.stopped:
            return []
        if current is not None and current.spec == spec:
            return []
        return [put_command("instance", heartbeat.instance, spec, now_ms)]

    def _is_any_reaching(self, now: float) -> bool:
        """Return whether any entry that may serve callers reaches upstreams."""
        return any(
            not (latest.heartbeat.cut_off or latest.heartbeat.leaving or latest.heartbeat.stopped)
            and not self._registry.is_silent(latest.heartbeat.instance, now)
            for latest in self._registry
        )

    def _plan_silent(self, resource: Resource, now: float, now_ms: int) -> list[AnyCommand]:
        spec: Instance = resource.spec
        if spec.state is InstanceState.GONE:
            return self._plan_removal(resource, now_ms)
        if not self._registry.is_silent(resource.name, now):
            return []
        if self._platform.is_gone(resource.name) or self._platform.is_gone(spec.address):
            gone = msgspec.structs.replace(spec, state=InstanceState.GONE)
            return [put_command("instance", resource.name, gone, now_ms)]
        if spec.state is not InstanceState.SILENT:
            silent = msgspec.structs.replace(spec, state=InstanceState.SILENT)
            return [put_command("instance", resource.name, silent, now_ms)]
        return []

    def _plan_removal(self, resource: Resource, now_ms: int) -> list[AnyCommand]:
        latest = self._registry.get(resource.name)
        if latest is not None and latest.heartbeat.incarnation == resource.spec.incarnation:
            self._registry.forget(resource.name)
        holders = {
            member
            for share in self._shares.values()
            for division in (share.current, share.previous)
            if division is not None
            for member in division.members
        }
        if resource.name in holders:
            return []
        return [
            DeleteResource(
                now_ms=now_ms, kind="instance", name=resource.name, operator=SYSTEM_OPERATOR
            )
        ]

    # Shares

    def _plan_shares(self, now: float, now_ms: int) -> list[AnyCommand]:
        targets = self._target_divisions()
        commands: list[AnyCommand] = []
        instances = {i.name: i.spec.state for i in self._store.of_kind("instance")}
        silent = {n for n, s in instances.items() if s is InstanceState.SILENT}
        for key, division in targets.items():
            share = self._shares.get(key)
            members = _all_members(share)
            gone = {
                m for m in members if instances.get(m, InstanceState.GONE) is InstanceState.GONE
            }
            transition = next_division(
                share, division, self._instances_at_epoch(key, share), gone, silent
            )
            if transition is not None:
                epoch, current, previous = transition
                spec = Share(
                    service=key[0],
                    region=key[1],
                    epoch=epoch,
                    current=current,
                    previous=previous,
                )
                commands.append(put_command("share", share_name(*key), spec, now_ms))
        for key in self._shares.keys() - targets.keys():
            commands.append(
                DeleteResource(
                    now_ms=now_ms, kind="share", name=share_name(*key), operator=SYSTEM_OPERATOR
                )
            )
        return commands

    def _instances_at_epoch(self, key: tuple[str, str], share: Share | None) -> set[str]:
        if share is None:
            return set()
        name = share_name(*key)
        return {
            latest.heartbeat.instance
            for latest in self._registry
            if latest.heartbeat.shrunk.get(name) == share.epoch
        }

    def _target_divisions(self) -> dict[tuple[str, str], Division]:
        """Return the target division of each share, computed once per revision."""
        if self._targets_revision != self._machine.revision:
            self._targets_revision = self._machine.revision
            self._targets = self._compute_divisions()
        return self._targets

    def _compute_divisions(self) -> dict[tuple[str, str], Division]:
        slots: dict[tuple[str, str], dict[str, int]] = {}
        for pool in self._store.of_kind("pool"):
            key = (pool.spec.service, pool.spec.region)
            headroom = capacity_of(self._store, *key).headroom
            declared = {u.address: min(u.slots, u.connections) for u in pool.spec.upstreams}
            allowed = usable_slots(declared, pool.spec.queue_allowance, headroom)
            slots.setdefault(key, {}).update(allowed)
        divisions = {}
        for key, usable in slots.items():
            service = self._store.get("service", key[0])
            divisions[key] = Division(
                members=self._choose_members(key, service.spec.entries),
                slots=usable,
                floor_fraction=service.spec.floor_fraction,
            )
        return divisions

    def _choose_members(self, key: tuple[str, str], count: int) -> list[str]:
        """Choose entries for a share, spread over the zones of its region.

        Without an entry in the region, chooses from all zones, nearest first.
        """
        drained = drained_instances(self._store)
        zones = {z.name: z.spec.region for z in self._store.of_kind("zone")}
        by_zone: dict[str, list[str]] = {}
        for instance in self._store.of_kind("instance"):
            is_eligible = instance.spec.state in (InstanceState.LIVE, InstanceState.SILENT)
            if is_eligible and instance.name not in drained:
                by_zone.setdefault(instance.spec.zone, []).append(instance.name)
        order = rank(share_name(*key), by_zone)
        order.sort(key=lambda zone: self._latency_ms(key[1], zones.get(zone, "")))
        local = [zone for zone in order if zones.get(zone) == key[1]]
        chosen = _round_robin(share_name(*key), [by_zone[z] for z in local], count)
        if not chosen:
            chosen = _round_robin(share_name(*key), [by_zone[z] for z in order], count)
        return sorted(chosen)

    def _latency_ms(self, source: str, target: str) -> float:
        if source == target:
            return -1.0
        region = self._store.get("region", source)
        return region.spec.latency_ms.get(target, 1e9) if region else 1e9


def changes_since(machine: StateMachine, revision: int) -> tuple[list, list | None]:
    """Return (changes, None) after a revision, or ([], full state) if that is shorter.

    The full state is also returned if the changes are no longer retained.
    """
    try:
        changes = machine.history.since(revision)
    except GoneError:
        return [], full_state(machine.store)
    if len(changes) > MAX_DELTA_CHANGES and len(changes) > sum(1 for _ in machine.store):
        return [], full_state(machine.store)
    return changes, None


def full_state(store: ResourceStore) -> list:
    """Return every resource as a change, ordered by revision."""
    resources = sorted(store, key=lambda resource: resource.revision)
    return [change_of(resource, Operation.PUT, 0) for resource in resources]


def _max_request_durations(store: ResourceStore) -> dict[str, float]:
    return {s.name: s.spec.deadline_ms / 1000 for s in store.of_kind("service")}


def _all_members(share: Share | None) -> set[str]:
    if share is None:
        return set()
    previous = share.previous.members if share.previous else []
    return {*share.current.members, *previous}


def _round_robin(key: str, groups: list[list[str]], count: int) -> list[str]:
    ranked = [rank(key, group) for group in groups]
    chosen: list[str] = []
    while len(chosen) < count and any(ranked):
        for group in ranked:
            if group and len(chosen) < count:
                chosen.append(group.pop(0))
    return chosen
