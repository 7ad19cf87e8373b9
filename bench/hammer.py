"""A bounded load process: one URL, a number of connections, for some seconds.

python -m bench.hammer http://127.0.0.1:7100/s/bays/call 8 3 "authorization: Bearer x"
"""

from __future__ import annotations

import sys
import time

import httpcore
import msgspec
import trio


async def hammer(url: str, connections: int, seconds: float, headers: list[tuple[str, str]]):
    """Send requests one after the other on each connection; returns the latencies."""
    times: list[float] = []
    failed = 0
    end = time.perf_counter() + seconds

    async def work(pool: httpcore.AsyncConnectionPool) -> None:
        nonlocal failed
        while time.perf_counter() < end:
            started = time.perf_counter()
            response = await pool.request("GET", url, headers=headers)
            if response.status != 200:
                failed += 1
            times.append(time.perf_counter() - started)

    async with (
        httpcore.AsyncConnectionPool(max_connections=connections) as pool,
        trio.open_nursery() as nursery,
    ):
        for _ in range(connections):
            nursery.start_soon(work, pool)
    return times, failed


def main() -> None:
    """Print latencies in seconds as JSON."""
    url, connections, seconds = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
    headers = [tuple(text.split(": ", 1)) for text in sys.argv[4:]]
    times, failed = trio.run(hammer, url, connections, seconds, headers)
    print(msgspec.json.encode({"times": times, "failed": failed}).decode())


if __name__ == "__main__":
    main()
