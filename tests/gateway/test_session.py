"""The gateway's questions to replicas, against scripted links."""

import trio
import trio.testing

from finchway.exceptions import TransportError
from finchway.feed import Feed, GatewayBeat, Roster, World
from finchway.gateway import GatewaySession
from finchway.observe import DecisionLog, LogWriter
from finchway.state import SteeringImage

SEEDS = ["a:1", "b:1", "c:1"]
LASTS_S = 2.4


class ScriptedLink:
    """Answers every question after a while, but for the replicas that are down."""

    def __init__(self, down: set[str]) -> None:
        self.down = down
        self.asked = []

    async def request(self, address, question, timeout):
        self.asked.append((trio.current_time(), address, question))
        await trio.sleep(0.1)
        if address in self.down:
            raise TransportError("down")
        return Feed(
            life=address,
            order=0,
            image=SteeringImage(),
            roster=Roster(version=7) if question.roster != 7 else None,
            confirmed=True,
        )


def play(link, leave_at=None):
    """Run a session on virtual time; returns the questions with their time from the start."""

    async def run():
        beat = GatewayBeat(name="g", incarnation="1", address="g:1", zone="z", region="r")
        log = DecisionLog("g", LogWriter())
        session = GatewaySession(beat, link, World(), lambda: SEEDS, list, log)
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
