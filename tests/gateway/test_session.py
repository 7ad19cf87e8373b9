"""The gateway's polls of replicas, over scripted links."""

import json
from math import inf

import pytest
import trio
import trio.testing

from finchway.exceptions import TransportError, UnavailableError
from finchway.feed import ClusterView, Feed, GatewayHeartbeat, GatewayPeer, Roster, Subscribe
from finchway.gateway import FeedLog, GatewaySession
from finchway.observe import DecisionLog, GatewayMetrics, GatewayState, LogWriter, LoopLag
from finchway.state import SteeringImage

REPLICAS = ["a:1", "b:1", "c:1"]
RUN_S = 2.4


def peers(*names):
    return [GatewayPeer(name, f"{name}:9") for name in names]


class ScriptedLink:
    """Answers every poll after a delay, except for replicas that are down."""

    def __init__(self, down: set[str], names: tuple[str, ...] = ()) -> None:
        self.down = down
        self.serving = peers(*names)
        self.polls = []
        self.delay_s = 0.1

    async def request(self, address, poll, timeout, send_timeout):
        self.polls.append((trio.current_time(), address, poll))
        await trio.sleep(self.delay_s)
        if address in self.down:
            raise TransportError("down")
        return Feed(
            life=address,
            order=0,
            image=SteeringImage(),
            roster=Roster(version=7, serving=self.serving) if poll.roster != 7 else None,
            age=0.0,
        )


def view_with(*names):
    """Return a view with the given peer gateways, each at its name and port 9."""
    view = ClusterView()
    roster = Roster(version=1, serving=peers(*names))
    view.merge(
        Feed(life="k", order=0, image=SteeringImage(), age=0.0, roster=roster), float("-inf")
    )
    return view


def new_session(heartbeat, link, view):
    log = FeedLog(DecisionLog("g", LogWriter()), GatewayMetrics("g"), LoopLag())
    return GatewaySession(heartbeat, link, view, lambda: REPLICAS, list, log)


def run_session(link, leave_at=None, view=None):
    """Run a session on virtual time; returns the polls with their time since the start."""

    async def run():
        heartbeat = GatewayHeartbeat(name="g", incarnation="1", address="g:1", zone="z", region="r")
        session = new_session(heartbeat, link, view or ClusterView())
        started = trio.current_time()
        with trio.move_on_after(RUN_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(session.run)
                if leave_at is not None:
                    await trio.sleep(leave_at)
                    session.start_leaving()
        return [(at - started, address, poll) for at, address, poll in link.polls]

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_every_replica_is_polled_and_demand_requested_periodically():
    polls = run_session(ScriptedLink(set()))
    assert {address for _, address, _ in polls} == set(REPLICAS)
    times = [at for at, _, poll in polls if poll.demand]
    assert 4 <= len(times) <= 6
    assert all(later - earlier >= 0.5 for earlier, later in zip(times, times[1:], strict=False))


def test_demand_is_requested_again_after_a_lost_answer():
    polls = run_session(ScriptedLink({"a:1"}))
    answered = [at for at, address, poll in polls if poll.demand and address != "a:1"]
    gaps = [later - earlier for earlier, later in zip(answered, answered[1:], strict=False)]
    assert answered[0] < 0.5
    assert max(gaps) < 1.0


def test_known_roster_is_not_requested_again():
    polls = run_session(ScriptedLink(set()))
    for replica in REPLICAS:
        versions = [poll.roster for _, address, poll in polls if address == replica]
        assert versions[0] == 0
        assert set(versions[1:]) == {7}


def test_leaving_is_reported_to_all_replicas_at_once():
    polls = run_session(ScriptedLink(set()), leave_at=1.05)
    informed = {address for at, address, poll in polls if poll.beat.leaving and at < 1.2}
    assert informed == set(REPLICAS)


def test_repoll_reaches_all_replicas_at_once_and_is_rate_limited():
    async def run():
        heartbeat = GatewayHeartbeat(name="g", incarnation="1", address="g:1", zone="z", region="r")
        link = ScriptedLink(set())
        link.delay_s = 0.6
        session = new_session(heartbeat, link, ClusterView())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(session.run)
            await trio.sleep(1.0)
            before, at = len(link.polls), trio.current_time()
            for _ in range(10):
                session.repoll()
                await trio.sleep(0.03)
            nursery.cancel_scope.cancel()
        return [(sent_at - at, address) for sent_at, address, _ in link.polls[before:]]

    polls = trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    assert sorted(address for at, address in polls if at < 0.05) == REPLICAS
    assert len(polls) <= 2 * len(REPLICAS)


def test_gateway_polls_through_a_peer_when_no_replica_answers():
    polls = run_session(ScriptedLink(set(REPLICAS), ("g", "h")), view=view_with("g", "h"))
    relayed = [at for at, address, _ in polls if address == "h:9"]
    assert 1.0 <= relayed[0] < 1.3
    assert len(relayed) > 5
    assert not [address for _, address, _ in polls if address == "g:9"]


def test_next_peer_is_used_when_a_peer_does_not_answer():
    polls = run_session(
        ScriptedLink({*REPLICAS, "h:9"}, ("g", "h", "i")), view=view_with("g", "h", "i")
    )
    addresses = [address for _, address, _ in polls if address in ("h:9", "i:9")]
    assert addresses[:2] == ["h:9", "i:9"]
    assert set(addresses[1:]) == {"i:9"}


def test_peers_are_not_polled_while_a_replica_answers():
    polls = run_session(ScriptedLink({"a:1", "b:1"}), view=view_with("g", "h"))
    assert {address for _, address, _ in polls} == set(REPLICAS)


def test_poll_of_a_peer_is_relayed_to_a_replica_that_answers():
    link = ScriptedLink({"a:1"})

    async def run():
        heartbeat = GatewayHeartbeat(name="g", incarnation="1", address="g:1", zone="z", region="r")
        session = new_session(heartbeat, link, ClusterView())
        poll = Subscribe(beat=heartbeat, revision=0)
        with pytest.raises(UnavailableError):
            await session.relay(poll)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(session.run)
            await trio.sleep(0.5)
            assert (await session.relay(poll)).life == "b:1"
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_first_slow_and_given_up_polls_are_logged_and_counted_separately():
    class UnevenLink(ScriptedLink):
        """Replica a answers promptly, b late and c not at all."""

        async def request(self, address, poll, timeout, send_timeout):
            if address == "b:1":
                await trio.sleep(0.5)
            return await super().request(address, poll, timeout, send_timeout)

    async def run():
        writer, metrics = LogWriter(), GatewayMetrics("g")
        heartbeat = GatewayHeartbeat(name="g", incarnation="1", address="g:1", zone="z", region="r")
        session = GatewaySession(
            heartbeat,
            UnevenLink({"c:1"}),
            ClusterView(),
            lambda: REPLICAS,
            list,
            FeedLog(DecisionLog("g", writer), metrics, LoopLag()),
        )
        with trio.move_on_after(RUN_S):
            await session.run()
        lines = [json.loads(line) for line in writer._next_batch().splitlines()]
        feeds = {(line["replica"], line["outcome"]) for line in lines if line["event"] == "feed"}
        assert feeds == {("a:1", "first"), ("b:1", "first"), ("b:1", "slow"), ("c:1", "given-up")}
        slow = next(line for line in lines if line.get("outcome") == "slow")
        assert slow["ms"] == 600.0
        assert slow["lag_ms"] == 0.0
        rendered = metrics.render(
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
        assert 'finchway_gateway_feeds_total{instance="g",outcome="given-up"}' in rendered
        assert "finchway_gateway_feed_transit_seconds_bucket" in rendered
        assert 'name="known_age_seconds"} -1.0' in rendered

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_loop_lag_reports_the_worst_stall_and_expires():
    lag = LoopLag()
    assert lag.max_s == 0.0
    lag.record(1.0, 0.7)
    lag.record(1.5, 0.01)
    assert lag.max_s == 0.7
    lag.record(2.1, 0.02)
    assert lag.max_s == 0.02
