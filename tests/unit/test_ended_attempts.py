"""Late copies of claims: nobody acts on their grant, and the key would stay open for good."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from finchway.state import ClaimState, Expire, StateMachine, attempt_id
from finchway.state._attempts import ENDED_RETENTION_MS, MAX_RANGES, EndedAttempts
from tests.unit.test_state import claim, delete_entry, put, put_entry, settle

HOLDER = "e1@1"
MINUTE_MS = 60_000


def numbered(number, holder=HOLDER):
    return attempt_id(holder, number)


@pytest.fixture(params=["numbered", "plain"])
def ids(request):
    """Return the function that makes an attempt's id, in the present form and in that of before."""
    return numbered if request.param == "numbered" else lambda number: f"plain-{number}"


@pytest.fixture
def machine():
    machine = StateMachine()
    machine.apply(put("region", "north", {}))
    return machine


def granted(machine, attempt, now_ms=0, key="k"):
    return machine.apply(claim(attempt=attempt, now_ms=now_ms, key=key)).granted


def release(machine, attempt, now_ms=0, key="k"):
    machine.apply(settle(ClaimState.RELEASED, attempt=attempt, now_ms=now_ms, key=key))


def restored(machine):
    other = StateMachine()
    other.restore(machine.snapshot())
    return other


def test_release_that_finds_another_attempt_ends_its_own(machine, ids):
    """The release of an attempt whose claim is still on its way must leave a trace."""
    assert granted(machine, ids(2))
    release(machine, ids(1))
    release(machine, ids(2))
    assert not granted(machine, ids(1))
    assert granted(machine, ids(3))


def test_refused_attempt_is_not_granted_later(machine):
    """Its entry has told the caller that the key is in use, and will not run the request."""
    assert granted(machine, numbered(1))
    assert not granted(machine, numbered(2))
    release(machine, numbered(1))
    assert not granted(machine, numbered(2))
    assert granted(machine, numbered(3))


def test_three_hundred_released_attempts_are_remembered(machine):
    """A caller may repeat one key without end, and the record must stay small."""
    for number in range(1, 301):
        assert granted(machine, numbered(number))
        release(machine, numbered(number))
    size = len(machine.snapshot())
    for number in range(301, 901):
        assert granted(machine, numbered(number))
        release(machine, numbered(number))
    assert len(machine.snapshot()) - size < 100
    for replica in (machine, restored(machine)):
        assert not any(granted(replica, numbered(number)) for number in range(1, 901))


def test_released_attempts_are_remembered_for_an_hour_whatever_the_retention(machine, ids):
    machine.apply(claim(attempt=ids(1), retain_s=1.0))
    release(machine, ids(1))
    machine.apply(Expire(now_ms=59 * MINUTE_MS))
    assert not machine.apply(claim(attempt=ids(1), now_ms=59 * MINUTE_MS)).granted
    machine.apply(Expire(now_ms=3 * ENDED_RETENTION_MS))
    assert machine.claims.attempts.records == {}


@pytest.mark.parametrize("end", [put_entry("2"), put_entry("1", "gone"), delete_entry()])
def test_late_claim_of_an_ended_incarnation_is_not_granted(machine, end):
    """Only the end of an incarnation closes its open claims, and that has passed."""
    machine.apply(put_entry("1"))
    machine.apply(end)
    for replica in (machine, restored(machine)):
        late = replica.apply(claim(attempt=numbered(1)))
        assert (late.granted, late.state) == (False, ClaimState.RELEASED)
        replica.apply(put_entry("2"))
        replica.apply(put_entry("3"))
        assert not granted(replica, numbered(2))


def test_next_incarnation_may_claim(machine):
    machine.apply(put_entry("1"))
    machine.apply(put_entry("2"))
    command = msgspec.structs.replace(claim(attempt=numbered(1, "e1@2")), holder="e1@2")
    assert machine.apply(command).granted


def test_entry_that_was_taken_for_gone_may_claim_once_it_is_registered_again(machine):
    """A suspended machine returns with the incarnation that it had."""
    machine.apply(put_entry("1"))
    release(machine, numbered(1))
    machine.apply(put_entry("1", "gone"))
    machine.apply(delete_entry())
    assert not granted(machine, numbered(2))
    machine.apply(put_entry("1"))
    assert granted(machine, numbered(3))
    release(machine, numbered(3))
    assert not granted(machine, numbered(1))


def test_snapshot_of_the_build_before_is_read(machine):
    """Records of claims had no list of ended attempts, and snapshots no holders."""
    machine.apply(claim(attempt="a1"))
    machine.apply(settle(ClaimState.RELEASED, attempt="a1"))
    image = msgspec.msgpack.decode(machine.snapshot())
    del image["attempts"]
    for record in image["claims"].values():
        del record["released"]
    old = StateMachine()
    old.restore(msgspec.msgpack.encode(image))
    assert not granted(old, "a1")
    assert granted(old, numbered(1))
    release(old, numbered(1))
    assert not granted(old, "a1")


def test_numbers_in_any_order_take_little_space():
    ended = EndedAttempts()
    for number in [*range(1, 2000, 2), *range(2000, 0, -2)]:
        ended.end(numbered(number), 0)
    assert ended.records[HOLDER].ranges == [(1, 2000)]
    assert not ended.has_ended(numbered(2001), HOLDER)
    assert not ended.has_ended(numbered(1, "e2@1"), "e2@1")


def test_gaps_are_bounded():
    ended = EndedAttempts()
    for number in range(1, 4 * MAX_RANGES, 2):
        ended.end(numbered(number), 0)
    assert len(ended.records[HOLDER].ranges) == MAX_RANGES
    assert ended.has_ended(numbered(2), HOLDER)
    assert not ended.has_ended(numbered(4 * MAX_RANGES - 2), HOLDER)


@pytest.mark.parametrize("attempt", ["", "#", "#1", "e1@1#", "e1@1#x", "e1@1#-1", "e1@1#²", "a1"])
def test_ids_of_other_forms_are_not_numbered(attempt):
    assert not EndedAttempts().end(attempt, 0)


NUMBERS = st.integers(1, 4)
KEYS = st.sampled_from("kl")
STEPS = st.one_of(
    st.tuples(st.just("claim"), KEYS, NUMBERS),
    st.tuples(st.sampled_from(["released", "done", "unknown"]), KEYS, NUMBERS),
    st.tuples(st.sampled_from(["replace", "gone", "snapshot", "expire"]), KEYS, NUMBERS),
)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(steps=st.lists(STEPS, max_size=25))
def test_no_order_of_commands_grants_an_ended_attempt(steps):
    """An attempt belongs to one key; claims and ends of it may come in any order and repeatedly."""
    machine = StateMachine()
    machine.apply(put("region", "north", {}))
    machine.apply(put_entry("1"))
    ended: set[str] = set()
    holders: dict[str, str | None] = {"k": None, "l": None}
    incarnation, now_ms = 1, 0
    for step, key, number in steps:
        holder = f"e1@{incarnation if number % 2 else 1}"
        attempt = f"{holder}#{2 * number + (key == 'l')}"
        match step:
            case "claim":
                command = claim(key=key, attempt=attempt, now_ms=now_ms)
                result = machine.apply(msgspec.structs.replace(command, holder=holder))
                if result.granted:
                    assert attempt not in ended
                    assert holder == f"e1@{incarnation}", "the holder's incarnation has ended"
                    assert holders[key] in (None, attempt), "two attempts hold the key"
                    holders[key] = attempt
                else:
                    ended.add(attempt)
            case "released" | "done" | "unknown":
                outcome = ClaimState(step)
                result = machine.apply(settle(outcome, key=key, attempt=attempt, now_ms=now_ms))
                ended.add(attempt)
                if result.granted and step == "released" and holders[key] == attempt:
                    holders[key] = None
            case "replace":
                incarnation += 1
                machine.apply(put_entry(str(incarnation)))
            case "gone":
                machine.apply(put_entry(str(incarnation), "gone"))
                incarnation += 1
                machine.apply(put_entry(str(incarnation)))
            case "snapshot":
                digest = machine.digest()
                machine = restored(machine)
                assert machine.digest() == digest
            case "expire":
                now_ms += MINUTE_MS
                machine.apply(Expire(now_ms=now_ms))
