"""A worker turns a request away, and sends that answer once more a moment later.

The gateway has sent the request to the worker again by then, on the same connection and with the
same id. It takes the second copy of the first answer for the answer to the second send, while the
worker runs the request.
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    BROKEN,
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
# The two routes, which differ in `max_attempts`; requests go to them by turns.
ATTEMPTS = {"receipts": 2, "slips": 3}
REQUESTS = 320
BETWEEN_S = 0.07
DEADLINE_MS = 3000
TURNED_AWAY_SHARE = 1 / 8
# The largest share of all answers that come twice: twice the dose of `garble` with `extra late` in
# the site file.
DOUBLED_SHARE = 0.06
# The second copy of an answer arrives this much later.
SECOND_AFTER_S = 0.03


class FaultyWorker(Worker):
    """A worker that turns some new requests away with 429 and `Not-Executed`.

    With trouble, it sends some of these answers twice: one answer too many, which arrives late.
    """

    luck = random.Random(51)
    seen: set[str] = set()
    turned_away = 0
    answers = 0
    doubled = 0

    async def handle(self, writer, request_id, headers, body) -> None:
        FaultyWorker.answers += 1
        is_new = request_id not in self.seen
        self.seen.add(request_id)
        if not is_new or self.luck.random() >= TURNED_AWAY_SHARE:
            await self.run(writer, request_id)
            return
        FaultyWorker.turned_away += 1
        self._record.write(self.name, f"turns {request_id} away: 429, not executed")
        answer = self._send(writer, 429, request_id, b"", not_executed=True)
        if TROUBLE and self.doubled + 1 <= DOUBLED_SHARE * self.answers:
            FaultyWorker.doubled += 1
            asyncio.get_running_loop().call_later(
                SECOND_AFTER_S, self._send_again, writer, request_id, answer
            )

    def _send_again(self, writer, request_id: str, answer: bytes) -> None:
        if not writer.is_closing():
            self._record.write(self.name, f"sends the 429 for {request_id} once more")
            writer.write(answer)


async def case(machines, record) -> int:
    workers = [
        FaultyWorker(machines, record, f"i-tanggap-{n}", "tanggap", ZONE, work_s=0.4)
        for n in range(2)
    ]
    for worker in workers:
        await worker.start()
    operator = Operator(machines, record)
    items = [service("tanggap")]
    items += [
        route(name, "tanggap", "unsafe", attempts=attempts) for name, attempts in ATTEMPTS.items()
    ]
    await operator.order("/-/Config.Patch", first_patch(*items))
    beats = [asyncio.create_task(worker.beat_forever()) for worker in workers]
    await machines.wait_ready()
    await asyncio.sleep(5.0)
    sends = []
    for number in range(REQUESTS):
        edge = machines.edges[number % len(machines.edges)]
        name = list(ATTEMPTS)[number // 2 % 2]
        request_id = f"{name}-{number:03d}"
        sends.append(asyncio.create_task(send(machines, record, edge, name, request_id)))
        await asyncio.sleep(BETWEEN_S)
    answers = dict(await asyncio.gather(*sends))
    await asyncio.sleep(2.0)
    machines.require_running()
    for beat in beats:
        beat.cancel()
    return judge(record, workers, answers)


async def send(machines, record, edge: str, name: str, request_id: str):
    """Send one request that may not be repeated; return its id and the answer, or None."""
    headers = {
        "Host": f"{name}.example",
        "X-Finchway-Request-Id": request_id,
        "X-Finchway-Affinity-Key": f"key-{request_id[-1]}",
        "X-Finchway-Deadline-Ms": str(DEADLINE_MS),
        "Content-Type": "text/plain",
    }
    writer = None
    record.write("client", f"sends {request_id} to {edge}")
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            reader, writer = await asyncio.open_connection(*machines.address(edge, "front"))
            writer.write(encode_request("POST", "/p/1", headers, b"a can of milk"))
            answer = await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.write("client", f"{request_id} has no answer: {error!r}")
        return request_id, None
    finally:
        if writer is not None:
            writer.close()
    record.write("client", f"{request_id} is answered {answer.status}")
    return request_id, answer


def judge(record, workers, answers) -> int:
    """Compare what clients were told with what the workers ran."""
    runs: dict[str, int] = {}
    for worker in workers:
        for _, request_id in worker.runs:
            runs[request_id] = runs.get(request_id, 0) + 1
    served = sum(answer is not None and answer.status == 200 for answer in answers.values())
    refused = [
        request_id
        for request_id, answer in answers.items()
        if answer is not None and answer.status in (408, 421, 429, 503) and runs.get(request_id)
    ]
    twice = [request_id for request_id, count in runs.items() if count > 1]
    text = (
        f"{len(answers)} requests, {served} served; {FaultyWorker.answers} answers of workers, "
        f"{FaultyWorker.turned_away} of them 429, {FaultyWorker.doubled} sent twice; "
        f"TWICE: {len(twice)} run more than once: {twice}; "
        f"REFUSED: {len(refused)} answered as not run, but run: {refused}"
    )
    record.write("case", text)
    print(text)
    if not FaultyWorker.turned_away or not served:
        raise CouldNotRunError("no request was turned away, or none was served")
    return BROKEN if refused or twice else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, [ZONE, ZONE], case))
