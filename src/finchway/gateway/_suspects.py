"""Which requests may be sent to upstreams, by what became of the upstreams that ran them before.

A request may end each upstream that begins to run it, and its caller sends it again and again, at
any gateway. So what one attempt shows outlives its request: it is kept here at once, and reported
to the replicas, whose table holds what all gateways have seen.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum

import trio
from msgspec import Struct

from finchway._clock import WALL
from finchway.feed import World
from finchway.gateway._connection import AttemptError, Failure, UpstreamConnection
from finchway.gateway._record import UpstreamRecord
from finchway.gateway._request_log import RequestLog
from finchway.gateway._table import UpstreamTable
from finchway.gateway._task import Task
from finchway.state import (
    QUARANTINE_AFTER,
    QUARANTINED_FOR_MS,
    RequestReport,
    Suspect,
    SuspectState,
)

# Seconds for which an upstream that ended here speaks against a request, whatever replicas say.
REMEMBERED_FOR_S = 60.0
# Requests that are remembered here: the replicas' table holds those of all gateways.
MOST_REMEMBERED = 256
# Upstreams that wait to be looked at after a connection broke; when all upstreams end at once, some
# of the requests that were under way at each are enough to tell.
MOST_EXAMINED = 64
# Seconds after which a new connection that is still open was taken by an upstream that lives, and
# how often one is tried that closes them: of upstreams whose listeners outlived their connections
# by 30 ms none was seen to end, and a request went through 20 of them.
KEPT_FOR_S = 0.1
MOST_LOOKS = 3
# Seconds within which an upstream that ended is heard again, if nothing else showed its end.
BACK_WITHIN_S = 10.0
# Requests that are held for that long, with their bodies of up to 1 MiB each.
MOST_UNCLEAR = 16
# Seconds that callers of a quarantined request are told to stay away at least: its time may be over
# by this instance's clock, and not yet by that of the replicas.
COME_BACK_LEAST_S = 10.0


class Clearance(Enum):
    """How often a request may be sent: as its route says, once at most, or not at all."""

    FREE = "free"
    ONCE = "once"
    REFUSED = "refused"


class _Seen(Struct):
    """How many upstreams ended here under a request, and when the last one did."""

    ends: int
    last_at: float


class _Unclear(Struct):
    """A request whose connection broke at an upstream that seemed to live on."""

    task: Task
    record: UpstreamRecord
    at: float


class SuspectDesk:
    """Judges the requests of one gateway, and finds out whether upstreams ended under them."""

    def __init__(
        self,
        world: World,
        table: UpstreamTable,
        log: RequestLog,
        report: Callable[[RequestReport], None],
    ) -> None:
        self._world = world
        self._table = table
        self._log = log
        self._report = report
        self._seen: dict[str, _Seen] = {}
        self._carried: set[Task] = set()
        self._unclear: deque[_Unclear] = deque(maxlen=MOST_UNCLEAR)
        table.watch_replaced(self._note_replaced)
        self._examine, self._to_examine = trio.open_memory_channel[tuple[Task, UpstreamRecord]](
            MOST_EXAMINED
        )

    def clearance(self, task: Task, now: float) -> Clearance:
        """Tell how often a request may be sent, counting what it has done to upstreams before."""
        if self._knows_nothing():
            return Clearance.FREE
        held = self._held(task)
        here = self._ends_here(task, now)
        ends = task.evidence.known = max(here, held.ends if held else 0)
        if held is not None and held.state is SuspectState.QUARANTINED:
            return Clearance.REFUSED
        if here >= QUARANTINE_AFTER and (held is None or here > held.ends):
            # The replicas' word on the newest end is still to come.
            return Clearance.REFUSED
        return Clearance.ONCE if ends else Clearance.FREE

    def may_repeat(self, task: Task, now: float) -> bool:
        """Tell whether a request may be sent to a further upstream.

        The first upstream that ends under it may have had another reason: most requests that are
        under way at one that ends are served by the next.
        """
        if self._knows_nothing():
            return True
        held = self._held(task)
        return max(self._ends_here(task, now), held.ends if held else 0) <= task.evidence.seen

    def quarantined_for(self, task: Task) -> float:
        """Return the seconds after which a request that is refused may be tried again."""
        held = self._held(task)
        first = QUARANTINED_FOR_MS[0] / 1000
        if held is None or held.state is not SuspectState.QUARANTINED:
            return first
        return max(COME_BACK_LEAST_S, held.until_ms / 1000 - WALL.now())

    @contextmanager
    def carrying(self, task: Task) -> Iterator[None]:
        """Break a request off if it is quarantined while it is under way.

        What it did to upstreams is reported once it is over: one that a further upstream answers
        has done nothing.
        """
        self._carried.add(task)
        try:
            yield
        finally:
            self._carried.discard(task)
            task.evidence.is_over = True
            self._report_ends(task)

    def note_broken(self, task: Task, record: UpstreamRecord) -> None:
        """Take in that a connection broke under a request, and find out whether its upstream ended.

        It may only have lost an answer; then a new connection comes up.
        """
        try:
            self._examine.send_nowait((task, record))
        except trio.WouldBlock:
            self._log.note_unexamined(task, record)

    def note_answered(self, task: Task) -> None:
        """Take in that an upstream has run a request and lives."""
        task.evidence.is_answered = True
        if self._knows_nothing():
            return
        self._seen.pop(task.fingerprint, None)
        if self._held(task) is not None:
            self._report(RequestReport(task.fingerprint, answered=True))

    def learn(self, suspects: list[Suspect]) -> None:
        """Take in what replicas tell; quarantined requests that are under way are broken off."""
        quarantined = set()
        for suspect in suspects:
            if suspect.state is SuspectState.QUARANTINED:
                quarantined.add(suspect.request)
            elif suspect.state is SuspectState.CLEARED:
                self._seen.pop(suspect.request, None)
        if quarantined:
            self._break_off(quarantined)

    async def run(self) -> None:
        """Look at the upstreams of broken connections, until cancelled."""
        async with trio.open_nursery() as nursery:
            async for task, record in self._to_examine:
                nursery.start_soon(self._look_at, task, record)

    async def _look_at(self, task: Task, record: UpstreamRecord) -> None:
        """Note that an upstream ended, if nothing listens at its address any more.

        It may be back already, or something may listen in its place: then only the heartbeats of
        its next life tell.
        """
        now = trio.current_time()
        if self._table.was_replaced(record):
            self._note_ended(task, record, now)
            return
        try:
            connection = await self._connect_for_good(record)
        except AttemptError as error:
            if error.failure is Failure.REFUSED:
                self._note_ended(task, record, now)
            return
        if connection is None:
            return
        self._table.keep(record, connection)
        while self._unclear and now - self._unclear[0].at > BACK_WITHIN_S:
            self._unclear.popleft()
        self._unclear.append(_Unclear(task, record, now))

    async def _connect_for_good(self, record: UpstreamRecord) -> UpstreamConnection | None:
        """Return a connection that an upstream keeps; None if it closes each at once.

        The sockets of a process that ends are closed one after the other, so one that is ending may
        still take a connection. Raises `AttemptError` if it takes none.
        """
        for _ in range(MOST_LOOKS):
            connection = await self._table.connect_anew(record)
            await trio.sleep(KEPT_FOR_S)
            if connection.is_usable(trio.current_time()):
                return connection
            connection.close()
        return None

    def _note_replaced(self, record: UpstreamRecord) -> None:
        """Note the requests under which a life has ended, now that the next one has begun."""
        now = trio.current_time()
        found = [unclear for unclear in self._unclear if unclear.record is record]
        for unclear in found:
            self._unclear.remove(unclear)
            if now - unclear.at <= BACK_WITHIN_S:
                self._note_ended(unclear.task, record, now)

    def _note_ended(self, task: Task, record: UpstreamRecord, now: float) -> None:
        evidence = task.evidence
        if evidence.is_answered:
            return
        evidence.seen += 1
        evidence.last = record.registration.life
        earlier = self._seen.pop(task.fingerprint, None)
        ends = max(evidence.ends, earlier.ends if earlier else 0)
        self._seen[task.fingerprint] = _Seen(ends, now)
        if len(self._seen) > MOST_REMEMBERED:
            del self._seen[next(iter(self._seen))]
        self._log.note_ended_under(task, record, evidence.ends)
        self._report_ends(task)
        if evidence.ends >= QUARANTINE_AFTER:
            self._break_off({task.fingerprint})

    def _report_ends(self, task: Task) -> None:
        evidence = task.evidence
        if evidence.is_over and evidence.seen and not evidence.is_answered:
            self._report(RequestReport(task.fingerprint, evidence.ends, evidence.last))

    def _break_off(self, quarantined: set[str]) -> None:
        for task in [task for task in self._carried if task.fingerprint in quarantined]:
            task.is_quarantined = True
            task.scope.cancel()

    def _held(self, task: Task) -> Suspect | None:
        """Return what the replicas say of a request, if anything speaks against it."""
        held = self._world.steering.suspects.get(task.fingerprint)
        return held if held is not None and held.is_current else None

    def _ends_here(self, task: Task, now: float) -> int:
        seen = self._seen.get(task.fingerprint)
        if seen is None:
            return 0
        if now - seen.last_at > REMEMBERED_FOR_S:
            del self._seen[task.fingerprint]
            return 0
        return seen.ends

    def _knows_nothing(self) -> bool:
        """Tell whether no request is suspect, so that none needs a digest."""
        return not self._seen and not self._world.steering.suspects
