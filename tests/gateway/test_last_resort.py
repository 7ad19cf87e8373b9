"""What callers get while the only upstream that may serve them answers worse than the others.

A slow answer beats none, but callers must not be held for an upstream that fails or is silent.
"""

from contextlib import asynccontextmanager

import pytest
import trio

from tests.gateway.harness import NAMES, Calls, Upstream, answer, gateway, on_trio

SLOW_S = 0.6
BACKOFF_S = 3
# Four slots bear 6.7 slow requests a second.
CALLS_PER_S = 5
# Trials of an outlier come once a second, and one more may be on its way.
MAX_TRIALS = BACKOFF_S + 1


class MoodyUpstream(Upstream):
    """An upstream that answers at once, `slow`, with `error`, not at all, or asks for `backoff`."""

    def __init__(self, instance, mode="well", **fields) -> None:
        super().__init__(instance, self._serve_by_mode, **fields)
        self.mode = mode

    async def _serve_by_mode(self, _, stream, request):
        match self.mode:
            case "slow":
                await trio.sleep(SLOW_S)
            case "broken":
                return False
            case "error":
                await stream.send_all(answer(request, b"", b"500 Error"))
                return None
            case "silent":
                await trio.sleep_forever()
            case "backoff":
                extra = NAMES.not_executed + b": 1\r\nRetry-After: %d\r\n" % BACKOFF_S
                await stream.send_all(answer(request, b"", b"503 Unavailable", extra))
                return None
        await stream.send_all(answer(request))
        return None


@asynccontextmanager
async def outlier_alone(mode, *others):
    """Run a gateway whose upstream `poor` is an outlier by `mode` while `resting` is in backoff."""
    poor, resting = MoodyUpstream("poor"), MoodyUpstream("resting")
    async with gateway(poor, resting, *others) as subject:
        await Calls(subject).run_for(1.0)
        poor.mode = mode
        with trio.move_on_after(3.0):
            while not is_outlier(subject, poor):
                await Calls(subject).run_for(0.3)
        resting.mode = "backoff"
        while not subject.table.backed_off(trio.current_time()):
            await Calls(subject).run_for(0.1)
        poor.requests.clear()
        yield subject, poor


def is_outlier(subject, upstream) -> bool:
    outcomes = subject.table.get(upstream.instance).outlier_state
    return outcomes.is_suspect


@on_trio
async def test_slow_upstream_serves_while_the_other_one_is_in_backoff():
    """A slow answer beats none."""
    async with outlier_alone("slow") as (subject, _):
        calls = Calls(subject)
        await calls.run_for(BACKOFF_S - 1.0, CALLS_PER_S)
        assert set(calls.statuses) == {200}


@on_trio
async def test_upstream_of_another_region_serves_before_a_slow_one():
    """The outlier gets its trials only, since a healthy upstream may serve."""
    far = [MoodyUpstream(f"far-{n}", zone="south-a") for n in range(2)]
    async with outlier_alone("slow", *far) as (subject, poor):
        calls = Calls(subject)
        await calls.run_for(BACKOFF_S - 1.0, CALLS_PER_S)
        assert set(calls.statuses) == {200}
        assert len(poor.requests) <= MAX_TRIALS
        assert sum(seconds < SLOW_S / 2 for seconds in calls.durations) >= 6


@pytest.mark.parametrize("mode", ["broken", "error", "silent"])
@on_trio
async def test_upstream_that_fails_gets_only_trials_and_holds_no_callers(mode):
    """Callers must not wait until their deadlines for an upstream that does not serve."""
    async with outlier_alone(mode) as (subject, poor):
        calls = Calls(subject)
        await calls.run_for(BACKOFF_S - 1.0, CALLS_PER_S)
        assert len(poor.requests) <= MAX_TRIALS
        assert sum(seconds > 0.2 for seconds in calls.durations) <= MAX_TRIALS
        assert calls.statuses.count(503) >= len(calls.statuses) - MAX_TRIALS


@on_trio
async def test_upstream_that_recovers_serves_again_after_one_trial():
    """The first answer shows that it serves, and nobody else may."""
    async with outlier_alone("error") as (subject, poor):
        poor.mode = "well"
        await trio.sleep(1.0)
        calls = Calls(subject)
        await calls.run_for(1.0, CALLS_PER_S)
        assert set(calls.statuses) == {200}


@on_trio
async def test_request_without_time_for_a_slow_answer_is_refused_at_once():
    """What cannot be served in time must not wait until its deadline passes."""
    async with outlier_alone("slow") as (subject, _):
        await Calls(subject).call()
        calls = Calls(subject)
        for _ in range(5):
            await calls.call(deadline_ms=b"300")
        assert calls.statuses.count(503) >= 4
        assert max(sorted(calls.durations)[:4]) < 0.2
