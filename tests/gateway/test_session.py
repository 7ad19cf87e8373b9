"""The gateway's questions to replicas, against scripted links."""

import json
from math import inf

import pytest
import trio
import trio.testing

from finchway.exceptions import TransportError, UnavailableError
from finchway.feed import Feed, GatewayBeat, GatewayPeer, Roster, Subscribe, World
from finchway.gateway import FeedLog, GatewaySession
from finchway.observe import DecisionLog, GatewayMetrics, GatewayState, LogWriter, LoopLag
from finchway.state import SteeringImage

SEEDS = ["a:1", "b:1", "c:1"]
LASTS_S = 2.4


def peers(*names):
    return [GatewayPeer(name, f"{name}:9") for name in names]


class ScriptedLink:
    """Answers every question after a while, but for the replicas that are down."""

    def __init__(self, down: set[str], fellows: tuple[str, ...] = ()) -> None:
        self.down = down
        self.serving = peers(*fellows)
        self.asked = []
        self.takes_s = 0.1

    async def request(self, address, question, timeout, send_within):
        self.asked.append((trio.current_time(), address, question))
        await trio.sleep(self.takes_s)
        if address in self.down:
            raise TransportError("down")
        return Feed(
            life=address,
            order=0,
            image=SteeringImage(),
            roster=Roster(version=7, serving=self.serving) if question.roster != 7 else None,
            age=0.0,
        )


def world_with(*fellows):
    """Return a world that knows fellow gateways, each reached at its name and port 9."""
    world = World()
    roster = Roster(version=1, serving=peers(*fellows))
    world.learn(
        Feed(life="k", order=0, image=SteeringImage(), age=0.0, roster=roster), float("-inf")
    )
    return world


def new_session(beat, link, world):
    log = FeedLog(DecisionLog("g", LogWriter()), GatewayMetrics("g"), LoopLag())
    return GatewaySession(beat, link, world, lambda: SEEDS, list, log)


def play(link, leave_at=None, world=None):
    """Run a session on virtual time; returns the questions with their time from the start."""

    async def run():
        beat = GatewayBeat(name="g", incarnation="1", address="g:1", zone="z", region="r")
        session = new_session(beat, link, world or World())
        started = trio.current_time()
        with trio.move_on_after(LASTS_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(session.run)
                if leave_at is not None:
                    await trio.sleep(leave_at)
                    session.leave()
        return [(at - started, address, question) for at, address, question in link.asked]

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_every_replica_is_asked_and_demand_is_asked_for_now_and_then():
    asked = play(ScriptedLink(set()))
    assert {address for _, address, _ in asked} == set(SEEDS)
    times = [at for at, _, question in asked if question.demand]
    assert 4 <= len(times) <= 6
    assert all(later - earlier >= 0.5 for earlier, later in zip(times, times[1:], strict=False))


def test_demand_is_asked_for_again_when_the_answer_is_lost():
    asked = play(ScriptedLink({"a:1"}))
    answered = [at for at, address, q in asked if q.demand and address != "a:1"]
    gaps = [later - earlier for earlier, later in zip(answered, answered[1:], strict=False)]
    assert answered[0] < 0.5
    assert max(gaps) < 1.0


def test_a_roster_that_is_known_is_not_asked_for_again():
    asked = play(ScriptedLink(set()))
    for replica in SEEDS:
        versions = [q.roster for _, address, q in asked if address == replica]
        assert versions[0] == 0
        assert set(versions[1:]) == {7}


def test_leaving_is_said_to_all_at_once():
    asked = play(ScriptedLink(set()), leave_at=1.05)
    said = {address for at, address, q in asked if q.beat.leaving and at < 1.2}
    assert said == set(SEEDS)


def test_what_must_be_known_soon_is_told_to_all_at_once_and_now_and_then_at_most():
    async def run():
        beat = GatewayBeat(name="g", incarnation="1", address="g:1", zone="z", region="r")
        link = ScriptedLink(set())
        link.takes_s = 0.6
        session = new_session(beat, link, World())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(session.run)
            await trio.sleep(1.0)
            before, at = len(link.asked), trio.current_time()
            for _ in range(10):
                session.tell_soon()
                await trio.sleep(0.03)
            nursery.cancel_scope.cancel()
        return [(asked - at, address) for asked, address, _ in link.asked[before:]]

    asked = trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    assert sorted(address for at, address in asked if at < 0.05) == SEEDS
    assert len(asked) <= 2 * len(SEEDS)


def test_a_gateway_that_no_replica_answers_asks_by_way_of_a_fellow():
    asked = play(ScriptedLink(set(SEEDS), ("g", "h")), world=world_with("g", "h"))
    relayed = [at for at, address, _ in asked if address == "h:9"]
    assert 1.0 <= relayed[0] < 1.3
    assert len(relayed) > 5
    assert not [address for _, address, _ in asked if address == "g:9"]


def test_a_fellow_that_does_not_answer_is_followed_by_the_next():
    asked = play(ScriptedLink({*SEEDS, "h:9"}, ("g", "h", "i")), world=world_with("g", "h", "i"))
    addresses = [address for _, address, _ in asked if address in ("h:9", "i:9")]
    assert addresses[:2] == ["h:9", "i:9"]
    assert set(addresses[1:]) == {"i:9"}


def test_fellows_are_left_alone_while_a_replica_answers():
    asked = play(ScriptedLink({"a:1", "b:1"}), world=world_with("g", "h"))
    assert {address for _, address, _ in asked} == set(SEEDS)


def test_a_fellows_question_is_passed_on_to_a_replica_that_answers():
    link = ScriptedLink({"a:1"})

    async def run():
        beat = GatewayBeat(name="g", incarnation="1", address="g:1", zone="z", region="r")
        session = new_session(beat, link, World())
        question = Subscribe(beat=beat, revision=0)
        with pytest.raises(UnavailableError):
            await session.relay(question)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(session.run)
            await trio.sleep(0.5)
            assert (await session.relay(question)).life == "b:1"
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_first_slow_and_given_up_questions_are_told_apart_in_lines_and_figures():
    class UnevenLink(ScriptedLink):
        """One replica answers at once, one late, one not at all."""

        async def request(self, address, question, timeout, send_within):
            if address == "b:1":
                await trio.sleep(0.5)
            return await super().request(address, question, timeout, send_within)

    async def run():
        writer, metrics = LogWriter(), GatewayMetrics("g")
        beat = GatewayBeat(name="g", incarnation="1", address="g:1", zone="z", region="r")
        session = GatewaySession(
            beat,
            UnevenLink({"c:1"}),
            World(),
            lambda: SEEDS,
            list,
            FeedLog(DecisionLog("g", writer), metrics, LoopLag()),
        )
        with trio.move_on_after(LASTS_S):
            await session.run()
        lines = [json.loads(line) for line in writer._next_batch().splitlines()]
        feeds = {(line["replica"], line["outcome"]) for line in lines if line["event"] == "feed"}
        assert feeds == {("a:1", "first"), ("b:1", "first"), ("b:1", "slow"), ("c:1", "given-up")}
        slow = next(line for line in lines if line.get("outcome") == "slow")
        assert slow["ms"] == 600.0
        assert slow["lag_ms"] == 0.0
        figures = metrics.render(
            GatewayState(
                revision=0,
                feed_age_s=0.0,
                known_age_s=inf,
                loop_lag_s=0.0,
                in_flight=0,
                connections=0,
                upstream_connections_opened=0,
                upstreams={},
                gateways=0,
                log_lines_dropped=0,
            )
        ).decode()
        assert 'finchway_gateway_feeds_total{instance="g",outcome="given-up"}' in figures
        assert "finchway_gateway_feed_transit_seconds_bucket" in figures
        assert 'name="known_age_seconds"} -1.0' in figures

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_held_up_event_loop_shows_and_is_forgotten():
    lag = LoopLag()
    assert lag.worst_s == 0.0
    lag.note(1.0, 0.7)
    lag.note(1.5, 0.01)
    assert lag.worst_s == 0.7
    lag.note(2.1, 0.02)
    assert lag.worst_s == 0.02
