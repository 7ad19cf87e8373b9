"""Outlier detection: upstreams that perform much worse than their peers.

An upstream may be slow or fail some requests while its heartbeats report it as healthy. It is
detected by comparing the outcomes of its last requests with those of its peers; if all are equally
bad, none is an outlier.

    outliers = find_outliers({"north": {"n1": outcomes, "n2": other}}, frozenset())
"""

from __future__ import annotations

from collections import deque

# Number of latest outcomes that are evaluated: one to two seconds of them at a few requests a
# second.
OUTCOME_WINDOW = 4
# Bad outcomes among these that make a suspect; one or two in a row may be cache misses.
MIN_BAD_OUTCOMES = 3
# Above this fraction at the median upstream, the fault is not limited to some upstreams, and their
# keys would be slow elsewhere as well.
MAX_MEDIAN_BAD_FRACTION = 0.3
# Limit of outliers per region, so that the remaining upstreams can carry the load.
MAX_OUTLIER_FRACTION = 0.5
# Seconds between two trial requests to an outlier, at each gateway.
TRIAL_INTERVAL_S = 1.0


class RecentOutcomes:
    """The outcomes of the last requests to one upstream."""

    __slots__ = ("_outcomes", "_overdue", "_next_trial_at")

    def __init__(self) -> None:
        self._outcomes: deque[bool] = deque(maxlen=OUTCOME_WINDOW)
        self._overdue = 0
        self._next_trial_at = float("-inf")

    @property
    def is_known(self) -> bool:
        """Whether there are any outcomes or overdue requests."""
        return bool(self._outcomes) or self._overdue > 0

    @property
    def is_suspect(self) -> bool:
        """Whether enough of the latest outcomes were bad."""
        return sum(self._window()) >= MIN_BAD_OUTCOMES

    @property
    def bad_fraction(self) -> float:
        """The fraction of bad outcomes among the latest ones; 0 if there are none."""
        window = self._window()
        return sum(window) / len(window) if window else 0.0

    def record(self, is_bad: bool) -> None:
        """Record the outcome of a request."""
        self._outcomes.append(is_bad)

    def set_overdue(self, count: int) -> None:
        """Set the number of requests in flight that already exceed the time of a good one."""
        self._overdue = count

    def _window(self) -> list[bool]:
        return [*self._outcomes, *[True] * self._overdue][-OUTCOME_WINDOW:]

    def may_try(self, now: float) -> bool:
        """Return whether an outlier may be sent a trial request."""
        return now >= self._next_trial_at

    def record_trial(self, now: float) -> None:
        """Record that a trial request was sent."""
        self._next_trial_at = now + TRIAL_INTERVAL_S

    def trial_in(self, now: float) -> float:
        """Return the seconds until an outlier may be sent a trial request."""
        return max(0.0, self._next_trial_at - now)


def find_outliers(
    regions: dict[str, dict[str, RecentOutcomes]], current: frozenset[str]
) -> frozenset[str]:
    """Return the names of a service's upstreams that are outliers.

    Where a region has too many, the `current` outliers take precedence.
    """
    known = [s for by_name in regions.values() for s in by_name.values() if s.is_known]
    if len(known) < 2 or _lower_median([s.bad_fraction for s in known]) > MAX_MEDIAN_BAD_FRACTION:
        return frozenset()
    outliers: set[str] = set()
    for by_name in regions.values():
        suspects = [name for name, outcomes in by_name.items() if outcomes.is_suspect]
        suspects.sort(key=lambda name: (name not in current, -by_name[name].bad_fraction, name))
        outliers.update(suspects[: int(MAX_OUTLIER_FRACTION * len(by_name))])
    return frozenset(outliers)


def _lower_median(values: list[float]) -> float:
    return sorted(values)[(len(values) - 1) // 2]
