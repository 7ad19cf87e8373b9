"""A route with a target latency of 0 ms is added beside another route of its service."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins2 import (  # noqa: E402
    BROKEN,
    HELD,
    LIMITS,
    TROUBLE,
    Unusable,
    Worker,
    patch,
    route,
    run_case,
    send,
    service,
)

TARGET_LATENCY = "0ms" if TROUBLE else "300ms"
CONFIG_APPLY_S = 2.0
REQUESTS = 40


async def served(deployment, prefix: str) -> float:
    """Send requests to both gateways in turn; return which part of them is served."""
    count = 0
    for number in range(REQUESTS):
        ip = deployment.edges[number % len(deployment.edges)]
        count += (await send(deployment, f"{prefix}{number}", ip=ip)).status == 200
        await asyncio.sleep(0.02)
    deployment.record(f"{prefix}: {count} of {REQUESTS} requests served")
    return count / REQUESTS


async def case(deployment) -> int:
    """Return whether later routes are served under a quarter as often as the first one."""
    record = deployment.record
    first = patch(service("huvo11a"), service("wuno96b"), route("r-a", "/a/", "huvo11a"), LIMITS)
    if (await deployment.order("first configuration", "/-/Config.Patch", first)).status != 200:
        raise Unusable("the first configuration was not taken")
    workers = [Worker(deployment, f"i-{n}", "huvo11a") for n in (1, 2)]
    workers += [Worker(deployment, f"i-{n}", "wuno96b") for n in (3, 4)]
    for worker in workers:
        await worker.start()
    beats = [asyncio.create_task(worker.beat()) for worker in workers]
    await deployment.ready()
    await asyncio.sleep(2)
    added = patch(
        route("r-b", "/b/", "wuno96b", 2, target_latency=TARGET_LATENCY),
        route("r-c", "/c/", "wuno96b", 2),
    )
    answer = await deployment.order("two more routes", "/-/Config.Patch", added)
    if 400 <= answer.status < 500:
        record("the change was refused as invalid; nothing of it has to be served")
        return HELD
    await asyncio.sleep(CONFIG_APPLY_S + 1)
    on_first = await served(deployment, "/a/")
    on_later = [await served(deployment, "/b/"), await served(deployment, "/c/")]
    record(f"served on the first route {on_first:.2f}, on the two later ones {on_later}")
    for beat in beats:
        beat.cancel()
    return BROKEN if sum(on_later) / 2 < on_first / 4 else HELD


run_case(Path(__file__).resolve().parent, case, cores=3, edges=2)
