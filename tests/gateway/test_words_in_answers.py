"""Words that an upstream adds to its answers, and what each of them changes at a gateway.

A header that nobody reads looks the same as one that is passed over on purpose, until an upstream
counts on it: 62 requests reached one in the rest that it had asked for. The table "Words in
answers" in docs/INTERFACES.md has all of them; what no other test shows of it stands here.
"""

import trio

from tests.gateway.harness import NAMES, Upstream, answer, gateway


async def ask(subject, number=1):
    caller = await subject.connect()
    status, head, _ = await caller.ask(request_id=b"id-%d" % number)
    await trio.aclose_forcefully(caller.stream)
    return status, head


def serve_with(words):
    async def script(upstream, stream, request):
        await stream.send_all(answer(request, b"x", b"200 OK", words))

    return script


def test_a_connection_that_is_to_be_closed_is_not_used_again():
    async def check():
        upstream = Upstream("i-1", serve_with(b"Connection: close\r\n"))
        async with gateway(upstream) as subject:
            assert [(await ask(subject, n))[0] for n in range(3)] == [200] * 3
            assert upstream.connections == 3

    trio.run(check)


def test_how_many_requests_a_connection_bears_is_passed_over():
    async def check():
        upstream = Upstream("i-1", serve_with(b"Keep-Alive: timeout=5, max=1\r\n"))
        async with gateway(upstream) as subject:
            assert [(await ask(subject, n))[0] for n in range(3)] == [200] * 3
            assert upstream.connections == 1

    trio.run(check)


def test_answers_that_only_announce_the_real_one_are_passed_over():
    async def announce(upstream, stream, request):
        await stream.send_all(b"HTTP/1.1 103 Early Hints\r\nRetry-After: 9\r\n\r\n")
        await stream.send_all(answer(request, b"x"))

    async def check():
        async with gateway(Upstream("i-1", announce)) as subject:
            assert [(await ask(subject, n))[0] for n in range(3)] == [200] * 3

    trio.run(check)


def test_what_an_answer_to_another_request_asks_for_binds():
    async def stray_first(upstream, stream, request):
        words = NAMES.not_executed + b": 1\r\nRetry-After: 9\r\n"
        stray = answer(request.replace(b"id-", b"other-"), b"", b"503 Unavailable", words)
        await stream.send_all(stray + answer(request, b"mine"))

    async def check():
        upstream = Upstream("i-1", stray_first)
        async with gateway(upstream) as subject:
            assert [(await ask(subject, n))[0] for n in range(3)] == [200, 503, 503]
            assert len(upstream.requests) == 1

    trio.run(check)


def test_a_429_is_the_callers_and_binds_nobody():
    async def too_many(upstream, stream, request):
        await stream.send_all(answer(request, b"", b"429 Too Many", b"Retry-After: 9\r\n"))

    async def check():
        upstream = Upstream("i-1", too_many)
        async with gateway(upstream) as subject:
            for number in range(3):
                status, head = await ask(subject, number)
                assert (status, b"Retry-After: 9" in head or b"retry-after: 9" in head) == (
                    429,
                    True,
                )
            assert len(upstream.requests) == 3

    trio.run(check)
