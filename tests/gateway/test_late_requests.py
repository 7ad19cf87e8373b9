"""Requests that reach a gateway late in its planned stop: answered, or refused as not run."""

import functools
import random

import pytest
import trio

from finchway.catalog import RouteType
from tests.gateway.harness import Upstream, answer, header_of, on_trio, serve_ok
from tests.gateway.stopping import GRACE_S, stopping_gateway

# Seconds after the stop signal: connections are accepted until the first, what is left is ended at
# the second.
ACCEPTED_UNTIL_S = GRACE_S / 2
ENDS_AT_S = GRACE_S - 0.15
# A request that is sent then, on a connection opened shortly before accepting ended.
LATE_S = ACCEPTED_UNTIL_S + 0.1
CONNECT_S = ACCEPTED_UNTIL_S - 0.1
# A time in the first part of the stop, in which requests are taken whatever their deadline.
EARLY_S = 0.5
QUICK_ANSWERS = 5
# Work that a late request does not finish before the end, and a deadline beyond the end.
WORK_S = 0.9
DEADLINE_MS = b"1900"
REFUSED_WITHIN_S = 0.1
HEAD = (
    b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nfinchway-request-id: late\r\n"
    b"finchway-deadline-ms: " + DEADLINE_MS + b"\r\n"
)
LONG_BODY = b"x" * 1_100_000
SWEEP_CALLS = 60


async def work(upstream, stream, request):
    await trio.sleep(WORK_S)
    await serve_ok(upstream, stream, request)


async def never(upstream, stream, request):
    await trio.sleep_forever()


async def send_on_new_connection(subject):
    await subject.until(CONNECT_S)
    caller = await subject.connect()
    await subject.until(LATE_S)
    await caller.send(b"POST", body=b"x", request_id=b"late", deadline_ms=DEADLINE_MS)
    return caller


async def send_end_of_body_late(subject):
    await subject.until(0.3)
    caller = await subject.connect()
    await caller.stream.send_all(HEAD + b"Content-Length: 2000\r\n\r\n" + b"x" * 1000)
    await subject.until(LATE_S)
    await caller.stream.send_all(b"x" * 1000)
    return caller


async def send_last_chunk_late(subject):
    await subject.until(0.3)
    caller = await subject.connect()
    await caller.stream.send_all(HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nxxx\r\n")
    await subject.until(LATE_S)
    await caller.stream.send_all(b"0\r\n\r\n")
    return caller


SENDERS = {
    "new-connection": send_on_new_connection,
    "end-of-body-late": send_end_of_body_late,
    "last-chunk-late": send_last_chunk_late,
}


# Requests that came late in a stop were passed on and cut off at its end without an answer.
@pytest.mark.parametrize("sender", SENDERS)
def test_request_that_may_outlast_the_stop_is_refused_before_it_is_passed_on(sender):
    async def test():
        upstream = Upstream("i-1", work)
        route = {"type": RouteType.UNSAFE, "timeout": 5.0, "target_latency": 0.5}
        async with stopping_gateway(upstream, **route) as subject:
            subject.signal_stop()
            caller = await SENDERS[sender](subject)
            sent_at = trio.current_time()
            received = await caller.receive()
            assert received is not None, "the connection ended without an answer"
            status, head, _ = received
            assert status == 503
            assert trio.current_time() - sent_at < REFUSED_WITHIN_S
            assert 0 <= float(header_of(head, b"retry-after")) <= 0.1
            assert header_of(head, b"connection") == b"close"
            assert upstream.requests == []

    trio.run(test)


# A long body whose end came late in a stop was cut off after its first part had been passed on.
@on_trio
async def test_streamed_request_that_may_outlast_the_stop_is_refused_at_its_first_part():
    upstream = Upstream("i-1", work)
    async with stopping_gateway(upstream, type=RouteType.UPLOAD, timeout=5.0) as subject:
        subject.signal_stop()
        await subject.until(0.3)
        caller = await subject.connect()
        length = str(len(LONG_BODY) + 1).encode()
        head = HEAD + b"Content-Length: " + length + b"\r\n\r\n"
        await caller.stream.send_all(head + LONG_BODY)
        await subject.until(LATE_S)
        await caller.stream.send_all(b"x")
        received = await caller.receive()
        assert received is not None, "the connection ended without an answer"
        assert received[0] == 503
        assert upstream.requests == []
        assert upstream.connections == 0


# A pipelined request was handled late, once the long answer before it had ended.
@on_trio
async def test_request_behind_a_long_answer_is_refused_if_it_may_outlast_the_stop():
    async def serve(upstream, stream, request):
        if len(upstream.requests) > 1:
            await work(upstream, stream, request)
            return
        whole = answer(request, b"y" * 600_000)
        await stream.send_all(whole[:-1])
        await subject.until(LATE_S)
        await stream.send_all(whole[-1:])

    upstream = Upstream("i-1", serve)
    async with stopping_gateway(
        upstream, type=RouteType.UNSAFE, timeout=5.0, target_latency=0.5
    ) as subject:
        caller = await subject.connect()
        await caller.send(request_id=b"first", deadline_ms=b"4000")
        await caller.send(request_id=b"late", deadline_ms=b"4000")
        await trio.sleep(0.1)
        subject.signal_stop()
        assert (await caller.receive())[0] == 200
        received = await caller.receive()
        assert received is not None, "the connection ended without an answer"
        assert received[0] == 503
        assert len(upstream.requests) == 1


# With a late handler, requests were taken and cut off later than the signal allows.
@on_trio
async def test_stop_is_timed_from_its_signal_when_the_handler_runs_late():
    upstream = Upstream("i-1", work)
    async with stopping_gateway(
        upstream, type=RouteType.UNSAFE, timeout=5.0, target_latency=0.5
    ) as subject:
        subject.signal_stop(handled_after_s=0.3)
        await subject.until(CONNECT_S)
        caller = await subject.connect()
        assert (await caller.request(deadline_ms=DEADLINE_MS))[0] == 503
        await subject.stopped.wait()
        assert trio.current_time() - subject.stopped_at < ENDS_AT_S + 0.15


@pytest.mark.parametrize("sent_after_s", (0.05, 0.3, 0.6))
def test_request_before_the_late_part_of_a_stop_is_served_whatever_its_deadline(sent_after_s):
    async def test():
        async with stopping_gateway(Upstream("i-1", work), timeout=30.0) as subject:
            subject.signal_stop()
            await subject.until(sent_after_s)
            caller = await subject.connect()
            assert (await caller.request(deadline_ms=b"30000"))[0] == 200

    trio.run(test)


@on_trio
async def test_late_request_whose_deadline_lies_within_the_stop_is_served():
    async with stopping_gateway(Upstream("i-1", serve_ok)) as subject:
        subject.signal_stop()
        await subject.until(CONNECT_S)
        caller = await subject.connect()
        await subject.until(LATE_S)
        assert (await caller.request(deadline_ms=b"300"))[0] == 200


@on_trio
async def test_request_before_the_late_part_is_passed_on_with_no_more_time_than_is_left():
    upstream = Upstream("i-1", serve_ok)
    async with stopping_gateway(upstream, target_latency=0.05) as subject:
        subject.signal_stop()
        await subject.until(EARLY_S)
        caller = await subject.connect()
        assert (await caller.request(deadline_ms=b"3000"))[0] == 200
        handed_s = int(header_of(upstream.requests[0], b"finchway-deadline-ms")) / 1000
        assert handed_s <= ENDS_AT_S - EARLY_S


# Late requests were taken since earlier answers had come quickly, and broken off at the end of the
# stop while their upstream was at work.
@pytest.mark.parametrize("sender", SENDERS)
def test_quick_answers_before_a_stop_let_in_no_late_request_that_may_be_broken_off(sender):
    async def serve(upstream, stream, request):
        if len(upstream.requests) > QUICK_ANSWERS:
            await never(upstream, stream, request)
        await serve_ok(upstream, stream, request)

    async def test():
        upstream = Upstream("i-1", serve)
        route = {"type": RouteType.UNSAFE, "timeout": 5.0, "target_latency": 0.05}
        async with stopping_gateway(upstream, **route) as subject:
            caller = await subject.connect()
            for _ in range(QUICK_ANSWERS):
                assert (await caller.request())[0] == 200
            subject.signal_stop()
            late = await SENDERS[sender](subject)
            received = await late.receive()
            assert received is not None, "the connection ended without an answer"
            assert received[0] == 503
            assert len(upstream.requests) == QUICK_ANSWERS

    trio.run(test)


# Callers whose requests the end of a stop cut off saw a closed connection.
@on_trio
async def test_request_that_a_stop_ends_is_answered_without_a_promise():
    upstream = Upstream("i-1", never)
    async with stopping_gateway(upstream, type=RouteType.UNSAFE, timeout=30.0) as subject:
        before, during = await subject.connect(), await subject.connect()
        await before.send(request_id=b"before", deadline_ms=b"30000")
        await trio.sleep(0.1)
        subject.signal_stop()
        await subject.until(0.2)
        await during.send(request_id=b"during", deadline_ms=b"30000")
        for caller in (before, during):
            received = await caller.receive()
            assert received is not None, "the connection ended without an answer"
            assert received[0] == 502
        assert trio.current_time() - subject.stopped_at < GRACE_S - 0.05


# Of many requests around the end of accepting, some late ones were passed on and then cut off.
@pytest.mark.parametrize("seed", range(4))
def test_no_late_request_is_passed_on_and_left_without_an_answer(seed):
    rng = random.Random(seed)
    answered: dict[bytes, int | None] = {}
    sent_at: dict[bytes, float] = {}

    async def serve(upstream, stream, request):
        """Work for a while, at most until the deadline."""
        work_s = rng.uniform(0.0, 2.5)
        handed_s = int(header_of(request, b"finchway-deadline-ms")) / 1000
        await trio.sleep(min(work_s, handed_s))
        if work_s > handed_s:
            await stream.send_all(answer(request, b"", b"504 Out of time"))
        else:
            await serve_ok(upstream, stream, request)

    async def call(subject, number: int) -> None:
        identity = b"id-%d" % number
        connect_s = rng.uniform(0.6, ACCEPTED_UNTIL_S)
        await subject.until(connect_s)
        try:
            caller = await subject.connect()
            await subject.until(connect_s + rng.uniform(0.0, 0.45))
            body = b"x" * rng.choice((1, 40_000))
            head = HEAD.replace(b"late", identity)
            head = head.replace(DEADLINE_MS, b"%d" % rng.randint(200, 4000))
            head += b"Content-Length: %d\r\n\r\n" % len(body)
            half = len(body) // 2
            await caller.stream.send_all(head + body[:half])
            await trio.sleep(rng.choice((0.0, 0.2)))
            await caller.stream.send_all(body[half:])
        except (OSError, trio.BrokenResourceError):
            return
        sent_at[identity] = trio.current_time() - subject.stopped_at
        received = await caller.receive()
        answered[identity] = None if received is None else received[0]

    async def test():
        upstreams = [Upstream(f"i-{number}", serve, slots=30) for number in range(3)]
        route = {"type": RouteType.UNSAFE, "timeout": 5.0}
        async with stopping_gateway(*upstreams, **route) as subject:
            subject.signal_stop()
            async with trio.open_nursery() as nursery:
                for number in range(SWEEP_CALLS):
                    nursery.start_soon(functools.partial(call, subject, number))
        passed_on = {
            header_of(request, b"finchway-request-id")
            for upstream in upstreams
            for request in upstream.requests
        }
        late = [i for i, at in sent_at.items() if at > ACCEPTED_UNTIL_S]
        lost = [i for i in late if i in passed_on and answered[i] in (None, 502)]
        cut_off = [i for i in passed_on if i in answered and answered[i] is None]
        untrue = [i for i in passed_on if answered.get(i) == 503]
        assert late and passed_on
        assert (lost, cut_off, untrue) == ([], [], [])

    trio.run(test)
