"""Orders that wait on their way into the log: on a link, behind a sync, for a leader."""

from __future__ import annotations

import random
import time
from contextlib import suppress

import pytest
import trio

from finchway._clock import BootClock
from finchway.control import ControlServer, ReplicaRunner
from finchway.control._orders import ORDER_VALID_S, LeaderClock, require_current
from finchway.exceptions import FinchwayError, OrderExpiredError, TransportError
from finchway.membership import LeaseTiming
from finchway.observe import LogicalClock, Timeline
from finchway.policy import LoanTiming
from finchway.replication import Identity, Member, Members, Snapshot, Storage, Timing
from finchway.state import SetEvacuation
from finchway.transport import CallOrigin, Confirmed, Submit

NAMES = ("r1", "r2", "r3")
MEMBERS = Members(tuple(Member(name, "1", name) for name in NAMES))


class MemoryLink:
    """Carries messages between control servers of one process; `held_s` delays some requests."""

    def __init__(self, nursery: trio.Nursery, distance_s: float = 0.0) -> None:
        self.servers: dict[str, ControlServer] = {}
        self.held_s: dict[type, float] = {}
        self._distance_s = distance_s
        self._nursery = nursery

    def post(self, address, body) -> bool:
        self._nursery.start_soon(self._deliver, address, body)
        return True

    async def request(self, address, body, timeout, send_timeout=0.0):
        with trio.move_on_after(timeout):
            await trio.sleep(self._distance_s + self.held_s.get(type(body), 0.0))
            reply = await self.servers[address].handle(body, "")
            await trio.sleep(self._distance_s)
            return reply
        raise TransportError("no answer in time")

    async def _deliver(self, address, body) -> None:
        await trio.sleep(self._distance_s)
        with suppress(FinchwayError):
            await self.servers[address].handle(body, "")


def make_server(folder, name: str, link: MemoryLink) -> ControlServer:
    storage = Storage(folder / name)
    storage.open()
    storage.save_snapshot(Snapshot(1, 1, MEMBERS, b""))
    storage.close()
    timeline = Timeline(name, LogicalClock(), lambda: 0)
    runner = ReplicaRunner(
        Identity("test", name, "1"),
        name,
        storage,
        link,
        timeline,
        Timing(),
        list,
        random.Random(name),
    )
    lease = LeaseTiming(interval=0.5, lease=3.0, margin=0.1)
    loans = LoanTiming(ttl=3.0, margin=0.1)
    return ControlServer(runner, link, timeline, lease, loans, None)


def play(script, folder, distance_s=0.0):
    """Run a script with the leader, a follower and the link between three replicas."""

    async def main():
        async with trio.open_nursery() as nursery:
            link = MemoryLink(nursery, distance_s)
            link.servers = {name: make_server(folder, name, link) for name in NAMES}
            for server in link.servers.values():
                nursery.start_soon(server.run)
            with trio.fail_after(20.0):
                while not all(has_caught_up(server) for server in link.servers.values()):
                    await trio.sleep(0.05)
                servers = sorted(link.servers.values(), key=lambda s: not s.runner.is_leader)
                await script(servers[0], servers[1], link)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=BootClock())


def has_caught_up(server) -> bool:
    return trio.current_time() - server.runner.current_as_of < 1.0


def evacuation(zone: str = "z", active: bool = True) -> SetEvacuation:
    return SetEvacuation(now_ms=0, zone=zone, active=active)


def origin(age_s: float = 0.0, has_left: bool = False) -> CallOrigin:
    return CallOrigin(trio.current_time() - age_s, lambda: has_left)


def is_evacuated(server) -> bool:
    return "z" in server.runner.machine.steering.evacuated


@pytest.mark.parametrize("distance_s", [0.0, 0.04])
def test_orders_at_the_leader_and_at_a_follower_are_carried_out(tmp_path, distance_s):
    async def script(leader, follower, link):
        await leader.submit(evacuation(), origin(age_s=0.2))
        assert is_evacuated(leader)
        await follower.submit(evacuation(active=False), origin(age_s=0.2))
        assert not is_evacuated(leader)

    play(script, tmp_path, distance_s)


# An order that a link held up entered the log after its caller had gone on elsewhere.
def test_order_that_a_link_holds_up_is_not_carried_out(tmp_path):
    async def script(leader, follower, link):
        link.held_s[Submit] = ORDER_VALID_S
        with pytest.raises(OrderExpiredError):
            await follower.submit(evacuation(), origin())
        assert not is_evacuated(leader)

    play(script, tmp_path)


# An order that waited in the leader's queue behind a slow sync entered the log too late.
def test_order_that_waits_behind_a_slow_sync_is_not_carried_out(tmp_path):
    async def script(leader, follower, link):
        save = leader.runner._storage.save

        def save_slowly(ready):
            time.sleep(ORDER_VALID_S)
            save(ready)

        leader.runner._storage.save = save_slowly
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader.submit, evacuation("other"), origin())
            await trio.sleep(0.1)
            leader.runner._storage.save = save
            with pytest.raises(OrderExpiredError):
                await leader.submit(evacuation(), origin(age_s=0.2))
        assert not is_evacuated(leader)

    play(script, tmp_path)


# An order that found no leader entered the log of the next one, after its caller had left.
@pytest.mark.parametrize(("has_left", "within_s"), [(False, ORDER_VALID_S), (True, 0.0)])
def test_order_that_finds_no_leader_ends_with_its_validity(tmp_path, has_left, within_s):
    async def script(leader, follower, link):
        # Whatever is sent to the other replicas ends up where it is not for.
        link.servers = dict.fromkeys(NAMES, follower)
        started = trio.current_time()
        with pytest.raises(OrderExpiredError):
            await follower.submit(evacuation(), origin(has_left=has_left))
        assert within_s <= trio.current_time() - started < within_s + 0.3

    play(script, tmp_path)


def test_validity_never_ends_later_than_the_callers_second():
    rng = random.Random(1)

    async def script():
        for _ in range(1000):
            ahead, reply_s = rng.uniform(-1e6, 1e6), rng.expovariate(5.0)
            clock = LeaderClock()
            received_at = 1e3
            said = received_at + ahead - reply_s
            clock.record(Confirmed(revision=0, index=0, term=3, clock=said), received_at)
            arrived = received_at + rng.uniform(-5.0, 5.0)
            validity = clock.validity_of(CallOrigin(arrived, lambda: False))
            assert validity.term == 3
            assert -reply_s - 1e-6 <= validity.until - (arrived + ahead + ORDER_VALID_S) <= 1e-6

    trio.run(script)


def test_clock_of_an_earlier_leader_is_passed_over():
    clock = LeaderClock()
    clock.record(Confirmed(revision=0, index=0, term=4, clock=10.0), 5.0)
    clock.record(Confirmed(revision=0, index=0, term=3, clock=90.0), 6.0)
    assert clock.validity_of(CallOrigin(1.0, lambda: False)).until == 6.0 + ORDER_VALID_S


def test_order_of_a_caller_that_waits_is_current():
    async def script():
        require_current(origin(age_s=ORDER_VALID_S - 0.1))
        with pytest.raises(OrderExpiredError, match=r"0\.8 s old"):
            require_current(origin(age_s=ORDER_VALID_S))
        with pytest.raises(OrderExpiredError, match="left"):
            require_current(origin(has_left=True))

    trio.run(script)
