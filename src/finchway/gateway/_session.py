"""Long polls of the replicas, which carry the gateway's heartbeats and return the feed.

A gateway that no replica answers polls through a peer, so that one that is only cut off from
control remains in the directory and still receives changes.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio

from finchway.exceptions import FinchwayError, UnavailableError
from finchway.feed import (
    ClusterView,
    Feed,
    GatewayHeartbeat,
    PackedFeed,
    ServiceRate,
    Subscribe,
    unpack,
)
from finchway.gateway._feed_log import FeedLog
from finchway.gateway._image_turn import ImageTurn
from finchway.gateway._poll import Poll, ReplicaCursor
from finchway.gateway._transit import TransitMeter
from finchway.pushback import LimitReport
from finchway.state import Suspect
from finchway.transport import Link

_LOG = logging.getLogger(__name__)
# Seconds after which a replica that has not answered counts as lost and is polled again.
POLL_TIMEOUT_S = 1.0
# Seconds for which the answer to an earlier poll is still accepted; on a congested link, answers
# take longer than POLL_TIMEOUT_S, 1 to 2 s of them on the way.
LATE_ANSWER_TIMEOUT_S = 4.0
# Seconds between an answer and the next poll, so that a burst of commits arrives in one answer.
POLL_PAUSE_S = 0.02
# Longest pause before a replica that announced a large image is polled again, so that it still
# receives this gateway's heartbeats.
ANNOUNCED_PAUSE_S = 0.5
# Seconds before a failed poll is repeated.
RETRY_INTERVAL_S = 0.1
# Interval of checks for replicas that are not polled yet. Timers are a large part of what a gateway
# costs when it is idle.
ADDRESS_CHECK_INTERVAL_S = 0.5
# Replicas that are polled at the same time: as many as a deployment sets aside at most.
MAX_REPLICAS = 9
# Seconds without an answer of any replica after which polls go through peers, and the timeout of
# such polls: two round trips, and the time for which a replica holds a poll.
RELAY_AFTER_S = 1.0
RELAY_TIMEOUT_S = 1.5
# Shortest interval between polls that are renewed to report something at once.
REPOLL_INTERVAL_S = 0.5
# Interval of polls that request the regions' demand, which is the larger part of an answer.
DEMAND_INTERVAL_S = 0.5


class GatewaySession:
    """Keeps one long poll open at each known replica."""

    def __init__(
        self,
        heartbeat: GatewayHeartbeat,
        link: Link,
        view: ClusterView,
        seeds: Callable[[], list[str]],
        rates: Callable[[], list[ServiceRate]],
        log: FeedLog,
        apply_suspects: Callable[[list[Suspect]], None] = lambda suspects: None,
        limits: Callable[[], list[LimitReport]] = list,
        apply_limits: Callable[[list[LimitReport]], None] = lambda reports: None,
        is_cut_off: Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_cut_off = is_cut_off
        self._log = log
        self._apply_suspects = apply_suspects
        self._limits = limits
        self._apply_limits = apply_limits
        self._heartbeat = heartbeat
        self._link = link
        self._view = view
        self._seeds = seeds
        self._rates = rates
        self._transits = TransitMeter()
        self._image_turn = ImageTurn()
        self._sequence = 0
        self._leaving = False
        self._polled: set[str] = set()
        self._reachable: set[str] = set()
        self._polls: dict[str, Poll] = {}
        self._last_answer_at = trio.current_time()
        self._next_peer = 0
        self._demand_requested_at = float("-inf")
        self._repolled_at = float("-inf")

    @property
    def is_leaving(self) -> bool:
        """Whether the gateway has withdrawn from the directory."""
        return self._leaving

    @property
    def is_link_congested(self) -> bool:
        """Whether the answers of all replicas are slow to arrive."""
        return self._transits.is_congested(trio.current_time())

    @property
    def reachable_replicas(self) -> list[str]:
        """The replicas that answer, or all known ones if none does."""
        known = self._addresses()
        return sorted(self._reachable & set(known)) or known

    async def run(self) -> None:
        """Poll all known replicas until cancelled, as the set of replicas changes."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_through_peers)
            while True:
                for address in self._addresses():
                    if address not in self._polled:
                        self._polled.add(address)
                        nursery.start_soon(self._poll_replica, address)
                await trio.sleep(ADDRESS_CHECK_INTERVAL_S)

    def start_leaving(self) -> None:
        """Withdraw from the directory; open polls are renewed to report it."""
        self._leaving = True
        for poll in self._polls.values():
            poll.end(succeeded=True)

    def repoll(self) -> None:
        """Renew all polls now to report something new, at most once per REPOLL_INTERVAL_S.

        Within the interval, the next regular polls report them.
        """
        now = trio.current_time()
        if now - self._repolled_at < REPOLL_INTERVAL_S:
            return
        self._repolled_at = now
        for poll in self._polls.values():
            poll.end(succeeded=True)

    def _addresses(self) -> list[str]:
        known = sorted(self._view.replicas.values())[:MAX_REPLICAS]
        if self._reachable & set(known):
            return known
        return sorted({*known, *self._seeds()})

    async def _poll_replica(self, address: str) -> None:
        """Poll one replica; a poll that is not answered in time stays open beside the next."""
        cursor = ReplicaCursor()
        try:
            async with trio.open_nursery() as nursery:
                while address in self._addresses():
                    poll = self._polls[address] = Poll()
                    nursery.start_soon(self._poll_once, address, cursor, poll)
                    with trio.move_on_after(POLL_TIMEOUT_S):
                        await poll.wait()
                    if not poll.succeeded:
                        self._record_unreachable(address)
                    await trio.sleep(POLL_PAUSE_S if poll.succeeded else RETRY_INTERVAL_S)
                    if cursor.announced > self._view.steering.revision:
                        await self._wait_for_image(cursor.announced)
                nursery.cancel_scope.cancel()
        finally:
            self._polls.pop(address, None)
            self._polled.discard(address)
            self._reachable.discard(address)

    async def _wait_for_image(self, announced: int) -> None:
        """Return when an announced image has arrived or may be requested, or after a pause."""
        with trio.move_on_after(ANNOUNCED_PAUSE_S):
            while self._view.steering.revision < announced:
                if self._image_turn.is_free(trio.current_time()):
                    return
                await trio.sleep(POLL_PAUSE_S)

    async def _poll_once(self, address: str, cursor: ReplicaCursor, poll: Poll) -> None:
        """Poll once, and apply the answer even if it is late.

        On a congested link all answers are late, so a gateway that dropped them would get none.
        """
        sent_at = trio.current_time()
        large_images = self._image_turn.take(address, sent_at)
        answer = await self._request_feed(address, cursor, LATE_ANSWER_TIMEOUT_S, large_images)
        if large_images:
            self._image_turn.release(address)
        if answer is not None:
            self._record_reachable(address)
            if answer.announced > self._view.steering.revision:
                self._image_turn.announce(trio.current_time())
            cursor.record(answer)
            self._apply(answer, sent_at)
        poll.end(succeeded=answer is not None)

    async def relay(self, request: Subscribe) -> Feed | PackedFeed:
        """Relay a peer's poll to a replica that this gateway reaches.

        Raises `UnavailableError` if there is none, and the link's errors.
        """
        reachable = sorted(self._reachable & set(self._addresses()))
        if not reachable:
            raise UnavailableError("no replica is reachable from this gateway either")
        return await self._link.request(
            reachable[0], request, timeout=RELAY_TIMEOUT_S, send_timeout=POLL_TIMEOUT_S
        )

    async def _poll_through_peers(self) -> None:
        """Poll through one peer after the other while no replica answers."""
        cursor = ReplicaCursor()
        while True:
            silent_for = trio.current_time() - self._last_answer_at
            peers = [
                a for n, a in sorted(self._view.peers.items()) if n != self._heartbeat.name and a
            ]
            if silent_for < RELAY_AFTER_S or not peers:
                await trio.sleep(max(RETRY_INTERVAL_S, RELAY_AFTER_S - silent_for))
                continue
            address = peers[self._next_peer % len(peers)]
            sent_at = trio.current_time()
            answer = await self._request_feed(address, cursor, RELAY_TIMEOUT_S)
            if answer is None:
                self._next_peer += 1
                await trio.sleep(RETRY_INTERVAL_S)
                continue
            cursor.record(answer)
            self._apply(answer, sent_at)
            await trio.sleep(POLL_PAUSE_S)

    def _record_unreachable(self, address: str) -> None:
        if address in self._reachable:
            self._reachable.discard(address)
            self._log.record_lost(address)

    def _record_reachable(self, address: str) -> None:
        self._last_answer_at = trio.current_time()
        if address not in self._reachable:
            self._reachable.add(address)
            self._log.record_regained(address)

    async def _request_feed(
        self, address: str, cursor: ReplicaCursor, timeout: float, large_images: bool = True
    ) -> Feed | None:
        request = Subscribe(
            beat=self._next_heartbeat(),
            revision=self._view.steering.revision,
            life=cursor.incarnation,
            order=cursor.order,
            roster=self._view.roster_version(cursor.incarnation),
            demand=self._is_demand_due(),
            rest=cursor.rest,
            limits=cursor.limits,
            packed=True,
            large_images=large_images,
        )
        sent_at = trio.current_time()
        try:
            answer = await self._link.request(
                address, request, timeout=timeout, send_timeout=POLL_TIMEOUT_S
            )
            if isinstance(answer, PackedFeed):
                answer = unpack(answer)
        except FinchwayError as error:
            _LOG.debug("no feed from %s: %s", address, error)
            if request.demand:
                self._demand_requested_at = float("-inf")
            self._log.record_failed(address, request, sent_at)
            return None
        if not isinstance(answer, Feed):
            return None
        if answer.life == request.life and not request.rest:
            # A first answer and its continuation are large and slow even on an idle link.
            now = trio.current_time()
            self._transits.record(now - sent_at - answer.held, now)
        self._log.record_answer(address, request, sent_at, answer, POLL_TIMEOUT_S)
        return answer

    def _is_demand_due(self) -> bool:
        """Return whether the next poll should request the regions' demand."""
        now = trio.current_time()
        if now - self._demand_requested_at < DEMAND_INTERVAL_S:
            return False
        self._demand_requested_at = now
        return True

    def _apply(self, feed: Feed, sent_at: float) -> None:
        if feed.limits is not None:
            self._apply_limits(feed.limits.reports)
        before = self._view.steering.revision
        if self._view.merge(feed, trio.current_time(), sent_at):
            self._log.record_applied(feed, before, self._view.steering.revision)
            self._apply_suspects(feed.image.suspects)

    def _next_heartbeat(self) -> GatewayHeartbeat:
        self._sequence += 1
        base = self._heartbeat
        return GatewayHeartbeat(
            name=base.name,
            incarnation=base.incarnation,
            address=base.address,
            zone=base.zone,
            region=base.region,
            peer=base.peer,
            leaving=self._leaving,
            ready=self._view.is_ready,
            revision=self._view.steering.revision,
            sequence=self._sequence,
            rates=self._rates(),
            pressed=self.is_link_congested,
            cut_off=self._is_cut_off(),
            limits=self._limits(),
        )
