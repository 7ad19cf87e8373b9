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
from finchway.gateway._feed_log import FeedLog
from finchway.gateway._question import HeardReplica, Turn
from finchway.gateway._transit import TransitMeter
from finchway.pushback import NamedLimit
from finchway.state import Suspect
from finchway.transport import Link

_LOG = logging.getLogger(__name__)
# Seconds after which a question is asked anew, and the replica counts as lost meanwhile.
ANSWER_WITHIN_S = 1.0
# Seconds from the question for which an answer is still taken: on a full link of a gateway it is
# 1 to 2 s on the way, and one that has come all the way is as good as the next.
LATE_WITHIN_S = 4.0
# Seconds between an answer and the next question, so that a burst of commits makes one answer.
PAUSE_S = 0.02
# Seconds before a replica that could not be asked is asked again.
RETRY_S = 0.1
# Replicas that are asked at once: as many as a deployment sets aside at most.
MOST_REPLICAS = 9
# Seconds without an answer of any replica after which fellows are asked to pass questions on, and
# what such a question may take: two ways, and what a replica holds it for.
RELAY_AFTER_S = 1.0
RELAYED_WITHIN_S = 1.5
# Seconds between two times that all replicas are asked anew for what they must hear at once.
TELL_EVERY_S = 0.5
# Seconds between two questions for the regions' demand, which is the larger part of an answer.
DEMAND_EVERY_S = 0.5


class GatewaySession:
    """Keeps one question open at each replica that is known."""

    def __init__(
        self,
        beat: GatewayBeat,
        link: Link,
        world: World,
        seeds: Callable[[], list[str]],
        rates: Callable[[], list[ServiceRate]],
        log: FeedLog,
        learn_suspects: Callable[[list[Suspect]], None] = lambda suspects: None,
        limits: Callable[[], list[NamedLimit]] = list,
        learn_limits: Callable[[list[NamedLimit]], None] = lambda words: None,
    ) -> None:
        self._log = log
        self._learn_suspects = learn_suspects
        self._limits = limits
        self._learn_limits = learn_limits
        self._beat = beat
        self._link = link
        self._world = world
        self._seeds = seeds
        self._rates = rates
        self._transits = TransitMeter()
        self._sequence = 0
        self._leaving = False
        self._asking: set[str] = set()
        self._answered: set[str] = set()
        self._turns: dict[str, Turn] = {}
        self._answered_at = trio.current_time()
        self._fellow = 0
        self._demand_asked_at = float("-inf")
        self._told_at = float("-inf")

    @property
    def is_leaving(self) -> bool:
        """Whether the gateway has said that it must not be named any more."""
        return self._leaving

    @property
    def answering(self) -> list[str]:
        """The replicas that answer; all that are known if none does."""
        known = self._addresses()
        return sorted(self._answered & set(known)) or known

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

    def tell_soon(self) -> None:
        """Ask all replicas anew at once, so that they hear what is new here; now and then at most.

        What is left out for that goes with the next questions.
        """
        now = trio.current_time()
        if now - self._told_at < TELL_EVERY_S:
            return
        self._told_at = now
        for turn in self._turns.values():
            turn.end(is_sound=True)

    def _addresses(self) -> list[str]:
        known = sorted(self._world.replicas.values())[:MOST_REPLICAS]
        if self._answered & set(known):
            return known
        return sorted({*known, *self._seeds()})

    async def _ask_forever(self, address: str) -> None:
        """Keep asking one replica; a question that is not answered soon is joined by the next."""
        replica = HeardReplica()
        try:
            async with trio.open_nursery() as nursery:
                while address in self._addresses():
                    turn = self._turns[address] = Turn()
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

    async def _ask_and_learn(self, address: str, replica: HeardReplica, turn: Turn) -> None:
        """Ask once, and take in the answer whenever it comes.

        To throw late answers away would leave a gateway on a full link without any: each question
        anew meets the same link.
        """
        asked_at = trio.current_time()
        answer = await self._ask(address, replica, LATE_WITHIN_S)
        if answer is not None:
            self._note_heard(address)
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
        replica = HeardReplica()
        while True:
            silent_for = trio.current_time() - self._answered_at
            fellows = [
                a for n, a in sorted(self._world.peers.items()) if n != self._beat.name and a
            ]
            if silent_for < RELAY_AFTER_S or not fellows:
                await trio.sleep(RETRY_S)
                continue
            address = fellows[self._fellow % len(fellows)]
            asked_at = trio.current_time()
            answer = await self._ask(address, replica, RELAYED_WITHIN_S)
            if answer is None:
                self._fellow += 1
                await trio.sleep(RETRY_S)
                continue
            replica.note(answer)
            self._learn(answer, asked_at)
            await trio.sleep(PAUSE_S)

    def _note_lost(self, address: str) -> None:
        if address in self._answered:
            self._answered.discard(address)
            self._log.note_lost(address)

    def _note_heard(self, address: str) -> None:
        self._answered_at = trio.current_time()
        if address not in self._answered:
            self._answered.add(address)
            self._log.note_regained(address)

    async def _ask(self, address: str, replica: HeardReplica, within: float) -> Feed | None:
        question = Subscribe(
            beat=self._current_beat(),
            revision=self._world.steering.revision,
            life=replica.life,
            order=replica.order,
            roster=self._world.roster_version(replica.life),
            demand=self._wants_demand(),
            rest=replica.rest,
            limits=replica.limits,
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
            self._log.note_given_up(address, question, asked_at)
            return None
        if not isinstance(answer, Feed):
            return None
        if answer.life == question.life and not question.rest:
            # A first answer and its rest are large: they press the link themselves, for a moment.
            now = trio.current_time()
            self._transits.note(now - asked_at - answer.held, now)
        self._log.note_answer(address, question, asked_at, answer, ANSWER_WITHIN_S)
        return answer

    def _wants_demand(self) -> bool:
        """Ask one replica after the other for the regions' demand, now and then."""
        now = trio.current_time()
        if now - self._demand_asked_at < DEMAND_EVERY_S:
            return False
        self._demand_asked_at = now
        return True

    def _learn(self, feed: Feed, asked_at: float) -> None:
        if feed.limits is not None:
            self._learn_limits(feed.limits.words)
        before = self._world.steering.revision
        if self._world.learn(feed, trio.current_time(), asked_at):
            self._log.note_learned(feed, before, self._world.steering.revision)
            self._learn_suspects(feed.image.suspects)

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
            pressed=self._transits.is_pressed(trio.current_time()),
            limits=self._limits(),
        )
