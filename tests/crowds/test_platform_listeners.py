"""No crowd of clients ends or hangs a gateway or a replica, whatever it sends to which listener."""

import functools

import msgspec
import pytest
import trio

from tests.adapter import documents
from tests.crowds.crowd import Crowd, Shape, play
from tests.crowds.platform_pair import (
    CALM,
    CROWDED,
    DESCRIPTORS,
    LISTENERS,
    LONG_ANSWER_PATH,
    MEMORY_MB,
    pair,
)

ORDINARY_UPLOAD = b"u" * 60_000
CALLS = {
    "readiness": ("GET", "/-/readiness"),
    "directory": ("GET", "/-/resolve?name=jepu9.example&region=colombo&zone=col-a"),
    "control": ("GET", "/-/Config.Get"),
    "metrics": ("GET", "/metrics"),
}
FRONT_CROWDS = [
    (Shape.LARGE_CHUNKS, 120),
    (Shape.TINY_CHUNKS, 60),
    (Shape.ONE_BYTE_CHUNKS, 60),
    (Shape.BUT_A_BYTE, 120),
    (Shape.WHOLE, 120),
    (Shape.PIECES, 120),
    (Shape.LONG, 120),
    (Shape.ANNOUNCED, 120),
    (Shape.JUST_SENT, 80),
    (Shape.PIPELINED, 1000),
    (Shape.HEADS, 1000),
    (Shape.UNREAD, 500),
]
OTHER_CROWDS = [
    (Shape.LARGE_CHUNKS, 120),
    (Shape.TINY_CHUNKS, 60),
    (Shape.BUT_A_BYTE, 120),
    (Shape.WHOLE, 120),
    (Shape.JUST_SENT, 80),
]
# Descriptors of a machine, in the tests of clients that only connect.
FEW_DESCRIPTORS = 400


def name_of(value):
    return value.name.lower().replace("_", "-") if isinstance(value, Shape) else None


def check(folder, listener, shape, clients, descriptors=DESCRIPTORS):
    """Play a crowd; the process lives within its machine's limits and then serves a client."""

    async def run():
        async with pair(folder, descriptors) as subject:
            ip = LISTENERS.get(listener, "127.0.3.2")
            method, path = CALLS.get(listener, ("POST", f"/{CROWDED}/1"))
            if listener == "control" and shape is not Shape.SILENT:
                method, path = "POST", "/-/Config.Patch"
            address = (ip, subject.ports[listener])
            if shape is Shape.UNREAD:
                path = LONG_ANSWER_PATH
            crowd = Crowd(address, shape, clients, path, method=method)
            use = await play(crowd, subject.running[ip], functools.partial(ask, subject, listener))
            print(f"{listener} {shape.name}: {use.bytes / 1e6:.0f} MB, {use.descriptors} open")
            assert use.bytes <= MEMORY_MB * 1_000_000
            assert use.descriptors <= descriptors
            assert all(process.poll() is None for process in subject.running.values())

    try:
        trio.run(run)
    except BaseException:
        for log in sorted(folder.glob("log-*")):
            print(log.name, log.read_text()[-2000:])
        raise


async def ask(subject, listener):
    """Make an ordinary client's call, at once as the crowd has sent what it has."""
    if listener != "front":
        answer = await subject.call(listener, *CALLS[listener])
        assert answer is not None
        assert answer[0] == 200
        return
    assert await subject.send_request() == (200, b"ok")


@pytest.mark.parametrize(("shape", "clients"), FRONT_CROWDS, ids=name_of)
def test_a_crowd_at_the_front_ends_no_gateway(tmp_path, shape, clients):
    check(tmp_path, "front", shape, clients)


@pytest.mark.parametrize(("shape", "clients"), OTHER_CROWDS, ids=name_of)
@pytest.mark.parametrize("listener", list(CALLS))
def test_a_crowd_at_another_listener_ends_no_process(tmp_path, listener, shape, clients):
    check(tmp_path, listener, shape, clients)


@pytest.mark.parametrize("listener", ["front", *CALLS])
def test_clients_that_only_connect_leave_descriptors_for_others(tmp_path, listener):
    check(tmp_path, listener, Shape.SILENT, FEW_DESCRIPTORS + 100, FEW_DESCRIPTORS)


@pytest.mark.parametrize("shape", [Shape.LARGE_CHUNKS, Shape.BUT_A_BYTE, Shape.ONE_BYTE_CHUNKS])
def test_an_ordinary_upload_is_served_after_a_crowd(tmp_path, shape):
    """It may be told to come back, as its client would; it is repeated until it is served."""

    async def run():
        async with pair(tmp_path) as subject:
            address = ("127.0.3.2", subject.ports["front"])

            async def upload():
                while await subject.send_request(ORDINARY_UPLOAD) != (200, b"ok"):
                    await trio.sleep(0.2)

            await play(
                Crowd(address, shape, 60, f"/{CROWDED}/1"), subject.running["127.0.3.2"], upload
            )

    trio.run(run)


@pytest.mark.parametrize("shape", ["tiny chunks", "largest body", "large configuration"])
def test_a_single_large_request_is_served_in_calm(tmp_path, shape):
    async def run():
        async with pair(tmp_path) as subject:
            if shape == "large configuration":
                routes = [
                    documents.route(f"r-{number}", path_prefix=f"/p{number}/", service=CALM)
                    for number in range(1500)
                ]
                body = msgspec.json.encode(documents.patch(*routes))
                answer = await subject.call("control", "POST", "/-/Config.Patch", body)
                assert answer[0] == 200
                return
            stream = await trio.open_tcp_stream("127.0.3.2", subject.ports["front"])
            head = (
                b"POST /calm/1 HTTP/1.1\r\nHost: jepu9.example\r\nX-Finchway-Request-Id: one\r\n"
                b"X-Finchway-Deadline-Ms: 30000\r\n"
            )
            if shape == "tiny chunks":
                await stream.send_all(head + b"Transfer-Encoding: chunked\r\n\r\n")
                await stream.send_all(b"2\r\nxx\r\n" * 50_000 + b"0\r\n\r\n")
            else:
                await stream.send_all(head + b"Content-Length: 67108864\r\n\r\n")
                for _ in range(64):
                    await stream.send_all(b"x" * 1024 * 1024)
            assert (await stream.receive_some(4096)).startswith(b"HTTP/1.1 200 ")

    trio.run(run)
