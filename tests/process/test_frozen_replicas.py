"""Changes over the resource API at a replica that freezes while their caller goes on at another."""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Callable

import msgspec
import pytest
from msgspec import Struct

from bench.deploy import CREDENTIAL
from finchway.exceptions import FinchwayError

pytestmark = pytest.mark.xdist_group("control")
CALLER_WAITS_S = 1.0
SETTLED_S = 1.0
EXPIRED = '"outcome":"expired"'
ZONE = "/v1/steering/evacuations/north-a"
ITEMS = "/v1/steering/items"
UPSTREAMS = "/v1/steering/upstreams"
REPLICAS = "/v1/replicas"
REGION = "/v1/resources/region"
SERVICE = {"kind": "service", "name": "s", "version": 1, "spec": {}}


def latency(milliseconds: float) -> dict:
    return {"spec": {"latency_ms": {"north": milliseconds}}}


def route(name: str, version: int, timeout: float = 2.0) -> dict:
    spec = {"host": f"{name}.example", "path_prefix": "/", "type": "safe", "timeout": timeout}
    spec |= {"target_latency": 0.3, "backends": [["s", 1]]}
    return {"kind": "route", "name": name, "version": version, "spec": spec}


def heartbeat() -> Callable[[], dict]:
    """Return what makes a heartbeat of a new life."""
    beat = {"address": "127.0.0.1:9", "service": "s", "zone": "north-a", "slots": 4}
    return lambda: beat | {"state": "ready", "sequence": 1, "born": int(time.time() * 1000)}


class Order(Struct):
    """An order, what is done elsewhere after it got no answer, and what must hold then.

    `before` is done ahead of the freeze. Where it is found to be done already, it doesn't expire.
    """

    method: str
    path: str
    body: dict | list
    before: list[tuple]
    elsewhere: list[tuple]
    holds: Callable
    expires: bool = True


def is_latency(name: str, milliseconds: float) -> Callable:
    return lambda client: client.get("region", name)["spec"]["latency_ms"]["north"] == milliseconds


def has_route(name: str, version: int) -> Callable:
    def holds(client) -> bool:
        items = client.read("/v1/steering")["items"]
        versions = [item["version"] for item in items if item["name"] == name]
        return versions == ([version] if version else [])

    return holds


ORDERS = {
    "replaced": Order(
        "PUT",
        f"{REGION}/late",
        latency(1.0),
        [],
        [("PUT", f"{REGION}/late", latency(1.0)), ("PUT", f"{REGION}/late", latency(2.0))],
        is_latency("late", 2.0),
    ),
    "deleted": Order(
        "DELETE",
        f"{REGION}/again",
        {},
        [("PUT", f"{REGION}/again", latency(1.0))],
        [("DELETE", f"{REGION}/again", {}), ("PUT", f"{REGION}/again", latency(3.0))],
        is_latency("again", 3.0),
    ),
    "replica-admitted": Order(
        "POST",
        REPLICAS,
        {"add": "c9"},
        [],
        [("POST", REPLICAS, {"add": "c9"}), ("POST", REPLICAS, {"remove": "c9"})],
        lambda client: "c9" not in client.read(REPLICAS)["members"]["expected"],
    ),
    "zone-readmitted": Order(
        "POST",
        ZONE,
        {"active": False},
        [("POST", ZONE, {"active": True})],
        [("POST", ZONE, {"active": False}), ("POST", ZONE, {"active": True})],
        lambda client: "north-a" in client.read("/v1/steering")["evacuated"],
    ),
    "refused-change": Order(
        "POST",
        ITEMS,
        [route("taken", 5, 1.0), route("part", 5)],
        [("POST", ITEMS, [SERVICE])],
        [("POST", ITEMS, [route("taken", 5)]), ("POST", ITEMS, [route("taken", 6)])],
        has_route("part", 0),
    ),
    "upstream-gone": Order(
        "DELETE",
        f"{UPSTREAMS}/i-1",
        {},
        [("POST", ITEMS, [SERVICE]), ("PUT", f"{UPSTREAMS}/i-1", heartbeat())],
        [("DELETE", f"{UPSTREAMS}/i-1", {}), ("PUT", f"{UPSTREAMS}/i-1", heartbeat())],
        lambda client: client.read("/v1/steering")["upstreams"][0]["state"] == "ready",
        expires=False,
    ),
}


def encode(method: str, path: str, body) -> bytes:
    content = msgspec.json.encode(body)
    head = f"{method} {path} HTTP/1.1\r\nHost: c\r\nAuthorization: Bearer {CREDENTIAL}\r\n"
    return f"{head}Content-Length: {len(content)}\r\n\r\n".encode() + content


def send(address: str, method: str, path: str, body) -> socket.socket:
    host, _, port = address.partition(":")
    connection = socket.create_connection((host, int(port)), timeout=5.0)
    connection.sendall(encode(method, path, body))
    return connection


def insist(addresses: list[str], method: str, path: str, body) -> None:
    """Repeat a call at one address after the other until it is acknowledged."""
    body = body() if callable(body) else body
    for address in addresses * 40:
        with send(address, method, path, body) as connection:
            status = connection.recv(65536).split(b" ")[1]
        if status == b"200":
            return
        assert status == b"503", (method, path, status)
        time.sleep(0.1)
    raise AssertionError(f"not acknowledged: {method} {path}")


def follower(deployment) -> str:
    replicas = deployment.client.read(REPLICAS)["replicas"]
    return next(r["id"].partition("@")[0] for r in replicas if r["role"] == "follower")


def is_settled(deployment) -> bool:
    """Tell whether each replica reads the state of a quorum."""
    try:
        return all(r["role"] != "unreachable" for r in deployment.client.read(REPLICAS)["replicas"])
    except FinchwayError:
        return False


# A replica that woke carried out changes whose caller had gone on elsewhere, over newer ones.
@pytest.mark.parametrize("leaves_open", [False, True], ids=["closed", "left-open"])
@pytest.mark.parametrize("order", ORDERS.values(), ids=ORDERS.keys())
def test_change_whose_caller_has_gone_on_elsewhere_is_not_carried_out(
    deployment, order, leaves_open
):
    frozen = follower(deployment)
    others = [address for name, address in deployment.api.items() if name != frozen]
    for call in order.before:
        insist(others, *call)
    host, _, port = deployment.api[frozen].partition(":")
    connection = socket.create_connection((host, int(port)))
    time.sleep(0.2)
    logged = len((deployment.folder / f"{frozen}.log").read_text())
    deployment.processes[frozen].send_signal(signal.SIGSTOP)
    try:
        connection.sendall(encode(order.method, order.path, order.body))
        time.sleep(CALLER_WAITS_S)
        if not leaves_open:
            connection.close()
        for call in order.elsewhere:
            insist(others, *call)
    finally:
        deployment.processes[frozen].send_signal(signal.SIGCONT)
    time.sleep(SETTLED_S)
    deployment.wait(lambda: is_settled(deployment), "all replicas")
    connection.close()
    assert order.holds(deployment.client)
    if leaves_open and order.expires:
        assert EXPIRED in (deployment.folder / f"{frozen}.log").read_text()[logged:]
