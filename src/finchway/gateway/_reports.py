"""Brings a gateway's reports on requests to a replica, until one has committed them."""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio

from finchway.exceptions import FinchwayError
from finchway.feed import ReportedRequests
from finchway.state import RequestReport
from finchway.transport import Link

_LOG = logging.getLogger(__name__)
# Reports that wait at most: of the oldest, an upstream's end is known to other gateways as well.
MOST_WAITING = 256
# Seconds for one replica to have reports committed, several round trips between regions; then the
# next one is asked. A report that was committed twice counts once.
COMMITTED_WITHIN_S = 1.0
# Seconds between two tries while no replica takes them.
RETRY_S = 0.1


class ReportSender:
    """Sends what comes up, in order; what comes up meanwhile goes out together."""

    def __init__(self, link: Link, replicas: Callable[[], list[str]]) -> None:
        self._link = link
        self._replicas = replicas
        self._waiting: list[RequestReport] = []
        self._wake = trio.Event()
        self._next = 0
        self._dropped = 0

    @property
    def waiting(self) -> int:
        """How many reports no replica has committed yet."""
        return len(self._waiting)

    @property
    def dropped(self) -> int:
        """How many reports were dropped since too many waited."""
        return self._dropped

    def put(self, report: RequestReport) -> None:
        """Queue a report; never waits."""
        if len(self._waiting) >= MOST_WAITING:
            self._waiting.pop(0)
            self._dropped += 1
        self._waiting.append(report)
        self._wake.set()

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            if not self._waiting:
                self._wake = trio.Event()
                await self._wake.wait()
            sent = list(self._waiting)
            if await self._send(sent):
                self._waiting = [report for report in self._waiting if report not in sent]
            else:
                await trio.sleep(RETRY_S)

    async def _send(self, reports: list[RequestReport]) -> bool:
        replicas = self._replicas()
        if not replicas:
            return False
        address = replicas[self._next % len(replicas)]
        try:
            await self._link.request(
                address,
                ReportedRequests(reports=reports),
                timeout=COMMITTED_WITHIN_S,
                send_within=COMMITTED_WITHIN_S,
            )
            return True
        except FinchwayError as error:
            _LOG.info("replica %s did not commit reports on requests: %s", address, error)
            self._next += 1
            return False
