"""State machine: concurrent changes, retries, claims, history and determinism."""

from __future__ import annotations

import uuid

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from finchway.exceptions import GoneError
from finchway.resources import MoveStatus as Moved
from finchway.resources import Operation, Phase, ResourceStore
from finchway.state import (
    Accepted,
    ClaimKey,
    ClaimState,
    Conflict,
    DeleteResource,
    Expire,
    History,
    Missing,
    PutResource,
    PutStatus,
    Rejected,
    Reused,
    SettleClaim,
    StateMachine,
    decode_command,
    encode_command,
)

DAY_MS = 24 * 3600 * 1000


def put(kind, name, spec, expected=None, change_id="", operator="ann", now_ms=0) -> PutResource:
    return PutResource(
        now_ms=now_ms,
        kind=kind,
        name=name,
        spec=msgspec.json.encode(spec),
        expected=expected,
        change_id=change_id,
        operator=operator,
    )


def claim(key="k", attempt="a1", digest="d", now_ms=0, retain_s=3600.0) -> ClaimKey:
    return ClaimKey(
        now_ms=now_ms,
        service="s",
        organisation="o",
        key=key,
        digest=digest,
        attempt=attempt,
        holder="e1@1",
        retain_s=retain_s,
    )


def settle(outcome, key="k", attempt="a1", answer=b"", now_ms=0) -> SettleClaim:
    return SettleClaim(
        now_ms=now_ms,
        service="s",
        organisation="o",
        key=key,
        attempt=attempt,
        outcome=outcome,
        answer=answer,
    )


def put_entry(incarnation="1", state="live") -> PutResource:
    """Return the command that registers the entry that holds the claims."""
    address = "10.0.0.1:1"
    fields = {"address": address, "peer": address, "zone": "z", "incarnation": incarnation}
    return put("instance", "e1", {**fields, "state": state})


def delete_entry() -> DeleteResource:
    return DeleteResource(now_ms=0, kind="instance", name="e1", operator="ann")


@pytest.fixture
def machine() -> StateMachine:
    machine = StateMachine()
    machine.apply(put("region", "north", {}))
    return machine


def test_concurrent_put_with_same_generation_returns_the_winner(machine):
    first = machine.apply(put("region", "south", {"latency_ms": {"north": 1}}, 0, "c1", "ann"))
    second = machine.apply(put("region", "south", {"latency_ms": {"north": 2}}, 0, "c1", "bob"))
    assert isinstance(first, Accepted)
    assert isinstance(second, Conflict)
    assert msgspec.json.decode(second.winner)["spec"] == {"latency_ms": {"north": 1.0}}


def test_retry_returns_the_stored_answer_also_after_a_snapshot(machine):
    change = put("region", "south", {}, 0, "c1")
    first = machine.apply(change)
    machine.apply(put("region", "south", {"latency_ms": {"north": 3}}, 1, "c2"))
    restored = StateMachine()
    restored.restore(machine.snapshot())
    for replica in (machine, restored):
        assert replica.apply(change) == first
        assert replica.store.get("region", "south").generation == 2


def test_put_of_an_unchanged_spec_keeps_the_revision(machine):
    first = machine.apply(put("region", "south", {"latency_ms": {"north": 1}}, 0))
    again = machine.apply(put("region", "south", {"latency_ms": {"north": 1}}, 1))
    assert isinstance(again, Accepted)
    assert (again.generation, again.revision) == (first.generation, first.revision)
    assert machine.revision == first.revision


def test_change_id_of_another_change_is_rejected(machine):
    machine.apply(put("region", "south", {}, 0, "c1"))
    assert isinstance(machine.apply(put("region", "east", {}, 0, "c1")), Reused)


def test_stored_answer_expires(machine):
    change = put("region", "south", {}, 0, "c1")
    machine.apply(change)
    machine.apply(Expire(now_ms=DAY_MS + 1))
    assert isinstance(machine.apply(change), Conflict)


def test_references_are_checked_in_both_directions(machine):
    result = machine.apply(put("zone", "z", {"region": "nowhere"}))
    assert result == Rejected([("zone/z.region", "no such region: 'nowhere'")])
    machine.apply(put("zone", "z", {"region": "north"}))
    result = machine.apply(DeleteResource(now_ms=0, kind="region", name="north", operator="ann"))
    assert result == Rejected([("zone/z.region", "still refers to region/north")])


def test_move_with_shifted_callers_cannot_be_deleted(machine):
    machine.apply(put("region", "south", {}))
    machine.apply(put("service", "s", {}))
    machine.apply(put("move", "m", {"service": "s", "source": "north", "target": "south"}))
    machine.apply(
        PutStatus(
            now_ms=0,
            kind="move",
            name="m",
            generation=1,
            status=Moved(phase=Phase.RUNNING, percent=10.0),
        )
    )
    result = machine.apply(DeleteResource(now_ms=0, kind="move", name="m", operator="ann"))
    assert isinstance(result, Rejected)
    assert "10% of the callers" in result.findings[0][1]


def test_status_of_an_older_generation_is_rejected(machine):
    machine.apply(put("drain", "d", {"target": "region/north"}))
    machine.apply(put("region", "south", {}))
    machine.apply(put("drain", "d", {"target": "region/south"}))
    stale = PutStatus(now_ms=0, kind="drain", name="d", generation=1, status=None)
    assert isinstance(machine.apply(stale), Conflict)
    gone = PutStatus(now_ms=0, kind="drain", name="x", generation=1, status=None)
    assert isinstance(machine.apply(gone), Missing)


def test_a_claim_is_granted_to_one_attempt_only(machine):
    assert machine.apply(claim(attempt="a1")).granted
    assert machine.apply(claim(attempt="a1")).granted, "a duplicate claim was not granted"
    other = machine.apply(claim(attempt="a2"))
    assert (other.granted, other.state) == (False, ClaimState.CLAIMED)


def test_settled_claim_returns_its_answer_to_a_retry(machine):
    machine.apply(claim())
    machine.apply(settle(ClaimState.DONE, answer=b"paid"))
    again = machine.apply(claim(attempt="a2"))
    assert (again.granted, again.state, again.answer) == (False, ClaimState.DONE, b"paid")
    reused = machine.apply(claim(attempt="a3", digest="other"))
    assert reused.mismatch and not reused.granted


def test_released_key_is_granted_to_a_new_attempt_but_not_to_the_released_one(machine):
    machine.apply(claim(attempt="a1"))
    assert machine.apply(settle(ClaimState.RELEASED)).granted
    assert not machine.apply(claim(attempt="a1")).granted
    assert machine.apply(claim(attempt="a2")).granted
    assert not machine.apply(settle(ClaimState.RELEASED, attempt="a1")).granted


def test_release_that_arrives_before_its_claim_prevents_the_grant(machine):
    machine.apply(settle(ClaimState.RELEASED, attempt="a1"))
    assert not machine.apply(claim(attempt="a1")).granted
    assert machine.apply(claim(attempt="a2")).granted


def test_unknown_claim_is_never_granted_again_but_may_become_done(machine):
    machine.apply(put_entry())
    machine.apply(claim())
    machine.apply(put_entry(state="silent"))
    assert machine.apply(claim(attempt="a2")).state is ClaimState.CLAIMED
    machine.apply(put_entry(state="gone"))
    assert machine.apply(claim(attempt="a2")).state is ClaimState.UNKNOWN
    assert not machine.apply(settle(ClaimState.RELEASED)).granted
    assert not machine.apply(claim(attempt="a3")).granted
    machine.apply(settle(ClaimState.DONE, answer=b"x"))
    assert machine.apply(claim(attempt="a4")).answer == b"x"


@pytest.mark.parametrize("end", [put_entry("2"), put_entry("1", "gone"), delete_entry()])
def test_claims_of_an_entry_become_unknown_in_the_command_that_ends_it(machine, end):
    """Open claims must not stay open if the leader fails right after the command."""
    machine.apply(put_entry("1"))
    machine.apply(claim())
    machine.apply(end)
    assert machine.apply(claim(attempt="a2")).state is ClaimState.UNKNOWN


def test_open_claim_does_not_expire(machine):
    machine.apply(claim(retain_s=1.0))
    machine.apply(Expire(now_ms=DAY_MS))
    assert not machine.apply(claim(attempt="a2", now_ms=DAY_MS)).granted


def test_old_uuid7_key_is_refused_after_its_record_has_expired(machine):
    def key_at(ms: int) -> str:
        return str(uuid.UUID(int=(ms << 80) | (7 << 76) | (2 << 62) | 5))

    old, now = key_at(1_000), 2 * DAY_MS
    machine.apply(claim(key=old, retain_s=3600.0))
    machine.apply(settle(ClaimState.DONE, key=old))
    machine.apply(Expire(now_ms=now))
    assert len(machine.claims) == 0
    late = machine.apply(claim(key=old, attempt="a2", now_ms=now))
    assert late.expired and not late.granted
    fresh = machine.apply(claim(key=key_at(now), attempt="a3", now_ms=now))
    assert fresh.granted


def test_history_has_no_gaps_and_raises_for_compacted_revisions():
    machine = StateMachine()
    machine._history = History(limit=8)
    for number in range(30):
        machine.apply(put("region", f"r{number}", {}))
    since = machine.history.compacted
    revisions = [change.revision for change in machine.history.since(since)]
    assert revisions == list(range(since + 1, 31))
    with pytest.raises(GoneError) as caught:
        machine.history.since(since - 1)
    assert caught.value.oldest == since


def test_state_machine_time_is_monotonic(machine):
    machine.apply(Expire(now_ms=1_000))
    machine.apply(put("region", "south", {}, now_ms=5))
    assert machine.history.changes[-1].now_ms == 1_000


NAMES = st.sampled_from(["north", "south", "east"])
COMMANDS = st.one_of(
    st.builds(
        put,
        kind=st.just("region"),
        name=NAMES,
        spec=st.fixed_dictionaries({"latency_ms": st.dictionaries(NAMES, st.floats(0, 9))}),
        expected=st.one_of(st.none(), st.integers(0, 2)),
        change_id=st.sampled_from(["", "c1", "c2", "c3"]),
        now_ms=st.integers(0, 10),
    ),
    st.builds(
        DeleteResource,
        now_ms=st.just(0),
        kind=st.just("region"),
        name=NAMES,
        expected=st.one_of(st.none(), st.integers(0, 2)),
        change_id=st.sampled_from(["", "d1", "d2"]),
        operator=st.just("ann"),
    ),
    st.builds(claim, key=st.sampled_from("kl"), attempt=st.sampled_from(["a1", "a2", "a3"])),
    st.builds(
        settle,
        outcome=st.sampled_from(list(ClaimState)),
        key=st.sampled_from("kl"),
        attempt=st.sampled_from(["a1", "a2", "a3"]),
    ),
    st.builds(Expire, now_ms=st.integers(0, 3 * DAY_MS)),
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(commands=st.lists(COMMANDS, max_size=30), cut=st.integers(0, 30))
def test_replicas_converge_by_commands_snapshot_and_history(commands, cut):
    """Applying all commands, restoring a snapshot and following the history agree."""
    one, other, follower = StateMachine(), StateMachine(), ResourceStore()
    for number, command in enumerate(commands):
        decoded = decode_command(encode_command(command))
        assert other.apply(decoded) == one.apply(command)
        if number == cut:
            restored = StateMachine()
            restored.restore(other.snapshot())
            other = restored
        assert one.digest() == other.digest()
    for change in one.history.since(0):
        assert follower.apply(change)
        assert not follower.apply(change), "a duplicate change was applied"
        assert change.operation in Operation
    assert {(r.kind, r.name): r for r in follower} == {(r.kind, r.name): r for r in one.store}


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["claim", "done", "released", "unknown", "abandon"]),
            st.sampled_from(["a1", "a2", "a3"]),
        ),
        max_size=20,
    )
)
def test_at_most_one_attempt_is_granted_between_releases(steps):
    machine = StateMachine()
    granted_attempt: str | None = None
    released: set[str] = set()
    for step, attempt in steps:
        match step:
            case "claim":
                if machine.apply(claim(attempt=attempt)).granted:
                    assert granted_attempt in (None, attempt), "two attempts were granted"
                    assert attempt not in released, "a released attempt was granted again"
                    granted_attempt = attempt
            case "released":
                if machine.apply(settle(ClaimState.RELEASED, attempt=attempt)).granted:
                    released.add(attempt)
                    granted_attempt = None if granted_attempt == attempt else granted_attempt
            case "abandon":
                machine.apply(put_entry())
                machine.apply(delete_entry())
            case _:
                machine.apply(settle(ClaimState(step), attempt=attempt))
