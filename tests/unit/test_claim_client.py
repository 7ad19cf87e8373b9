"""Release of idempotency keys: the caller waits briefly, retries continue in the background."""

from __future__ import annotations

import pytest
import trio

from bench.virtual import run_virtual
from finchway.entry import Call, CallError, ClaimClient
from finchway.exceptions import UnavailableError
from finchway.policy import Outcome
from finchway.state import Claimed, ClaimKey, ClaimState, Done

NO_QUORUM_S = 20.0
DEADLINE_S = 60.0


def make_call() -> Call:
    return Call(
        service="pay",
        organisation="o",
        priority="gold",
        rank=0,
        method="POST",
        target="/",
        headers=[],
        client="10.0.0.1",
        home="north",
        arrived=0.0,
        deadline=DEADLINE_S,
        key="k",
    )


def test_a_release_without_a_quorum_returns_early_and_is_retried():
    submitted: list[ClaimState] = []

    async def submit(command, timeout):
        if trio.current_time() < NO_QUORUM_S:
            await trio.sleep(timeout)
            raise UnavailableError("no quorum")
        submitted.append(command.outcome)
        return Claimed(True, command.outcome, command.attempt)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            claims = ClaimClient("e1@1", submit, nursery)
            assert not await claims.release(make_call(), "a1")
            assert (
                trio.current_time() <= 1.0
            ), "the caller waited for longer than the submit timeout"
            assert claims.unsettled == 1
            while claims.unsettled:
                await trio.sleep(0.1)

    run_virtual(main)
    assert submitted == [ClaimState.RELEASED]


def test_a_release_with_a_quorum_is_confirmed():
    async def submit(command, timeout):
        await trio.sleep(0.05)
        return Done()

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            claims = ClaimClient("e1@1", submit, nursery)
            assert await claims.release(make_call(), "a1")
            assert claims.unsettled == 0

    run_virtual(main)


def test_cancelled_claim_is_released():
    """A copy of the claim that is granted later would leave the key open with nobody behind it."""
    submitted = []

    async def submit(command, timeout):
        submitted.append(command)
        if isinstance(command, ClaimKey):
            await trio.sleep_forever()
        return Claimed(False, command.outcome, command.attempt)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            claims = ClaimClient("e1@1", submit, nursery)
            with trio.move_on_after(0.5):
                await claims.claim(make_call(), b"", 60.0)
            while claims.unsettled or len(submitted) < 2:
                await trio.sleep(0.1)

    run_virtual(main)
    first, second = submitted
    assert (second.outcome, second.attempt) == (ClaimState.RELEASED, first.attempt)


def test_claim_of_an_ended_attempt_is_reported_as_not_run():
    """Nothing ran, and the caller may come back: 409 unknown would end its request for good."""

    async def submit(command, timeout):
        return Claimed(False, ClaimState.RELEASED, command.attempt)

    errors = []

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            with pytest.raises(CallError) as caught:
                await ClaimClient("e1@1", submit, nursery).claim(make_call(), b"", 60.0)
            errors.append(caught.value)

    run_virtual(main)
    (error,) = errors
    assert (error.status, error.outcome, error.kind) == (503, Outcome.NOT_RUN, "claim-unavailable")
    assert error.retry_after_s > 0


def test_attempts_of_an_incarnation_are_numbered():
    """The replicated state remembers ended attempts by their numbers."""
    attempts = []

    async def submit(command, timeout):
        attempts.append(command.attempt)
        return Claimed(True, ClaimState.CLAIMED, command.attempt)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            claims = ClaimClient("e1@1", submit, nursery)
            for _ in range(3):
                await claims.claim(make_call(), b"", 60.0)

    run_virtual(main)
    assert attempts == ["e1@1#1", "e1@1#2", "e1@1#3"]
