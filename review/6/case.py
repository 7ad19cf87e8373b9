"""A configuration whose version does not fit into 64 bits, sent again as the pages say."""

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

# The time of the change to the microsecond, as 20 digits; without the disruption, to the second.
VERSION = 20261207033300123456 if TROUBLE else 20261207033300
OPERATOR_TRIES_S = 60.0
# Three ends on each of two machines: the strictest reading of the rule.
ENDS, MACHINES = 3, 2


async def case(deployment) -> int:
    """Return whether processes ended by themselves three times."""
    record = deployment.record
    first = patch(service("huvo11a"), route("r-a", "/a/", "huvo11a"), LIMITS)
    if (await deployment.order("first configuration", "/-/Config.Patch", first)).status != 200:
        raise Unusable("the first configuration was not taken")
    worker = Worker(deployment, "i-1", "huvo11a")
    await worker.start()
    beats = asyncio.create_task(worker.beat())
    await deployment.ready()
    await asyncio.sleep(2)
    await send(deployment, "/a/1")
    change = patch(route("r-a", "/a/", "huvo11a", version=VERSION, timeout="2400ms"))
    answer = await deployment.order(
        f"version {VERSION}", "/-/Config.Patch", change, limit_s=OPERATOR_TRIES_S
    )
    record(f"the operator's last answer: {answer}")
    await asyncio.sleep(1)
    await send(deployment, "/a/2")
    record(f"processes that ended by themselves: {len(deployment.ended)}: {deployment.ended}")
    beats.cancel()
    often = [ip for ip in set(deployment.ended) if deployment.ended.count(ip) >= ENDS]
    record(f"machines on which processes ended {ENDS} times or more: {len(often)}")
    return BROKEN if len(often) >= MACHINES else HELD


run_case(Path(__file__).resolve().parent, case, cores=5)
