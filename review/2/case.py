"""Frozen control machines wake and carry out orders that their caller left long ago.

The operator ends the evacuations of two zones. Each of the two nodes that it asks is frozen, so it
closes the connections after a second and has the orders acknowledged by another node. Later it
starts both evacuations again, which is acknowledged as well. Then the two nodes wake, read the old
orders and carry them out. One order is sent on a connection that was used before, one on a new
connection that the node accepted just before it froze.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    BROKEN,
    CONTACT_S,
    EVACUATE_S,
    HELD,
    TROUBLE,
    CouldNotRunError,
    Operator,
    Worker,
    encode_request,
    first_patch,
    read_answer,
    route,
    run_case,
    service,
)

HOME = "lz-batangas"
ON_KEPT_CONNECTION, ON_NEW_CONNECTION = ZONES = ("vs-cebu", "mn-davao")
# The operator starts the evacuation again this long after its end was acknowledged: longer than
# `ack` (4 s), for which an order may be sent again.
START_AGAIN_AFTER_S = 4.5
FREEZE_S = 7.0
WATCHED_S = 6.0
BETWEEN_S = 0.05


class OperatorConnection:
    """A connection of the operator to one node."""

    def __init__(self, machines, record, node: str) -> None:
        self._machines = machines
        self._record = record
        self._node = node

    async def open(self) -> None:
        address = self._machines.address(self._node, "control")
        self._reader, self._writer = await asyncio.open_connection(*address)

    async def order(self, path: str) -> bool:
        """Send an order; close and return False after one second without an answer."""
        self._record.write("operator", f"sends {path} to {self._node}")
        self._writer.write(encode_request("POST", path, {"Host": self._node}))
        try:
            async with asyncio.timeout(1.0):
                answer = await read_answer(self._reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            self._record.write("operator", f"leaves {self._node} after a second, and closes")
            return False
        self._record.write("operator", f"{path} at {self._node} is answered {answer.status}")
        return answer.status == 200

    def close(self) -> None:
        self._writer.close()


async def case(machines, record) -> int:
    workers = {
        zone: Worker(machines, record, f"i-rutebook-{zone}", "rutebook", zone)
        for zone in (HOME, *ZONES)
    }
    for worker in workers.values():
        await worker.start()
    operator = Operator(machines, record)
    items = [service("rutebook"), route("lookups", "rutebook", "safe")]
    await operator.order("/-/Config.Patch", first_patch(*items))
    tasks = [asyncio.create_task(worker.beat_forever()) for worker in workers.values()]
    await machines.wait_ready()
    await asyncio.sleep(4.0)
    tasks.append(asyncio.create_task(send_forever(machines, record)))
    await asyncio.sleep(2.0)
    nodes = dict(zip(ZONES, await followers(machines), strict=True))
    others = [core for core in machines.cores if core not in nodes.values()]
    connections = {zone: OperatorConnection(machines, record, nodes[zone]) for zone in ZONES}

    await connections[ON_KEPT_CONNECTION].open()
    if not await connections[ON_KEPT_CONNECTION].order(
        f"/-/Evacuations.Start/{ON_KEPT_CONNECTION}"
    ):
        raise CouldNotRunError("the first evacuation was not acknowledged")
    await operator.order(f"/-/Evacuations.Start/{ON_NEW_CONNECTION}")
    await asyncio.sleep(3.0)
    await connections[ON_NEW_CONNECTION].open()
    await asyncio.sleep(0.1)
    for node in nodes.values() if TROUBLE else ():
        machines.send_signal(node, signal.SIGSTOP)
    frozen_at = record.now()
    await asyncio.gather(*(end(operator, connections[zone], zone, others) for zone in ZONES))
    await asyncio.sleep(START_AGAIN_AFTER_S)
    started = {}
    for zone in ZONES:
        started[zone] = await operator.order(f"/-/Evacuations.Start/{zone}", nodes=others)
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - record.now()))
    for node in nodes.values() if TROUBLE else ():
        machines.send_signal(node, signal.SIGCONT)
    woken_at = record.now()

    # From here on all machines are in touch again, and the time for the evacuations is over.
    judged_from = max(*started.values(), woken_at - EVACUATE_S + CONTACT_S) + EVACUATE_S + 0.5
    await asyncio.sleep(judged_from + WATCHED_S - record.now())
    machines.require_running()
    for task in tasks:
        task.cancel()
    for connection in connections.values():
        connection.close()
    return judge(record, workers, started, frozen_at, judged_from)


async def end(operator, connection: OperatorConnection, zone: str, others: list[str]) -> None:
    """End an evacuation at one node, or at another one if that does not answer."""
    path = f"/-/Evacuations.End/{zone}"
    if not await connection.order(path):
        await asyncio.sleep(0.05)
        await operator.order(path, nodes=others)


def judge(record, workers, started, frozen_at: float, judged_from: float) -> int:
    """Count the requests at the workers of the evacuated zones once the bound is over."""
    late = {zone: sum(at > judged_from for at, _ in workers[zone].arrivals) for zone in workers}
    before = {zone: sum(at < frozen_at for at, _ in workers[zone].arrivals) for zone in workers}
    acknowledged = ", ".join(f"{zone} at {at:.3f}" for zone, at in started.items())
    text = (
        f"evacuations acknowledged and not taken back since: {acknowledged}; requests that arrived "
        f"from {judged_from:.3f} on, by zone: {late}; before the freeze: {before}"
    )
    record.write("case", text)
    print(text)
    if not late[HOME] or not all(before.values()):
        raise CouldNotRunError("a worker got no requests at all")
    return BROKEN if any(late[zone] for zone in ZONES) else HELD


async def followers(machines) -> list[str]:
    """Return two core machines that do not lead; as many may be lost at once."""
    found = [core for core in reversed(machines.cores) if not await machines.is_leader(core)]
    if len(found) < 4:
        raise CouldNotRunError("several core machines say that they lead")
    return found[:2]


async def send_forever(machines, record) -> None:
    """Send requests that may be repeated to both edge machines by turns."""
    number = 0
    async with asyncio.TaskGroup() as group:
        while True:
            edge = machines.edges[number % len(machines.edges)]
            group.create_task(send(machines, record, edge, f"req-{number:05d}"))
            number += 1
            await asyncio.sleep(BETWEEN_S)


async def send(machines, record, edge: str, request_id: str) -> None:
    headers = {
        "Host": "lookups.example",
        "X-Finchway-Request-Id": request_id,
        "X-Finchway-Affinity-Key": request_id[-2:],
        "X-Finchway-Deadline-Ms": "2500",
    }
    writer = None
    record.write("client", f"sends {request_id} to {edge}")
    try:
        async with asyncio.timeout(2.5):
            reader, writer = await asyncio.open_connection(*machines.address(edge, "front"))
            writer.write(encode_request("GET", "/p/1", headers))
            answer = await read_answer(reader)
            record.write("client", f"{request_id} at {edge} is answered {answer.status}")
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.write("client", f"{request_id} at {edge} has no answer: {error!r}")
    finally:
        if writer is not None:
            writer.close()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, [HOME, *ZONES], case))
