"""The history checker: what callers sent and got, what upstreams ran, and which rules that broke.

It reads plain records and knows nothing of finchway, so that it can judge any run, in virtual time
or between real processes.
"""

from __future__ import annotations

from collections import Counter, defaultdict

from msgspec import Struct

NOT_RUN = "not-run"
RAN = "ran"


class Got(Struct, frozen=True):
    """What a caller sent as one call and what came of it.

    `outcome` is what finchway said (empty if there was no answer); `echo` names the call that the
    answer belongs to, `whole` says that its length and digest were right.
    """

    call: str
    service: str
    priority: str
    started: float
    latency_s: float
    status: int
    outcome: str
    key: str = ""
    echo: str = ""
    whole: bool = True
    region: str = ""
    error: str = ""
    home: str = ""


class Ran(Struct, frozen=True):
    """One run of a request at an upstream."""

    call: str
    key: str
    upstream: str
    region: str
    service: str
    started: float
    ended: float


class Limit(Struct, frozen=True):
    """A bound on what was in flight at once: of an upstream, or of a service in a region."""

    name: str
    peak: int
    limit: int


class Leaving(Struct, frozen=True):
    """When an upstream began to leave, and how long it may still receive new work."""

    upstream: str
    at: float
    grace_s: float


class Shift(Struct, frozen=True):
    """A committed step of traffic into a region, in percent of a source's callers."""

    region: str
    at: float
    percent: float


class History(Struct):
    """Everything about one run that the rules look at."""

    got: list[Got] = []
    ran: list[Ran] = []
    limits: list[Limit] = []
    leaving: list[Leaving] = []
    shifts: list[Shift] = []
    cap_percent: float = 100.0
    window_s: float = 30.0
    once_only: frozenset[str] = frozenset()


class Violation(Struct, frozen=True):
    """A broken rule, and what shows it."""

    rule: str
    detail: str


def check(history: History) -> list[Violation]:
    """Return every broken rule; an empty list means that all promises were kept."""
    return [
        *_at_most_once(history),
        *_whole_answers(history),
        *_true_refusals(history),
        *_answers_ran(history),
        *_limits(history),
        *_no_work_when_leaving(history),
        *_caps(history),
    ]


def _at_most_once(history: History) -> list[Violation]:
    counts = Counter(run.key for run in history.ran if run.service in history.once_only)
    return [
        Violation("at most once", f"key {key} ran {count} times")
        for key, count in counts.items()
        if key and count > 1
    ]


def _whole_answers(history: History) -> list[Violation]:
    found = []
    for got in history.got:
        if got.outcome != RAN or got.status != 200:
            continue
        if not got.whole:
            found.append(
                Violation("whole answers", f"call {got.call} got a broken answer as whole")
            )
        elif got.echo != got.call and not (got.key and got.service in history.once_only):
            found.append(Violation("own answers", f"call {got.call} got the answer to {got.echo}"))
    keys = {got.call: got.key for got in history.got}
    for got in history.got:
        replayed = got.outcome == RAN and got.status == 200 and got.echo != got.call
        if replayed and got.key and keys.get(got.echo) != got.key:
            found.append(Violation("own answers", f"call {got.call} got an answer of another key"))
    return found


def _true_refusals(history: History) -> list[Violation]:
    ran = {run.call for run in history.ran}
    return [
        Violation("truth of not-run", f"call {got.call} was refused as not run, but ran")
        for got in history.got
        if got.outcome == NOT_RUN and got.call in ran
    ]


def _answers_ran(history: History) -> list[Violation]:
    ran = {run.call for run in history.ran}
    keys = {run.key for run in history.ran if run.key}
    return [
        Violation("truth of ran", f"call {got.call} was answered as run, but never ran")
        for got in history.got
        if got.outcome == RAN and got.status == 200
        if got.call not in ran and got.key not in keys
    ]


def _limits(history: History) -> list[Violation]:
    return [
        Violation("capacity", f"{limit.name} had {limit.peak} in flight, {limit.limit} allowed")
        for limit in history.limits
        if limit.peak > limit.limit
    ]


def _no_work_when_leaving(history: History) -> list[Violation]:
    found = []
    for leaving in history.leaving:
        late = [
            run
            for run in history.ran
            if run.upstream == leaving.upstream and run.started > leaving.at + leaving.grace_s
        ]
        if late:
            detail = f"{leaving.upstream} got {len(late)} requests after it began to leave"
            found.append(Violation("no new work when leaving", detail))
    return found


def _caps(history: History) -> list[Violation]:
    by_region: dict[str, list[Shift]] = defaultdict(list)
    for shift in history.shifts:
        by_region[shift.region].append(shift)
    found = []
    for region, shifts in by_region.items():
        shifts.sort(key=lambda shift: shift.at)
        for last in shifts:
            window = [s for s in shifts if last.at - history.window_s < s.at <= last.at]
            total = sum(s.percent for s in window)
            if total > history.cap_percent + 1e-6:
                detail = f"{region} took {total:g}% in a window, {history.cap_percent:g}% allowed"
                found.append(Violation("cap of a shift", detail))
                break
    return found


def peak_in_flight(runs: list[Ran]) -> int:
    """Return how many runs overlapped at most."""
    steps = [(run.started, 1) for run in runs] + [(run.ended, -1) for run in runs if run.ended]
    level = peak = 0
    for _, step in sorted(steps):
        level += step
        peak = max(peak, level)
    return peak
