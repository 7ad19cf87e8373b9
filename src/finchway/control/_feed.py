"""The replica's side of the feed: answers gateways and shares heartbeats with peer replicas."""

from __future__ import annotations

import uuid

import trio
from msgspec.structs import replace

from finchway.control._replica import ReplicaRunner
from finchway.feed import (
    Feed,
    GatewayTable,
    ImageCache,
    PackedFeed,
    RegionDemand,
    ReplicaAddress,
    Roster,
    ShareHeartbeats,
    Subscribe,
    UpstreamHeartbeat,
    pack,
)
from finchway.pushback import LimitLog
from finchway.registry import AddressOwners, ReceivedHeartbeat, Registration, Registry
from finchway.state import SteeringImage
from finchway.transport import Link

# Time that a gateway's request is held open while there are no changes (long polling). A gateway
# without news then costs each replica under two answers a second.
LONG_POLL_S = 0.6
# Hold time for a gateway that is not ready yet. It waits for a confirmed leader, which is not a
# change of the steering state, so it has to poll more often.
LONG_POLL_UNREADY_S = 0.1
# Minimum interval between answers to held requests because of changed limits, since limits can
# change with every response of an upstream.
LIMITS_INTERVAL_S = 0.3
# Intervals at which new heartbeats, and the last heartbeats of silent upstreams, are sent to peer
# replicas.
SHARE_INTERVAL_S = 0.1
SHARE_SILENT_INTERVAL_S = 2.0
# Interval at which the demand of all gateways is summed.
DEMAND_INTERVAL_S = 0.1
# Heartbeat intervals after which an upstream counts as silent; tolerates two lost in a row.
SILENT_AFTER_HEARTBEATS = 2.5
# Bounds the size of an answer, so that it does not delay later changes on a slow link.
MAX_UPSTREAMS_PER_ANSWER = 200
# Time without heartbeats after which an upstream, or a gateway, is removed.
UPSTREAM_RETENTION_S = 120.0
GATEWAY_TIMEOUT_S = 2.0


class FeedServer:
    """Holds a replica's uncommitted state (heartbeats, limits) and answers gateways."""

    def __init__(self, runner: ReplicaRunner, link: Link, heartbeat: float) -> None:
        self._runner = runner
        self._link = link
        self._silent_after = SILENT_AFTER_HEARTBEATS * heartbeat
        self._incarnation = uuid.uuid4().hex[:12]
        self._registry = Registry(UPSTREAM_RETENTION_S, AddressOwners(self._silent_after))
        self._gateways = GatewayTable(GATEWAY_TIMEOUT_S)
        self._limits = LimitLog()
        self._limits_changed = trio.Event()
        self._limits_notified_at = float("-inf")
        self._limits_pending = False
        self._unshared: list[str] = []
        self._demand: list[RegionDemand] = []
        self._demand_at = float("-inf")
        self._images = ImageCache()
        self._roster = Roster(version=1)
        self._silent_shared_at = float("-inf")

    @property
    def registry(self) -> Registry:
        """The newest heartbeats of upstreams."""
        return self._registry

    @property
    def gateways(self) -> GatewayTable:
        """The newest heartbeats of gateways."""
        return self._gateways

    @property
    def silent_count(self) -> int:
        """The number of upstreams that this replica considers silent."""
        return len(self._roster.silent)

    def record_heartbeat(self, registration: Registration, received_at: float) -> bool:
        """Record an upstream's heartbeat; return False if it is out of date.

        `received_at` is the earliest time at which it can have arrived. How long the upstream stays
        cold counts from now, so that it ends at no time too early.
        """
        if registration.cold_for:
            waited_s = trio.current_time() - received_at
            registration = replace(registration, cold_for=registration.cold_for + waited_s)
        is_new = self._registry.record(registration, received_at)
        if is_new:
            self._unshared.append(registration.instance)
        return is_new

    def record_shared_heartbeats(self, shared: ShareHeartbeats) -> None:
        """Record heartbeats that a peer replica received."""
        now = trio.current_time()
        for received in shared.upstreams:
            self._registry.record(received.registration, now - received.age)

    async def answer(self, poll: Subscribe) -> Feed | PackedFeed:
        """Answer a gateway, at once if the steering state is newer, else after a hold time."""
        arrived_at = trio.current_time()
        self._gateways.record(poll.beat, arrived_at)
        self._limits_pending |= self._limits.merge(poll.beat.limits, arrived_at)
        self._notify_limits(arrived_at)
        known = poll.life == self._incarnation
        steering = self._runner.machine.steering
        if known and not poll.rest and steering.revision <= poll.revision:
            hold = LONG_POLL_S if poll.beat.ready else LONG_POLL_UNREADY_S
            await self._wait_for_changes(poll.revision, hold)
            steering = self._runner.machine.steering
        image = self._images.get(steering, poll.revision if known else -1)
        if image.is_large and not poll.large_images:
            return self._announce(poll, known, arrived_at, steering.revision)
        feed = self._build_feed(poll, known, arrived_at, image.image)
        return pack(feed, image.packed) if poll.packed else feed

    async def run(self) -> None:
        """Share heartbeats and update the roster until cancelled."""
        while True:
            await trio.sleep(SHARE_INTERVAL_S)
            now = trio.current_time()
            self._registry.remove_silent(now)
            silent = self._registry.silent(now, self._silent_after)
            self._update_roster(silent, now)
            self._share_heartbeats(silent or [], now)
            self._notify_limits(now)

    def _announce(
        self, poll: Subscribe, known: bool, arrived_at: float, revision: int
    ) -> Feed | PackedFeed:
        """Return an answer without the image of the steering state, which is only announced."""
        feed = self._build_feed(poll, known, arrived_at, SteeringImage())
        feed = replace(feed, age=float("inf"), announced=revision)
        return pack(feed) if poll.packed else feed

    async def _wait_for_changes(self, revision: int, hold: float) -> None:
        with trio.move_on_after(hold):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._wait_for_limits, nursery.cancel_scope)
                await self._runner.wait_steering(revision)
                nursery.cancel_scope.cancel()

    async def _wait_for_limits(self, scope: trio.CancelScope) -> None:
        await self._limits_changed.wait()
        scope.cancel()

    def _notify_limits(self, now: float) -> None:
        """Release held requests if limits have changed, at a limited rate."""
        if not self._limits_pending or now - self._limits_notified_at < LIMITS_INTERVAL_S:
            return
        self._limits_pending = False
        self._limits_notified_at = now
        self._limits_changed.set()
        self._limits_changed = trio.Event()

    def _build_feed(
        self, poll: Subscribe, known: bool, arrived_at: float, image: SteeringImage
    ) -> Feed:
        now = trio.current_time()
        order = poll.order if known else -1
        newer = self._registry.since(order)
        page = newer[:MAX_UPSTREAMS_PER_ANSWER]
        more = len(page) < len(newer)
        has_roster = known and poll.roster == self._roster.version
        return Feed(
            life=self._incarnation,
            order=page[-1].order if more else self._registry.order,
            image=image,
            upstreams=[
                UpstreamHeartbeat(received.registration, round(now - received.received_at, 3))
                for received in page
            ],
            more=more,
            roster=None if has_roster else self._roster,
            demand=self._recent_demand(now) if poll.demand else None,
            held=round(now - arrived_at, 3),
            age=round(now - self._runner.current_as_of, 3),
            limits=self._limits.since(poll.limits, now),
        )

    def _recent_demand(self, now: float) -> list[RegionDemand]:
        """Return the regions' demand, summed anew only now and then for all gateways together."""
        if now - self._demand_at >= DEMAND_INTERVAL_S:
            self._demand_at = now
            self._demand = self._gateways.demand(now)
        return self._demand

    def _update_roster(self, silent: list[ReceivedHeartbeat] | None, now: float) -> None:
        """Rebuild the roster; without any heartbeats, the silent upstreams are kept unchanged."""
        current = self._roster
        members = self._runner.core.members
        roster = Roster(
            version=current.version,
            serving=self._gateways.serving(now),
            silent=(
                current.silent
                if silent is None
                else sorted(received.registration.incarnation for received in silent)
            ),
            replicas=[
                ReplicaAddress(member.name, member.address)
                for member in members.voters + members.learners
                if member.address
            ],
        )
        if roster != current:
            self._roster = replace(roster, version=current.version + 1)

    def _share_heartbeats(self, silent: list[ReceivedHeartbeat], now: float) -> None:
        """Send new heartbeats to peer replicas, and periodically those of silent upstreams.

        A replica that has just started would not list the silent ones otherwise.
        """
        heartbeats = [self._registry.get(name) for name in dict.fromkeys(self._unshared)]
        self._unshared = []
        if now - self._silent_shared_at >= SHARE_SILENT_INTERVAL_S:
            self._silent_shared_at = now
            heartbeats += silent
        if not heartbeats:
            return
        shared = ShareHeartbeats(
            upstreams=[
                UpstreamHeartbeat(h.registration, round(now - h.received_at, 3))
                for h in heartbeats
                if h
            ]
        )
        members = self._runner.core.members
        for member in members.voters + members.learners:
            if member.id != self._runner.core.id and member.address:
                self._link.post(member.address, shared)
