"""Effects of upstream response headers on the gateway that no other test covers."""

import trio

from tests.gateway.harness import NAMES, Upstream, answer, gateway


async def send_request(subject, number=1):
    caller = await subject.connect()
    status, head, _ = await caller.request(request_id=b"id-%d" % number)
    await trio.aclose_forcefully(caller.stream)
    return status, head


def serve_with(headers):
    async def script(upstream, stream, request):
        await stream.send_all(answer(request, b"x", b"200 OK", headers))

    return script


def test_connection_close_ends_reuse():
    async def check():
        upstream = Upstream("i-1", serve_with(b"Connection: close\r\n"))
        async with gateway(upstream) as subject:
            assert [(await send_request(subject, n))[0] for n in range(3)] == [200] * 3
            assert upstream.connections == 3

    trio.run(check)


def test_keep_alive_max_is_ignored():
    async def check():
        upstream = Upstream("i-1", serve_with(b"Keep-Alive: timeout=5, max=1\r\n"))
        async with gateway(upstream) as subject:
            assert [(await send_request(subject, n))[0] for n in range(3)] == [200] * 3
            assert upstream.connections == 1

    trio.run(check)


def test_informational_responses_are_skipped():
    async def announce(upstream, stream, request):
        await stream.send_all(b"HTTP/1.1 103 Early Hints\r\nRetry-After: 9\r\n\r\n")
        await stream.send_all(answer(request, b"x"))

    async def check():
        async with gateway(Upstream("i-1", announce)) as subject:
            assert [(await send_request(subject, n))[0] for n in range(3)] == [200] * 3

    trio.run(check)


def test_pushback_of_a_stray_answer_applies():
    async def stray_first(upstream, stream, request):
        headers = NAMES.not_executed + b": 1\r\nRetry-After: 9\r\n"
        stray = answer(request.replace(b"id-", b"other-"), b"", b"503 Unavailable", headers)
        await stream.send_all(stray + answer(request, b"mine"))

    async def check():
        upstream = Upstream("i-1", stray_first)
        async with gateway(upstream) as subject:
            assert [(await send_request(subject, n))[0] for n in range(3)] == [200, 503, 503]
            assert len(upstream.requests) == 1

    trio.run(check)


def test_status_429_is_forwarded_without_a_backoff():
    async def too_many(upstream, stream, request):
        await stream.send_all(answer(request, b"", b"429 Too Many", b"Retry-After: 9\r\n"))

    async def check():
        upstream = Upstream("i-1", too_many)
        async with gateway(upstream) as subject:
            for number in range(3):
                status, head = await send_request(subject, number)
                assert (status, b"Retry-After: 9" in head or b"retry-after: 9" in head) == (
                    429,
                    True,
                )
            assert len(upstream.requests) == 3

    trio.run(check)
