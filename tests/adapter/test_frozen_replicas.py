"""Orders at replicas that freeze while the operator goes on at another replica."""

from __future__ import annotations

import itertools
import signal
from contextlib import asynccontextmanager
from enum import Enum

import pytest
import trio

from tests.adapter.test_processes import CORES, EDGES, run, served_deployment

pytestmark = pytest.mark.xdist_group("adapter")
ZONE = "col-a"
START = f"/-/Evacuations.Start/{ZONE}"
END = f"/-/Evacuations.End/{ZONE}"
CALLER_WAITS_S = 1.0
IN_FORCE_S = 1.0
WATCHED_S = 1.5


class Way(Enum):
    """How an order comes to a replica that is frozen."""

    USED_CONNECTION = "on a connection that was used before"
    NEW_CONNECTION = "on a connection that was accepted just before"
    BEHIND_ANOTHER = "behind another call on its connection"
    SPLIT = "with its last byte sent during the freeze"
    ACCEPT_QUEUE = "on a connection that is opened during the freeze"


class Call:
    """An operator's call on a connection of its own."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream

    @classmethod
    async def open(cls, subject, ip: str) -> Call:
        return cls(await trio.open_tcp_stream(ip, subject.ports["control"]))

    async def send(self, *paths: str) -> None:
        await self.send_bytes(b"".join(request(path) for path in paths))

    async def send_bytes(self, data: bytes) -> None:
        await self._stream.send_all(data)

    async def answer(self) -> bytes:
        return await self._stream.receive_some()

    async def close(self) -> None:
        await self._stream.aclose()


def request(path: str) -> bytes:
    return f"POST {path} HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n".encode()


async def leads(subject, ip: str) -> bool:
    answer = await subject.call(ip, "metrics", "GET", "/metrics")
    lines = answer[2].decode().splitlines() if answer else []
    return any('name="is_leader"' in line and line.endswith(" 1.0") for line in lines)


async def choose(subject, leader: bool) -> str:
    """Return the leader, or a follower."""
    while True:
        for ip in CORES:
            if await leads(subject, ip) is leader:
                return ip
        await trio.sleep(0.1)


@asynccontextmanager
async def evacuated_deployment(folder):
    """Run a deployment whose only worker is in an evacuated zone."""
    async with served_deployment(folder) as (subject, _):
        await subject.send_request_until(EDGES[0], 200)
        assert (await subject.call_control(START))[0] == 200
        await subject.send_request_until(EDGES[0], 503)
        yield subject


async def prepare(subject, ip: str, way: Way) -> Call | None:
    """Open the connection of an order to a replica that is about to freeze."""
    if way is Way.ACCEPT_QUEUE:
        return None
    call = await Call.open(subject, ip)
    if way in (Way.USED_CONNECTION, Way.BEHIND_ANOTHER):
        await call.send(START)
        assert b" 200 " in await call.answer()
    if way is Way.SPLIT:
        await call.send_bytes(request(END)[:-1])
    return call


async def send(subject, ip: str, way: Way, call: Call | None) -> Call:
    """Send the end of the evacuation to a replica that is frozen; return the call."""
    match way:
        case Way.SPLIT:
            await call.send_bytes(request(END)[-1:])
        case Way.BEHIND_ANOTHER:
            await call.send(START, END)
        case Way.ACCEPT_QUEUE:
            call = await Call.open(subject, ip)
            await call.send(END)
        case _:
            await call.send(END)
    return call


async def evacuate_anew(subject, without: str) -> None:
    """End the evacuation at other replicas, and evacuate the zone anew."""
    others = [ip for ip in CORES if ip != without]
    assert (await subject.call_control(END, cores=others))[0] == 200
    assert (await subject.call_control(START, cores=others))[0] == 200


async def stays_evacuated(subject) -> None:
    """Check that no request is served for a while."""
    statuses = []
    with trio.move_on_after(WATCHED_S):
        for edge in itertools.cycle(EDGES):
            answer = await subject.send_request(edge)
            statuses.append(answer and answer[0])
            await trio.sleep(0.05)
    assert set(statuses) == {503}, "an evacuation that was acknowledged is lost"


# A replica that woke carried out an old end of an evacuation, over a newer start (EVAC).
@pytest.mark.parametrize("leader", [False, True], ids=["follower", "leader"])
@pytest.mark.parametrize("leaves_open", [False, True], ids=["closed", "left-open"])
def test_order_whose_caller_has_gone_on_elsewhere_is_not_carried_out(tmp_path, leaves_open, leader):
    async def check(folder):
        async with evacuated_deployment(folder) as subject:
            frozen = await choose(subject, leader)
            prepared = {way: await prepare(subject, frozen, way) for way in Way}
            await trio.sleep(0.1)
            subject.running[frozen].send_signal(signal.SIGSTOP)
            calls = [await send(subject, frozen, way, call) for way, call in prepared.items()]
            await trio.sleep(CALLER_WAITS_S)
            if not leaves_open:
                for call in calls:
                    await call.close()
            await evacuate_anew(subject, frozen)
            await trio.sleep(IN_FORCE_S)
            subject.running[frozen].send_signal(signal.SIGCONT)
            await stays_evacuated(subject)
            for call in calls:
                await call.close()

    run(check, tmp_path)


# A call at a follower of a frozen leader ended with a closed connection, without an answer.
@pytest.mark.parametrize("path", [START, "/-/Config.Get"])
def test_call_that_the_leader_does_not_answer_is_answered(tmp_path, path):
    async def check(folder):
        async with evacuated_deployment(folder) as subject:
            leader, follower = await choose(subject, True), await choose(subject, False)
            method = "GET" if path.endswith("Get") else "POST"
            subject.running[leader].send_signal(signal.SIGSTOP)
            answer = await subject.call(follower, "control", method, path)
            assert answer is not None, "the connection ended without an answer"
            assert answer[0] in (200, 503)

    run(check, tmp_path)
