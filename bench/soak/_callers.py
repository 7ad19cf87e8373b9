"""Callers that use open connections until the process behind them is gone."""

from __future__ import annotations

import itertools
import random

import h11
import msgspec
import trio

from bench.soak._ledger import NO_ANSWER, Answer, Ledger, Sent

DEADLINE_S = 2.0
SILENT_AFTER_S = DEADLINE_S + 1.5
THINK_S = 0.05
ONCE_SHARE = 0.4
LEAVE_SHARE = 0.02
LONG_BODY_SHARE = 0.05
LONG_BODY_BYTES = 200_000
KEYS = 40
# Requests that end each back end, as many as a run of 20 s has, and the mean time until one of them
# comes again, at any gateway.
DEADLY_EVERY_S = 10.0
DEADLY_AGAIN_S = 1.0
# Part of the requests that go to a route which an operator has added during the run, mostly the
# newest: what was accepted long ago is in force anyhow.
ADDED_SHARE = 0.2
_READ_BYTES = 64 * 1024


class Callers:
    """A number of callers; each keeps to a gateway until a connection there is refused."""

    def __init__(self, count: int, gateways: dict[str, str], ledger: Ledger, seed: int) -> None:
        self._count = count
        self._gateways = gateways
        self._ledger = ledger
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        # A source of its own, so that the calls of earlier seeds stay as they are.
        self._deadly_rng = random.Random(seed + 1_000)
        self._deadly_names: list[str] = []

    async def run(self) -> None:
        """Call until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(self._count):
                nursery.start_soon(self._call_forever)
            nursery.start_soon(self._call_deadly)

    async def answers_well(self, gateway: str) -> bool:
        """Tell whether a request through a gateway is served now."""
        connection = await self._connect(gateway)
        if connection is None:
            return False
        try:
            answer = await self._ask(connection, gateway)
            return answer is not None and answer.status == 200
        finally:
            await connection.close()

    async def _call_forever(self) -> None:
        gateway = self._rng.choice(list(self._gateways))
        while True:
            connection = await self._connect(gateway)
            if connection is None:
                gateway = self._rng.choice(list(self._gateways))
                await trio.sleep(THINK_S)
                continue
            try:
                await self._use(connection, gateway)
            finally:
                await connection.close()
            if connection.was_broken:
                gateway = self._rng.choice(list(self._gateways))
                await trio.sleep(THINK_S)

    async def _call_deadly(self) -> None:
        """Send requests that end back ends; each comes again and again, at any gateway."""
        rng = self._deadly_rng
        next_at = trio.current_time() + rng.uniform(0.0, DEADLY_EVERY_S / 2)
        while True:
            if trio.current_time() >= next_at:
                self._deadly_names.append(f"deadly-{len(self._deadly_names)}")
                next_at = trio.current_time() + DEADLY_EVERY_S
            await trio.sleep(rng.expovariate(1 / DEADLY_AGAIN_S))
            if not self._deadly_names:
                continue
            gateway = rng.choice(list(self._gateways))
            connection = await self._connect(gateway)
            if connection is None:
                continue
            name, repeatable = rng.choice(self._deadly_names), rng.random() < 0.7
            request_id = f"d-{next(self._numbers)}"
            sent = Sent(request_id, gateway, repeatable, trio.current_time(), deadly=name)
            self._ledger.sent[request_id] = sent
            with trio.move_on_after(SILENT_AFTER_S):
                answer = await connection.exchange(sent, rng.randrange(KEYS))
                self._ledger.answers[request_id] = msgspec.structs.replace(
                    answer, at=trio.current_time()
                )
            await connection.close()

    async def _use(self, connection: _Connection, gateway: str) -> None:
        while connection.is_open:
            if await self._ask(connection, gateway) is None:
                return
            await trio.sleep(self._rng.expovariate(1 / THINK_S))

    async def _connect(self, gateway: str) -> _Connection | None:
        host, _, port = self._gateways[gateway].rpartition(":")
        try:
            with trio.fail_after(1.0):
                return _Connection(await trio.open_tcp_stream(host, int(port)))
        except (OSError, trio.TooSlowError):
            return None

    async def _ask(self, connection: _Connection, gateway: str) -> Answer | None:
        """Send one request and note its answer; None if the connection cannot be used again."""
        route = self._added_route() if self._rng.random() < ADDED_SHARE else ""
        repeatable = bool(route) or self._rng.random() >= ONCE_SHARE
        size = 0 if repeatable else self._rng.randint(0, 500)
        if not repeatable and self._rng.random() < LONG_BODY_SHARE:
            size = LONG_BODY_BYTES
        request_id = f"r-{next(self._numbers)}"
        payload = (request_id.encode() + b".") * (size // (len(request_id) + 1))
        sent = Sent(request_id, gateway, repeatable, trio.current_time(), payload, route)
        self._ledger.sent[request_id] = sent
        patience = SILENT_AFTER_S
        leaves = self._rng.random() < LEAVE_SHARE
        if leaves:
            patience = self._rng.uniform(0.0, 0.05)
        answer = Answer(request_id, 0.0, NO_ANSWER)
        with trio.move_on_after(patience):
            answer = await connection.exchange(sent, self._rng.randrange(KEYS))
        if leaves and answer.status == NO_ANSWER:
            return None
        answer = Answer(
            request_id, trio.current_time(), answer.status, answer.body, answer.complete
        )
        if answer.status is not None or connection.sent_whole:
            self._ledger.answers[request_id] = answer
        return answer if answer.complete else None

    def _added_route(self) -> str:
        added = list(self._ledger.routes_since)[-3:]
        return self._rng.choice(added) if added else ""


class _Connection:
    """One connection of a caller."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)
        self.is_open = True
        self.was_broken = False
        self.sent_whole = False

    async def exchange(self, sent: Sent, key: int) -> Answer:
        """Send a request and return its answer, without a status if the connection ended."""
        self.sent_whole = False
        try:
            await self._send(sent, key)
            self.sent_whole = True
            return await self._receive(sent.id)
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            self.is_open = False
            self.was_broken = True
            return Answer(sent.id, 0.0)

    async def close(self) -> None:
        """Close at once."""
        await trio.aclose_forcefully(self._stream)

    async def _send(self, sent: Sent, key: int) -> None:
        place = sent.route or ("safe" if sent.repeatable else "once")
        headers = [
            ("Host", "b.example" if sent.route else "a.example"),
            ("Finchway-Request-Id", sent.id),
            ("Finchway-Affinity-Key", str(key)),
            ("Finchway-Deadline-Ms", str(int(DEADLINE_S * 1000))),
            ("Content-Length", str(len(sent.payload))),
        ]
        method = "GET" if sent.repeatable else "POST"
        target = f"/{place}/{sent.deadly or 'x'}"
        data = self._http.send(h11.Request(method=method, target=target, headers=headers))
        data += self._http.send(h11.Data(data=sent.payload)) + self._http.send(h11.EndOfMessage())
        await self._stream.send_all(data)

    async def _receive(self, request_id: str) -> Answer:
        status = None
        body = b""
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._stream.receive_some(_READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._renew()
                return Answer(request_id, 0.0, status, body, True)
            else:
                self.is_open = False
                self.was_broken = True
                return Answer(request_id, 0.0, status, body)

    def _renew(self) -> None:
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self.is_open = False
