"""Numbers that no encoding holds, in commands and messages: replicas and links live on."""

from __future__ import annotations

import pytest

from finchway.exceptions import InputError, UnavailableError
from finchway.registry import MarkKind
from finchway.state import MarkUpstream
from finchway.transport import Confirm, Confirmed, FetchChanges
from tests.unit.test_late_orders import evacuation, is_evacuated, origin, play
from tests.unit.test_link import run_pair

BEYOND_64_BITS = 2**64
UNENCODABLE = MarkUpstream(now_ms=0, instance="i", kind=MarkKind.GONE, born=BEYOND_64_BITS)


# Guards against replicas that end in turn as each one leads and gets the same order.
@pytest.mark.parametrize("at_leader", [True, False])
def test_an_order_that_the_log_cannot_hold_is_refused_and_ends_no_replica(tmp_path, at_leader):
    async def script(leader, follower, link):
        with pytest.raises(InputError):
            await leader.runner.submit(UNENCODABLE)
        with pytest.raises(InputError):
            await (leader if at_leader else follower).submit(UNENCODABLE, origin())
        await follower.submit(evacuation(), origin())
        assert is_evacuated(leader)

    play(script, tmp_path)


# Guards against a follower that closes the operator's connection without an answer.
def test_a_request_that_no_message_can_carry_is_refused_and_the_link_lives_on():
    async def check(link, address, clocks):
        with pytest.raises(InputError):
            await link.request(address, FetchChanges(since=BEYOND_64_BITS), 5.0)
        assert not link.post(address, FetchChanges(since=BEYOND_64_BITS))
        assert await link.request(address, Confirm(), 5.0) == Confirmed(revision=7, index=9)

    run_pair(check)


# Guards against a process that ends since it cannot encode its reply to a peer.
def test_a_reply_that_no_message_can_carry_ends_no_process():
    async def reply_too_large(body, sender):
        if isinstance(body, FetchChanges):
            return Confirmed(revision=BEYOND_64_BITS, index=0)
        return Confirmed(revision=7, index=9)

    async def check(link, address, clocks):
        with pytest.raises(UnavailableError):
            await link.request(address, FetchChanges(since=0), 5.0)
        assert await link.request(address, Confirm(), 5.0) == Confirmed(revision=7, index=9)

    run_pair(check, answer=reply_too_large)
