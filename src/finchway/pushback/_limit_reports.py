"""The latest rate limit of each upstream, from its responses and from other processes."""

from __future__ import annotations

from msgspec import Struct

# Limit on stored incarnations; the oldest entry is dropped first.
MAX_LIMITS = 4_096
# Seconds for which a limit from a response is reported to others. Every response renews it.
REPORT_FOR_S = 10.0
# Limit on reports in one message; the least recently reported ones are sent first.
MAX_REPORTS = 16


class LimitReport(Struct, frozen=True, array_like=True):
    """The rate limit that an incarnation of an upstream announced `age` seconds before sending.

    `rate` is in requests per second from all processes, None if it no longer announces a limit.
    """

    incarnation: str
    rate: float | None
    age: float


class _StoredReport:
    """The latest limit of one incarnation; `is_direct` if received here in a response."""

    __slots__ = ("is_direct", "rate", "named_at", "reported_at")

    def __init__(self, rate: float | None, said_at: float, is_own: bool) -> None:
        self.rate = rate
        self.named_at = said_at
        self.is_direct = is_own
        self.reported_at = float("-inf")


class LimitReports:
    """The latest announced limits, or their withdrawal, by incarnation.

    reports = LimitReports()
    reports.record("i-1", 7.2, sent_at=0.0, now=0.1)  # True: it has changed
    reports.rate("i-1")  # 7.2
    """

    def __init__(self) -> None:
        self._reports: dict[str, _StoredReport] = {}

    def rate(self, incarnation: str) -> float | None:
        """Return an incarnation's limit in requests per second; None if it has none."""
        report = self._reports.get(incarnation)
        return report.rate if report is not None else None

    def age(self, incarnation: str, now: float) -> float:
        """Return the age in seconds of an incarnation's latest report; infinite without one."""
        report = self._reports.get(incarnation)
        return now - report.named_at if report is not None else float("inf")

    def limited(self) -> list[str]:
        """Return the incarnations that have a limit."""
        return [
            incarnation for incarnation, report in self._reports.items() if report.rate is not None
        ]

    def record(self, incarnation: str, rate: float | None, sent_at: float, now: float) -> bool:
        """Record the limit in the response to a request of `sent_at`; True if it changed."""
        report = self._reports.get(incarnation)
        if report is None:
            if rate is None:
                return False
            self._add(incarnation, rate, now, is_direct=True)
            return True
        if sent_at < report.named_at and _is_higher(report.rate, rate):
            # Responses may be reordered, so only one to a later request may raise a limit.
            return False
        report.is_direct = True
        return self._update(report, rate, now)

    def merge(self, other: LimitReport, now: float) -> bool:
        """Merge a report of another process if it is newer; return whether the limit changed.

        A repeated report does not refresh a direct one, whose age would otherwise shrink with each
        message.
        """
        named_at = now - max(0.0, other.age)
        report = self._reports.get(other.incarnation)
        if report is None:
            self._add(other.incarnation, other.rate, named_at, is_direct=False)
            return other.rate is not None
        if named_at <= report.named_at or (report.is_direct and report.rate == other.rate):
            return False
        report.is_direct = False
        return self._update(report, other.rate, named_at)

    def carry_over(self, earlier: str, later: str) -> None:
        """Copy the limit of an earlier incarnation to a later one."""
        report = self._reports.get(earlier)
        if report is not None and report.rate is not None:
            self._add(later, report.rate, report.named_at, is_direct=False)

    def forget(self, incarnation: str) -> None:
        """Remove the report of an incarnation."""
        self._reports.pop(incarnation, None)

    def reports_to_send(self, now: float) -> list[LimitReport]:
        """Return recent direct reports to send to others, the least recently reported first."""
        own = [
            (report.reported_at, incarnation)
            for incarnation, report in self._reports.items()
            if report.is_direct and now - report.named_at <= REPORT_FOR_S
        ]
        reports = []
        for _, incarnation in sorted(own)[:MAX_REPORTS]:
            report = self._reports[incarnation]
            report.reported_at = now
            reports.append(LimitReport(incarnation, report.rate, round(now - report.named_at, 3)))
        return reports

    def _add(self, incarnation: str, rate: float | None, named_at: float, is_direct: bool) -> None:
        if len(self._reports) >= MAX_LIMITS:
            del self._reports[next(iter(self._reports))]
        self._reports[incarnation] = _StoredReport(rate, named_at, is_direct)

    def _update(self, report: _StoredReport, rate: float | None, named_at: float) -> bool:
        is_changed = report.rate != rate
        report.rate = rate
        report.named_at = max(report.named_at, named_at)
        if is_changed:
            report.reported_at = float("-inf")
        return is_changed


def _is_higher(current: float | None, rate: float | None) -> bool:
    """Return whether a limit allows more than the current one."""
    if current is None:
        return False
    return rate is None or rate > current
