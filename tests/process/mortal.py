"""A deployment with real processes whose upstreams end and start again, and a caller."""

from __future__ import annotations

import itertools
import random
import time

import h11
import trio

from bench.soak._control import ControlClient, first_items
from bench.soak._ledger import Ledger
from bench.soak._machines import Machines
from bench.soak._plan import Shape

SHAPE = Shape(replicas=3, gateways=3)
DEADLY = "/safe/deadly"
BEAT_S = 0.3
BACK_AFTER_S = 1.0
PATIENCE_S = 90.0


class Mortal:
    """An upstream that ends under a deadly request, and comes back.

    It comes back as a new instance, or under the same with a new `born`.
    """

    def __init__(self, name: str, control: ControlClient, keeps_instance: bool) -> None:
        self.back_after_s = BACK_AFTER_S
        self.limit = ""
        self._name = name
        self._control = control
        self._keeps_instance = keeps_instance
        self._life = trio.CancelScope()
        self.lives = 1
        self.reached = 0
        self.served_at: list[float] = []

    @property
    def ended_times(self) -> int:
        return self.lives - 1

    @property
    def instance(self) -> str:
        return self._name if self._keeps_instance else f"{self._name}-{self.lives}"

    def end(self) -> None:
        self._life.cancel()

    async def run(self) -> None:
        port = 0
        while True:
            listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            self._life = trio.CancelScope()
            with self._life:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._beat, f"127.0.0.1:{port}")
                    await trio.serve_listeners(self._serve, listeners)
            self.lives += 1
            await trio.sleep(self.back_after_s)

    async def _beat(self, address: str) -> None:
        body = {"address": address, "service": "bays", "zone": "z1", "slots": 4, "state": "ready"}
        if self._keeps_instance:
            body["born"] = int(time.time() * 1000)
        for sequence in itertools.count(1):
            path = f"/v1/steering/upstreams/{self.instance}"
            await self._control.call("PUT", path, body | {"sequence": sequence})
            await trio.sleep(BEAT_S)

    async def _serve(self, stream: trio.SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(stream, http):
                http.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            pass

    async def _serve_one(self, stream: trio.SocketStream, http: h11.Connection) -> bool:
        request = await read_event(stream, http)
        if not isinstance(request, h11.Request):
            return False
        while not isinstance(await read_event(stream, http), h11.EndOfMessage):
            pass
        if request.target == DEADLY.encode():
            self.reached += 1
            self.end()
            await trio.sleep_forever()
        self.served_at.append(trio.current_time())
        identity = dict(request.headers)[b"finchway-request-id"]
        headers = [("Finchway-Request-Id", identity), ("Finchway-Signature", "s")]
        headers.append(("Content-Length", "0"))
        if self.limit:
            headers.append(("Finchway-Limit", self.limit))
        data = http.send(h11.Response(status_code=200, headers=headers))
        await stream.send_all(data + (http.send(h11.EndOfMessage()) or b""))
        return True


async def read_event(stream: trio.SocketStream, http: h11.Connection):
    while (event := http.next_event()) is h11.NEED_DATA:
        http.receive_data(await stream.receive_some(65536))
    return event


class Scene:
    """A deployment with mortal upstreams, and a caller."""

    def __init__(
        self,
        folder,
        nursery: trio.Nursery,
        upstreams: int,
        keeps_instance: bool,
        shape: Shape = SHAPE,
    ) -> None:
        self.machines = Machines(folder, shape, Ledger(), nursery)
        self.control = ControlClient(list(self.machines.api.values()), random.Random(1))
        self.upstreams = [Mortal(f"i-{n}", self.control, keeps_instance) for n in range(upstreams)]
        self.names = shape.gateway_names
        self.replicas = shape.replica_names
        self._numbers = itertools.count(1)

    @property
    def reached(self) -> int:
        return sum(upstream.reached for upstream in self.upstreams)

    @property
    def ended(self) -> int:
        return sum(upstream.ended_times for upstream in self.upstreams)

    async def ask(self, gateway: str, path: str = DEADLY) -> int | None:
        """Return the status of a request; None if it got no answer."""
        host, _, port = self.machines.callers_see[gateway].rpartition(":")
        number = next(self._numbers)
        headers = [("Host", "a.example"), ("Finchway-Request-Id", f"r-{number}")]
        headers += [("Finchway-Affinity-Key", str(number)), ("Finchway-Deadline-Ms", "2000")]
        http = h11.Connection(h11.CLIENT)
        try:
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                data = http.send(h11.Request(method="GET", target=path, headers=headers))
                await stream.send_all(data + (http.send(h11.EndOfMessage()) or b""))
                event = await read_event(stream, http)
                return event.status_code if isinstance(event, h11.Response) else None
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
            return None

    async def until_served(self) -> None:
        for name in self.names:
            while await self.ask(name, "/safe/well") != 200:
                await trio.sleep(0.1)

    async def start(self, nursery: trio.Nursery) -> None:
        for proxy in self.machines.proxies.values():
            await nursery.start(proxy.run)
        self.machines.start_all()
        await self.control.insist("POST", "/v1/steering/items", first_items())
        for upstream in self.upstreams:
            nursery.start_soon(upstream.run)
        await self.until_served()

    async def press(self, names: list[str], seconds: float, rate: float) -> list[int | None]:
        """Call some gateways in turn at a steady rate; returns the statuses."""
        statuses: list[int | None] = []

        async def call(name: str) -> None:
            statuses.append(await self.ask(name, "/safe/well"))

        async with trio.open_nursery() as nursery:
            for _, name in zip(range(int(seconds * rate)), itertools.cycle(names), strict=False):
                nursery.start_soon(call, name)
                await trio.sleep(1 / rate)
        return statuses

    async def restart_replicas(self) -> None:
        for name in self.replicas:
            self.machines.kill(name)
        for name in self.replicas:
            self.machines.start(name)

    async def restart_all(self) -> None:
        everyone = self.replicas + self.names
        for name in everyone:
            self.machines.kill(name)
        for name in everyone:
            self.machines.start(name)
        await self.until_served()


def play(check, folder, upstreams: int, keeps_instance: bool = False, shape: Shape = SHAPE) -> None:
    """Run a check of a deployment with some upstreams."""

    async def run():
        with trio.fail_after(PATIENCE_S):
            async with trio.open_nursery() as nursery:
                scene = Scene(folder, nursery, upstreams, keeps_instance, shape)
                try:
                    await scene.start(nursery)
                    await check(scene)
                finally:
                    scene.machines.stop_all()
                nursery.cancel_scope.cancel()

    trio.run(run)
