"""Whether a region serves at all, as one entry sees it, and how one that does not is tried.

A region that is down is tried by few requests at a time: the first that succeeds opens it, and a
region that answers nothing holds no more callers than it has upstreams.

    health = RegionHealth()
    health.record_failure("10.0.0.1:80", upstreams=4)
    if health.is_down:
        trial = health.begin_trial(now, upstreams=4, apart_s=0.0)
"""

from __future__ import annotations

from math import ceil

from msgspec import Struct

# Failures in a row after which a region counts as down.
FAILURES = 5
# Upstreams that these must be spread over: half of the region's, at least two and at most five.
# Else a few broken ones among many close the region for all now and then, by chance.
FEWEST_FAILED = 2
MOST_FAILED = 5
# Seconds after which the next trial may begin although the last one has no answer yet.
TRIAL_PATIENCE_S = 0.1


class RegionTrial:
    """One request that tries a region that is down; it has to be ended, however it goes."""

    __slots__ = ("_health", "began_at")

    def __init__(self, health: RegionHealth, began_at: float) -> None:
        self._health = health
        self.began_at = began_at

    def end(self) -> None:
        """Make room for the next trial."""
        self._health.end_trial(self)


class RegionChoice(Struct, frozen=True):
    """The regions that may serve a request, best first, and the trial that it is of one, if any."""

    regions: tuple[str, ...] = ()
    trial: RegionTrial | None = None


class RegionHealth:
    """How requests to one service in one region went.

    The region is down after a run of failures at several upstreams without any success; a success
    ends it. Refusals do not count: an upstream that sheds is alive.
    """

    __slots__ = ("_began_at", "_failed", "_needed", "_streak", "_trials")

    def __init__(self) -> None:
        self._streak = 0
        self._needed = FEWEST_FAILED
        self._failed: set[str] = set()
        self._trials: list[RegionTrial] = []
        self._began_at = float("-inf")

    @property
    def is_down(self) -> bool:
        """Whether the region counts as down."""
        return self._streak >= FAILURES and len(self._failed) >= self._needed

    @property
    def streak(self) -> int:
        """How many requests have failed in a row."""
        return self._streak

    @property
    def failed(self) -> int:
        """How many upstreams these requests failed at."""
        return len(self._failed)

    def record_success(self) -> None:
        """Note a success at any of the region's upstreams."""
        self._streak = 0
        self._failed.clear()

    def record_failure(self, address: str, upstreams: int) -> None:
        """Note a failure that says nothing good of one of the region's upstreams."""
        self._needed = min(MOST_FAILED, max(FEWEST_FAILED, ceil(upstreams / 2)))
        self._streak += 1
        self._failed.add(address)

    def reopen(self) -> None:
        """Open the region for all, until the next failure.

        An upstream may answer its health well and fail its requests.
        """
        self._streak = min(self._streak, FAILURES - 1)

    def begin_trial(self, now: float, upstreams: int, apart_s: float) -> RegionTrial | None:
        """Begin a trial if one may begin now, `apart_s` after the last; else None."""
        if now - self._began_at < apart_s or len(self._trials) >= upstreams:
            return None
        if any(now - trial.began_at < TRIAL_PATIENCE_S for trial in self._trials):
            return None
        trial = RegionTrial(self, now)
        self._trials.append(trial)
        self._began_at = now
        return trial

    def end_trial(self, trial: RegionTrial) -> None:
        """Take in that a trial is over."""
        if trial in self._trials:
            self._trials.remove(trial)
