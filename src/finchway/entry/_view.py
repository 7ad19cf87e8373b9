"""An entry's copy of the configuration, and the policy objects derived from it.

Changes are applied in order; an older revision is never applied over a newer one.
"""

from __future__ import annotations

import random

from finchway.membership import UpstreamMark, capacity_of
from finchway.policy import (
    DEMOTED_RANK,
    Caller,
    Directory,
    DrainReport,
    FailoverRamp,
    Gate,
    Holder,
    PaidRate,
    RateWindow,
    RegionChoice,
    RegionHealth,
    Routes,
    UpstreamReach,
    caller_position,
    drained_instances,
    drained_upstreams,
    inbound_part,
    part_of_limit,
    rank,
)
from finchway.pushback import Part
from finchway.resources import (
    Capacity,
    Change,
    Contract,
    InstanceState,
    Phase,
    Resource,
    ResourceStore,
    Service,
)

# Minimum interval between trial requests to a region that is down, for at-most-once services: a
# failed trial may leave the outcome of its request unknown.
ONCE_ONLY_TRIAL_INTERVAL_S = 0.1
# Time without a response of any upstream, while several fail, from which on an entry is cut off. It
# covers a round of probes of all that it uses.
CUT_OFF_AFTER_S = 2.0


class EntryView:
    """The state that one entry's decisions depend on; does no I/O and reads no clock.

    `holder` and `directory` can be replaced to evaluate other policies.
    """

    def __init__(
        self,
        instance: str,
        zone: str,
        rng: random.Random,
        holder: Holder | None = None,
        directory: Directory | None = None,
    ) -> None:
        self._instance = instance
        self._zone = zone
        self._store = ResourceStore()
        self._routes = Routes(self._store)
        self._holder = holder or Holder(instance)
        self._directory = directory or Directory(rng)
        self._gate = Gate(self._holder, self._directory)
        self._directory.set_limit_division(self._limit_part)
        self._organisations: dict[str, str] = {}
        self._capacities: dict[tuple[str, str], Capacity] = {}
        self._active_moves: set[tuple[str, str]] = set()
        self._health: dict[tuple[str, str], RegionHealth] = {}
        self._ramps: dict[tuple[str, str, str], FailoverRamp] = {}
        self._rates: dict[tuple[str, str], PaidRate] = {}
        self._windows: dict[tuple[str, str], RateWindow] = {}
        self._drains: dict[str, list[str]] = {}
        self._pool_of: dict[str, tuple[str, str]] = {}
        self._instance_drained = False
        self._reach = UpstreamReach()
        self._probe_targets: set[str] = set()
        self._probe_targets_revision = -1

    @property
    def store(self) -> ResourceStore:
        """The resources at the applied revision."""
        return self._store

    @property
    def revision(self) -> int:
        """The applied revision."""
        return self._store.revision

    @property
    def routes(self) -> Routes:
        """The routing tables."""
        return self._routes

    @property
    def gate(self) -> Gate:
        """Admission and upstream choice."""
        return self._gate

    @property
    def holder(self) -> Holder:
        """The slots that this entry owns or has borrowed."""
        return self._holder

    @property
    def directory(self) -> Directory:
        """The state of each upstream."""
        return self._directory

    @property
    def reach(self) -> UpstreamReach:
        """The signs that upstreams are in or out of this entry's reach."""
        return self._reach

    def is_cut_off(self, now: float) -> bool:
        """Return whether no upstream is in reach, by the probes and requests of a whole round."""
        reach = self._reach
        if reach.is_failing and now - reach.silent_since >= CUT_OFF_AFTER_S:
            reach.record_cut_off()
        return reach.is_cut_off

    def record_connected(self, address: str, now: float) -> None:
        """Record that an upstream has responded."""
        self._reach.record_connected(address, now, len(self._pool_of))

    @property
    def region(self) -> str:
        """The region of this entry, from its availability zone."""
        return self._routes.region_of_zone(self._zone) or ""

    @property
    def is_drained(self) -> bool:
        """Whether a drain applies to this instance."""
        return self._instance_drained

    def service(self, name: str) -> Service | None:
        """Return the spec of a service; None if it does not exist."""
        resource = self._store.get("service", name)
        return resource.spec if resource else None

    def organisation_of(self, credential_digest: str) -> str | None:
        """Return the organisation that a credential belongs to."""
        return self._organisations.get(credential_digest)

    def contract(self, organisation: str, service: str) -> Contract | None:
        """Return an organisation's contract for a service; None if there is none."""
        resource = self._store.get("organisation", organisation)
        return resource.spec.contracts.get(service) if resource else None

    def pool_of(self, address: str) -> tuple[str, str] | None:
        """Return the service and region of an upstream's pool."""
        return self._pool_of.get(address)

    def live_peers(self) -> dict[str, str]:
        """Return the peer addresses of the other live entries by name."""
        return {
            i.name: i.spec.peer
            for i in self._store.of_kind("instance")
            if i.name != self._instance and i.spec.state is InstanceState.LIVE
        }

    def apply(self, changes: list[Change], now: float) -> bool:
        """Apply changes that follow the current revision; return False if none is new."""
        applied = [change for change in changes if self._store.apply(change)]
        if applied:
            self._rebuild(now)
        return bool(applied)

    def install(self, state: list[Change], revision: int, now: float) -> bool:
        """Replace the state by a snapshot; return False if it is not newer."""
        if revision <= self._store.revision:
            return False
        self._store = ResourceStore([change.resource() for change in state], revision)
        self._rebuild(now)
        return True

    def rank_of(self, organisation: str, service: str, contract: Contract, now: float) -> int:
        """Return the rank of a request; requests over the paid rate get the lowest one."""
        key = (organisation, service)
        self._windows.setdefault(key, RateWindow()).record(now)
        paid = self._rates.get(key)
        if paid is None:
            paid = self._rates[key] = PaidRate(self._initial_rate(service, contract), now)
        priority = self._store.get("priority", contract.priority)
        rank = priority.spec.rank if priority else DEMOTED_RANK
        return rank if paid.take(now) else DEMOTED_RANK

    def set_rates(self, rates: dict[str, float]) -> None:
        """Set this entry's parts of the paid rates, as allotted by the leader."""
        for name, rate in rates.items():
            organisation, _, service = name.partition("/")
            paid = self._rates.get((organisation, service))
            if paid is not None:
                paid.rate = rate

    def active_rates(self, now: float) -> list[tuple[str, str, float]]:
        """Return (organisation, service, requests/s) for all non-zero rates."""
        rates = [(o, s, window.rate(now)) for (o, s), window in self._windows.items()]
        return [entry for entry in rates if entry[2] > 0]

    def candidates(
        self, service: str, home: str, caller: Caller, rank: int, now: float
    ) -> RegionChoice:
        """Return the regions that may serve a request, in order of preference.

        The assigned region is followed by the nearest other region that is up, for callers within
        the part of the cap that the failover ramp has opened. While the assigned region is down,
        those callers go to the other region. A few of the remaining callers are sent to the
        assigned region as trials, to detect its recovery early; the others are refused. A
        successful health probe also reopens it.
        """
        order = self._routes.candidates(service, home, caller)
        if not order:
            return RegionChoice()
        assigned = order[0]
        source_down = self._is_down(service, assigned)
        failover: tuple[str, ...] = ()
        for target in order[1:]:
            if not self._is_down(service, target):
                ramp = self._advance_ramp(service, assigned, target, source_down, len(order), now)
                ramp.record(rank)
                if ramp.allows(rank, caller_position(service, assigned, caller)):
                    failover = (target,)
                break
        if not source_down:
            return RegionChoice((assigned, *failover))
        return (
            RegionChoice(failover) if failover else self._begin_region_trial(service, assigned, now)
        )

    def record_result(self, address: str, succeeded: bool, now: float) -> tuple[bool, bool]:
        """Record a request's result; return (upstream was ejected, region state changed)."""
        key = self._pool_of.get(address)
        if key is None:
            return False, False
        health = self._health.setdefault(key, RegionHealth())
        was_down = health.is_down
        if succeeded:
            health.record_success()
            self._directory.record_success(address)
            return False, was_down
        peers = self._addresses_in(key)
        health.record_failure(address, len(peers))
        ejected = self._directory.record_failure(address, peers, now)
        return ejected, health.is_down != was_down

    def is_region_down(self, service: str, region: str) -> bool:
        """Return whether this entry considers a region down for a service."""
        return self._is_down(service, region)

    def describe_region(self, key: tuple[str, str], now: float) -> str:
        """Return the basis of a region's state: its failures and the age of the latest report."""
        addresses = self._addresses_in(key)
        health = self._health.get(key) or RegionHealth()
        states = [self._directory.get(address) for address in addresses]
        report_times = [state.report.at for state in states if state is not None and state.report]
        age = f"{now - max(report_times):.3f} s ago" if report_times else "never"
        return (
            f"{health.consecutive_failures} failures in a row "
            f"at {health.failed} of {len(addresses)} upstreams, "
            f"last heard {age}, revision {self.revision}"
        )

    def reopen(self, key: tuple[str, str]) -> None:
        """Mark a region that was down as available again."""
        health = self._health.get(key)
        if health is not None:
            health.reopen()

    def drain_reports(self) -> list[DrainReport]:
        """Return the number of in-flight requests covered by each drain."""
        reports = []
        for drain in self._store.of_kind("drain"):
            addresses = self._drains.get(drain.name, [])
            states = [self._directory.get(address) for address in addresses]
            count = sum(state.in_flight for state in states if state)
            if drain.spec.target == f"instance/{self._instance}":
                count += self._gate.in_flight
            reports.append(DrainReport(drain.name, count))
        return reports

    def own_upstreams(self, now: float) -> set[str]:
        """Return the upstreams of which this entry owns or has borrowed slots."""
        keys = self.share_keys()
        return {address for key in keys for address in self._holder.limits(key, now)}

    def probe_targets(self, probers: int, instance: str) -> set[str]:
        """Return the upstreams that this entry probes on behalf of all entries sharing them."""
        if self._probe_targets_revision != self.revision:
            self._probe_targets_revision = self.revision
            self._probe_targets = {
                address
                for share in self._store.of_kind("share")
                for address in share.spec.current.slots
                if instance in rank(address, share.spec.current.members)[:probers]
            }
        return self._probe_targets

    def leaving_marks(self) -> list[UpstreamMark]:
        """Return marks for upstreams that are leaving, or have returned since, for the leader."""
        found = []
        for state in self._directory:
            held = self._store.get("leaving", state.address)
            returned = held is not None and state.incarnation not in ("", held.spec.incarnation)
            if state.leaving or returned:
                found.append(UpstreamMark(state.address, state.incarnation, state.leaving))
        return found

    def share_keys(self) -> list[tuple[str, str]]:
        """Return the service and region of every share."""
        return [(s.spec.service, s.spec.region) for s in self._store.of_kind("share")]

    def shrunk(self, now: float) -> dict[str, int]:
        """Return the epochs of unsettled shares whose new slots cover all in-flight requests."""
        return {
            share.name: share.spec.epoch
            for share in self._store.of_kind("share")
            if share.spec.previous is not None
            and self._gate.has_shrunk((share.spec.service, share.spec.region), now)
        }

    def loads(self, now: float, fresh_s: float = 2.0) -> dict[str, float]:
        """Return the mean reported load by share, ignoring reports older than `fresh_s`."""
        sums: dict[str, list[float]] = {}
        for state in self._directory:
            key = self._pool_of.get(state.address)
            if key and state.report and now - state.report.at <= fresh_s:
                sums.setdefault(f"{key[0]}.{key[1]}", []).append(state.report.load)
        return {name: sum(values) / len(values) for name, values in sums.items()}

    def _limit_part(self, address: str, limit: float) -> Part:
        """Return this entry's part of an upstream's limit.

        The limit is divided among the leading members of the upstream's shares.
        """
        members: list[str] = []
        for share in self._shares_of(address):
            members += share.spec.current.members
        return part_of_limit(self._instance, address, limit, members, ())

    def _shares_of(self, address: str) -> list[Resource]:
        key = self._pool_of.get(address)
        if key is None:
            return []
        shares = self._store.of_kind("share")
        return [share for share in shares if (share.spec.service, share.spec.region) == key]

    def _is_down(self, service: str, region: str) -> bool:
        health = self._health.get((service, region))
        if health is not None and health.is_down:
            return True
        states = [self._directory.get(a) for a in self._addresses_in((service, region))]
        return bool(states) and all(s is None or s.leaving or s.drained for s in states)

    def _begin_region_trial(self, service: str, region: str, now: float) -> RegionChoice:
        """Return a region that is down as the only candidate, if a trial may start now."""
        health = self._health.get((service, region))
        if health is None or not health.is_down:
            return RegionChoice()
        spec = self.service(service)
        interval_s = ONCE_ONLY_TRIAL_INTERVAL_S if spec is not None and spec.once_only else 0.0
        trial = health.begin_trial(now, len(self._addresses_in((service, region))), interval_s)
        return RegionChoice((region,), trial) if trial is not None else RegionChoice()

    def _addresses_in(self, key: tuple[str, str]) -> list[str]:
        return [address for address, owner in self._pool_of.items() if owner == key]

    def _advance_ramp(
        self, service: str, source: str, target: str, down: bool, regions: int, now: float
    ) -> FailoverRamp:
        ramp = self._ramps.get((service, source, target))
        if ramp is None:
            ramp = self._ramps[service, source, target] = FailoverRamp()
        capacity = self._capacities.get((service, target)) or Capacity(
            service=service, region=target
        )
        active = (service, target) in self._active_moves
        part = inbound_part(capacity.inbound_percent, regions, active)
        ramp.advance(part, capacity.window_s, down, now)
        return ramp

    def _initial_rate(self, service: str, contract: Contract) -> float:
        """Return this entry's part of a paid rate until the leader has allotted one."""
        spec = self.service(service)
        return contract.rate / max(1, spec.entries if spec else 1)

    def _rebuild(self, now: float) -> None:
        store = self._store
        warm = self._routes.revision == 0
        self._routes = Routes(store, self._routes)
        self._holder.set_shares(
            [share.spec for share in store.of_kind("share")],
            {s.name: s.spec.deadline_ms / 1000 for s in store.of_kind("service")},
        )
        self._organisations = {
            digest: organisation.name
            for organisation in store.of_kind("organisation")
            for digest in organisation.spec.credentials
        }
        self._pool_of = {
            upstream.address: (pool.spec.service, pool.spec.region)
            for pool in store.of_kind("pool")
            for upstream in pool.spec.upstreams
        }
        ramps = {
            upstream.address: pool.spec.ramp_s
            for pool in store.of_kind("pool")
            for upstream in pool.spec.upstreams
        }
        self._directory.sync(ramps, now, warm)
        self._capacities = {key: capacity_of(store, *key) for key in self._pool_of.values()}
        self._active_moves = {
            (move.spec.service, region)
            for move in store.of_kind("move")
            if move.status is None or move.status.phase is not Phase.DONE
            for region in (move.spec.source, move.spec.target)
        }
        self._drains = drained_upstreams(store)
        self._directory.set_drained({a for group in self._drains.values() for a in group})
        for mark in store.of_kind("leaving"):
            state = self._directory.get(mark.name)
            if state is not None and state.incarnation in ("", mark.spec.incarnation):
                self._directory.mark_leaving(mark.name)
        self._instance_drained = self._instance in drained_instances(store)
        for service in store.of_kind("service"):
            self._gate.set_limit(service.name, service.spec.queue_limit)
