"""Upstreams in trouble whose bytes are no answer: an entry's client must not take them for one."""

import pytest
import trio

from finchway.entry import UpstreamClient, UpstreamError
from tests.gateway.test_broken_answers import ODD_HEADS, SOUND_HEADS, EarlyUpstream, head_of

UPLOAD = b"u" * 4_000_000


async def fetch(address: str, method: str = "GET", body: bytes = b"") -> tuple[int, bytes]:
    """Send one request; returns status and body."""
    headers = [(b"host", b"a"), (b"content-length", b"%d" % len(body))]
    async with UpstreamClient().open(address, method, "/", headers, body) as reply:
        return reply.status, b"".join([chunk async for chunk in reply.chunks()])


def play(script, method: str = "GET", body: bytes = b"") -> tuple[int, bytes]:
    """Send one request to an upstream with this script."""

    async def run():
        upstream = EarlyUpstream("i-1", script)
        with trio.fail_after(5.0):
            async with trio.open_nursery() as nursery:
                await nursery.start(upstream.run)
                answer = await fetch(upstream.address, method, body)
                nursery.cancel_scope.cancel()
        return answer

    try:
        return trio.run(run)
    except BaseExceptionGroup as group:
        raise group.exceptions[0] from None


def script_of(head: bytes):
    async def script(upstream, stream, request):
        await stream.send_all(head.replace(b"@", b"") + b"ok")
        if b"chunked" in head:
            await stream.send_all(b"\r\n0\r\n\r\n")
        await stream.send_eof()

    return script


@pytest.mark.parametrize("name", list(ODD_HEADS))
def test_an_odd_head_is_no_answer(name):
    with pytest.raises(UpstreamError):
        play(script_of(ODD_HEADS[name]))


@pytest.mark.parametrize("name", list(SOUND_HEADS))
def test_a_sound_head_is_an_answer(name):
    assert play(script_of(SOUND_HEADS[name])) == (200, b"ok")


def test_an_answer_that_is_reset_under_an_upload_is_not_whole():
    async def script(upstream, stream, request):
        await stream.send_all(head_of(request) + b"\r\npart")
        await trio.aclose_forcefully(stream)

    with pytest.raises(UpstreamError):
        play(script, "POST", UPLOAD)


# An upstream that sent informational heads without end took an entry's processor.
def test_informational_heads_without_end_are_no_answer():
    sent = 0

    async def script(upstream, stream, request):
        nonlocal sent
        while True:
            await stream.send_all(b"HTTP/1.1 102 Processing\r\n\r\n" * 1_000)
            sent += 1

    with pytest.raises(UpstreamError):
        play(script)
    assert sent < 100


def test_an_answer_after_a_few_informational_heads_is_one():
    head = b"HTTP/1.1 102 Processing\r\n\r\n" * 50 + SOUND_HEADS["no reason"]
    assert play(script_of(head)) == (200, b"ok")
