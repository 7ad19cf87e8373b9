"""Release of idempotency keys: the caller waits briefly, retries continue in the background."""

from __future__ import annotations

import trio

from bench.virtual import run_virtual
from finchway.entry import Call, ClaimClient
from finchway.exceptions import UnavailableError
from finchway.state import Claimed, ClaimState, Done

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
