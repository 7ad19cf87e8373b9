"""Upstreams that name a limit of requests per second in their answers.

The limit holds for all gateways together, so they must divide it among themselves.
"""

import math

import pytest
import trio

from tests.gateway.harness import (
    NAMES,
    Calls,
    Upstream,
    answer,
    gateway,
    on_trio,
    peer_gateways,
    serve_ok,
)
from tests.limits import KNOWN_WITHIN_S, WINDOW_S, borne, most_in_a_window

LOAD_S = 7.0


class LimitedUpstream(Upstream):
    """An upstream that names a limit in every answer; None omits it."""

    def __init__(self, limit: float | None, instance="i-1", **fields) -> None:
        super().__init__(instance, self._serve_with_limit, **fields)
        self.limit = limit
        self.raw_value: bytes | None = None
        self.named_at = math.inf
        self.received_at: list[float] = []

    def most_in_a_window(self) -> int:
        """Return the most requests received in any window once the limit must be known."""
        return most_in_a_window(self.received_at, self.named_at + KNOWN_WITHIN_S)

    def received_between(self, start: float, end: float) -> int:
        """Return how many requests were received in a period."""
        return sum(start <= at < end for at in self.received_at)

    async def _serve_with_limit(self, _, stream, request) -> None:
        now = trio.current_time()
        self.received_at.append(now)
        named = b"" if self.limit is None else b"%g" % self.limit
        extra = b""
        if self.raw_value is not None or named:
            self.named_at = min(self.named_at, now)
            extra = NAMES.limit + b": " + (self.raw_value or named) + b"\r\n"
        await stream.send_all(answer(request, b"", extra=extra))


async def run_load(upstream, count, rate, *others, seconds=LOAD_S):
    """Spread calls at a total rate over some gateways; returns the calls by gateway."""
    async with peer_gateways(count, upstream, *others) as subjects:
        calls = [Calls(subject) for subject in subjects]
        async with trio.open_nursery() as nursery:
            for number, load in enumerate(calls):
                # Uneven load: a quarter of the gateways carry most of the calls.
                fraction = 0.7 / max(1, count // 4) if number < count // 4 else 0.3 / count
                nursery.start_soon(
                    load.run_for, seconds, rate * fraction if count > 3 else rate / count
                )
    return calls


@pytest.mark.parametrize(
    ("count", "limit", "has_peer"),
    [(1, 5.0, False), (1, 0.7, True), (3, 2.7, False), (12, 2.7, False), (12, 7.2, True)],
)
@on_trio
async def test_gateways_together_send_an_upstream_no_more_than_it_bears(count, limit, has_peer):
    upstream = LimitedUpstream(limit)
    others = [Upstream("i-2", serve_ok)] if has_peer else []
    calls = await run_load(upstream, count, 60, *others)
    assert upstream.received_at
    assert upstream.most_in_a_window() <= borne(limit)
    if has_peer:
        assert {status for load in calls for status in load.statuses} == {200}


@on_trio
async def test_limit_is_mostly_used():
    upstream = LimitedUpstream(10.0)
    await run_load(upstream, 3, 60)
    start = upstream.named_at + KNOWN_WITHIN_S
    assert upstream.received_between(start, start + WINDOW_S) >= 0.6 * WINDOW_S * 10.0


@pytest.mark.parametrize(
    ("busiest", "has_part", "fraction"), [(0, False, 0.75), (4, True, 0.75), (0, False, 1.0)]
)
@on_trio
async def test_at_least_half_of_a_limit_is_used_when_one_of_many_gateways_is_asked_most(
    busiest, has_part, fraction
):
    upstream = LimitedUpstream(2.7)
    async with peer_gateways(12, upstream) as subjects:
        async with trio.open_nursery() as nursery:
            for number, subject in enumerate(subjects):
                rate = 60 * (fraction if number == busiest else (1 - fraction) / 11)
                nursery.start_soon(Calls(subject).run_for, LOAD_S, rate)
        start = upstream.named_at + KNOWN_WITHIN_S
        part = subjects[busiest].table.limits.rate_limiter.part("i-1", start)
    assert (part.rate > 0) == has_part
    assert upstream.received_between(start, start + WINDOW_S) >= 0.5 * WINDOW_S * 2.7
    assert upstream.most_in_a_window() <= borne(2.7)


@on_trio
async def test_requests_over_the_limit_are_refused_at_once_with_retry_after():
    upstream = LimitedUpstream(1.0)
    async with gateway(upstream) as subject:
        await Calls(subject).run_for(1.0)
        calls = Calls(subject)
        await calls.run_for(2.0)
        assert calls.statuses.count(503) >= len(calls.statuses) - 4
        assert sorted(calls.durations)[len(calls.durations) // 2] < 0.3
        assert all(seconds > 0 for seconds in calls.retry_after)
        assert len(set(calls.retry_after)) > len(calls.retry_after) / 2


@on_trio
async def test_other_regions_serve_requests_over_the_limit():
    upstream, far = LimitedUpstream(1.0), Upstream("i-2", serve_ok, zone="south-a")
    async with gateway(upstream, far) as subject:
        calls = Calls(subject)
        await calls.run_for(3.0)
        assert set(calls.statuses) == {200}
        assert far.requests


@on_trio
async def test_gateways_without_an_answer_of_their_own_keep_the_limit():
    upstream = LimitedUpstream(3.0)
    async with peer_gateways(4, upstream) as subjects:
        await Calls(subjects[0]).run_for(1.0)
        await trio.sleep(1.0)
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for subject in subjects[1:]:
                nursery.start_soon(Calls(subject).run_for, WINDOW_S)
        assert upstream.received_between(start, start + WINDOW_S) <= borne(3.0)


@on_trio
async def test_limit_ends_everywhere_once_answers_omit_it():
    upstream = LimitedUpstream(2.0)
    async with peer_gateways(6, upstream) as subjects:
        async with trio.open_nursery() as nursery:
            for subject in subjects:
                nursery.start_soon(Calls(subject).run_for, 3.0, 10)
        upstream.limit = None
        async with trio.open_nursery() as nursery:
            for subject in subjects:
                nursery.start_soon(Calls(subject).run_for, 4.0, 10)
        last = [Calls(subject) for subject in subjects]
        async with trio.open_nursery() as nursery:
            for calls in last:
                nursery.start_soon(calls.run_for, 1.0, 10)
        assert {status for calls in last for status in calls.statuses} == {200}


@on_trio
async def test_changed_limit_applies_soon_in_both_directions():
    upstream = LimitedUpstream(10.0)
    async with peer_gateways(3, upstream) as subjects:
        async with trio.open_nursery() as nursery:
            for subject in subjects:
                nursery.start_soon(Calls(subject).run_for, 12.0, 10)
            await trio.sleep(3.0)
            upstream.limit, lowered_at = 2.0, trio.current_time()
            await trio.sleep(5.0)
            upstream.limit, raised_at = 20.0, trio.current_time()
        start = lowered_at + 1.0
        assert upstream.received_between(start, start + WINDOW_S) <= borne(2.0)
        start = raised_at + 2.0
        assert upstream.received_between(start, start + 2.0) > 2 * 2.0 * 2.0


@on_trio
async def test_zero_limit_is_probed_periodically():
    upstream = LimitedUpstream(0.0)
    async with gateway(upstream) as subject:
        await Calls(subject).run_for(5.0, 20)
        assert upstream.most_in_a_window() <= borne(0.0)
        upstream.limit = None
        await Calls(subject).run_for(7.0, 20)
        calls = Calls(subject)
        await calls.run_for(0.5, 20)
        assert set(calls.statuses) == {200}


@pytest.mark.parametrize("value", [b"nan", b"-3", b"1,2", b"many", b"", b"1e3", b"0x10"])
@on_trio
async def test_malformed_limit_is_ignored(value):
    upstream = LimitedUpstream(None)
    upstream.raw_value = value
    async with gateway(upstream) as subject:
        calls = Calls(subject)
        await calls.run_for(0.5)
        assert set(calls.statuses) == {200}


@on_trio
async def test_limit_applies_to_requests_waiting_for_a_connection():
    upstream = LimitedUpstream(0.5)
    async with gateway(upstream) as subject:
        connect = subject.table.open_connection
        may_connect = trio.Event()

        async def connect_slowly(record):
            if record.in_flight > 1:
                await may_connect.wait()
            return await connect(record)

        subject.table.open_connection = connect_slowly
        calls = Calls(subject)
        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(calls.call, b"/x/%d" % number)
            while not calls.statuses:
                await trio.sleep(0.01)
            await trio.sleep(0.1)
            may_connect.set()
        assert len(upstream.received_at) <= 2
        assert calls.statuses.count(503) >= 4


@on_trio
async def test_limit_survives_a_temporary_loss_of_registration():
    upstream = LimitedUpstream(1.0)
    async with gateway(upstream) as subject:
        await Calls(subject).run_for(1.0)
        subject.view.registry.remove(upstream.instance)
        subject.apply_feed()
        subject.apply_feed([upstream.registration(sequence=2)])
        start = trio.current_time()
        await Calls(subject).run_for(WINDOW_S)
        assert upstream.received_between(start, start + WINDOW_S) <= borne(1.0)


@on_trio
async def test_new_incarnation_has_no_limit():
    upstream = LimitedUpstream(0.5)
    async with gateway(upstream) as subject:
        subject.apply_feed([upstream.registration(sequence=2, born=1_000)])
        await Calls(subject).run_for(1.0)
        upstream.limit = None
        subject.apply_feed([upstream.registration(born=4_000_000_000_000)])
        calls = Calls(subject)
        await calls.run_for(0.5)
        assert set(calls.statuses) == {200}


@on_trio
async def test_replaced_gateway_does_not_add_to_the_limit():
    upstream = LimitedUpstream(2.0)
    async with peer_gateways(4, upstream) as subjects:
        names = [subject.name for subject in subjects]
        async with trio.open_nursery() as nursery:
            for subject in subjects:
                nursery.start_soon(Calls(subject).run_for, 9.0, 10)
            await trio.sleep(4.0)
            # The gateways learn one after the other that g5 replaces g1.
            for subject in subjects[1:]:
                subject.names = ["g5", *names[1:]]
                await trio.sleep(0.5)
        assert upstream.most_in_a_window() <= borne(2.0)


@on_trio
async def test_peer_that_answers_in_time_serves_while_the_other_is_at_its_limit():
    """Delays of a busy machine, far above the service time, must not end in refusals."""
    delay_s = 0.0

    async def serve_late(upstream, stream, request):
        await trio.sleep(delay_s)
        await serve_ok(upstream, stream, request)

    upstream, peer = LimitedUpstream(0.7), Upstream("i-2", serve_late)
    async with gateway(upstream, peer) as subject:
        calls = Calls(subject)
        await calls.run_for(2.0)
        delay_s = 0.1
        await calls.run_for(2.0)
        assert set(calls.statuses) == {200}
        assert not subject.table.get("i-2").outlier_state.is_suspect
