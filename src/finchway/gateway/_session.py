"""The gateway's open questions to the replicas: its beats go out, the feed comes in.

A gateway that no replica answers asks by way of a fellow gateway, so that one that is only cut off
from control is still named to callers and still learns what changes.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio

from finchway.exceptions import FinchwayError, UnavailableError
from finchway.feed import Feed, GatewayBeat, ServiceRate, Subscribe, World
from finchway.observe import (
    BeliefChanged,
    DecisionLog,
    FeedEnded,
    FeedOutcome,
    GatewayMetrics,
    LoopLag,
    ProcessChanged,
)
from finchway.transport import Link

_LOG = logging.getLogger(__name__)
# Seconds after which a question is asked anew, and the replica counts as lost meanwhile.
ANSWER_WITHIN_S = 1.0
# Seconds for which an answer is still taken after that: on a full link of a gateway everything
# waits for 1 to 2 s, and an answer that has come all the way is as good as the next one.
LATE_WITHIN_S = 4.0
PAUSE_S = 0.02
RETRY_S = 0.1
MOST_REPLICAS = 9
RELAY_AFTER_S = 1.0
RELAYED_WITHIN_S = 1.5
DEMAND_EVERY_S = 0.5
# Seconds on the way, both ways together, from which an answer gets a line of its own: six round
# trips between the regions that are furthest apart.
SLOW_TRANSIT_S = 0.4


class _Turn:
    """One question to a replica, until it is answered or must be asked anew."""

    __slots__ = ("_over", "is_sound")

    def __init__(self) -> None:
        self._over = trio.Event()
        self.is_sound = False

    def end(self, is_sound: bool) -> None:
        """End the turn; it is not sound if the replica could not be asked."""
        self.is_sound = is_sound
        self._over.set()

    async def wait(self) -> None:
        """Return once the turn has ended."""
        await self._over.wait()


class _HeardReplica:
    """The replica process that answered last at an address, and what has been had of it."""

    __slots__ = ("life", "order", "rest")

    def __init__(self) -> None:
        self.life = ""
        self.order = 0
        self.rest = False

    def note(self, answer: Feed) -> None:
        """Take in an answer; answers of one process may overtake one another."""
        if answer.life != self.life:
            self.life, self.order = answer.life, answer.order
        if answer.order >= self.order:
            self.order, self.rest = answer.order, answer.more


class GatewaySession:
    """Keeps one question open at each replica that is known."""

    def __init__(
        self,
        beat: GatewayBeat,
        link: Link,
        world: World,
        seeds: Callable[[], list[str]],
        rates: Callable[[], list[ServiceRate]],
        decisions: DecisionLog,
        metrics: GatewayMetrics,
        lag: LoopLag,
    ) -> None:
        self._decisions = decisions
        self._metrics = metrics
        self._lag = lag
        self._beat = beat
        self._link = link
        self._world = world
        self._seeds = seeds
        self._rates = rates
        self._sequence = 0
        self._leaving = False
        self._asking: set[str] = set()
        self._answered: set[str] = set()
        self._turns: dict[str, _Turn] = {}
        self._answered_at = trio.current_time()
        self._turn = 0
        self._demand_asked_at = float("-inf")

    @property
    def is_leaving(self) -> bool:
        """Whether the gateway has said that it must not be named any more."""
        return self._leaving

    async def run(self) -> None:
        """Ask each known replica until cancelled; replicas come and go."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._ask_by_fellows)
            while True:
                for address in self._addresses():
                    if address not in self._asking:
                        self._asking.add(address)
                        nursery.start_soon(self._ask_forever, address)
                await trio.sleep(RETRY_S)

    def leave(self) -> None:
        """Say from now on that the gateway must not be named; open questions are asked anew."""
        self._leaving = True
        for turn in self._turns.values():
            turn.end(is_sound=True)

    def _addresses(self) -> list[str]:
        known = sorted(self._world.replicas.values())[:MOST_REPLICAS]
        if self._answered & set(known):
            return known
        return sorted({*known, *self._seeds()})

    async def _ask_forever(self, address: str) -> None:
        """Keep asking one replica; a question that is not answered soon is joined by the next."""
        replica = _HeardReplica()
        try:
            async with trio.open_nursery() as nursery:
                while address in self._addresses():
                    turn = self._turns[address] = _Turn()
                    nursery.start_soon(self._ask_and_learn, address, replica, turn)
                    with trio.move_on_after(ANSWER_WITHIN_S):
                        await turn.wait()
                    if not turn.is_sound:
                        self._note_lost(address)
                    await trio.sleep(PAUSE_S if turn.is_sound else RETRY_S)
                nursery.cancel_scope.cancel()
        finally:
            self._turns.pop(address, None)
            self._asking.discard(address)
            self._answered.discard(address)

    async def _ask_and_learn(self, address: str, replica: _HeardReplica, turn: _Turn) -> None:
        """Ask once, and take in the answer whenever it comes.

        To throw late answers away would leave a gateway on a full link without any: each question
        anew meets the same link.
        """
        asked_at = trio.current_time()
        answer = await self._ask(address, replica, LATE_WITHIN_S)
        if answer is not None:
            self._note_heard(address)
            self._answered_at = trio.current_time()
            replica.note(answer)
            self._learn(answer, asked_at)
        turn.end(is_sound=answer is not None)

    async def relay(self, question: Subscribe) -> Feed:
        """Pass on a fellow's question to a replica that answers here.

        Raises `UnavailableError` if none does, and the link's errors.
        """
        answering = sorted(self._answered & set(self._addresses()))
        if not answering:
            raise UnavailableError("no replica answers here either")
        return await self._link.request(
            answering[0], question, timeout=RELAYED_WITHIN_S, send_within=ANSWER_WITHIN_S
        )

    async def _ask_by_fellows(self) -> None:
        """Ask by way of fellows, one after the other, while no replica answers."""
        replica = _HeardReplica()
        while True:
            silent_for = trio.current_time() - self._answered_at
            fellows = [
                a for n, a in sorted(self._world.peers.items()) if n != self._beat.name and a
            ]
            if silent_for < RELAY_AFTER_S or not fellows:
                await trio.sleep(RETRY_S)
                continue
            address = fellows[self._turn % len(fellows)]
            asked_at = trio.current_time()
            answer = await self._ask(address, replica, RELAYED_WITHIN_S)
            if answer is None:
                self._turn += 1
                await trio.sleep(RETRY_S)
                continue
            replica.note(answer)
            self._learn(answer, asked_at)
            await trio.sleep(PAUSE_S)

    def _note_lost(self, address: str) -> None:
        if address in self._answered:
            self._answered.discard(address)
            self._decisions.write(ProcessChanged(change="lost", detail=f"replica {address}"))

    def _note_heard(self, address: str) -> None:
        if address not in self._answered:
            self._answered.add(address)
            self._decisions.write(ProcessChanged(change="regained", detail=f"replica {address}"))

    async def _ask(self, address: str, replica: _HeardReplica, within: float) -> Feed | None:
        question = Subscribe(
            beat=self._current_beat(),
            revision=self._world.steering.revision,
            life=replica.life,
            order=replica.order,
            roster=self._world.roster_version(replica.life),
            demand=self._wants_demand(),
            rest=replica.rest,
        )
        asked_at = trio.current_time()
        try:
            answer = await self._link.request(
                address, question, timeout=within, send_within=ANSWER_WITHIN_S
            )
        except FinchwayError as error:
            _LOG.debug("no feed from %s: %s", address, error)
            if question.demand:
                self._demand_asked_at = float("-inf")
            self._note_feed(address, question, asked_at, None)
            return None
        if not isinstance(answer, Feed):
            return None
        self._note_feed(address, question, asked_at, answer)
        return answer

    def _note_feed(
        self, address: str, question: Subscribe, asked_at: float, answer: Feed | None
    ) -> None:
        """Count a question; log it if it was given up, slow, or the first of a replica process."""
        seconds = trio.current_time() - asked_at
        transit = None if answer is None else seconds - answer.held
        self._metrics.count_feed(transit)
        if transit is None:
            outcome = FeedOutcome.GIVEN_UP
        elif answer.life != question.life:
            outcome = FeedOutcome.FIRST
        elif seconds >= ANSWER_WITHIN_S:
            outcome = FeedOutcome.LATE
        elif transit >= SLOW_TRANSIT_S:
            outcome = FeedOutcome.SLOW
        else:
            return
        self._decisions.write(
            FeedEnded(
                replica=address,
                outcome=outcome,
                ms=round(seconds * 1000, 1),
                held_ms=-1.0 if answer is None else round(answer.held * 1000, 1),
                upstreams=0 if answer is None else len(answer.upstreams),
                revision=question.revision,
                lag_ms=round(self._lag.worst_s * 1000, 1),
            )
        )

    def _wants_demand(self) -> bool:
        """Ask one replica after the other for the regions' demand, now and then."""
        now = trio.current_time()
        if now - self._demand_asked_at < DEMAND_EVERY_S:
            return False
        self._demand_asked_at = now
        return True

    def _learn(self, feed: Feed, asked_at: float) -> None:
        before = self._world.steering.revision
        if not self._world.learn(feed, trio.current_time(), asked_at):
            return
        revision = self._world.steering.revision
        for held in feed.image.items:
            self._note_belief(held.item.key, f"version {held.item.version}", held.revision)
        for mark in feed.image.marks:
            self._note_belief(f"upstream/{mark.instance}", mark.kind.value, mark.revision)
        for evacuation in feed.image.evacuations:
            now = "evacuated" if evacuation.active else "in use"
            self._note_belief(f"zone/{evacuation.zone}", now, evacuation.revision)
        self._decisions.write(
            BeliefChanged(
                subject="configuration",
                now=f"revision {revision}",
                before=f"revision {before}",
                source=f"replica {feed.life}",
                revision=revision,
            )
        )

    def _note_belief(self, subject: str, now: str, revision: int) -> None:
        self._decisions.write(
            BeliefChanged(subject=subject, now=now, source="control", revision=revision)
        )

    def _current_beat(self) -> GatewayBeat:
        self._sequence += 1
        beat = self._beat
        return GatewayBeat(
            name=beat.name,
            incarnation=beat.incarnation,
            address=beat.address,
            zone=beat.zone,
            region=beat.region,
            peer=beat.peer,
            leaving=self._leaving,
            ready=self._world.is_ready,
            revision=self._world.steering.revision,
            sequence=self._sequence,
            rates=self._rates(),
        )
