"""Finds out whether this gateway is cut off from all upstreams, and when that is over."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from finchway.gateway._connection import CONNECT_TIMEOUT_S, AttemptError
from finchway.gateway._record import UpstreamRecord
from finchway.gateway._table import UpstreamTable
from finchway.observe import DecisionLog, GatewayMetrics, StateChanged

# Interval of the checks for silence.
CHECK_INTERVAL_S = 0.2
# Upstreams that are connected to at the same time in each check; all checks must fail. Silence is
# common where requests take long, so that a single connection is tried first then.
CHECKS = (3, 3)
CHECKS_IN_SILENCE = (1, 3)
# Interval between connections that look for the end of a cut, one at a time, and its random part,
# so that many gateways do not connect to the same upstream at the same moment.
RETURN_INTERVAL_S = 0.4
RETURN_JITTER_S = 0.2
# A check that took this much longer than its connections may take says more about this process.
MAX_STALL_S = 0.2

_RANDOM = random.Random()


class ReachMonitor:
    """Checks the upstreams of one gateway when its requests suggest that none is in reach.

    `is_link_congested` tells whether the gateway's own link delays everything, and `on_changed` is
    called with each conclusion.
    """

    def __init__(
        self,
        table: UpstreamTable,
        decisions: DecisionLog,
        metrics: GatewayMetrics,
        is_link_congested: Callable[[], bool],
        on_changed: Callable[[], None],
    ) -> None:
        self._table = table
        self._reach = table.reach
        self._decisions = decisions
        self._metrics = metrics
        self._is_link_congested = is_link_congested
        self._on_changed = on_changed

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await self._wait_for_suspicion()
            if await self._finds_any():
                await trio.sleep(CHECK_INTERVAL_S)
                continue
            self._begin_cut()
            while self._reach.is_cut_off:
                await trio.sleep(RETURN_INTERVAL_S + _RANDOM.uniform(0, RETURN_JITTER_S))
                await self._look_for_return()
            self._end_cut()

    async def _wait_for_suspicion(self) -> None:
        while not self._reach.needs_check(trio.current_time()):
            with trio.move_on_after(CHECK_INTERVAL_S):
                await self._table.wait_unreachable()

    async def _finds_any(self) -> bool:
        """Return whether any upstream may be in reach, by several checks if need be."""
        for count in CHECKS if self._reach.unreachable else CHECKS_IN_SILENCE:
            if await self._check(count):
                return True
        return False

    async def _check(self, count: int) -> bool:
        """Connect to some upstreams; return whether any may be in reach.

        That is so if one accepts, if there are none, and if they may have failed since this process
        was late or its link is congested.
        """
        targets = self._table.last_heard(count)
        if not targets:
            return True
        started = trio.current_time()
        results: list[bool] = []
        async with trio.open_nursery() as nursery:
            for record in targets:
                nursery.start_soon(self._connect, record, results)
        if any(results):
            return True
        is_stalled = trio.current_time() - started > CONNECT_TIMEOUT_S + MAX_STALL_S
        return is_stalled or self._is_link_congested()

    async def _look_for_return(self) -> None:
        """Connect to one upstream, and to a second one if the first accepts."""
        targets = self._table.active()
        if not targets:
            return
        for record in _RANDOM.sample(targets, min(2, len(targets))):
            if not await self._connect(record, []):
                return

    async def _connect(self, record: UpstreamRecord, results: list[bool]) -> bool:
        """Connect to an upstream; add whether it accepts to the results, and return it."""
        try:
            connection = await self._table.open_connection(record)
        except AttemptError:
            is_connected = False
        else:
            is_connected = True
            self._table.keep(record, connection)
        self._metrics.count_reach_check(is_connected)
        results.append(is_connected)
        return is_connected

    def _begin_cut(self) -> None:
        self._reach.record_cut_off()
        self._log("out of reach from here", "in reach")
        self._table.begin_cut(trio.current_time())
        self._on_changed()

    def _end_cut(self) -> None:
        self._log("in reach", "out of reach from here")
        self._table.end_cut()
        self._on_changed()

    def _log(self, now: str, before: str) -> None:
        reach = self._reach
        age_s = trio.current_time() - reach.contact_at
        self._decisions.write(
            StateChanged(
                subject="upstreams",
                now=now,
                before=before,
                source=(
                    f"connections; {reach.unreachable} refused or timed out in a row, "
                    f"{len(self._table.active())} known by control's word"
                ),
                age_ms=round(age_s * 1000, 1) if age_s != float("inf") else -1.0,
            )
        )
