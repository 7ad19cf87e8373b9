"""A gateway's routing decisions on a scripted configuration, without sockets."""

from __future__ import annotations

import msgspec
import trio
import trio.testing

from finchway.catalog import Backend, Item, ItemKind, Limits, Route, RouteType, ServiceSpec
from finchway.feed import (
    ClusterView,
    Feed,
    GatewayPeer,
    RegionDemand,
    Roster,
    UpstreamHeartbeat,
)
from finchway.gateway import (
    Bounds,
    CallerRequest,
    ChoiceReason,
    RequestContext,
    Router,
    UpstreamTable,
)
from finchway.observe import DecisionLog, LogWriter
from finchway.registry import Registration, UpstreamState
from finchway.state import ChangeItems, Steering, SteeringImage

ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}


def registration(instance, zone, slots=6):
    return Registration(
        instance=instance,
        address="127.0.0.1:1",
        service="s",
        zone=zone,
        slots=slots,
        state=UpstreamState.READY,
        sequence=1,
    )


class RouterUnderTest:
    """A router in zone north-a with scripted inputs; must be used within a trio run."""

    def __init__(self, upstreams, demand=None, target_latency=0.3, gateways=("g1",), zones=ZONES):
        spec = {"backends": (Backend("s", 1.0),), "timeout": 2.0, "max_attempts": 2}
        self.route = Route(
            host="a.example",
            path_prefix="/x/",
            type=RouteType.SAFE,
            target_latency=target_latency,
            affinity=True,
            **spec,
        )
        steering = Steering()
        items = [
            Item(kind=ItemKind.SERVICE, name="s", version=1, spec=ServiceSpec()),
            Item(kind=ItemKind.ROUTE, name="r", version=1, spec=self.route),
            Item(kind=ItemKind.LIMITS, name="limits", version=1, spec=Limits()),
        ]
        steering.change_items(ChangeItems(now_ms=0, items=items))
        self.view = ClusterView()
        self.view.merge(
            Feed(
                life="l",
                order=1,
                image=steering.image(),
                age=0.0,
                upstreams=[UpstreamHeartbeat(registration, 0.0) for registration in upstreams],
                roster=Roster(version=1, serving=[GatewayPeer(name, "") for name in gateways]),
                demand=[RegionDemand(region, "s", rate) for region, rate in (demand or {}).items()],
            ),
            trio.current_time(),
        )
        self.writer = LogWriter()
        log = DecisionLog("g1", self.writer)
        self.table = UpstreamTable("g1", lambda: zones, self.view, Bounds(), log)
        self.router = Router("north-a", lambda: zones, self.view, self.table, Bounds())

    def lines(self, event):
        """Return the log lines of one event that were written since the last call."""
        data = b""
        while part := self.writer._next_batch():
            data += part
        decoded = [msgspec.json.decode(line) for line in data.splitlines()]
        return [line for line in decoded if line["event"] == event]

    def context(self, key):
        now = trio.current_time()
        request = CallerRequest("GET", "/x/1", "a.example", [], b"", now)
        return RequestContext(
            request, "r", self.route, "s", f"id-{key}", str(key), now + 2.0, tried=set()
        )

    def zones_of(self, keys):
        """Return the zones that requests with these keys are sent to; None for a refusal."""
        chosen = []
        for key in keys:
            context = self.context(key)
            self.router.count_request(context, trio.current_time())
            choice = self.router.choose(context, trio.current_time())
            chosen.append(choice.record.registration.zone if choice else None)
        return chosen


def on_virtual_time(check):
    def test():
        trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))

    test.__name__ = check.__name__
    return test


def small_and_large_region():
    return [registration(f"n{n}", "north-a") for n in range(2)] + [
        registration(f"s{n}", "south-a") for n in range(20)
    ]


async def remote_fraction_after(subject, seconds):
    """Return the fraction of requests sent south after some seconds of load."""
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        subject.zones_of(range(20))
        await trio.sleep(0.2)
    return subject.zones_of(range(400)).count("south-a") / 400


async def report_demand(subject, demand, seconds):
    """Have control report a demand, each second for some seconds of load."""
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        feed = Feed(life="l", order=1, image=SteeringImage(), age=0.0, demand=demand)
        subject.view.merge(feed, trio.current_time())
        await remote_fraction_after(subject, 1.0)


@on_virtual_time
async def test_small_region_sends_away_requests_beyond_its_capacity():
    # Two upstreams can serve 12 x 0.7 / 1.2 = 7 of the 14 requests per second.
    demand = {"north": 14.0, "south": 10.0}
    subject = RouterUnderTest(small_and_large_region(), demand, target_latency=1.2)
    assert 0.4 <= await remote_fraction_after(subject, 20.0) <= 0.6


@on_virtual_time
async def test_small_region_keeps_requests_within_its_capacity():
    demand = {"north": 14.0, "south": 10.0}
    subject = RouterUnderTest(small_and_large_region(), demand, target_latency=0.3)
    assert await remote_fraction_after(subject, 40.0) == 0.0


@on_virtual_time
async def test_a_region_is_planned_by_the_fleets_service_time():
    """A gateway that has seen no answers yet spreads the requests like its peers."""
    demand = [RegionDemand("north", "s", 14.0, 300), RegionDemand("south", "s", 10.0, 300)]
    subject = RouterUnderTest(small_and_large_region(), target_latency=1.2)
    await report_demand(subject, demand, 40.0)
    assert await remote_fraction_after(subject, 0.2) == 0.0
    # Without reports, the gateway goes by its own estimate, here the target latency.
    assert await remote_fraction_after(subject, 30.0) >= 0.4


@on_virtual_time
async def test_a_region_that_serves_cold_keys_passes_on_what_it_cannot_bear():
    """The mean time of its answers counts, which is above that of answers for warm keys."""
    demand = [RegionDemand("north", "s", 14.0, 300, 1_200), RegionDemand("south", "s", 10.0, 300)]
    subject = RouterUnderTest(small_and_large_region(), target_latency=1.2)
    await report_demand(subject, demand, 30.0)
    assert 0.4 <= await remote_fraction_after(subject, 0.2) <= 0.6


@on_virtual_time
async def test_growing_demand_is_assumed_to_be_even():
    # The first reports come from few gateways; a plan based on them overloads the small region.
    subject = RouterUnderTest(small_and_large_region(), {"north": 0.5}, target_latency=0.3)
    assert 0.7 <= await remote_fraction_after(subject, 1.0) <= 0.85


@on_virtual_time
async def test_full_region_does_not_overflow_to_a_cold_one():
    subject = RouterUnderTest([registration("n", "north-a", slots=1), registration("s", "south-a")])
    demand = [RegionDemand("north", "s", 0.1), RegionDemand("south", "s", 0.1)]
    feed = Feed(life="l", order=1, image=SteeringImage(), age=0.0, demand=demand)
    subject.view.merge(feed, trio.current_time())
    assert await remote_fraction_after(subject, 60.0) == 0.0
    held = subject.table.get("n")
    held.in_flight = 2
    assert set(subject.zones_of(range(30))) == {None}
    held.back_off(trio.current_time(), 5.0)
    assert set(subject.zones_of(range(30))) == {"south-a"}


def answer_all(subject, seconds, keys=range(20)):
    """Send a request for each key; upstreams answer after the given seconds, 0.1 by default."""
    now = trio.current_time()
    chosen = []
    for key in keys:
        context = subject.context(key)
        subject.router.count_request(context, now)
        choice = subject.router.choose(context, now)
        name = choice.record.registration.instance
        subject.router.record_answer(context, choice, 200, seconds.get(name, 0.1), now)
        chosen.append(name)
    return chosen


@on_virtual_time
async def test_slow_upstream_is_left_out_and_retried_until_it_recovers():
    subject = RouterUnderTest([registration(f"n{n}", "north-a") for n in range(5)])
    for _ in range(10):
        before = answer_all(subject, {})
        await trio.sleep(0.2)
    assert "n1" in before
    for _ in range(4):
        answer_all(subject, {"n1": 1.2})
        await trio.sleep(0.2)
    attempts = [answer_all(subject, {"n1": 1.2}).count("n1") for _ in range(3)]
    assert attempts == [0, 0, 0]
    seen = 0
    for _ in range(20):
        seen += answer_all(subject, {"n1": 1.2}).count("n1")
        await trio.sleep(0.1)
    assert 1 <= seen <= 3
    for _ in range(25):
        answer_all(subject, {})
        await trio.sleep(0.1)
    assert answer_all(subject, {}) == before


@on_virtual_time
async def test_upstream_whose_answers_are_in_time_is_not_left_out():
    """Delays that the gateway's own busy machine adds must not make outliers of fast upstreams."""
    subject = RouterUnderTest([registration(f"n{n}", "north-a") for n in range(5)])
    fast = {f"n{n}": 0.005 for n in range(5)}
    for _ in range(40):
        before = answer_all(subject, fast)
        await trio.sleep(0.2)
    assert "n1" in before
    for _ in range(10):
        answer_all(subject, fast | {"n1": 0.2})
        await trio.sleep(0.2)
    assert answer_all(subject, fast) == before


@on_virtual_time
async def test_slow_answers_for_cold_keys_do_not_count():
    subject = RouterUnderTest([registration(f"n{n}", "north-a") for n in range(5)])
    for step in range(10):
        before = answer_all(subject, {"n1": 0.4}, range(100 * step, 100 * step + 20))
        await trio.sleep(0.2)
    assert "n1" in before
    await trio.sleep(0.2)
    assert "n1" in answer_all(subject, {}, range(20))


@on_virtual_time
async def test_no_upstream_is_left_out_when_all_turn_slow():
    subject = RouterUnderTest([registration(f"n{n}", "north-a") for n in range(5)])
    for _ in range(10):
        before = answer_all(subject, {})
        await trio.sleep(0.2)
    slow = {f"n{n}": 1.2 for n in range(5)}
    for _ in range(10):
        answer_all(subject, slow)
        await trio.sleep(0.2)
    assert answer_all(subject, slow) == before


@on_virtual_time
async def test_newer_load_report_raises_the_gateways_slot_share():
    # A key must not move to a cold upstream while its own one has free slots.
    gateways = tuple(f"g{n}" for n in range(12))
    subject = RouterUnderTest(
        [registration(f"n{n}", "north-a", slots=5) for n in range(4)], gateways=gateways
    )
    context = subject.context("a")
    subject.router.count_request(context, trio.current_time())
    home = subject.router.choose(context, trio.current_time()).record
    home.in_flight = 3
    home.record_load(running=3, waiting=0, now=trio.current_time())
    assert subject.router.choose(subject.context("a"), trio.current_time()).record is home
    await trio.sleep(1.0)
    assert subject.router.choose(subject.context("a"), trio.current_time()).record is not home
    home.record_load(running=5, waiting=0, now=trio.current_time())
    home.in_flight = 4
    assert subject.router.choose(subject.context("a"), trio.current_time()).record is not home


@on_virtual_time
async def test_choice_carries_its_reason_and_inputs():
    subject = RouterUnderTest([registration(f"n{n}", "north-a", slots=4) for n in range(5)])
    first = subject.router.choose(subject.context("a"), trio.current_time())
    assert (first.reason, first.region, first.estimated_load) == (ChoiceReason.HOME, "north", 0.0)
    assert first.report_age == float("inf")
    first.record.record_load(running=4, waiting=5, now=trio.current_time())
    await trio.sleep(0.1)
    second = subject.router.choose(subject.context("a"), trio.current_time())
    assert second.reason is ChoiceReason.RELIEF
    assert second.record is not first.record
    for record in (first.record, second.record):
        record.back_off(trio.current_time(), 5.0)
    third = subject.router.choose(subject.context("a"), trio.current_time())
    assert third.record not in (first.record, second.record)


@on_virtual_time
async def test_plan_is_logged_only_when_it_changes():
    subject = RouterUnderTest(small_and_large_region(), {"north": 14.0, "south": 10.0})
    subject.zones_of(range(5))
    (line,) = subject.lines("plan")
    assert line["service"] == "s"
    assert set(line["regions"]) == {"north", "south"}
    assert line["regions"]["south"]["part"] > 0.5
    assert line["work_ms"] == 300.0
    subject.zones_of(range(5))
    assert subject.lines("plan") == []
    await remote_fraction_after(subject, 30.0)
    kept = [line["kept"] for line in subject.lines("plan")]
    assert kept == sorted(kept)
    assert 3 <= len(kept) <= 20


@on_virtual_time
async def test_outlier_is_logged_with_its_cause():
    subject = RouterUnderTest([registration(f"n{n}", "north-a") for n in range(5)])
    for _ in range(5):
        answer_all(subject, {})
        await trio.sleep(0.2)
    subject.lines("belief")
    for _ in range(4):
        answer_all(subject, {"n1": 1.2})
        await trio.sleep(0.2)
    (line,) = [line for line in subject.lines("belief") if line["subject"] == "upstream/n1"]
    assert line["now"] == "answering worse than its fellows"
    assert "bad 1.00" in line["source"] or "bad 0.75" in line["source"]


async def slow_upstream_and_one_in_backoff(subject):
    """Make n1 an outlier that answers in 1.2 s, and put n2 into a backoff."""
    for _ in range(10):
        answer_all(subject, {})
        await trio.sleep(0.2)
    for _ in range(4):
        answer_all(subject, {"n1": 1.2})
        await trio.sleep(0.2)
    subject.table.backoffs.start("n2", 5.0, trio.current_time())


def pair_in_north_and_others(others):
    """Return the registrations of n1 and n2 in north, and of others by name in south."""
    near = [registration("n1", "north-a"), registration("n2", "north-a")]
    return near + [registration(name, "south-a") for name in others]


@on_virtual_time
async def test_healthy_upstream_elsewhere_serves_before_an_outlier_at_home():
    """An outlier at home must not count as room there, or requests end that others would serve."""
    subject = RouterUnderTest(pair_in_north_and_others(["s1", "s2"]))
    await slow_upstream_and_one_in_backoff(subject)
    subject.table.get("n1").outlier_state.record_trial(trio.current_time())
    assert subject.zones_of(range(20)) == ["south-a"] * 20
    choice = subject.router.choose(subject.context("k"), trio.current_time())
    assert (choice.skipped.outliers, choice.skipped.in_backoff) == (1, 1)


@on_virtual_time
async def test_attempted_upstream_at_home_does_not_keep_a_retry_from_other_regions():
    """An upstream that a request has tried is no room for its retry."""
    subject = RouterUnderTest(
        [
            registration("n1", "north-a"),
            registration("s1", "south-a"),
            registration("s2", "south-a"),
        ]
    )
    assert await remote_fraction_after(subject, 0.2) < 1.0
    for key in range(20):
        context = subject.context(key)
        context.tried.add("n1")
        choice = subject.router.choose(context, trio.current_time())
        assert choice is not None and choice.region == "south", "the retry got no upstream"


@on_virtual_time
async def test_streamed_request_goes_elsewhere_while_its_home_awaits_a_trial():
    """An upstream that may not get a streamed body is no room for it."""
    subject = RouterUnderTest(
        [
            registration("n1", "north-a"),
            registration("s1", "south-a"),
            registration("s2", "south-a"),
        ]
    )
    subject.table.backoffs.start("n1", 0.5, trio.current_time())
    await trio.sleep(0.6)
    for key in range(20):
        context = subject.context(key)
        context.request.is_streamed = True
        choice = subject.router.choose(context, trio.current_time())
        assert choice is not None and choice.region == "south", "the request got no upstream"


@on_virtual_time
async def test_a_poor_upstream_serves_what_no_other_may_take():
    """A slow upstream is used if the only other one is in backoff: a slow answer beats none."""
    subject = RouterUnderTest([registration("n1", "north-a"), registration("n2", "north-a")])
    for _ in range(10):
        answer_all(subject, {})
        await trio.sleep(0.2)
    for _ in range(4):
        answer_all(subject, {"n1": 1.2})
        await trio.sleep(0.2)
    now = trio.current_time()
    in_backoff = subject.table.regions("s", now)["north"].records["n2"]
    subject.table.backoffs.start(in_backoff.registration.incarnation, 5.0, now)
    assert subject.zones_of(range(20)) == ["north-a"] * 20
