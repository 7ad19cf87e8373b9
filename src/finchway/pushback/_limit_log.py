"""Distribution of upstreams' rate limits by a replica, from the processes that received them."""

from __future__ import annotations

import uuid

from msgspec import Struct

from finchway.pushback._limit_reports import LimitReport, LimitReports

# Seconds after which a report that is not repeated is dropped. Processes that start later learn the
# limit from the upstream's own responses.
REPORT_RETENTION_S = 30.0
# Limit on reports in one reply; the next reply continues with the rest.
MAX_REPORTS = 128


class LimitLogPosition(Struct, frozen=True, array_like=True):
    """A position in the log of one replica process, `log_id`."""

    log_id: str = ""
    order: int = 0


class LimitLogEntries(Struct, frozen=True, array_like=True):
    """Reports after a position in the log, and the position that they reach."""

    position: LimitLogPosition
    reports: list[LimitReport]


class LimitLog:
    """The latest limit report of each incarnation, numbered in order of change.

    This is soft state: reports are repeated, so a restarted replica recovers it.
    """

    def __init__(self) -> None:
        self._log_id = uuid.uuid4().hex[:12]
        self._reports = LimitReports()
        self._orders: dict[str, int] = {}
        self._last_order = 0

    def merge(self, reports: list[LimitReport], now: float) -> bool:
        """Merge received reports; return whether any of them changed the log."""
        before = self._last_order
        for report in reports:
            if self._reports.merge(report, now) or report.incarnation not in self._orders:
                self._last_order += 1
                self._orders.pop(report.incarnation, None)
                self._orders[report.incarnation] = self._last_order
        for incarnation in [name for name in self._orders if self._has_expired(name, now)]:
            del self._orders[incarnation]
            self._reports.forget(incarnation)
        return self._last_order != before

    def since(self, known: LimitLogPosition, now: float) -> LimitLogEntries | None:
        """Return the reports after a position, oldest first; None if there are none."""
        order = known.order if known.log_id == self._log_id else 0
        newer = [
            (number, incarnation) for incarnation, number in self._orders.items() if number > order
        ]
        if not newer:
            return None
        batch = newer[:MAX_REPORTS]
        reached = batch[-1][0] if len(batch) < len(newer) else self._last_order
        reports = [
            LimitReport(
                incarnation,
                self._reports.rate(incarnation),
                round(self._reports.age(incarnation, now), 3),
            )
            for _, incarnation in batch
        ]
        return LimitLogEntries(LimitLogPosition(self._log_id, reached), reports)

    def _has_expired(self, incarnation: str, now: float) -> bool:
        return self._reports.age(incarnation, now) > REPORT_RETENTION_S
