"""Which upstreams answer much worse than their fellows, and when they are tried again.

An upstream may be slow, or fail a part of its requests, while its heartbeats say that it is well.
What tells is how its last answers went, next to those of its fellows: when all are alike, none is
better to send to, so nothing is left out.

    poor = find_poor({"north": {"n1": standing, "n2": other}}, frozenset())
"""

from __future__ import annotations

from collections import deque

# Outcomes that a judgement rests on: at a few requests a second from each gateway, one to two
# seconds of them.
JUDGED = 4
# Of these, so many must be bad; one or two in a row happen to upstreams that only forgot a key.
BAD_OF_JUDGED = 3
# When the middle one of the fellows has more than this part of bad outcomes, something else is
# wrong than some upstreams, and their keys would be slow elsewhere as well.
FELLOWS_BAD_AT_MOST = 0.3
# At most this part of a region's upstreams is left out: the rest could not bear more.
MOST_LEFT_OUT = 0.5
# Seconds between two requests that try a poor upstream again, at each gateway.
TRIAL_EVERY_S = 1.0


class Standing:
    """How the last requests at one upstream went."""

    __slots__ = ("_outcomes", "_overdue", "_trial_at")

    def __init__(self) -> None:
        self._outcomes: deque[bool] = deque(maxlen=JUDGED)
        self._overdue = 0
        self._trial_at = float("-inf")

    @property
    def is_known(self) -> bool:
        """Whether anything is known of the upstream."""
        return bool(self._outcomes) or self._overdue > 0

    @property
    def is_suspect(self) -> bool:
        """Whether most of the very last outcomes were bad."""
        return sum(self._judged()) >= BAD_OF_JUDGED

    @property
    def bad_share(self) -> float:
        """The part of bad outcomes among the last ones; 0 without any."""
        judged = self._judged()
        return sum(judged) / len(judged) if judged else 0.0

    def note(self, is_bad: bool) -> None:
        """Take in how a request went."""
        self._outcomes.append(is_bad)

    def note_overdue(self, count: int) -> None:
        """Take in how many requests under way have taken longer than a good one already."""
        self._overdue = count

    def _judged(self) -> list[bool]:
        return [*self._outcomes, *[True] * self._overdue][-JUDGED:]

    def may_try(self, now: float) -> bool:
        """Tell whether it is time to try the upstream again although it is poor."""
        return now >= self._trial_at

    def note_trial(self, now: float) -> None:
        """Note that a request tries the upstream again."""
        self._trial_at = now + TRIAL_EVERY_S


def find_poor(regions: dict[str, dict[str, Standing]], held: frozenset[str]) -> frozenset[str]:
    """Return the upstreams of a service that should be left out, by name.

    Those that are left out already, `held`, come first when a region has too many.
    """
    known = [s for found in regions.values() for s in found.values() if s.is_known]
    if len(known) < 2 or _middle([s.bad_share for s in known]) > FELLOWS_BAD_AT_MOST:
        return frozenset()
    poor: set[str] = set()
    for found in regions.values():
        suspects = [name for name, standing in found.items() if standing.is_suspect]
        suspects.sort(key=lambda name: (name not in held, -found[name].bad_share, name))
        poor.update(suspects[: int(MOST_LEFT_OUT * len(found))])
    return frozenset(poor)


def _middle(values: list[float]) -> float:
    """Return the lower median."""
    return sorted(values)[(len(values) - 1) // 2]
