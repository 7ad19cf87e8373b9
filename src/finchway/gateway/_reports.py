"""Sends a gateway's reports on requests until a replica has committed them."""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio

from finchway.exceptions import FinchwayError
from finchway.feed import ReportedRequests
from finchway.state import RequestReport
from finchway.transport import Link

_LOG = logging.getLogger(__name__)
# Longest queue; beyond it the oldest reports are dropped.
MAX_WAITING = 256
# Seconds for one replica to commit reports before the next one is tried. Reports are idempotent.
COMMIT_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.1


class ReportSender:
    """Sends queued reports in order, in batches."""

    def __init__(self, link: Link, replicas: Callable[[], list[str]]) -> None:
        self._link = link
        self._replicas = replicas
        self._waiting: list[RequestReport] = []
        self._wake = trio.Event()
        self._next = 0
        self._dropped = 0

    @property
    def waiting(self) -> int:
        """Number of reports that are not committed yet."""
        return len(self._waiting)

    @property
    def dropped(self) -> int:
        """Number of reports dropped from the full queue."""
        return self._dropped

    def put(self, report: RequestReport) -> None:
        """Queue a report without blocking."""
        if len(self._waiting) >= MAX_WAITING:
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
                await trio.sleep(RETRY_INTERVAL_S)

    async def _send(self, reports: list[RequestReport]) -> bool:
        replicas = self._replicas()
        if not replicas:
            return False
        address = replicas[self._next % len(replicas)]
        try:
            await self._link.request(
                address,
                ReportedRequests(reports=reports),
                timeout=COMMIT_TIMEOUT_S,
                send_timeout=COMMIT_TIMEOUT_S,
            )
            return True
        except FinchwayError as error:
            _LOG.info("replica %s did not commit request reports: %s", address, error)
            self._next += 1
            return False
