"""Region-level circuit breaker of one entry, with trial requests to regions that are down.

The first successful trial closes the circuit. A region that does not respond holds at most as many
trial requests as it has upstreams.

    health = RegionHealth()
    health.record_failure("10.0.0.1:80", upstreams=4)
    if health.is_down:
        trial = health.begin_trial(now, upstreams=4, apart_s=0.0)
"""

from __future__ import annotations

from math import ceil

from msgspec import Struct

# Consecutive failures after which a region counts as down.
FAILURE_THRESHOLD = 5
# These failures must cover half of the region's upstreams, within these bounds, so that a few
# broken upstreams do not mark the region as down.
MIN_FAILED_UPSTREAMS = 2
MAX_FAILED_UPSTREAMS = 5
# Seconds after which the next trial may start although the previous one is unanswered.
TRIAL_TIMEOUT_S = 0.1


class RegionTrial:
    """A trial request to a region that is down; `end` must be called whatever its result."""

    __slots__ = ("_health", "began_at")

    def __init__(self, health: RegionHealth, began_at: float) -> None:
        self._health = health
        self.began_at = began_at

    def end(self) -> None:
        """End the trial, so that the next one may start."""
        self._health.end_trial(self)


class RegionChoice(Struct, frozen=True):
    """The regions that may serve a request, best first, and its region trial, if it is one."""

    regions: tuple[str, ...] = ()
    trial: RegionTrial | None = None


class RegionHealth:
    """Health of one service in one region.

    The region is down after consecutive failures at several upstreams, until the next success.
    Refusals do not count as failures, since an upstream that sheds load is alive.
    """

    __slots__ = (
        "_last_trial_at",
        "_failed_upstreams",
        "_required_upstreams",
        "_consecutive_failures",
        "_trials",
    )

    def __init__(self) -> None:
        self._consecutive_failures = 0
        self._required_upstreams = MIN_FAILED_UPSTREAMS
        self._failed_upstreams: set[str] = set()
        self._trials: list[RegionTrial] = []
        self._last_trial_at = float("-inf")

    @property
    def is_down(self) -> bool:
        """Whether the region counts as down."""
        return (
            self._consecutive_failures >= FAILURE_THRESHOLD
            and len(self._failed_upstreams) >= self._required_upstreams
        )

    @property
    def consecutive_failures(self) -> int:
        """The number of consecutive failures."""
        return self._consecutive_failures

    @property
    def failed(self) -> int:
        """The number of upstreams with a failure since the last success."""
        return len(self._failed_upstreams)

    def record_success(self) -> None:
        """Record a success at any of the region's upstreams."""
        self._consecutive_failures = 0
        self._failed_upstreams.clear()

    def record_failure(self, address: str, upstreams: int) -> None:
        """Record a failure at one of the region's upstreams."""
        self._required_upstreams = min(
            MAX_FAILED_UPSTREAMS, max(MIN_FAILED_UPSTREAMS, ceil(upstreams / 2))
        )
        self._consecutive_failures += 1
        self._failed_upstreams.add(address)

    def reopen(self) -> None:
        """Admit all requests to the region until the next failure.

        The failure count is kept, since a healthy upstream may still fail its requests.
        """
        self._consecutive_failures = min(self._consecutive_failures, FAILURE_THRESHOLD - 1)

    def begin_trial(self, now: float, upstreams: int, apart_s: float) -> RegionTrial | None:
        """Start a trial if allowed, at least `apart_s` after the last one; else return None."""
        if now - self._last_trial_at < apart_s or len(self._trials) >= upstreams:
            return None
        if any(now - trial.began_at < TRIAL_TIMEOUT_S for trial in self._trials):
            return None
        trial = RegionTrial(self, now)
        self._trials.append(trial)
        self._last_trial_at = now
        return trial

    def end_trial(self, trial: RegionTrial) -> None:
        """Remove a trial that has ended."""
        if trial in self._trials:
            self._trials.remove(trial)
