"""Numbers that no encoding holds, in commands and messages: replicas and links live on."""

from __future__ import annotations

import pytest
import zmq
from hypothesis import given, settings
from hypothesis import strategies as st

from finchway.exceptions import InputError, ResourceError, UnavailableError
from finchway.observe import LogicalClock
from finchway.policy._hashing import rank
from finchway.policy._lender import _take_evenly
from finchway.registry import MarkKind
from finchway.resources import parse_document
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


# Guards against a process that ends since a message of a peer is nested too deeply to be read.
def test_a_message_that_is_nested_too_deeply_is_dropped():
    async def check(link, address, clocks):
        context = zmq.Context()
        client = context.socket(zmq.DEALER)
        client.linger = 0
        client.connect(f"tcp://{address}")
        client.send(b"\x95\xa3one\x01\xc2\x01\x82\xa4type\xa7Confirm\xa1x" + b"\x91" * 100_000)
        assert await link.request(address, Confirm(), 5.0)
        client.close()
        context.term()

    run_pair(check)


# Guards against a clock of a peer that leaves a process without numbers to count with.
def test_a_clock_that_nobody_can_have_counted_up_to_is_ignored():
    clock = LogicalClock()
    clock.witness(2**64 - 1)
    assert clock.tick() == 1
    clock.witness(7)
    assert clock.tick() == 8


# Guards against resources that are accepted and then end each leader that plans with them.
@pytest.mark.parametrize(
    ("kind", "spec", "place"),
    [
        ("service", {"deadline_ms": 2**64}, "deadline_ms"),
        ("service", {"queue_limit": 10**400}, "queue_limit"),
        (
            "pool",
            {
                "service": "s",
                "region": "r",
                "upstreams": [{"address": "1.2.3.4:5", "zone": "z", "slots": 2**53}],
            },
            "upstreams[0].slots",
        ),
        ("client-blocks", {"site": "s", "blocks": ["999.9.9.9/8"]}, "blocks[0]"),
        ("client-blocks", {"site": "s", "blocks": ["1.0.0.0/8", "10.0.0.0/99"]}, "blocks[1]"),
    ],
)
def test_a_value_that_no_process_can_compute_with_is_refused_with_its_place(kind, spec, place):
    with pytest.raises(ResourceError) as caught:
        parse_document([{"kind": kind, "name": "x", "spec": spec}], "x.yaml")
    assert [finding.place for finding in caught.value.findings] == [f"x.yaml[0].spec.{place}"]


def take_one_by_one(order, free, target):
    """Choose slots in rounds, each upstream's one by one."""
    taken = {}
    while target and any(taken.get(name, 0) < free[name] for name in order):
        for name in order:
            if target and taken.get(name, 0) < free[name]:
                taken[name] = taken.get(name, 0) + 1
                target -= 1
    return taken


# Guards against a leader that does not hand back the processor as it lends very many slots.
def test_very_many_slots_are_lent_at_once():
    most = 2**53 - 1
    assert _take_evenly("e", {"a": most, "b": 1}, most) == {"a": most - 1, "b": 1}


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.dictionaries(st.sampled_from("abcde"), st.integers(0, 9)), st.integers(0, 30))
def test_slots_are_lent_as_one_by_one(free, target):
    taken = _take_evenly("e", free, target)
    order = rank("e", [name for name, count in free.items() if count > 0])
    assert taken == take_one_by_one(order, free, target)
