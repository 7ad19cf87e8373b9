"""The replica's side of the feed: it answers gateways, and shares heartbeats with its fellows."""

from __future__ import annotations

import uuid

import msgspec
import trio

from finchway.control._replica import ReplicaRunner
from finchway.feed import (
    Feed,
    GatewayBook,
    HeardUpstream,
    ReplicaAddress,
    Roster,
    ShareHeard,
    Subscribe,
)
from finchway.pushback import LimitNews
from finchway.registry import AddressHolders, Heard, Registration, Registry
from finchway.transport import Link

# Seconds that a question waits for news, so that calm costs a gateway under two answers a second
# from each replica.
HOLD_S = 0.6
# A gateway that serves nobody yet waits for a word that a leader is known, which is no news of the
# steering state: it is answered soon, so that it can ask again.
HOLD_UNREADY_S = 0.1
# Seconds between two times that open questions are answered for news of limits: what upstreams name
# must be known everywhere soon, and figures that change with each answer must not fill the links.
LIMITS_EVERY_S = 0.3
# Seconds between two messages to fellow replicas with the heartbeats heard here, and between two
# that tell again who is silent.
SHARE_EVERY_S = 0.1
SHARE_SILENT_EVERY_S = 2.0
# Heartbeats that an upstream may miss before it counts as silent; two can be lost in a row.
SILENT_BEATS = 2.5
# Upstreams in one answer: 33 KB, a tenth of a second of a gateway's link of 2.65 Mbit/s. All of a
# large deployment's at once would hold up the news behind them, or never arrive in time.
UPSTREAMS_AN_ANSWER = 200
# Seconds of silence after which an upstream is forgotten; after those of a gateway it is not named.
FORGET_UPSTREAM_AFTER_S = 120.0
GATEWAY_SILENT_AFTER_S = 2.0


class FeedDesk:
    """What one replica knows beyond the committed state, and the answers to gateways."""

    def __init__(self, runner: ReplicaRunner, link: Link, heartbeat: float) -> None:
        self._runner = runner
        self._link = link
        self._silent_after = SILENT_BEATS * heartbeat
        self._life = uuid.uuid4().hex[:12]
        self._registry = Registry(FORGET_UPSTREAM_AFTER_S, AddressHolders(self._silent_after))
        self._gateways = GatewayBook(GATEWAY_SILENT_AFTER_S)
        self._limits = LimitNews()
        self._limits_told = trio.Event()
        self._limits_told_at = float("-inf")
        self._limits_wait = False
        self._fresh: list[str] = []
        self._roster = Roster(version=1)
        self._silent_shared_at = float("-inf")

    @property
    def registry(self) -> Registry:
        """The upstreams' heartbeats that this replica knows."""
        return self._registry

    @property
    def gateways(self) -> GatewayBook:
        """The gateways that this replica hears."""
        return self._gateways

    @property
    def silent_count(self) -> int:
        """How many upstreams this replica holds to be silent."""
        return len(self._roster.silent)

    def hear(self, registration: Registration) -> bool:
        """Take in a heartbeat of an upstream; False for one that came late."""
        is_news = self._registry.record(registration, trio.current_time())
        if is_news:
            self._fresh.append(registration.instance)
        return is_news

    def hear_shared(self, shared: ShareHeard) -> None:
        """Take in what a fellow replica heard."""
        now = trio.current_time()
        for heard in shared.upstreams:
            self._registry.record(heard.registration, now - heard.age)

    async def answer(self, question: Subscribe) -> Feed:
        """Answer a gateway: at once if something committed is new, else after a short while."""
        arrived_at = trio.current_time()
        self._gateways.record(question.beat, arrived_at)
        self._limits_wait |= self._limits.learn(question.beat.limits, arrived_at)
        self._tell_limits(arrived_at)
        known = question.life == self._life
        steering = self._runner.machine.steering
        if known and not question.rest and steering.revision <= question.revision:
            hold = HOLD_S if question.beat.ready else HOLD_UNREADY_S
            await self._wait_for_news(question.revision, hold)
        return self._feed(question, known, arrived_at)

    async def run(self) -> None:
        """Share heartbeats until cancelled."""
        while True:
            await trio.sleep(SHARE_EVERY_S)
            now = trio.current_time()
            self._registry.forget_silent(now)
            silent = self._registry.silent(now, self._silent_after)
            self._renew_roster(silent, now)
            self._share(silent or [], now)
            self._tell_limits(now)

    async def _wait_for_news(self, revision: int, hold: float) -> None:
        with trio.move_on_after(hold):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._wait_for_limits, nursery.cancel_scope)
                await self._runner.wait_steering(revision)
                nursery.cancel_scope.cancel()

    async def _wait_for_limits(self, scope: trio.CancelScope) -> None:
        await self._limits_told.wait()
        scope.cancel()

    def _tell_limits(self, now: float) -> None:
        """Have open questions answered if there are news of limits, now and then at most."""
        if not self._limits_wait or now - self._limits_told_at < LIMITS_EVERY_S:
            return
        self._limits_wait = False
        self._limits_told_at = now
        self._limits_told.set()
        self._limits_told = trio.Event()

    def _feed(self, question: Subscribe, known: bool, arrived_at: float) -> Feed:
        now = trio.current_time()
        runner = self._runner
        steering = runner.machine.steering
        order = question.order if known else -1
        newer = self._registry.since(order)
        part = newer[:UPSTREAMS_AN_ANSWER]
        more = len(part) < len(newer)
        has_roster = known and question.roster == self._roster.version
        return Feed(
            life=self._life,
            order=part[-1].order if more else self._registry.order,
            image=steering.image(question.revision if known else -1),
            upstreams=[
                HeardUpstream(heard.registration, round(now - heard.heard_at, 3)) for heard in part
            ],
            more=more,
            roster=None if has_roster else self._roster,
            demand=self._gateways.demand(now) if question.demand else None,
            held=round(now - arrived_at, 3),
            age=round(now - runner.covered_at, 3),
            limits=self._limits.since(question.limits, now),
        )

    def _renew_roster(self, silent: list[Heard] | None, now: float) -> None:
        """Work out who is there; a replica that hears no upstream keeps to what it knew."""
        held = self._roster
        members = self._runner.core.members
        roster = Roster(
            version=held.version,
            serving=self._gateways.serving(now),
            silent=(
                held.silent
                if silent is None
                else sorted(heard.registration.life for heard in silent)
            ),
            replicas=[
                ReplicaAddress(member.name, member.address)
                for member in members.voters + members.learners
                if member.address
            ],
        )
        if roster != held:
            self._roster = msgspec.structs.replace(roster, version=held.version + 1)

    def _share(self, silent: list[Heard], now: float) -> None:
        """Pass on what was heard here, and now and then what is silent: a new fellow lacks it."""
        heard = [self._registry.get(name) for name in dict.fromkeys(self._fresh)]
        self._fresh = []
        if now - self._silent_shared_at >= SHARE_SILENT_EVERY_S:
            self._silent_shared_at = now
            heard += silent
        if not heard:
            return
        shared = ShareHeard(
            upstreams=[
                HeardUpstream(h.registration, round(now - h.heard_at, 3)) for h in heard if h
            ]
        )
        members = self._runner.core.members
        for member in members.voters + members.learners:
            if member.id != self._runner.core.id and member.address:
                self._link.post(member.address, shared)
