"""Headers of upstreams that look like numbers and are none.

An upstream's load of "²,0" ended the request that it had answered without an answer: the sign
counts as a digit, and is no number. So did a `Keep-Alive` of that kind, and a load of 5,000 digits.
"""

import itertools

import trio

from tests.gateway.harness import NAMES, Upstream, answer, gateway, header_of

ODD = ("²", "9" * 5_000, "-1", "1.5", "nan", "", "1,2", "0x10")


HEADERS = (
    NAMES.load + b": %s,0,4\r\n",
    NAMES.load + b": 1,%s\r\n",
    b"Keep-Alive: timeout=%s\r\n",
)


def test_an_answer_with_an_odd_header_is_passed_on():
    cases = list(itertools.product(HEADERS, ODD))

    async def serve(upstream, stream, request):
        number = int(header_of(request, NAMES.request_id))
        header, odd = cases[number]
        await stream.send_all(answer(request, b"hello", extra=header % odd.encode("latin-1")))

    async def check():
        unanswered = []
        async with gateway(Upstream("i-1", serve)) as subject:
            for number, case in enumerate(cases):
                caller = await subject.connect()
                got = await caller.ask(request_id=b"%d" % number)
                if got is None or (got[0], got[2]) != (200, b"hello"):
                    unanswered.append(case)
        assert unanswered == []

    trio.run(check)
