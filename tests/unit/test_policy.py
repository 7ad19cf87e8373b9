"""Admission, upstream choice, retries, shifts, drains, and the platform list."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from finchway.membership import PlatformList, PlatformView
from finchway.policy import (
    Attempt,
    Directory,
    DrainView,
    FailoverRamp,
    Gate,
    Grant,
    Holder,
    LoadReport,
    Outcome,
    PaidRate,
    Refusal,
    RegionHealth,
    RetryBudget,
    ShiftView,
    Ticket,
    WaitingQueue,
    inbound_part,
    may_retry,
    next_drain_status,
    next_move_status,
    recent_percent,
)
from finchway.pushback import JITTER_FRACTION, Part
from finchway.resources import Division, DrainStatus, Move, MoveStatus, Phase, Share

POOL = [f"10.0.0.{n}:80" for n in range(4)]


def directory(seed: int = 1, addresses: list[str] = POOL) -> Directory:
    made = Directory(random.Random(seed))
    made.sync(dict.fromkeys(addresses, 0.0), 0.0, warm=True)
    return made


def gate(slots: int = 1, limit: int = 4) -> Gate:
    holder = Holder("e1")
    division = Division(members=["e1"], slots=dict.fromkeys(POOL, slots), floor_fraction=1.0)
    share = Share(service="s", region="r", epoch=1, current=division)
    holder.set_shares([share], {"s": 2.0})
    made = Gate(holder, directory())
    made.set_limit("s", limit)
    return made


def ticket(number: int, rank: int = 0, deadline: float = 10.0) -> Ticket:
    return Ticket(number, rank, deadline, 0.0, ("r",))


class TestAdmission:
    def test_better_ranks_are_served_first_and_the_worst_is_evicted(self):
        made = gate()
        grants = [made.request_slot("s", ticket(n), 0.0)[0] for n in range(4)]
        assert all(isinstance(g, Grant) for g in grants)
        for number, rank in enumerate((2, 1, 2, 1), start=10):
            assert made.request_slot("s", ticket(number, rank), 0.0)[0] is None
        decision, evicted = made.request_slot("s", ticket(20, 0), 0.0)
        assert decision is None
        assert [t.sequence for t, _ in evicted] == [12], "the newest of the worst rank is evicted"
        decision, _ = made.request_slot("s", ticket(21, 2), 0.0)
        assert isinstance(decision, Refusal) and decision.retry_after_s > 0
        order = []
        for grant in grants:
            made.release(grant, 0.1, True)
            order += [t.sequence for t, d in made.process_queues(0.1) if isinstance(d, Grant)]
        assert order == [20, 11, 13, 10]

    def test_a_request_that_cannot_meet_its_deadline_is_refused_immediately(self):
        made = gate()
        for number in range(4):
            made.request_slot("s", ticket(number), 0.0)
        decision, _ = made.request_slot("s", ticket(9, deadline=0.001), 0.0)
        assert isinstance(decision, Refusal) and "deadline" in decision.reason

    def test_a_queued_ticket_is_refused_when_its_deadline_passes(self):
        made = gate()
        for number in range(4):
            made.request_slot("s", ticket(number), 0.0)
        made.request_slot("s", ticket(9, deadline=1.0), 0.0)
        assert made.process_queues(0.5) == []
        [(late, decision)] = made.process_queues(1.0)
        assert late.sequence == 9 and isinstance(decision, Refusal)

    def test_without_slots_and_control_plane_a_request_is_refused_immediately(self):
        made = Gate(Holder("e9"), directory())
        made.set_limit("s", 4)
        assert made.request_slot("s", ticket(1), 0.5)[0] is None, "the leader may still lend slots"
        decision, _ = made.request_slot("s", ticket(2), 60.0)
        assert isinstance(decision, Refusal) and "cannot borrow" in decision.reason

    def test_without_a_region_a_request_is_refused(self):
        lost = Ticket(1, 0, 10.0, 0.0, ())
        assert isinstance(gate().request_slot("s", lost, 0.0)[0], Refusal)

    def test_at_rate_limits_the_best_rank_is_served_first_and_late_requests_are_refused(
        self,
    ):
        made = gate()
        for address in POOL:
            assert made.directory.record_limit(address, 0.25, 0.0, 0.0)
        number = 0
        while isinstance(made.request_slot("s", ticket(number), 0.0)[0], Grant):
            number += 1
        assert number <= len(POOL)
        for place, rank in ((40, 2), (41, 1)):
            assert made.request_slot("s", ticket(place, rank), 0.0)[0] is None
        # All upstreams together accept one request per second.
        decision, _ = made.request_slot("s", ticket(42, rank=3, deadline=0.2), 0.0)
        assert isinstance(decision, Refusal) and "rate limits" in decision.reason
        assert decision.retry_after_s > 0
        decided = [t.sequence for t, d in made.process_queues(9.0) if isinstance(d, Grant)]
        assert decided[:2] == [number, 41]

    def test_an_entry_without_a_part_of_any_limit_refuses_immediately(self):
        made = gate()
        made.directory.set_limit_division(lambda address, limit: Part(0.0))
        for address in POOL:
            made.directory.record_limit(address, 2.0, 0.0, 0.0)
        decision, _ = made.request_slot("s", ticket(1), 0.0)
        assert isinstance(decision, Refusal) and "rate limits" in decision.reason
        made.directory.record_limit(POOL[0], None, 0.5, 1.0)
        assert isinstance(made.request_slot("s", ticket(2), 1.0)[0], Grant)

    def test_a_grant_that_is_not_sent_returns_its_rate_limit_token(self):
        made = gate()
        made.directory.set_limit_division(
            lambda address, limit: Part(limit if address == POOL[0] else 0.0)
        )
        for address in POOL:
            made.directory.record_limit(address, 0.1, 0.0, 0.0)
        made.request_slot("s", ticket(1, deadline=0.1), 0.0)
        grant = made.request_slot("s", ticket(2), 20.0)[0]
        assert isinstance(grant, Grant) and grant.is_counted
        made.release(grant, 20.1, False, was_sent=False)
        assert isinstance(made.request_slot("s", ticket(3), 20.2)[0], Grant)

    def test_a_withdrawn_ticket_takes_no_slot(self):
        made = gate()
        grants = [made.request_slot("s", ticket(n), 0.0)[0] for n in range(4)]
        waiting = ticket(9)
        made.request_slot("s", waiting, 0.0)
        assert made.withdraw("s", waiting) and not made.withdraw("s", waiting)
        made.release(grants[0], 0.1, True)
        assert made.process_queues(0.1) == [] and made.in_flight == 3

    def test_requests_beyond_the_paid_rate_are_detected(self):
        paid = PaidRate(2.0, 0.0)
        assert [paid.take(0.0) for _ in range(3)] == [True, True, False]
        assert [paid.take(0.5), paid.take(0.5)] == [True, False]

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.integers(0, 3), max_size=30))
    def test_a_queue_never_exceeds_its_limit_and_keeps_the_best_tickets(self, ranks):
        queue = WaitingQueue(5)
        for number, rank in enumerate(ranks):
            queue.push(ticket(number, rank))
        kept = [t.order for t in queue]
        everyone = sorted((rank, number) for number, rank in enumerate(ranks))
        assert kept == everyone[:5]


class TestUpstreamChoice:
    limits = dict.fromkeys(POOL, 2)

    def test_the_less_loaded_of_two_random_upstreams_is_chosen(self):
        made = directory()
        for number, address in enumerate(POOL):
            made.get(address).in_flight = number
        limits = dict.fromkeys(POOL, 10)
        picks = [made.choose(limits, 0.0) for _ in range(600)]
        counts = [picks.count(address) for address in POOL]
        assert counts == sorted(counts, reverse=True) and counts[0] > 2 * counts[-1]

    def test_a_full_leaving_drained_or_backed_off_upstream_is_never_chosen(self):
        made = directory()
        made.get(POOL[0]).in_flight = 2
        made.mark_leaving(POOL[1])
        made.set_drained({POOL[2]})
        assert {made.choose(self.limits, 0.0) for _ in range(50)} == {POOL[3]}
        made.record_refusal(POOL[3], 0.0)
        assert made.choose(self.limits, 0.01) is None
        assert made.choose(self.limits, 0.06) == POOL[3]

    @pytest.mark.parametrize("load", [0.0, 9.0])
    def test_a_load_report_does_not_affect_the_choice(self, load):
        silent, told = directory(), directory()
        for address in POOL[:2]:
            told.record_report(address, LoadReport(load, 0.0))
        limits = dict.fromkeys(POOL, 2)
        without = [silent.choose(limits, 0.0) for _ in range(100)]
        assert [told.choose(limits, 0.0) for _ in range(100)] == without

    def test_a_healthy_report_overrides_neither_failures_nor_leaving_marks(self):
        made = directory()
        for _ in range(3):
            made.record_failure(POOL[0], POOL, 0.0)
        made.mark_leaving(POOL[1])
        for address in POOL[:2]:
            made.record_report(address, LoadReport(0.0, 0.0))
        assert not made.is_usable(POOL[0], 0.0) and not made.is_usable(POOL[1], 0.0)

    def test_at_most_half_of_a_pool_is_ejected(self):
        made = directory()
        for address in POOL:
            for _ in range(5):
                made.record_failure(address, POOL, 0.0)
        assert sum(not made.is_usable(address, 0.0) for address in POOL) == 2

    def test_ejection_times_grow_exponentially(self):
        made = directory()
        for _ in range(3):
            made.record_failure(POOL[0], POOL, 0.0)
        assert not made.is_usable(POOL[0], 1.9) and made.is_usable(POOL[0], 2.0)
        made.record_failure(POOL[0], POOL, 2.0)
        assert not made.is_usable(POOL[0], 5.9) and made.is_usable(POOL[0], 6.0)

    def test_a_leaving_mark_applies_to_one_incarnation(self):
        made = directory()
        made.record_incarnation(POOL[0], "a", 0.0)
        made.mark_leaving(POOL[0])
        made.record_incarnation(POOL[0], "a", 1.0)
        assert not made.is_usable(POOL[0], 1.0)
        made.record_incarnation(POOL[0], "b", 2.0)
        assert made.is_usable(POOL[0], 2.0)

    def test_a_cold_upstream_gets_a_growing_part_of_its_limit(self):
        made = Directory(random.Random(1))
        made.sync({POOL[0]: 10.0}, 0.0, warm=True)
        made.sync({POOL[0]: 10.0, POOL[1]: 10.0}, 100.0, warm=False)

        def room(at: float) -> int:
            state = made.get(POOL[1])
            state.in_flight = 0
            while made.choose({POOL[1]: 8}, at) is not None:
                state.in_flight += 1
            return state.in_flight

        assert [room(100.0), room(105.0), room(110.0)] == [1, 4, 8]


class TestRetries:
    def attempt(self, **fields) -> Attempt:
        base = {
            "number": 1,
            "outcome": Outcome.NOT_RUN,
            "repeatable": True,
            "body_replayable": True,
            "time_left": 1.0,
        }
        return Attempt(**{**base, **fields})

    @pytest.mark.parametrize(
        ("fields", "expected"),
        [
            ({}, True),
            ({"outcome": Outcome.UNKNOWN}, True),
            ({"outcome": Outcome.UNKNOWN, "repeatable": False}, False),
            ({"repeatable": False}, True),
            ({"outcome": Outcome.RAN}, False),
            ({"body_replayable": False}, False),
            ({"time_left": 0.01}, False),
            ({"number": 3}, False),
        ],
    )
    def test_only_safe_requests_are_retried(self, fields, expected):
        assert may_retry(self.attempt(**fields), RetryBudget(), 0.02) is expected

    def test_an_outage_exhausts_the_retry_budget(self):
        budget = RetryBudget()
        allowed = sum(may_retry(self.attempt(), budget, 0.02) for _ in range(1000))
        assert allowed == 5

    def test_the_retry_budget_is_a_fraction_of_successes(self):
        budget = RetryBudget()
        while budget.spend():
            pass
        for _ in range(100):
            budget.earn()
        assert 9 <= sum(budget.spend() for _ in range(100)) <= 10


MOVE = Move(service="s", source="north", target="south", step_percent=10.0, interval_s=5.0)


def view(**fields) -> ShiftView:
    base = {
        "cap_percent": 20.0,
        "window_s": 10.0,
        "recent_percent": 0.0,
        "in_force": True,
        "free_fraction": 0.5,
        "accepted_ms": 0,
    }
    return ShiftView(**{**base, **fields})


class TestShifts:
    def test_a_move_proceeds_in_steps_under_half_the_cap(self):
        status, now_ms, window = None, 0, 10_000
        percents = []
        for now_ms in range(0, 200_000, 1_000):
            recent = recent_percent([(MOVE, status)], "s", "south", 10.0, now_ms)
            status = next_move_status(MOVE, status, view(recent_percent=recent), now_ms)
            percents.append(status.percent)
        assert percents == sorted(percents) and percents[-1] == 100.0
        assert percents[window // 1_000 - 1] == 0.0, "the first step waits for one window"
        for start in range(len(percents) - 10):
            assert percents[start + 9] - percents[start] <= 10.0
        assert status.phase is Phase.DONE

    @pytest.mark.parametrize(
        ("fields", "reason"),
        [
            ({"in_force": False}, "not in force"),
            ({"free_fraction": None}, "no fresh report"),
            ({"free_fraction": 0.0}, "no headroom"),
            ({"recent_percent": 10.0}, "cap of the target"),
            ({"accepted_ms": 15_000}, "one window"),
        ],
    )
    def test_a_held_move_states_its_reason(self, fields, reason):
        status = next_move_status(MOVE, None, view(**fields), 20_000)
        assert status.phase is Phase.HOLDING and reason in status.reason
        assert status.percent == 0.0
        later = next_move_status(MOVE, status, view(), 40_000)
        assert later.phase is Phase.RUNNING and later.percent == 10.0

    def test_a_lower_goal_moves_callers_back_in_steps(self):
        back = Move(service="s", source="north", target="south", goal_percent=0.0)
        status = MoveStatus(phase=Phase.DONE, percent=30.0, stepped_ms=1, steps=3)
        status = next_move_status(back, status, view(), 60_000)
        assert status.percent == 20.0
        assert recent_percent([(back, status)], "s", "north", 10.0, 60_001) == 10.0
        assert recent_percent([(back, status)], "s", "south", 10.0, 60_001) == 0.0

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        cap=st.floats(1, 100),
        regions=st.integers(2, 22),
        active=st.booleans(),
    )
    def test_the_parts_of_a_cap_sum_to_it(self, cap, regions, active):
        parts = (regions - 1) * inbound_part(cap, regions, active)
        assert parts + (cap / 2 if active else 0) <= cap + 1e-9

    def test_failover_grows_and_shrinks_by_one_step_per_window(self):
        ramp = FailoverRamp()
        seen = []
        for now in range(0, 200, 5):
            ramp.advance(10.0, 30.0, now < 100, float(now))
            seen.append(ramp.percent)
        assert max(seen) == 40.0 and seen[-1] == 10.0
        for start in range(len(seen) - 5):
            assert abs(seen[start + 5] - seen[start]) <= 10.0

    def test_better_priorities_fail_over_first_and_callers_stay_failed_over(self):
        ramp = FailoverRamp()
        for number in range(3000):
            ramp.record(number % 3, 0.002)
        ramp.advance(40.0, 30.0, True, 0.0)
        places = [n / 100 for n in range(100)]
        gold, silver, bronze = ([p for p in places if ramp.allows(r, p)] for r in range(3))
        assert len(gold) == 100 and 10 <= len(silver) <= 30 and bronze == []
        ramp.advance(40.0, 30.0, True, 31.0)
        assert set(silver) <= {p for p in places if ramp.allows(1, p)}

    def test_a_region_is_down_only_after_failures_at_several_upstreams(self):
        health = RegionHealth()
        for _ in range(10):
            health.record_failure("a", 4)
        assert not health.is_down
        health.record_failure("b", 4)
        assert health.is_down
        health.record_success()
        assert not health.is_down

    @pytest.mark.parametrize(("upstreams", "failed"), [(2, 2), (4, 2), (7, 4), (10, 5), (40, 5)])
    def test_a_region_is_down_once_half_of_its_upstreams_or_five_fail(self, upstreams, failed):
        """A few broken upstreams among many must not mark the region as down."""
        health = RegionHealth()
        for number in range(100):
            health.record_failure(str(number % (failed - 1)), upstreams)
        assert not health.is_down
        health.record_failure("another", upstreams)
        assert health.is_down


class TestDrains:
    def test_a_drain_is_done_once_all_entries_confirmed_it_and_nothing_is_in_flight(self):
        status = next_drain_status(None, DrainView({"e1": 2}, ["e2"]), 10)
        assert status.phase is Phase.PENDING and "e2" in status.reason
        status = next_drain_status(status, DrainView({"e1": 1, "e2": 1}, []), 20)
        assert (status.phase, status.in_flight, status.started_ms) == (Phase.RUNNING, 2, 10)
        held = next_drain_status(status, DrainView({"e1": 0}, ["e2"]), 30)
        assert held.phase is Phase.HOLDING and "e2" in held.reason
        done = next_drain_status(held, DrainView({"e1": 0, "e2": 0}, []), 40)
        assert done == DrainStatus(phase=Phase.DONE, started_ms=10, done_ms=40)
        assert next_drain_status(done, DrainView({"e1": 0, "e2": 0}, []), 50) is done


class TestPlatform:
    def test_a_leaving_mark_survives_changing_and_late_lists(self):
        platform = PlatformView()
        platform.record(PlatformList(live=["u"], as_of_ms=1))
        platform.record(PlatformList(live=[], leaving=["u"], as_of_ms=2))
        platform.record(PlatformList(live=["u"], as_of_ms=3))
        platform.record(PlatformList(live=["u"], as_of_ms=1))
        assert platform.leaving == {"u"} and not platform.is_gone("u")

    def test_gone_means_absent_from_several_lists_and_a_return_is_a_new_incarnation(self):
        platform = PlatformView()
        platform.record(PlatformList(leaving=["u"], as_of_ms=1))
        for number in range(2, 4):
            platform.record(PlatformList(as_of_ms=number))
            assert not platform.is_gone("u")
        platform.record(PlatformList(as_of_ms=4))
        assert platform.is_gone("u") and not platform.is_gone("never listed")
        platform.record(PlatformList(live=["u"], as_of_ms=5))
        assert platform.leaving == frozenset() and not platform.is_gone("u")


class TestBackoffs:
    """Upstreams that requested a backoff must not receive requests before it ends."""

    def back_off_all(self, made: Gate, seconds: float, now: float) -> None:
        for address in POOL:
            made._directory.record_backoff(address, seconds, now)

    def test_a_request_with_a_deadline_within_all_backoffs_is_refused_immediately(self):
        made = gate()
        self.back_off_all(made, 3.0, 0.0)
        refusal, _ = made.request_slot("s", ticket(1, deadline=2.0), 0.0)
        assert isinstance(refusal, Refusal)
        assert 3.0 <= refusal.retry_after_s <= 3.0 * (1 + JITTER_FRACTION)
        assert made.request_slot("s", ticket(2, deadline=10.0), 0.0)[0] is None

    def test_a_queued_request_is_refused_once_backoffs_exceed_its_deadline(self):
        made = gate()
        grants = [made.request_slot("s", ticket(n), 0.0)[0] for n in range(4)]
        assert made.request_slot("s", ticket(10, deadline=2.0), 0.0)[0] is None
        self.back_off_all(made, 3.0, 0.1)
        made.release(grants[0], 0.1, True)
        ((waiting, refusal),) = made.process_queues(0.1)
        assert (waiting.sequence, type(refusal)) == (10, Refusal)
        assert made.waiting("s") == 0

    def test_after_a_backoff_one_trial_request_is_sent_first(self):
        made = gate(slots=2)
        for address in POOL[1:]:
            made._directory.mark_leaving(address)
        made._directory.record_backoff(POOL[0], 1.0, 0.0)
        first, _ = made.request_slot("s", ticket(1), 2.0)
        assert isinstance(first, Grant)
        assert made.request_slot("s", ticket(2), 2.0)[0] is None
        assert made.process_queues(2.1) == []
        made.release(first, 2.1, True)
        ((_, second),) = made.process_queues(2.1)
        assert isinstance(second, Grant)

    def test_only_a_new_incarnation_ends_a_backoff_early(self):
        made = directory()
        made.record_incarnation(POOL[0], "one", 0.0)
        made.record_backoff(POOL[0], 5.0, 0.0)
        made.record_success(POOL[0])
        made.end_trial(POOL[0], True)
        assert not made.is_usable(POOL[0], 1.0)
        made.record_incarnation(POOL[0], "two", 1.0)
        assert made.is_usable(POOL[0], 1.0)
