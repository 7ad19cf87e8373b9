"""Checks of the promises against observations from outside."""

from __future__ import annotations

import signal
from collections import defaultdict
from collections.abc import Iterator

from msgspec import Struct

from bench.limits import WINDOW_S, max_in_window
from bench.soak._ledger import (
    NO_ANSWER,
    Arrival,
    Ended,
    EndedUnder,
    Ledger,
    Left,
    LimitChanged,
    Run,
)
from bench.soak._plan import FaultKind, Shape

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
LEAVING_BOUND_S = 5.0
IN_TOUCH_S = 3.0
# Seconds after which no gateway may deny a route of an accepted change.
IN_FORCE_WITHIN_S = 2.5
STOP_WITHIN_S = 7.0
# Upstreams that one request may crash before it is quarantined, and the seconds after which all
# gateways must know of that.
ENDS_ALLOWED = 3
KNOWN_WITHIN_S = 3.0
# Requests that may reach an upstream during a requested backoff, after those that were in flight.
MOST_IN_A_REST = 2
UNDER_WAY_S = 0.5
# Seconds for which an upstream that announced that it leaves may still get new requests.
DRAIN_S = 2.0
PLANNED = frozenset({FaultKind.STOP.value, FaultKind.STOP_AND_RELOAD.value})
DISK_ENDS = frozenset({FaultKind.FULL_DISK.value})


class Violation(Struct, frozen=True):
    """A promise that was violated, and the evidence."""

    promise: str
    evidence: str


def expected_body(request_id: str, instance: str, payload: bytes) -> bytes:
    """Return the body that an upstream answers a request with."""
    return f"{request_id} {instance} {len(payload)} ".encode() + payload[:32]


def check(ledger: Ledger, shape: Shape) -> list[Violation]:
    """Return all violations of the promises."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in ledger.runs:
        runs[run.id].append(run)
    return [
        *_answers(ledger, runs),
        *_runs(ledger, runs),
        *_leaving(ledger, shape),
        *_planned_stops(ledger, runs),
        *_configuration(ledger),
        *_denials(ledger),
        *_deadly(ledger, shape),
        *_rests(ledger),
        *_limits(ledger),
        *_said_leaving(ledger),
        *_processes(ledger),
    ]


def _answers(ledger: Ledger, runs: dict[str, list[Run]]) -> Iterator[Violation]:
    for answer in ledger.answers.values():
        sent = ledger.sent[answer.id]
        ran = runs.get(answer.id, [])
        if answer.status == 200:
            bodies = [expected_body(run.id, run.instance, sent.payload) for run in ran]
            if not answer.complete or answer.body not in bodies:
                yield Violation("whole own answers", f"{answer.id}: {answer.body[:80]!r}")
        if answer.status == NO_ANSWER and ledger.is_calm(
            sent.gateway, sent.at - IN_TOUCH_S, answer.at
        ):
            yield Violation("an answer in time", f"{answer.id} at {sent.gateway}")
        if answer.status in NOT_RUN_STATUSES and ran:
            yield Violation(
                "not-run is true", f"{answer.id}: {answer.status}, ran at {ran[0].instance}"
            )


def _runs(ledger: Ledger, runs: dict[str, list[Run]]) -> Iterator[Violation]:
    for request_id, ran in runs.items():
        sent = ledger.sent.get(request_id)
        if sent is None:
            yield Violation("only what was asked runs", f"{request_id} at {ran[0].instance}")
        elif len(ran) > 1 and not sent.repeatable:
            places = ", ".join(run.instance for run in ran)
            yield Violation("at most once", f"{request_id}: {places}")
        elif any(run.payload != sent.payload for run in ran):
            yield Violation("requests arrive unaltered", request_id)


def _leaving(ledger: Ledger, shape: Shape) -> Iterator[Violation]:
    by_instance: dict[str, list[Run]] = defaultdict(list)
    by_zone: dict[str, list[Run]] = defaultdict(list)
    for run in ledger.runs:
        by_instance[run.instance].append(run)
        by_zone[run.zone].append(run)
    for left in ledger.left:
        yield from _late(ledger, shape, "nothing new for what leaves", left, by_instance)
    for left in ledger.evacuated:
        yield from _late(ledger, shape, "nothing new for an evacuated zone", left, by_zone)


def _late(
    ledger: Ledger, shape: Shape, promise: str, left: Left, places: dict[str, list[Run]]
) -> Iterator[Violation]:
    for run in places[left.name]:
        if not left.at + LEAVING_BOUND_S < run.at < left.until or run.id not in ledger.sent:
            continue
        gateway = ledger.sent[run.id].gateway
        start = left.at - IN_TOUCH_S
        most = (shape.replicas - 1) // 2
        in_touch = ledger.is_calm(gateway, start, run.at)
        if in_touch and ledger.faulted(shape.replica_names, start, run.at) <= most:
            yield Violation(promise, f"{run.id} at {left.name} {run.at - left.at:.1f} s later")


def _planned_stops(ledger: Ledger, runs: dict[str, list[Run]]) -> Iterator[Violation]:
    for answer in ledger.answers.values():
        sent = ledger.sent[answer.id]
        ran = runs.get(answer.id, [])
        if answer.status is not None or not any(run.answered for run in ran):
            continue
        others = [
            fault
            for fault in ledger.faults
            if fault.target == sent.gateway
            and fault.kind not in PLANNED
            and fault.at <= answer.at
            and fault.until >= sent.at - IN_TOUCH_S
        ]
        if not others:
            yield Violation("nothing in flight is cut off", f"{answer.id} at {sent.gateway}")


def _configuration(ledger: Ledger) -> Iterator[Violation]:
    held = {item.name: item for item in ledger.read_back}
    for item in ledger.acknowledged:
        now = held.get(item.name)
        if now is None or now.version < item.version:
            yield Violation("accepted changes stay", f"{item.name} version {item.version}: {now}")
        elif now.version == item.version and now.content != item.content:
            yield Violation("accepted changes stay", f"{item} is held as {now.content}")
    offered = {(item.name, item.version): set() for item in ledger.offered}
    for item in ledger.offered:
        offered[item.name, item.version].add(item.content)
    for item in ledger.read_back:
        if item.content not in offered.get((item.name, item.version), {item.content}):
            yield Violation("changes are as they were sent", f"{item.name} {item.version}")


def _denials(ledger: Ledger) -> Iterator[Violation]:
    """Find routes that were denied long after they were accepted, by any gateway in any state.

    One that is paused or cut off may know nothing of them, but then it must not say so.
    """
    for answer in ledger.answers.values():
        sent = ledger.sent[answer.id]
        if answer.status != 404 or not sent.route:
            continue
        late = sent.at - ledger.routes_since[sent.route]
        if late > IN_FORCE_WITHIN_S:
            evidence = f"route {sent.route} by {sent.gateway} {late:.2f} s after its acceptance"
            yield Violation("accepted routes are not denied", evidence)


def _deadly(ledger: Ledger, shape: Shape) -> Iterator[Violation]:
    """Find requests that still crashed upstreams long after they had crashed three.

    A gateway that faults have struck lately may not know of it, nor while most replicas may not.
    """
    by_name: dict[str, list[EndedUnder]] = defaultdict(list)
    for ended in sorted(ledger.ended_under, key=lambda ended: ended.at):
        by_name[ended.deadly].append(ended)
    most = (shape.replicas - 1) // 2
    for name, ends in by_name.items():
        known_at = ends[ENDS_ALLOWED - 1].at + KNOWN_WITHIN_S if len(ends) > ENDS_ALLOWED else 0.0
        later = []
        for ended in ends[ENDS_ALLOWED:]:
            sent = ledger.sent[ended.id]
            start = sent.at - IN_TOUCH_S
            in_touch = ledger.is_calm(sent.gateway, start, ended.at)
            in_touch = in_touch and ledger.faulted(shape.replica_names, start, ended.at) <= most
            if sent.at > known_at and in_touch:
                later.append(ended)
        if len(later) > ENDS_ALLOWED:
            evidence = f"{name} ended {len(ends)}, {len(later)} of them after it was known"
            yield Violation("deadly requests are kept from back ends", evidence)


def _arrivals(ledger: Ledger) -> dict[tuple[str, str], list[Arrival]]:
    """Return the arrivals at each incarnation of an upstream from each gateway."""
    found: dict[tuple[str, str], list[Arrival]] = defaultdict(list)
    for arrival in ledger.arrivals:
        if arrival.id in ledger.sent:
            found[arrival.life, ledger.sent[arrival.id].gateway].append(arrival)
    return found


def _rests(ledger: Ledger) -> Iterator[Violation]:
    """Find gateways that sent requests to an upstream during a backoff that it had requested."""
    arrivals = _arrivals(ledger)
    for asked in ledger.asked:
        if asked.id not in ledger.sent or not ledger.was_heard(asked.id):
            continue
        gateway = ledger.sent[asked.id].gateway
        if not ledger.is_calm(gateway, asked.at, asked.until):
            continue
        first = asked.at + UNDER_WAY_S
        amid = [a for a in arrivals[asked.life, gateway] if first < a.at < asked.until]
        if len(amid) > MOST_IN_A_REST:
            rest = asked.until - asked.at
            evidence = f"{len(amid)} from {gateway} at {asked.life} in {rest:.2f} s"
            yield Violation("back ends that ask for rest get it", evidence)


class _Limited(Struct, frozen=True):
    """A period in which an upstream named rate limits, one after the other."""

    life: str
    since: float
    until: float
    figures: list[LimitChanged]

    def highest(self, start: float, end: float) -> float:
        """Return the highest limit that was named within a period."""
        named = [f.rate for f in self.figures if start <= f.at <= end]
        before = [f.rate for f in self.figures if f.at < start]
        return max(named + before[-1:], default=0.0)


def _limited_times(ledger: Ledger) -> list[_Limited]:
    by_life: dict[str, list[LimitChanged]] = defaultdict(list)
    for change in ledger.limits:
        by_life[change.life].append(change)
    found = []
    for life, changes in by_life.items():
        named: list[LimitChanged] = []
        for change in changes:
            if change.rate is not None:
                named.append(change)
            elif named:
                found.append(_Limited(life, named[0].at, change.at, named))
                named = []
        if named:
            found.append(_Limited(life, named[0].at, float("inf"), named))
    return found


def _limits(ledger: Ledger) -> Iterator[Violation]:
    """Find upstreams that got too many requests from gateways that they had told of a limit.

    Requests count from `KNOWN_WITHIN_S` after the limit was first named.
    """
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in ledger.arrivals:
        if arrival.id in ledger.sent:
            arrivals[arrival.life].append(arrival)
    for limited in _limited_times(ledger):
        told = _told_of(ledger, limited)
        first = limited.since + KNOWN_WITHIN_S
        counted = [
            arrival
            for arrival in arrivals[limited.life]
            if first <= arrival.at < limited.until
            and told.get(ledger.sent[arrival.id].gateway, float("inf")) + UNDER_WAY_S < arrival.at
        ]
        yield from _over_limit(ledger, limited, counted)


def _told_of(ledger: Ledger, limited: _Limited) -> dict[str, float]:
    """Return when each gateway was first told within a period in which limits were named."""
    told: dict[str, float] = {}
    for said in ledger.said_limit:
        in_time = limited.since <= said.at < limited.until
        if said.life == limited.life and in_time and ledger.was_heard(said.id):
            told.setdefault(ledger.sent[said.id].gateway, said.at)
    return told


def _over_limit(ledger: Ledger, limited: _Limited, counted: list[Arrival]) -> Iterator[Violation]:
    for place, arrival in enumerate(counted):
        end = arrival.at + WINDOW_S
        if end > limited.until:
            return
        within = [
            other
            for other in counted[place:]
            if other.at < end
            and ledger.is_calm(ledger.sent[other.id].gateway, arrival.at - IN_TOUCH_S, end)
        ]
        figure = limited.highest(arrival.at - KNOWN_WITHIN_S, end)
        if len(within) > max_in_window(figure):
            gateways = sorted({ledger.sent[other.id].gateway for other in within})
            evidence = f"{len(within)} at {limited.life} in 4 s at {figure:g} a second; {gateways}"
            yield Violation("back ends that name a limit are kept to it", evidence)
            return


def _said_leaving(ledger: Ledger) -> Iterator[Violation]:
    """Find gateways that sent new requests to an upstream after it had announced that it leaves."""
    arrivals = _arrivals(ledger)
    first_said: dict[tuple[str, str], float] = {}
    for said in ledger.said_leaving:
        if said.id in ledger.sent and ledger.was_heard(said.id):
            first_said.setdefault((said.life, ledger.sent[said.id].gateway), said.at)
    for (life, gateway), said_at in first_said.items():
        for arrival in arrivals[life, gateway]:
            late = ledger.sent[arrival.id].at - said_at
            if late > DRAIN_S and ledger.is_calm(gateway, said_at, arrival.at):
                evidence = f"{arrival.id} at {life} from {gateway}, {late:.2f} s later"
                yield Violation("nothing new for what says that it leaves", evidence)


def _ended_well(ended: Ended) -> bool:
    """Return whether a planned stop ended as expected.

    A process that is still starting serves nothing yet and may end by the signal itself.
    """
    return ended.code == 0 or (ended.starting and ended.code == -signal.SIGTERM)


def _was_struck(ledger: Ledger, ended: Ended) -> bool:
    """Return whether a fault besides the planned stop affected a process that was to end."""
    return any(
        fault.target == ended.name
        and fault.kind not in PLANNED
        and fault.at <= ended.at
        and fault.until >= ended.at - STOP_WITHIN_S
        for fault in ledger.faults
    )


def _processes(ledger: Ledger) -> Iterator[Violation]:
    for ended in ledger.ended:
        disk = any(
            fault.target == ended.name and fault.kind in DISK_ENDS and fault.at <= ended.at
            for fault in ledger.faults
        )
        if not ended.expected and not disk:
            yield Violation("processes stay up", f"{ended.name} ended with {ended.code}")
        if ended.expected and not _ended_well(ended) and not _was_struck(ledger, ended):
            yield Violation("planned stops end well", f"{ended.name} ended with {ended.code}")
    for name, well in ledger.recovered.items():
        if not well:
            yield Violation("service comes back", name)
