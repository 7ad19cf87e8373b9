"""Calls of back ends and operators to the API of any replica, and changes in quick succession."""

from __future__ import annotations

import random
from typing import Any

import httpcore
import msgspec
import trio

from bench.deploy import CREDENTIAL
from bench.soak._ledger import Held, Ledger, Left

CALL_WITHIN_S = 1.0
CHANGE_EVERY_S = 0.7
RACE_SHARE = 0.3
NEW_SHARE = 0.4
EVACUATE_SHARE = 0.15
EVACUATED_S = 7.0
_TIMEOUTS = dict.fromkeys(("connect", "read", "write", "pool"), CALL_WITHIN_S)
_FAILURES = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError, OSError)


class ControlClient:
    """Calls one replica's API after another until one answers."""

    def __init__(self, addresses: list[str], rng: random.Random) -> None:
        self._addresses = addresses
        self._rng = rng

    async def call(self, method: str, path: str, document: Any = None) -> tuple[int, bytes] | None:
        """Return status and body of a call to a replica drawn by lot; None without an answer."""
        address = self._rng.choice(self._addresses)
        body = b"" if document is None else msgspec.json.encode(document)
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request(
                    method,
                    f"http://{address}{path}",
                    headers=[(b"Authorization", f"Bearer {CREDENTIAL}".encode())],
                    content=body,
                    extensions={"timeout": _TIMEOUTS},
                )
                return answer.status, answer.content
        except _FAILURES:
            return None

    async def insist(self, method: str, path: str, document: Any = None) -> tuple[int, bytes]:
        """Repeat a call until it gets a clear answer."""
        while True:
            answer = await self.call(method, path, document)
            if answer is not None and answer[0] < 500:
                return answer
            await trio.sleep(0.05)


def first_items() -> list[dict[str, Any]]:
    """Return the service, its two routes and the limits that callers use."""
    route = {"host": "a.example", "timeout": 2.0, "target_latency": 0.3, "affinity": True}
    route |= {"backends": [["bays", 1]], "max_attempts": 2}
    safe = route | {"path_prefix": "/safe/", "type": "safe"}
    once = route | {"path_prefix": "/once/", "type": "unsafe"}
    return [
        {"kind": "service", "name": "bays", "version": 1, "spec": {}},
        {"kind": "route", "name": "safe", "version": 1, "spec": safe},
        {"kind": "route", "name": "once", "version": 1, "spec": once},
        {"kind": "limits", "name": "limits", "version": 1, "spec": {}},
    ]


def changing_route(number: int, version: int, timeout: float) -> dict[str, Any]:
    """Return a route that is added during the run, in one of its versions."""
    spec = {"host": "b.example", "path_prefix": f"/{number}/", "type": "safe", "timeout": timeout}
    spec |= {"target_latency": 0.3, "backends": [["bays", 1]]}
    return {"kind": "route", "name": f"changing-{number}", "version": version, "spec": spec}


class Operator:
    """Adds and changes routes in quick succession, at times two at once, and evacuates a zone."""

    def __init__(
        self, control: ControlClient, ledger: Ledger, zones: list[str], rng: random.Random
    ) -> None:
        self._control = control
        self._ledger = ledger
        self._zones = zones
        self._rng = rng
        self._version = 1
        self._routes = 1

    async def run(self) -> None:
        """Change things until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._evacuate_now_and_then)
            while True:
                await trio.sleep(self._rng.uniform(0.2, 2.0) * CHANGE_EVERY_S)
                self._version += self._rng.randint(1, 3)
                self._routes += self._rng.random() < NEW_SHARE
                number = self._rng.randrange(self._routes)
                rivals = 2 if self._rng.random() < RACE_SHARE else 1
                for rival in range(rivals):
                    nursery.start_soon(self._change, number, self._version, 1.0 + rival)

    async def read_back(self) -> None:
        """Note what is held now."""
        _, body = await self._control.insist("GET", "/v1/steering")
        for item in msgspec.json.decode(body)["items"]:
            if item["name"].startswith("changing-"):
                content = str(item["spec"]["timeout"])
                self._ledger.read_back.append(Held(item["name"], item["version"], content))

    async def _change(self, number: int, version: int, timeout: float) -> None:
        item = changing_route(number, version, timeout)
        held = Held(item["name"], version, str(timeout))
        self._ledger.offered.append(held)
        status, _ = await self._control.insist("POST", "/v1/steering/items", [item])
        # A version that a newer one has overtaken is answered alike; it was in force before.
        if status == 200:
            self._ledger.acknowledged.append(held)
            self._ledger.routes_since.setdefault(str(number), trio.current_time())

    async def _evacuate_now_and_then(self) -> None:
        while True:
            await trio.sleep(2.0)
            if self._rng.random() >= EVACUATE_SHARE:
                continue
            zone = self._rng.choice(self._zones)
            await self._control.insist("POST", f"/v1/steering/evacuations/{zone}", {"active": True})
            started = trio.current_time()
            place = len(self._ledger.evacuated)
            self._ledger.evacuated.append(Left(zone, started))
            await trio.sleep(EVACUATED_S)
            self._ledger.evacuated[place] = Left(zone, started, trio.current_time())
            await self._control.insist(
                "POST", f"/v1/steering/evacuations/{zone}", {"active": False}
            )
