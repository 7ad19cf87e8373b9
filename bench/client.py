"""A bounded load client: it asks for steering, keeps the answer, and sends requests.

python -m bench.client --config client.json      writes one line of JSON a call to a file
"""

from __future__ import annotations

import hashlib
import random
import sys
import time
import uuid
from pathlib import Path

import httpcore
import msgspec
import trio
from msgspec import Struct

from bench.history import Got
from bench.shapes import client_of

_FAILED = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)
_RESENDS = 4


class Stream(Struct):
    """Requests of one organisation to one service, at a Poisson rate."""

    service: str
    credential: str
    priority: str
    rate: float
    once_only: bool = False
    body_bytes: int = 0


class ClientConfig(Struct):
    """One client process; it stops by itself after `seconds`."""

    bootstrap: list[str]
    streams: list[Stream]
    seconds: float
    output: str
    client_blocks: list[str]
    seed: int = 1
    limit: int = 200_000


def start_clients(deployment, name: str, streams: list[Stream], count: int, seconds: float):
    """Start client processes that share the streams; returns their names and output files.

    `deployment` is a `bench.deploy.Deployment`; callers are spread over its regions.
    """
    shape = deployment.shape
    blocks = [client_of(region, n, shape) for region in shape.regions for n in range(40)]
    entries = list(deployment.entry.values())
    started = []
    for number in range(count):
        shared = [msgspec.structs.replace(s, rate=s.rate / count) for s in streams]
        output = deployment.folder / f"{name}{number}.out"
        config = ClientConfig(entries, shared, seconds, str(output), blocks, number + 1)
        path = deployment.folder / f"{name}{number}.json"
        path.write_bytes(msgspec.json.encode(config))
        command = [sys.executable, "-m", "bench.client", "--config", str(path)]
        deployment.spawn(f"{name}{number}", command)
        started.append((f"{name}{number}", output))
    return started


class Steering:
    """Cached steering answers, by service and client block."""

    def __init__(self, bootstrap: list[str], pool: httpcore.AsyncConnectionPool) -> None:
        self._bootstrap = bootstrap
        self._pool = pool
        self._cache: dict[tuple[str, str], tuple[float, list[str]]] = {}

    async def entries(self, service: str, client: str, rng: random.Random) -> list[str]:
        """Return the entries to use, best first."""
        expires, entries = self._cache.get((service, client), (0.0, []))
        if trio.current_time() < expires:
            return entries
        for address in rng.sample(self._bootstrap, len(self._bootstrap)):
            try:
                with trio.fail_after(2.0):
                    url = f"http://{address}/steer/{service}?client={client}"
                    response = await self._pool.request("GET", url)
                if response.status != 200:
                    continue
                answer = msgspec.json.decode(response.content)
            except (trio.TooSlowError, *_FAILED):
                continue
            entries = [point["address"] for point in answer["entries"]]
            if entries:
                expires = trio.current_time() + answer["ttl_ms"] / 1000
                self._cache[service, client] = (expires, entries)
                return entries
        return entries


class LoadClient:
    """Sends the streams of one configuration and writes down what came of each call."""

    def __init__(self, config: ClientConfig) -> None:
        self._config = config
        self._rng = random.Random(config.seed)
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=2_000, max_keepalive_connections=200, keepalive_expiry=10
        )
        self._steering = Steering(config.bootstrap, self._pool)
        self._output = open(config.output, "wb")  # noqa: SIM115
        self._sent = 0

    async def run(self) -> None:
        """Send for the configured time, then wait for what is in flight."""
        async with trio.open_nursery() as nursery:
            for stream in self._config.streams:
                nursery.start_soon(self._send_stream, stream, nursery)
        self._output.close()

    async def _send_stream(self, stream: Stream, nursery: trio.Nursery) -> None:
        end = trio.current_time() + self._config.seconds
        while trio.current_time() < end and self._sent < self._config.limit:
            await trio.sleep(self._rng.expovariate(stream.rate))
            self._sent += 1
            nursery.start_soon(self._request, stream)

    async def _request(self, stream: Stream) -> None:
        key = str(uuid.UUID(int=self._rng.getrandbits(128), version=4)) if stream.once_only else ""
        client = self._rng.choice(self._config.client_blocks)
        body = self._rng.randbytes(stream.body_bytes) if stream.body_bytes else b""
        for number in range(_RESENDS if stream.once_only else 1):
            got = await self._call(stream, key, client, body, number)
            self._output.write(msgspec.json.encode(got) + b"\n")
            if got.status == 200 or got.outcome in ("not-run", "ran"):
                return
            await trio.sleep(0.5 * (number + 1))

    async def _call(self, stream: Stream, key: str, client: str, body: bytes, number: int) -> Got:
        call = f"{self._rng.getrandbits(64):016x}"
        started, begun = time.time(), trio.current_time()
        entries = await self._steering.entries(stream.service, client, self._rng)
        if not entries:
            return self._got(stream, call, key, started, begun, error="no entry")
        order = entries[number % len(entries) :] + entries[: number % len(entries)]
        headers = [
            ("authorization", f"Bearer {stream.credential}"),
            ("finchway-client", client),
            ("x-call", call),
        ]
        if key:
            headers.append(("idempotency-key", key))
        error = ""
        for address in order:
            try:
                with trio.fail_after(15.0):
                    response = await self._pool.request(
                        "POST" if body or key else "GET",
                        f"http://{address}/s/{stream.service}/call",
                        headers=headers,
                        content=body,
                    )
                return self._read(stream, call, key, started, begun, body, response)
            except httpcore.ConnectError as failure:
                error = f"connect {address}: {failure}"
            except (trio.TooSlowError, *_FAILED) as failure:
                error = f"{address}: {type(failure).__name__} {failure}"
                break
        return self._got(stream, call, key, started, begun, error=error)

    def _read(self, stream, call, key, started, begun, body, response) -> Got:
        fields = {name.lower().decode(): value.decode() for name, value in response.headers}
        echo, whole = "", True
        if response.status == 200:
            try:
                answer = msgspec.json.decode(response.content)
                echo = answer["call"]
                whole = answer["digest"] == hashlib.sha256(body).hexdigest()
            except (msgspec.MsgspecError, KeyError):
                whole = False
        return self._got(
            stream,
            call,
            key,
            started,
            begun,
            status=response.status,
            outcome=fields.get("finchway-outcome", ""),
            echo=echo,
            whole=whole,
            region=fields.get("finchway-region", ""),
        )

    def _got(self, stream, call, key, started, begun, **fields) -> Got:
        latency = trio.current_time() - begun
        base = {"status": 0, "outcome": "", **fields}
        return Got(call, stream.service, stream.priority, started, latency, key=key, **base)


def main() -> None:
    """Run one client process."""
    path = Path(sys.argv[sys.argv.index("--config") + 1])
    config = msgspec.json.decode(path.read_bytes(), type=ClientConfig)
    trio.run(LoadClient(config).run)


if __name__ == "__main__":
    main()
