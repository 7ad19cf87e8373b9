"""A gateway's view of the cluster, merged from the answers of all replicas."""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from finchway.feed._messages import Feed, RegionDemand, Roster
from finchway.feed._peer_gateways import PeerGateways
from finchway.policy import GrowthDetector, KnownGateways
from finchway.registry import Registry
from finchway.state import Steering

# Time after which a silent upstream is removed.
SILENT_RETENTION_S = 30.0
# Time without answers after which a replica's last report is discarded.
REPLICA_TIMEOUT_S = 2.0
# Time that a starting gateway waits for a replica with confirmed state before it uses unconfirmed
# state. It spans several elections, since confirmation needs a leader.
UNCONFIRMED_WAIT_S = 3.0
# Age up to which a replica's state counts as confirmed.
CONFIRMED_MAX_AGE_S = 1.5
# Age in seconds up to which sums over the fleet are used.
SUMS_TTL_S = 10.0
# Window for the largest number of serving gateways; matches that of the retry budget, which is
# divided by it.
COUNT_WINDOW_S = 10.0
# Time without growth after which the number of serving gateways counts as complete. Replicas that
# have just started list few, until all gateways have reported to them.
COUNT_STABLE_S = 2.5


class ReplicaReport(Struct):
    """The last report of one replica process, and when it arrived."""

    received_at: float
    roster: Roster = Roster()
    demand: list[RegionDemand] = []
    demand_at: float = float("-inf")

    def is_recent(self, now: float) -> bool:
        """Return whether its sums over the fleet may still be used."""
        return self.demand_at >= now - SUMS_TTL_S


class ClusterView:
    """The steering state, upstreams and peer gateways as known to a gateway.

    Replicas may disagree on which processes are live, so their reports are kept separately and
    those of replicas that answered recently are merged. When no replica answers any more, the
    last reports stay in use.
    """

    def __init__(self) -> None:
        self._steering = Steering()
        self._registry = Registry(SILENT_RETENTION_S)
        self._reports: dict[str, ReplicaReport] = {}
        self._replicas: dict[str, str] = {}
        self._last_contact_at = float("-inf")
        self._first_contact_at = float("inf")
        self._confirmed = False
        self._is_complete = False
        self._current_as_of = float("-inf")
        self._evacuation_changed_at: dict[str, float] = {}
        self._silent: frozenset[str] = frozenset()
        self._silent_since: dict[str, float] = {}
        self._serving: tuple[str, ...] = ()
        self._peers: dict[str, str] = {}
        self._peer_gateways = PeerGateways()
        self._counts: deque[tuple[float, int]] = deque()
        self._count_growth = GrowthDetector(COUNT_STABLE_S)
        self._changes = 0

    @property
    def steering(self) -> Steering:
        """The newest committed steering state received."""
        return self._steering

    @property
    def registry(self) -> Registry:
        """The newest heartbeats of upstreams."""
        return self._registry

    @property
    def replicas(self) -> dict[str, str]:
        """The addresses of the replicas by name."""
        return self._replicas

    @property
    def is_ready(self) -> bool:
        """Whether a recently confirmed configuration and a complete list of upstreams are known.

        A partial list would overload the first few upstreams. A configuration that no quorum has
        confirmed lately may be outdated; it is used only after `UNCONFIRMED_WAIT_S`.
        """
        if self._steering.catalog.is_empty or not self._is_complete:
            return False
        return (
            self._confirmed or self._last_contact_at - self._first_contact_at >= UNCONFIRMED_WAIT_S
        )

    @property
    def last_contact_at(self) -> float:
        """When the last answer of any replica arrived."""
        return self._last_contact_at

    @property
    def current_as_of(self) -> float:
        """The time up to which all accepted changes are guaranteed to be known here.

        It is computed from the time of the request, so that delays in transit only make it older.
        """
        return self._current_as_of

    def is_current_as_of(self, moment: float) -> bool:
        """Return whether all changes accepted before a time are known here."""
        return self._current_as_of >= moment

    @property
    def changes(self) -> int:
        """A counter that grows whenever an upstream, mark, item or evacuation changes."""
        return self._changes

    @property
    def serving(self) -> tuple[str, ...]:
        """The names of gateways that accept callers, according to any fresh replica."""
        return self._serving

    @property
    def peers(self) -> dict[str, str]:
        """The peer addresses of the serving gateways, by name."""
        return self._peers

    @property
    def peer_gateways(self) -> PeerGateways:
        """The gateways among which a deployment-wide limit is divided."""
        return self._peer_gateways

    def serving_count(self, now: float) -> int:
        """Return the largest recent number of serving gateways, at least one.

        Deployment-wide limits are divided by it. The maximum is used because a replica that has
        just started may not list all gateways yet.
        """
        counts = self._counts
        while len(counts) > 1 and counts[1][0] <= now - COUNT_WINDOW_S:
            counts.popleft()
        return max([1, *(count for _, count in counts)])

    def known_gateways(self, name: str, now: float) -> KnownGateways | None:
        """Return how many gateways serve; None if `name`, the gateway asking, is not listed yet.

        A deployment-wide limit that is divided by too few is exceeded by all gateways together.
        """
        if name not in self._serving:
            return None
        count = self.serving_count(now)
        return KnownGateways(count, self._count_growth.record(count, now))

    @property
    def demand(self) -> list[RegionDemand]:
        """The regions' demand, from the fresh replica that lists most gateways."""
        report = self._demand_report()
        return report.demand if report is not None else []

    def service_time(self, service: str, now: float) -> float | None:
        """Return the fleet's recent estimate of a service's time in seconds; None without one."""
        times = (each.service_ms for each in self._recent_demand(now) if each.service == service)
        return next((service_ms / 1000 for service_ms in times if service_ms > 0), None)

    def mean_time(self, service: str, region: str, now: float) -> float | None:
        """Return the recent mean time of a region's answers in seconds; None if not known."""
        for reported in self._recent_demand(now):
            if (reported.service, reported.region) == (service, region) and reported.mean_ms > 0:
                return reported.mean_ms / 1000
        return None

    def roster_version(self, incarnation: str) -> int:
        """Return the known roster version of a replica process; 0 for none."""
        report = self._reports.get(incarnation)
        return report.roster.version if report else 0

    def is_silent(self, incarnation: str) -> bool:
        """Return whether all fresh replicas report an incarnation as silent."""
        return incarnation in self._silent

    def evacuation_changed_at(self, zone: str) -> float:
        """Return when a zone's evacuation last changed here."""
        return self._evacuation_changed_at.get(zone, float("-inf"))

    def merge(self, feed: Feed, now: float, requested_at: float | None = None) -> bool:
        """Merge the answer to a request of `requested_at`; return whether the state changed."""
        self._last_contact_at = now
        self._first_contact_at = min(self._first_contact_at, now)
        self._confirmed = self._confirmed or feed.age <= CONFIRMED_MAX_AGE_S
        self._is_complete = self._is_complete or not feed.more
        sent_at = now if requested_at is None else requested_at + feed.held
        self._current_as_of = max(self._current_as_of, sent_at - feed.age)
        self._update_report(feed, now)
        before = self._steering.evacuated
        moved = self._steering.merge(feed.image)
        for zone in before ^ self._steering.evacuated:
            self._evacuation_changed_at[zone] = now
        for upstream in feed.upstreams:
            self._registry.record(upstream.registration, now - upstream.age)
        self._changes += bool(moved or feed.upstreams)
        return moved

    def remove_silent(self, now: float) -> None:
        """Remove upstreams that have been silent for long."""
        oldest = now - SILENT_RETENTION_S
        long_silent = {name for name, since in self._silent_since.items() if since < oldest}
        if not long_silent:
            return
        for upstream in self._registry.all():
            if upstream.registration.incarnation in long_silent:
                self._registry.remove(upstream.registration.instance)

    def _update_report(self, feed: Feed, now: float) -> None:
        report = self._reports.get(feed.life)
        if report is None:
            report = self._reports[feed.life] = ReplicaReport(now)
        report.received_at = now
        if feed.demand is not None:
            report.demand, report.demand_at = feed.demand, now
        if feed.roster is not None and feed.roster.version >= report.roster.version:
            report.roster = feed.roster
            self._update_replicas(feed.roster, feed.age <= CONFIRMED_MAX_AGE_S)
        stale = [n for n, r in self._reports.items() if r.received_at < now - REPLICA_TIMEOUT_S]
        for incarnation in stale:
            del self._reports[incarnation]
        if feed.roster is not None or stale:
            self._merge_rosters(now)

    def _update_replicas(self, roster: Roster, confirmed: bool) -> None:
        for replica in roster.replicas:
            self._replicas[replica.name] = replica.address
        if confirmed and roster.replicas:
            current = {replica.name for replica in roster.replicas}
            self._replicas = {n: a for n, a in self._replicas.items() if n in current}

    def _merge_rosters(self, now: float) -> None:
        rosters = [report.roster for report in self._fresh_reports()]
        self._peers = {peer.name: peer.address for roster in rosters for peer in roster.serving}
        regions = {peer.name: peer.region for roster in rosters for peer in roster.serving}
        self._peer_gateways.update(regions, now)
        serving = tuple(sorted(self._peers))
        if serving != self._serving or not self._counts:
            self._serving = serving
            self._counts.append((now, len(serving)))
            self._count_growth.record(len(serving), now)
        silent = [frozenset(roster.silent) for roster in rosters]
        merged = frozenset.intersection(*silent) if silent else frozenset()
        if merged != self._silent:
            self._silent_since = {name: self._silent_since.get(name, now) for name in merged}
            self._silent = merged
            self._changes += 1

    def _recent_demand(self, now: float) -> list[RegionDemand]:
        report = self._demand_report()
        return report.demand if report is not None and report.is_recent(now) else []

    def _demand_report(self) -> ReplicaReport | None:
        """Return the report on demand of the fresh replica that lists most gateways."""
        reports = [report for report in self._fresh_reports() if report.demand]
        return max(
            reports,
            key=lambda report: (len(report.roster.serving), report.demand_at),
            default=None,
        )

    def _fresh_reports(self) -> list[ReplicaReport]:
        return list(self._reports.values())
