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
    on_trio,
    serve_well,
)

# What a limit bears in any `WINDOW_S` from `KNOWN_WITHIN_S` after it was first named.
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
KNOWN_WITHIN_S = 2.5
PRESSED_S = 7.0


def borne(limit: float) -> float:
    """Return how many requests an upstream bears in a window."""
    return OVERAGE * WINDOW_S * limit + SLACK


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
        first = self.named_at + KNOWN_WITHIN_S
        counted = [at for at in self.came_at if at >= first]
        return max(
            (sum(at <= other < at + WINDOW_S for other in counted) for at in counted), default=0
        )

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
    [(1, 5.0, False), (3, 2.7, False), (12, 7.2, True)],
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
