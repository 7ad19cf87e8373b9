"""A gateway that was told to stop takes requests late in its stop, and breaks them off.

It stops accepting after half of `grace`, but keeps connections that were opened just before for
half a second more. A request that arrives on one of them is passed on to a worker, and broken off
0.4 s before the end of `grace` while the worker is at work on it.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    BROKEN,
    GRACE_S,
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

ZONE = "lz-batangas"
DEADLINE_S = 4.0
# The worker needs so long, within its client's deadline and within `grace`.
WORK_S = 2.65
CLIENTS = 4
# Seconds from the SIGTERM at which the clients connect, and from which on they send. A client keeps
# an answer of the directory for up to three times its `ttl` of one second.
CONNECT_AT_S = 2.9
SEND_AT_S = 3.06


async def case(machines, record) -> int:
    worker = Worker(machines, record, "i-tanggap-1", "tanggap", ZONE, work_s=WORK_S)
    await worker.start()
    operator = Operator(machines, record)
    items = [
        service("tanggap"),
        route("receipts", "tanggap", "unsafe", timeout=f"{DEADLINE_S:g}s"),
    ]
    await operator.order("/-/Config.Patch", first_patch(*items))
    beat = asyncio.create_task(worker.beat_forever())
    await machines.wait_ready()
    await asyncio.sleep(6.0)
    leaving = machines.edges[0]
    front = "{}:{}".format(*machines.address(leaving, "front"))
    for core in machines.cores:
        named = await machines.resolve(core, "receipts.example", ZONE)
        if front in named:
            break
    else:
        raise CouldNotRunError("the directory does not name the machine")
    resolved_at = record.write("client", f"the directory names {front}")
    stopped_at = record.now()
    if TROUBLE:
        stopped_at = machines.send_signal(leaving, signal.SIGTERM)
    if stopped_at - resolved_at > 0.05:
        raise CouldNotRunError("the directory's answer is too old")
    sends = [
        send(machines, record, leaving, f"req-{number}", stopped_at, 0.01 * number)
        for number in range(CLIENTS)
    ]
    ends = await asyncio.gather(*sends)
    beat.cancel()
    return judge(record, worker, stopped_at, ends)


async def send(machines, record, edge: str, request_id: str, stopped_at: float, later_s: float):
    """Connect and send as planned; return (id, when sent, when ended, answer or None)."""
    headers = {
        "Host": "receipts.example",
        "X-Finchway-Request-Id": request_id,
        "X-Finchway-Affinity-Key": "can-7",
        "X-Finchway-Deadline-Ms": f"{DEADLINE_S * 1000:.0f}",
        "Content-Type": "text/plain",
    }
    await asyncio.sleep(stopped_at + CONNECT_AT_S + later_s - record.now())
    writer = answer = sent_at = None
    try:
        reader, writer = await asyncio.open_connection(*machines.address(edge, "front"))
        await asyncio.sleep(stopped_at + SEND_AT_S + later_s - record.now())
        sent_at = record.write("client", f"sends {request_id} on its new connection to {edge}")
        async with asyncio.timeout(DEADLINE_S):
            writer.write(encode_request("POST", "/p/1", headers, b"a can of milk"))
            answer = await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        at = record.write("client", f"{request_id} has no answer: {error!r}")
    else:
        at = record.write("client", f"{request_id} is answered {answer.status}")
    finally:
        if writer is not None:
            writer.close()
    return request_id, sent_at, at, answer


def judge(record, worker, stopped_at: float, ends) -> int:
    """Count requests that the machine passed on and whose connection it ended without an answer."""
    ran = {request_id for _, request_id in worker.runs}
    lost = []
    for request_id, sent_at, ended_at, answer in ends:
        if sent_at is None or request_id not in ran or answer is not None:
            continue
        # Not excused: sent later than 3 s after the SIGTERM, and its time was not over.
        is_in_window = sent_at > stopped_at + 3.0 and ended_at < stopped_at + GRACE_S + 1.0
        if is_in_window and ended_at - sent_at < 0.7 * DEADLINE_S:
            lost.append(f"{request_id} after {ended_at - sent_at:.2f} s")
    served = sum(answer is not None and answer.status == 200 for _, _, _, answer in ends)
    text = (
        f"{len(ends)} requests sent {SEND_AT_S} s after the SIGTERM; {len(ran)} passed on to the "
        f"worker, {served} served; connection ended with no answer: {lost}"
    )
    record.write("case", text)
    print(text)
    if not ran:
        raise CouldNotRunError("no request was passed on")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, [ZONE, ZONE], case))
