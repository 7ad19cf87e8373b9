"""A gateway whose own link cannot carry what callers ask of it.

Symptom: a route that was added, and confirmed by control, is not known to a gateway 9.8 s later; it
answers 404, and once it no longer does that, it still routes by what it knew. Sequence: callers of
three availability zones come to the seven gateways of one; they ask for 400 KB/s each way of a link
of 331 KB/s; what is too much waits in front of the link, and so do the answers of control, longer
each second. Cause: a gateway took in whatever came, however far behind its link was, and news
shares the link with it. What settled it, from the lines of these gateways:

    15.28  gateway-3  request  status=404 reason=no route revision=3 heard_ms=9824.5

while control was at revision 12; and with late answers of the feed taken as they come, the age of
what is known (`known_ms`, median of all requests) grew from 0.8 s at 4 s to 4.9 s at 13 s and
10.9 s at 20 s, with one request in eight answered well.
"""

import trio

from tests.gateway.harness import Upstream, answer, gateway, header_of

LINK_BYTES_PER_S = 200_000
ANSWER_BYTES = 20_000
CALLERS = 60
# Seconds that news may wait on a link behind what callers were promised: half of what an accepted
# change may take, less the time that an answer of control is held.
BEHIND_S = 0.6


async def serve_much(upstream, stream, request):
    await stream.send_all(answer(request, b"x" * ANSWER_BYTES))


def test_a_gateway_takes_no_more_than_its_link_carries_and_refuses_the_rest_at_once():
    async def check():
        answers = []

        async def ask(subject):
            caller = await subject.connect()
            started = trio.current_time()
            status, head, _ = await caller.ask()
            answers.append((status, head, trio.current_time() - started))

        upstream = Upstream("i-1", serve_much, slots=100)
        async with gateway(upstream, link_bytes_per_s=LINK_BYTES_PER_S) as subject:
            for _ in range(4):
                await (await subject.connect()).ask()
            await trio.sleep(1.0)
            async with trio.open_nursery() as nursery:
                for _ in range(CALLERS):
                    nursery.start_soon(ask, subject)
            taken = sum(status == 200 for status, _, _ in answers)
            refused = [(head, seconds) for status, head, seconds in answers if status == 503]
            assert taken + len(refused) == CALLERS
            assert 3 <= taken <= BEHIND_S * LINK_BYTES_PER_S / ANSWER_BYTES + 1
            assert all(header_of(head, b"retry-after") for head, _ in refused)
            assert max(seconds for _, seconds in refused) < 0.3
            await trio.sleep(1.0)
            assert (await (await subject.connect()).ask())[0] == 200

    trio.run(check)
