"""An operator that goes on at another replica after a second, and soon orders the opposite."""

from __future__ import annotations

import random

import msgspec
import trio

from bench.deploy import CREDENTIAL
from bench.soak._control import CALL_WITHIN_S, ControlClient
from bench.soak._ledger import Ledger, Left
from bench.soak._plan import FaultKind

# An evacuation lasts for a moment; after an end that got no answer, for longer than it may take to
# be in force everywhere.
BRIEF_S = (0.05, 1.0)
LONG_S = (7.0, 9.0)
LEAVES_OPEN_SHARE = 0.5


class ReversingOperator:
    """Evacuates one zone, ends that, and evacuates it anew, again and again.

    Ends are sent to frozen replicas if there are any; some of their connections are left open.
    `apis` are the addresses of the replicas by name.
    """

    def __init__(
        self,
        control: ControlClient,
        apis: dict[str, str],
        ledger: Ledger,
        zone: str,
        rng: random.Random,
    ) -> None:
        self._control = control
        self._apis = apis
        self._ledger = ledger
        self._zone = zone
        self._path = f"/v1/steering/evacuations/{zone}"
        self._rng = rng

    async def run(self) -> None:
        """Order and take back until cancelled."""
        length_s = BRIEF_S
        async with trio.open_nursery() as nursery:
            while True:
                await self._control.insist("POST", self._path, {"active": True})
                place = len(self._ledger.evacuated)
                started = trio.current_time()
                self._ledger.evacuated.append(Left(self._zone, started))
                await trio.sleep(self._rng.uniform(*length_s))
                self._ledger.evacuated[place] = Left(self._zone, started, trio.current_time())
                length_s = BRIEF_S if await self._end(nursery) else LONG_S

    async def _end(self, nursery: trio.Nursery) -> bool:
        """End the evacuation at one replica, or at another one; return whether the first did."""
        host, _, port = self._choose_replica().rpartition(":")
        is_answered = trio.Event()
        leaves_open = self._rng.random() < LEAVES_OPEN_SHARE
        nursery.start_soon(self._send_end, host, int(port), leaves_open, is_answered)
        with trio.move_on_after(CALL_WITHIN_S):
            await is_answered.wait()
        if not is_answered.is_set():
            await self._control.insist("POST", self._path, {"active": False})
        return is_answered.is_set()

    def _choose_replica(self) -> str:
        """Return the address of a frozen replica, or of any."""
        now = trio.current_time()
        frozen = [
            self._apis[fault.target]
            for fault in self._ledger.faults
            if fault.kind == FaultKind.PAUSE.value and fault.until > now
        ]
        return self._rng.choice(frozen or list(self._apis.values()))

    async def _send_end(
        self, host: str, port: int, leaves_open: bool, is_answered: trio.Event
    ) -> None:
        body = msgspec.json.encode({"active": False})
        head = f"POST {self._path} HTTP/1.1\r\nHost: c\r\nAuthorization: Bearer {CREDENTIAL}\r\n"
        data = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        try:
            async with await trio.open_tcp_stream(host, port) as stream:
                await stream.send_all(data)
                with trio.move_on_after(float("inf") if leaves_open else CALL_WITHIN_S):
                    answer = await stream.receive_some()
                    if answer.startswith(b"HTTP/1.1 200"):
                        is_answered.set()
        except (OSError, trio.BrokenResourceError):
            return
