"""No crowd of clients ends or hangs an entry or a replica's resource API."""

import functools

import pytest
import trio

from bench.deploy import CREDENTIAL, Deployment
from bench.shapes import ServiceShape, credential_of
from bench.shapes import Shape as Fleet
from tests.crowds.crowd import Crowd, Shape, play
from tests.crowds.platform_pair import ANSWER_LIMIT_S, DESCRIPTORS, MEMORY_MB, TEST_LIMIT_S
from tests.crowds.test_platform_listeners import FEW_DESCRIPTORS, name_of

FLEET = Fleet(
    "crowds",
    ("north",),
    0.0,
    0.0,
    0.0,
    (
        ServiceShape("bays", 2, 5.0, deadline_ms=20_000),
        ServiceShape("uploads", 1, 15_000.0, deadline_ms=20_000),
    ),
)
CROWDS = [
    (Shape.LARGE_CHUNKS, 200),
    (Shape.TINY_CHUNKS, 160),
    (Shape.BUT_A_BYTE, 200),
    (Shape.WHOLE, 200),
    (Shape.LONG, 200),
    (Shape.JUST_SENT, 80),
    (Shape.PIPELINED, 400),
]


def check(folder, name, shape, clients, descriptors=DESCRIPTORS):
    """Play a crowd at `e1` or `c1`; the process lives within its limits, then serves a client."""
    deployment = Deployment(folder, FLEET, entries=1, replicas=1)
    deployment.extra = [f"--memory_mb={MEMORY_MB}", f"--max_descriptors={descriptors}"]
    try:
        deployment.start_declared()
        process = deployment.processes[name]
        host, _, port = (deployment.entry | deployment.api)[name].partition(":")
        crowd = Crowd((host, int(port)), shape, clients, **crowd_at(name))
        use = run(crowd, process, functools.partial(ask, crowd.address, name))
        print(f"{name} {shape.name}: {use.bytes / 1e6:.0f} MB, {use.descriptors} open")
        assert use.bytes <= MEMORY_MB * 1_000_000
        assert use.descriptors <= descriptors
        assert all(running.poll() is None for running in deployment.processes.values())
    except BaseException:
        print((folder / f"{name}.log").read_text()[-3000:])
        raise
    finally:
        deployment.stop()


def crowd_at(name):
    """Return where a crowd sends, with a credential, so that its bodies are read."""
    if name == "e1":
        authorization = f"Authorization: Bearer {credential_of('gold')}"
        return {"path": "/s/uploads/call", "headers": (authorization,)}
    authorization = f"Authorization: Bearer {CREDENTIAL}"
    return {"path": "/v1/resources/zone/x", "headers": (authorization,), "method": "PUT"}


def run(crowd, process, then):
    """Play a crowd on trio."""

    async def guarded():
        with trio.fail_after(TEST_LIMIT_S):
            return await play(crowd, process, then)

    return trio.run(guarded)


async def ask(address, name):
    """Make an ordinary client's call, at once as the crowd has sent what it has."""
    path, credential = "/s/bays/call", credential_of("gold")
    if name == "c1":
        path, credential = "/v1/resources/service", CREDENTIAL
    head = f"GET {path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {credential}\r\n\r\n"
    with trio.fail_after(ANSWER_LIMIT_S):
        stream = await trio.open_tcp_stream(*address)
        await stream.send_all(head.encode())
        answer = await stream.receive_some(4096)
    assert answer.startswith(b"HTTP/1.1 200 ")
    await trio.aclose_forcefully(stream)


@pytest.mark.parametrize(("shape", "clients"), CROWDS, ids=name_of)
@pytest.mark.parametrize("name", ["e1", "c1"])
def test_a_crowd_ends_no_entry_and_no_replica(tmp_path, name, shape, clients):
    check(tmp_path, name, shape, clients)


@pytest.mark.parametrize("name", ["e1", "c1"])
def test_clients_that_only_connect_leave_descriptors_for_others(tmp_path, name):
    check(tmp_path, name, Shape.SILENT, FEW_DESCRIPTORS + 100, FEW_DESCRIPTORS)
