"""What callers get while a third of the upstreams ask for rest, or name a limit.

    python -m bench.rests --seed 1
    python -m bench.rests --seed 1 --limit 3

Three gateways, one a region, in one process, and upstreams on loopback that work faster on keys
that they remember. For 9 s all upstreams of the smallest region and four of the others ask for 3 s
of rest with each refusal, or name the limit in requests a second with each answer. Callers come
back once, when they are told to or after a third of the time they have left.
"""

from __future__ import annotations

import argparse
import random
from collections import OrderedDict

import trio
from msgspec import Struct

from bench.raw import answer, header_of, read_message
from finchway.catalog import Backend, Item, ItemKind, Route, RouteType, ServiceSpec
from finchway.feed import ClusterView, Feed, GatewayPeer, RegionDemand, Roster, UpstreamHeartbeat
from finchway.gateway import (
    Bounds,
    Forwarder,
    HeaderNames,
    HttpServer,
    RequestLog,
    Router,
    SuspectTracker,
    UpstreamTable,
)
from finchway.observe import DecisionLog, GatewayMetrics, LogWriter, LoopLag
from finchway.pushback import LimitLog, LimitLogPosition
from finchway.registry import Registration, UpstreamState
from finchway.state import ChangeItems, Steering

NAMES = HeaderNames()
REGIONS = {"n": "north", "s": "south", "w": "west"}
UPSTREAMS = {"n": 2, "s": 8, "w": 10}
WEARY = {"n": 2, "s": 3, "w": 1}
SLOTS = 3
QUEUED = 9
WARM_S, COLD_S = 0.144, 0.48
KEYS, REMEMBERED = 36, 24
REST_S = 3
TARGET_S, DEADLINE_S = 0.4, 2.5
WEARY_FROM_S, WEARY_FOR_S, SECONDS = 6.0, 9.0, 24.0


class Upstream:
    """An upstream with slots, a bounded memory of keys, and a time in which it wants nothing."""

    def __init__(self, instance: str, zone: str, rng: random.Random) -> None:
        self.instance = instance
        self.zone = zone
        self.address = ""
        self.is_weary = False
        self.limit: float | None = None
        self.refused = 0
        self.came_at: list[float] = []
        self._rng = rng
        self._slots = trio.Semaphore(SLOTS)
        self._running = 0
        self._waiting = 0
        self._remembered: OrderedDict[bytes, None] = OrderedDict()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        await trio.serve_listeners(self._serve, listeners, task_status=task_status)

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            while (request := await read_message(stream)) is not None:
                await stream.send_all(await self._answer(request))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _answer(self, request: bytes) -> bytes:
        self.came_at.append(trio.current_time())
        if self.is_weary or self._waiting >= QUEUED:
            self.refused += 1
            words = NAMES.not_executed + b": 1\r\n" + self._load()
            if self.is_weary:
                words += b"Retry-After: %d\r\n" % REST_S
            return answer(request, b"", b"503 Unavailable", words)
        self._waiting += 1
        await self._slots.acquire()
        self._waiting -= 1
        self._running += 1
        try:
            await trio.sleep(self._work(header_of(request, NAMES.affinity_key) or b""))
            return answer(request, b"done", extra=self._load())
        finally:
            self._running -= 1
            self._slots.release()

    def _work(self, key: bytes) -> float:
        seconds = WARM_S if key in self._remembered else COLD_S
        self._remembered.pop(key, None)
        self._remembered[key] = None
        if len(self._remembered) > REMEMBERED:
            self._remembered.popitem(last=False)
        return seconds * self._rng.uniform(0.85, 1.15)

    def _load(self) -> bytes:
        words = NAMES.load + b": %d,%d,%d\r\n" % (self._running, self._waiting, SLOTS)
        if self.limit is not None:
            words += NAMES.limit + b": %g\r\n" % self.limit
        return words

    def registration(self) -> Registration:
        """Return its heartbeat."""
        return Registration(
            instance=self.instance,
            address=self.address,
            service="s",
            zone=self.zone,
            slots=SLOTS,
            state=UpstreamState.READY,
            sequence=1,
        )


class Gateway:
    """One region's gateway, told of everything by the bench."""

    def __init__(self, zone: str) -> None:
        name = f"g-{zone}"
        self.zone = zone
        self.address = ""
        self.view = ClusterView()
        self.writer = LogWriter()
        decisions = DecisionLog(name, self.writer)
        self.known = LimitLogPosition()
        self.table = table = UpstreamTable(name, lambda: REGIONS, self.view, Bounds(), decisions)
        router = Router(zone, lambda: REGIONS, self.view, table, Bounds())
        log = RequestLog(self.view, decisions, GatewayMetrics(name), LoopLag())
        self._suspects = SuspectTracker(self.view, table, log, lambda report: None)
        self._forwarder = Forwarder(
            self.view, table, router, NAMES, log, self._suspects, Bounds().apply_within
        )

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        with trio.socket.socket() as probe:
            await probe.bind(("127.0.0.1", 0))
            self.address = f"127.0.0.1:{probe.getsockname()[1]}"
        limits = self.view.steering.catalog
        server = HttpServer(self.address, self._forwarder.serve, lambda: limits.limits)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._suspects.run)
            await nursery.start(server.run)
            task_status.started()


class Ended(Struct, frozen=True):
    """A caller's request: when it was first sent, where, and how it ended."""

    at: float
    zone: str
    status: int
    seconds: float

    @property
    def worth(self) -> float:
        """1 for an answer in time, 0.2 for a late one."""
        if self.status != 200:
            return 0.0
        return 1.0 if self.seconds <= TARGET_S else 0.2


class Trial:
    """One run with a seed."""

    def __init__(self, seed: int, rate: float, limit: float | None) -> None:
        self._limit = limit
        self._limit_log = LimitLog()
        self._rng = random.Random(seed)
        self._rate = rate
        self._steering = _steering()
        self._upstreams = [
            Upstream(f"i-{zone}{n}", zone, self._rng)
            for zone, count in UPSTREAMS.items()
            for n in range(count)
        ]
        self._gateways: list[Gateway] = []
        self._started = 0.0
        self.ended: list[Ended] = []

    def most_in_4_s(self) -> int:
        """Return the most requests that a limited upstream got in 4 s, once all could know it."""
        first = self._started + WEARY_FROM_S + 2.5
        until = self._started + WEARY_FROM_S + WEARY_FOR_S
        most = 0
        for zone, count in WEARY.items():
            for upstream in [u for u in self._upstreams if u.zone == zone][:count]:
                came = [at for at in upstream.came_at if first <= at < until]
                most = max(most, *(sum(at <= one < at + 4.0 for one in came) for at in came), 0)
        return most

    @property
    def refusals(self) -> int:
        """How often an upstream has turned a request away."""
        return sum(upstream.refused for upstream in self._upstreams)

    async def run(self) -> None:
        """Play it."""
        self._gateways = [Gateway(zone) for zone in REGIONS]
        async with trio.open_nursery() as nursery:
            for part in (*self._upstreams, *self._gateways):
                await nursery.start(part.run)
            nursery.start_soon(self._tell_all)
            await trio.sleep(0.1)
            self._started = trio.current_time()
            async with trio.open_nursery() as callers:
                for gateway in self._gateways:
                    callers.start_soon(self._call_forever, gateway, callers)
                callers.start_soon(self._weary)
            nursery.cancel_scope.cancel()

    async def _tell_all(self) -> None:
        version = 0
        while True:
            version += 1
            for gateway in self._gateways:
                while gateway.writer._next_batch():
                    pass
                now = trio.current_time()
                gateway.view.merge(self._feed(version), now)
                self._limit_log.merge(gateway.table.limits.reports_to_send(), now)
                heard = self._limit_log.since(gateway.known, now)
                if heard is not None:
                    gateway.known = heard.position
                    gateway.table.limits.merge(heard.reports)
            await trio.sleep(0.5)

    def _feed(self, version: int) -> Feed:
        return Feed(
            life="replica",
            order=0,
            image=self._steering.image(),
            age=0.0,
            roster=Roster(
                version=version, serving=[GatewayPeer(f"g-{z}", "", r) for z, r in REGIONS.items()]
            ),
            upstreams=[UpstreamHeartbeat(u.registration(), 0.0) for u in self._upstreams],
            demand=[RegionDemand(region, "s", self._rate) for region in REGIONS.values()],
        )

    async def _weary(self) -> None:
        await trio.sleep(WEARY_FROM_S)
        chosen = [
            upstream
            for zone, count in WEARY.items()
            for upstream in [u for u in self._upstreams if u.zone == zone][:count]
        ]
        for upstream in chosen:
            upstream.is_weary = self._limit is None
            upstream.limit = self._limit
        await trio.sleep(WEARY_FOR_S)
        for upstream in chosen:
            upstream.is_weary = False
            upstream.limit = None

    async def _call_forever(self, gateway: Gateway, callers: trio.Nursery) -> None:
        number = 0
        while trio.current_time() - self._started < SECONDS:
            number += 1
            callers.start_soon(self._call, gateway, f"{gateway.zone}-{number}")
            await trio.sleep(self._rng.expovariate(self._rate))

    async def _call(self, gateway: Gateway, name: str) -> None:
        first = trio.current_time()
        key = b"k%d" % self._rng.randrange(KEYS)
        status = 0
        for attempt in range(2):
            left = DEADLINE_S - (trio.current_time() - first)
            status, again_in = await _ask(gateway.address, f"{name}-{attempt}", key, left)
            if status != 503:
                break
            await trio.sleep(min(again_in, left / 3) if attempt == 0 else 0)
        now = trio.current_time()
        self.ended.append(Ended(first - self._started, gateway.zone, status, now - first))


async def _ask(address: str, name: str, key: bytes, left_s: float) -> tuple[int, float]:
    """Return the status of a request, and the seconds after which to come back."""
    host, _, port = address.rpartition(":")
    headers = [
        (b"Host", b"a.example"),
        (NAMES.request_id, name.encode()),
        (NAMES.affinity_key, key),
        (NAMES.deadline_ms, b"%d" % (left_s * 1000)),
    ]
    lines = [b"GET /x/1 HTTP/1.1", *(b"%s: %s" % header for header in headers)]
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        await stream.send_all(b"\r\n".join(lines) + b"\r\n\r\n")
        message = await read_message(stream)
    if message is None:
        return 0, 0.0
    return int(message.split()[1]), float(header_of(message, b"retry-after") or 0)


def _steering() -> Steering:
    route = Route(
        host="a.example",
        path_prefix="/x/",
        type=RouteType.SAFE,
        timeout=DEADLINE_S,
        target_latency=TARGET_S,
        backends=(Backend("s", 1.0),),
        max_attempts=2,
        affinity=True,
    )
    steering = Steering()
    items = [
        Item(kind=ItemKind.SERVICE, name="s", version=1, spec=ServiceSpec()),
        Item(kind=ItemKind.ROUTE, name="r", version=1, spec=route),
    ]
    steering.change_items(ChangeItems(now_ms=0, items=items))
    return steering


def show(words: str, ended: list[Ended]) -> None:
    """Print what some requests got."""
    count = max(len(ended), 1)
    worth = sum(one.worth for one in ended) / count
    refused = sum(one.status == 503 for one in ended) / count
    print(f"{words:<24}{len(ended):>6}{worth:>8.3f}{refused:>9.3f}")


def main() -> None:
    """Play one seed and print a table."""
    parser = argparse.ArgumentParser(prog="python -m bench.rests", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=44.0, help="requests a second and region")
    parser.add_argument("--limit", type=float, help="name this limit instead of asking for rest")
    chosen = parser.parse_args()
    trial = Trial(chosen.seed, chosen.rate, chosen.limit)
    trio.run(trial.run)
    until = WEARY_FROM_S + WEARY_FOR_S
    amid = [one for one in trial.ended if WEARY_FROM_S <= one.at < until]
    print(f"{'':<24}{'asked':>6}{'worth':>8}{'refused':>9}")
    show("while some rest", amid)
    show("the smallest region", [one for one in amid if one.zone == "n"])
    show("after", [one for one in trial.ended if one.at >= until])
    print(f"{trial.refusals} refusals by upstreams")
    if chosen.limit is not None:
        print(f"{trial.most_in_4_s()} requests in 4 s at most at an upstream with a limit")


if __name__ == "__main__":
    main()
