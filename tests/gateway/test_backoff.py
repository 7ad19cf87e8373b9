"""Pushback of upstreams: a 503 with Retry-After requests a backoff, a leaving header an end.

The gateway must send nothing to the upstream meanwhile, and refuse callers at once if it has no
other upstream.
"""

import functools
import math
import time

import pytest
import trio

from finchway.gateway._http import BUFFERED_BODY_BYTES
from tests.gateway.harness import NAMES, Calls, Upstream, answer, gateway, on_trio, serve_ok

RETRY_AFTER_S = 2
# Requests may be in flight when a backoff begins, so it counts from this time on.
IN_FLIGHT_S = 0.5
MAX_DURING_BACKOFF = 2
NOT_EXECUTED = NAMES.not_executed + b": 1\r\n"


class BackoffUpstream(Upstream):
    """An upstream that requests a backoff with its first answer and serves once it is over.

    `extra` are further headers of its refusals. Requests for `/x/long` are answered after `long_s`.
    """

    def __init__(self, instance="i-1", extra=NOT_EXECUTED, seconds=RETRY_AFTER_S, **fields) -> None:
        super().__init__(instance, self._refuse, **fields)
        self._extra = extra
        self.retry_after = b"%d" % seconds
        self.seconds = seconds
        self.backoff_began_at = math.inf
        self.received_at: list[float] = []
        self.long_s = 0.8

    @property
    def received_during_backoff(self) -> int:
        """Requests received during the backoff."""
        first, end = self.backoff_began_at + IN_FLIGHT_S, self.backoff_began_at + self.seconds
        return sum(first < at < end for at in self.received_at)

    async def _refuse(self, _, stream, request) -> None:
        now = trio.current_time()
        self.received_at.append(now)
        if request.split(b" ")[1] == b"/x/long":
            await trio.sleep(self.long_s)
            await stream.send_all(answer(request))
            return
        if now >= self.backoff_began_at + self.seconds:
            await stream.send_all(answer(request))
            return
        self.backoff_began_at = min(self.backoff_began_at, now)
        extra = self._extra + b"Retry-After: " + self.retry_after + b"\r\n"
        await stream.send_all(answer(request, b"", b"503 Unavailable", extra))


REFUSALS = {
    "with free slots": NOT_EXECUTED + NAMES.load + b": 0,0,4\r\n",
    "full": NOT_EXECUTED + NAMES.load + b": 4,2,4\r\n",
    "without a load report": NOT_EXECUTED,
    "without not-executed": b"",
}


@on_trio
async def test_upstream_gets_no_requests_until_its_backoff_ends():
    counts = {}

    async def run_case(case, extra):
        upstream = BackoffUpstream(extra=extra)
        async with gateway(upstream) as subject:
            await Calls(subject).run_for(RETRY_AFTER_S - 0.1)
            counts[case] = upstream.received_during_backoff

    async with trio.open_nursery() as nursery:
        for case, extra in REFUSALS.items():
            nursery.start_soon(run_case, case, extra)
    assert all(count <= MAX_DURING_BACKOFF for count in counts.values()), counts


@on_trio
async def test_backoff_survives_earlier_answers_and_a_lost_registration():
    upstream = BackoffUpstream()
    async with gateway(upstream, timeout=10.0) as subject:
        earlier = Calls(subject)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                functools.partial(earlier.call, path=b"/x/long", deadline_ms=b"9000")
            )
            while not upstream.requests:
                await trio.sleep(0.01)
            nursery.start_soon(Calls(subject).run_for, RETRY_AFTER_S - 0.1)
            await trio.sleep(1.2)
            # The registration is lost and returns with the same incarnation.
            subject.view.registry.remove(upstream.instance)
            subject.apply_feed()
            await trio.sleep(0.25)
            subject.apply_feed([upstream.registration(sequence=2)])
        assert upstream.received_during_backoff <= MAX_DURING_BACKOFF
        assert earlier.statuses == [200]


class LeavingUpstream(Upstream):
    """An upstream that serves and announces in its answers that it leaves."""

    def __init__(self, instance="i-1", status=b"200 OK", extra=b"", **fields) -> None:
        super().__init__(instance, self._serve_leaving, **fields)
        self._status = status
        self._extra = NAMES.leaving + b": 1\r\n" + extra

    async def _serve_leaving(self, _, stream, request) -> None:
        await stream.send_all(answer(request, b"", self._status, self._extra))


@on_trio
async def test_leaving_upstream_gets_no_new_requests_whatever_the_status():
    received = {}

    async def run_case(status, extra):
        leaving, other = LeavingUpstream(status=status, extra=extra), Upstream("i-2", serve_ok)
        async with gateway(leaving, other) as subject:
            calls = Calls(subject)
            while not leaving.requests:
                await calls.call(request_id=b"k-%d" % len(calls.statuses))
            before = len(leaving.requests)
            await calls.run_for(1.0)
            received[status] = len(leaving.requests) - before
            assert set(calls.statuses[-20:]) == {200}

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_case, b"200 OK", b"")
        nursery.start_soon(run_case, b"404 Not Found", b"")
        nursery.start_soon(run_case, b"500 Failed", b"")
        nursery.start_soon(run_case, b"503 Full", NOT_EXECUTED)
    assert not any(received.values()), received


def backoff_upstreams(count, **fields):
    return [BackoffUpstream(f"i-{n}", **fields) for n in range(count)]


@on_trio
async def test_callers_are_refused_at_once_with_retry_after_while_all_upstreams_are_in_backoff():
    upstreams = backoff_upstreams(2, seconds=3)
    async with gateway(*upstreams, timeout=1.0) as subject:
        calls = Calls(subject)
        while not all(upstream.requests for upstream in upstreams):
            await calls.call(request_id=b"k-%d" % len(calls.statuses), deadline_ms=b"1000")
        # The last refusal covers the backoff of both upstreams.
        assert calls.retry_after[-1] >= 2.0
        before = sum(len(upstream.requests) for upstream in upstreams)
        fresh = Calls(subject)
        await fresh.run_for(0.5)
        assert sum(len(upstream.requests) for upstream in upstreams) == before
        assert set(fresh.statuses) == {503}
        # Refusals must not wait for the deadline of 1 s.
        assert sorted(fresh.durations)[len(fresh.durations) // 2] < 0.5
        # The backoff of 3 s began at most 0.5 s before the last refusal.
        assert min(fresh.retry_after) >= 2.0
        assert len(set(fresh.retry_after)) > len(fresh.retry_after) / 2


@on_trio
async def test_peers_and_then_other_regions_serve_during_a_backoff():
    in_backoff, peer = BackoffUpstream("i-1"), Upstream("i-2", serve_ok)
    far = Upstream("i-3", serve_ok, zone="south-a")
    async with gateway(in_backoff, peer, far) as subject:
        calls = Calls(subject)
        await calls.run_for(0.5)
        assert calls.statuses.count(200) == len(calls.statuses)
        assert not far.requests
    in_backoff, far = BackoffUpstream("i-1"), Upstream("i-3", serve_ok, zone="south-a")
    async with gateway(in_backoff, far) as subject:
        calls = Calls(subject)
        await calls.run_for(0.5)
        assert calls.statuses.count(200) == len(calls.statuses)
        assert far.requests


@on_trio
async def test_one_trial_request_precedes_all_others_after_a_backoff():
    upstream = BackoffUpstream(seconds=1)
    upstream.long_s = 0.1
    async with gateway(upstream) as subject:
        await Calls(subject).call()
        await trio.sleep(0.9)
        calls = Calls(subject)
        await calls.run_for(1.0)
        back = [at for at in upstream.received_at if at > upstream.backoff_began_at]
        assert back[0] >= upstream.backoff_began_at + 1
        assert set(calls.statuses[-20:]) == {200}


@on_trio
async def test_upstream_that_refuses_every_trial_gets_one_request_per_backoff():
    async def refuse_always(upstream, stream, request):
        extra = NOT_EXECUTED + NAMES.load + b": 0,0,4\r\nRetry-After: 0.6\r\n"
        await stream.send_all(answer(request, b"", b"503 Unavailable", extra))

    upstream = Upstream("i-1", refuse_always)
    async with gateway(upstream) as subject:
        started = trio.current_time()
        await Calls(subject).run_for(3.0)
        backoffs = (trio.current_time() - started) / 0.6
        assert len(upstream.requests) <= backoffs + 1 + MAX_DURING_BACKOFF


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        pytest.param(b"503 Unavailable", NOT_EXECUTED + b"Retry-After: 2\r\n", id="backoff"),
        pytest.param(b"200 OK", NAMES.leaving + b": 1\r\n", id="leaving"),
    ],
)
@on_trio
async def test_pushback_applies_to_requests_waiting_for_a_connection(status, headers):
    async def push_back(upstream, stream, request):
        await stream.send_all(answer(request, b"", status, headers))

    upstream = Upstream("i-1", push_back)
    async with gateway(upstream) as subject:
        connect = subject.table.open_connection
        both_wait, answered = trio.Event(), trio.Event()

        async def connect_slowly(record):
            if record.in_flight == 1:
                await both_wait.wait()
            else:
                both_wait.set()
                await answered.wait()
            return await connect(record)

        subject.table.open_connection = connect_slowly
        calls = Calls(subject)
        async with trio.open_nursery() as nursery:
            for number in range(2):
                nursery.start_soon(functools.partial(calls.call, request_id=b"id-%d" % number))
            while not calls.statuses:
                await trio.sleep(0.01)
            answered.set()
        assert len(upstream.requests) == 1
        assert calls.statuses[-1] == 503


@on_trio
async def test_leaving_upstream_gets_no_new_requests_despite_its_heartbeats():
    leaving = LeavingUpstream()
    async with gateway(leaving) as subject:
        calls = Calls(subject)
        await calls.call()
        for sequence in range(2, 6):
            subject.apply_feed([leaving.registration(sequence=sequence)])
            await calls.call()
        assert calls.statuses == [200, 503, 503, 503, 503]
        # The announcement survives a temporary loss of the registration.
        subject.view.registry.remove(leaving.instance)
        subject.apply_feed()
        subject.apply_feed([leaving.registration(sequence=7)])
        await calls.call()
        assert len(leaving.requests) == 1


@on_trio
async def test_pushback_of_a_misdirected_answer_is_ignored():
    async def misdirected(upstream, stream, request):
        extra = NAMES.leaving + b": 1\r\nRetry-After: 60\r\n"
        await stream.send_all(answer(request, b"", b"421 Misdirected", extra))

    upstream = Upstream("i-1", misdirected)
    async with gateway(upstream) as subject:
        calls = Calls(subject)
        await calls.call()
        upstream.script = serve_ok
        await trio.sleep(0.6)
        await calls.call()
        assert calls.statuses == [503, 200]


@on_trio
async def test_pushback_of_a_truncated_answer_applies():
    received_at = []

    async def break_off(upstream, stream, request):
        received_at.append(trio.current_time())
        whole = answer(request, b"x" * 50, b"503 Unavailable", b"Retry-After: 9\r\n")
        await stream.send_all(whole[:-20])
        return False

    async with gateway(Upstream("i-1", break_off)) as subject:
        await Calls(subject).run_for(1.5)
        assert sum(at > received_at[0] + IN_FLIGHT_S for at in received_at) == 0


@on_trio
async def test_unrepeatable_body_is_not_sent_as_a_trial():
    body = b"x" * (BUFFERED_BODY_BYTES + 10)
    upstreams = backoff_upstreams(1, seconds=1)
    async with gateway(*upstreams) as subject:
        calls = Calls(subject)
        await calls.call()
        await trio.sleep(1.4)
        await calls.call(method=b"POST", body=body)
        assert len(upstreams[0].requests) == 1
        await calls.call()
        await calls.call(method=b"POST", body=body)
        assert calls.statuses == [503, 503, 200, 200]


async def statuses_around_restart(headers, restart_delay_s):
    """Return the status at a pushback and that after a restart so many seconds later."""

    async def push_back(upstream, stream, request):
        await stream.send_all(answer(request, b"", b"503 Unavailable", NOT_EXECUTED + headers))

    upstream = Upstream("i-1", push_back)
    async with gateway(upstream) as subject:
        subject.apply_feed([upstream.registration(sequence=2, born=1_000)])
        calls = Calls(subject)
        await calls.call()
        upstream.script = serve_ok
        began_ms = int((time.time() + restart_delay_s) * 1000)
        subject.apply_feed([upstream.registration(sequence=1, born=began_ms)])
        await calls.call()
        return calls.statuses


@pytest.mark.parametrize("headers", [b"Retry-After: 60\r\n", NAMES.leaving + b": 1\r\n"])
@on_trio
async def test_pushback_applies_to_an_incarnation_that_began_before_it(headers):
    """A restarted upstream may answer before its first heartbeat has arrived."""
    assert await statuses_around_restart(headers, -1.3) == [503, 503]


@pytest.mark.parametrize("headers", [b"Retry-After: 60\r\n", NAMES.leaving + b": 1\r\n"])
@on_trio
async def test_pushback_does_not_apply_to_a_later_incarnation(headers):
    assert await statuses_around_restart(headers, 60.0) == [503, 200]
