"""One core loses its disk after some hundred large changes of the configuration."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins2 import (  # noqa: E402
    BROKEN,
    HELD,
    LIMITS,
    TROUBLE,
    Unusable,
    call,
    memory_of,
    patch,
    route,
    run_case,
    service,
)

MEMORY_MB = 296
ROUTES = 1556
CHANGES = 150
CHANGES_FOR_S = 70.0
DOWN_S = 0.5
RECOVERY_S = 15.0
ENDS_ALLOWED = 2
READ_BACK_FOR_S = 6.0


async def read_back(deployment) -> int:
    """Read the configuration at any node for some time; return the version found, or 0."""
    end = time.monotonic() + READ_BACK_FOR_S
    tries = 0
    while time.monotonic() < end:
        ip = deployment.cores[tries % len(deployment.cores)]
        tries += 1
        address = deployment.address(ip, "control")
        answer = await call(address, "GET", "/-/Config.Get", {"Host": ip}, b"", 3.0)
        if answer.status == 200:
            items = json.loads(answer.body)["resources"]
            versions = [i["metadata"]["version"] for i in items if i["resource_type"] == "routes"]
            deployment.record(f"operator: reads back version {min(versions)} at {ip}")
            return min(versions)
        deployment.record(f"operator: cannot read the configuration back at {ip}: {answer}")
        await asyncio.sleep(0.3)
    return 0


async def case(deployment) -> int:
    """Return whether processes end three times, or what was acknowledged can't be read back."""
    record = deployment.record
    first = patch(service("huvo11a"), route("r-0000", "/a0/", "huvo11a"), LIMITS)
    if (await deployment.order("first configuration", "/-/Config.Patch", first)).status != 200:
        raise Unusable("the first configuration was not taken")
    await deployment.ready()
    watch = asyncio.create_task(deployment.watch_memory(MEMORY_MB))
    acknowledged = 1
    end = time.monotonic() + CHANGES_FOR_S
    for version in range(2, CHANGES + 2):
        items = [
            route(f"r-{n:04d}", f"/a{n}/", "huvo11a", version, timeout=f"{2000 + version}ms")
            for n in range(ROUTES)
        ]
        answer = await deployment.order(
            f"version {version}", "/-/Config.Patch", patch(*items), 10.0, 1.0 + 0.003 * ROUTES
        )
        if answer.status == 200:
            acknowledged = version
        if version % 20 == 0:
            used = [round(memory_of(p.pid)) for p in deployment.running.values()]
            record(f"platform: memory in MB {used}")
        if time.monotonic() > end:
            raise Unusable("the changes take too long on this machine")
    if deployment.over:
        raise Unusable("over memory before the disruption")
    record(f"acknowledged up to version {acknowledged}")
    if TROUBLE:
        await deployment.wipe(deployment.cores[4], DOWN_S)
    await asyncio.sleep(RECOVERY_S)
    found = await read_back(deployment)
    watch.cancel()
    record(
        f"acknowledged {acknowledged}, read back {found or 'nothing'}; processes that went "
        f"over {MEMORY_MB} MB: {len(deployment.over)}"
    )
    return BROKEN if len(deployment.over) > ENDS_ALLOWED or found < acknowledged else HELD


run_case(Path(__file__).resolve().parent, case, cores=5)
