"""What a gateway learns of a service from its answers: the work of a request, and the strain."""

from __future__ import annotations

# The work follows the lower part of the times: what is above was mostly spent waiting or on keys
# that the upstream did not remember. With these weights it settles at about the tenth percentile.
WORK_WEIGHT_UP = 0.005
WORK_WEIGHT_DOWN = 0.05
# Part of late answers above which a service counts as strained, and the weight of one answer.
STRAINED_ABOVE = 0.3
STRAIN_WEIGHT = 0.02
# A repeat is slow when it takes this many times the work of a warm one. Work for a key that is not
# remembered takes about 3.4 times as long on all users' sites.
SLOW_FACTOR = 3.5
# Beyond this many times the work of a warm one, a repeat was most likely for a forgotten key: half
# way, by ratio, between the two.
FORGOTTEN_FACTOR = 2.2


class ServiceEstimate:
    """The estimates of one service.

    Until answers tell more, an upstream is taken to work for the route's target latency, and the
    service to be strained.
    """

    __slots__ = ("_late_part", "_work")

    def __init__(self, target_latency: float) -> None:
        self._work = target_latency
        self._late_part = 1.0

    @property
    def work(self) -> float:
        """Seconds that an upstream works on a request for a key that it remembers."""
        return self._work

    @property
    def is_strained(self) -> bool:
        """Whether many answers come late, so that reports of load cannot be relied on."""
        return self._late_part > STRAINED_ABOVE

    @property
    def slow_after(self) -> float:
        """Seconds after which an answer for a remembered key is slow."""
        return SLOW_FACTOR * self._work

    @property
    def forgotten_after(self) -> float:
        """Seconds after which an answer was most likely for a key that is not remembered."""
        return FORGOTTEN_FACTOR * self._work

    def note_answer(self, seconds: float, target_latency: float) -> None:
        """Take in the time of a good answer."""
        weight = WORK_WEIGHT_UP if seconds > self._work else WORK_WEIGHT_DOWN
        self._work += weight * (seconds - self._work)
        self._note_late(seconds > target_latency)

    def note_unanswered(self) -> None:
        """Take in an attempt whose time ran out."""
        self._note_late(True)

    def _note_late(self, is_late: bool) -> None:
        self._late_part += STRAIN_WEIGHT * (is_late - self._late_part)
