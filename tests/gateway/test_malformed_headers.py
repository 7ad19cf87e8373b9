"""Malformed numbers in upstream headers must not fail the request.

Superscript digits, for example, satisfy `str.isdigit` but not `int`.
"""

import itertools

import trio

from tests.gateway.harness import NAMES, Upstream, answer, gateway, header_of

MALFORMED = ("²", "9" * 5_000, "-1", "1.5", "nan", "", "1,2", "0x10")


HEADERS = (
    NAMES.load + b": %s,0,4\r\n",
    NAMES.load + b": 1,%s\r\n",
    b"Keep-Alive: timeout=%s\r\n",
)


def test_answer_with_a_malformed_header_is_forwarded():
    cases = list(itertools.product(HEADERS, MALFORMED))

    async def serve(upstream, stream, request):
        number = int(header_of(request, NAMES.request_id))
        header, value = cases[number]
        await stream.send_all(answer(request, b"hello", extra=header % value.encode("latin-1")))

    async def check():
        unanswered = []
        async with gateway(Upstream("i-1", serve)) as subject:
            for number, case in enumerate(cases):
                caller = await subject.connect()
                got = await caller.request(request_id=b"%d" % number)
                if got is None or (got[0], got[2]) != (200, b"hello"):
                    unanswered.append(case)
        assert unanswered == []

    trio.run(check)
