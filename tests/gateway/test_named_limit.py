"""Upstreams that name how many requests a second they take from all gateways together.

Two upstreams named limits of 7.2 and 2.7 requests a second in their answers; 4 s later the gateways
that had passed such answers on had sent them 53 and 28 requests in 4 s, where at most half as much
again as the limit and five more, 48 and 21, are bearable. They were sent what they would have got
without any limit, 13 and 7 a second: nothing read the figure. To read it is not enough: each
gateway sees only its own requests, so what a limit allows must be divided among all of them, and
whoever may send at all may send one at any time, so few enough of them may. The lines that settled
it are a gateway's attempts at 40 a second, each with `limit=5.0 limit_ms=25` and `named_limit=5.0`.
"""

import math

import pytest
import trio

from tests.gateway.harness import (
    NAMES,
    Calls,
    Upstream,
    answer,
    fellows,
    gateway,
    on_trio,
    serve_well,
)
from tests.limits import KNOWN_WITHIN_S, WINDOW_S, borne, most_in_a_window

PRESSED_S = 7.0


class Needy(Upstream):
    """An upstream that serves, and names its limit in every answer; None names none."""

    def __init__(self, limit: float | None, instance="i-1", **fields) -> None:
        super().__init__(instance, self._serve_naming, **fields)
        self.limit = limit
        self.words: bytes | None = None
        self.named_at = math.inf
        self.came_at: list[float] = []

    def most_in_a_window(self) -> int:
        """Return the most requests that came in any window once the limit was to be known."""
        return most_in_a_window(self.came_at, self.named_at + KNOWN_WITHIN_S)

    def between(self, start: float, end: float) -> int:
        """Return how many requests came in a time."""
        return sum(start <= at < end for at in self.came_at)

    async def _serve_naming(self, _, stream, request) -> None:
        now = trio.current_time()
        self.came_at.append(now)
        words = b"" if self.limit is None else b"%g" % self.limit
        extra = b""
        if self.words is not None or words:
            self.named_at = min(self.named_at, now)
            extra = NAMES.limit + b": " + (self.words or words) + b"\r\n"
        await stream.send_all(answer(request, b"", extra=extra))


async def press(upstream, count, rate, *others, seconds=PRESSED_S):
    """Have some gateways be called at a rate in all; returns the calls by gateway."""
    async with fellows(count, upstream, *others) as subjects:
        calls = [Calls(subject) for subject in subjects]
        async with trio.open_nursery() as nursery:
            for number, one in enumerate(calls):
                # Callers spread unevenly: a quarter of the gateways carry most of the flow.
                part = 0.7 / max(1, count // 4) if number < count // 4 else 0.3 / count
                nursery.start_soon(one.press, seconds, rate * part if count > 3 else rate / count)
    return calls


@pytest.mark.parametrize(
    ("count", "limit", "has_fellow"),
    [(1, 5.0, False), (1, 0.7, True), (3, 2.7, False), (12, 2.7, False), (12, 7.2, True)],
)
@on_trio
async def test_gateways_together_send_an_upstream_no_more_than_it_bears(count, limit, has_fellow):
    upstream = Needy(limit)
    others = [Upstream("i-2", serve_well)] if has_fellow else []
    calls = await press(upstream, count, 60, *others)
    assert upstream.came_at
    assert upstream.most_in_a_window() <= borne(limit)
    if has_fellow:
        assert {status for one in calls for status in one.statuses} == {200}


@on_trio
async def test_a_limit_is_used():
    upstream = Needy(10.0)
    await press(upstream, 3, 60)
    start = upstream.named_at + KNOWN_WITHIN_S
    assert upstream.between(start, start + WINDOW_S) >= 0.6 * WINDOW_S * 10.0


@on_trio
async def test_what_a_limit_does_not_allow_is_refused_at_once_and_told_when_to_come_back():
    upstream = Needy(1.0)
    async with gateway(upstream) as subject:
        await Calls(subject).press(1.0)
        calls = Calls(subject)
        await calls.press(2.0)
        assert calls.statuses.count(503) >= len(calls.statuses) - 4
        assert sorted(calls.took)[len(calls.took) // 2] < 0.3
        assert all(told > 0 for told in calls.told)
        assert len(set(calls.told)) > len(calls.told) / 2


@on_trio
async def test_other_regions_serve_what_a_limit_does_not_allow():
    upstream, far = Needy(1.0), Upstream("i-2", serve_well, zone="south-a")
    async with gateway(upstream, far) as subject:
        calls = Calls(subject)
        await calls.press(3.0)
        assert set(calls.statuses) == {200}
        assert far.requests


@on_trio
async def test_gateways_that_were_never_answered_keep_to_a_limit_too():
    upstream = Needy(3.0)
    async with fellows(4, upstream) as subjects:
        await Calls(subjects[0]).press(1.0)
        await trio.sleep(1.0)
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for subject in subjects[1:]:
                nursery.start_soon(Calls(subject).press, WINDOW_S)
        assert upstream.between(start, start + WINDOW_S) <= borne(3.0)


@on_trio
async def test_a_limit_ends_everywhere_when_answers_do_not_name_it_any_more():
    upstream = Needy(2.0)
    async with fellows(6, upstream) as subjects:
        async with trio.open_nursery() as nursery:
            for subject in subjects:
                nursery.start_soon(Calls(subject).press, 3.0, 10)
        upstream.limit = None
        async with trio.open_nursery() as nursery:
            for subject in subjects:
                nursery.start_soon(Calls(subject).press, 4.0, 10)
        last = [Calls(subject) for subject in subjects]
        async with trio.open_nursery() as nursery:
            for calls in last:
                nursery.start_soon(calls.press, 1.0, 10)
        assert {status for calls in last for status in calls.statuses} == {200}


@on_trio
async def test_a_new_figure_holds_soon_up_and_down():
    upstream = Needy(10.0)
    async with fellows(3, upstream) as subjects:
        async with trio.open_nursery() as nursery:
            for subject in subjects:
                nursery.start_soon(Calls(subject).press, 12.0, 10)
            await trio.sleep(3.0)
            upstream.limit, lowered_at = 2.0, trio.current_time()
            await trio.sleep(5.0)
            upstream.limit, raised_at = 20.0, trio.current_time()
        start = lowered_at + 1.0
        assert upstream.between(start, start + WINDOW_S) <= borne(2.0)
        start = raised_at + 2.0
        assert upstream.between(start, start + 2.0) > 2 * 2.0 * 2.0


@on_trio
async def test_an_upstream_that_takes_nothing_is_asked_now_and_then_whether_it_still_does():
    upstream = Needy(0.0)
    async with gateway(upstream) as subject:
        await Calls(subject).press(5.0, 20)
        assert upstream.most_in_a_window() <= borne(0.0)
        upstream.limit = None
        await Calls(subject).press(7.0, 20)
        calls = Calls(subject)
        await calls.press(0.5, 20)
        assert set(calls.statuses) == {200}


@pytest.mark.parametrize("words", [b"nan", b"-3", b"1,2", b"many", b"", b"1e3", b"0x10"])
@on_trio
async def test_a_limit_that_makes_no_sense_is_passed_over(words):
    upstream = Needy(None)
    upstream.words = words
    async with gateway(upstream) as subject:
        calls = Calls(subject)
        await calls.press(0.5)
        assert set(calls.statuses) == {200}


@on_trio
async def test_what_waited_for_its_connection_keeps_to_a_limit_that_was_named_meanwhile():
    upstream = Needy(0.5)
    async with gateway(upstream) as subject:
        connect = subject.table.open_connection
        go_on = trio.Event()

        async def connect_slowly(record):
            if record.in_flight > 1:
                await go_on.wait()
            return await connect(record)

        subject.table.open_connection = connect_slowly
        calls = Calls(subject)
        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(calls.call, b"/x/%d" % number)
            while not calls.statuses:
                await trio.sleep(0.01)
            await trio.sleep(0.1)
            go_on.set()
        assert len(upstream.came_at) <= 2
        assert calls.statuses.count(503) >= 4


@on_trio
async def test_a_limit_outlives_a_moment_in_which_its_upstream_is_not_heard_of():
    upstream = Needy(1.0)
    async with gateway(upstream) as subject:
        await Calls(subject).press(1.0)
        subject.world.registry.remove(upstream.instance)
        subject.tell()
        subject.tell([upstream.registration(sequence=2)])
        start = trio.current_time()
        await Calls(subject).press(WINDOW_S)
        assert upstream.between(start, start + WINDOW_S) <= borne(1.0)


@on_trio
async def test_a_new_life_has_named_no_limit():
    upstream = Needy(0.5)
    async with gateway(upstream) as subject:
        subject.tell([upstream.registration(sequence=2, born=1_000)])
        await Calls(subject).press(1.0)
        upstream.limit = None
        subject.tell([upstream.registration(born=4_000_000_000_000)])
        calls = Calls(subject)
        await calls.press(0.5)
        assert set(calls.statuses) == {200}


@on_trio
async def test_a_gateway_that_is_replaced_does_not_add_its_part():
    upstream = Needy(2.0)
    async with fellows(4, upstream) as subjects:
        names = [subject.name for subject in subjects]
        async with trio.open_nursery() as nursery:
            for subject in subjects:
                nursery.start_soon(Calls(subject).press, 9.0, 10)
            await trio.sleep(4.0)
            # The gateways learn one after the other that g1 has gone and g5 has come.
            for subject in subjects[1:]:
                subject.names = ["g5", *names[1:]]
                await trio.sleep(0.5)
        assert upstream.most_in_a_window() <= borne(2.0)
