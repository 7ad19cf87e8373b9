"""Whether a process reaches the upstreams at all, judged by its own connections.

A process that is cut off from all upstreams sees each of them fail, as if all were down. It tells
the two apart by trying those that it has heard last: if none of them accepts a connection, although
control hears them, the fault is on this side.
"""

from __future__ import annotations

# Upstreams that could not be connected to, without any that could, from which on the process checks
# whether it is cut off. While all others are silent, one is enough.
MIN_UNREACHABLE = 2
# Silence from which on it checks while requests wait: a multiple of the usual time between answers,
# within these bounds in seconds. A check costs one connection.
SILENCE_FACTOR = 6.0
MIN_SILENCE_S = 0.3
MAX_SILENCE_S = 1.0
# Weight of the latest time between two answers in the mean.
GAP_WEIGHT = 0.1
# Upstreams that must accept a connection before a cut is over.
MIN_RETURNED = 2


class UpstreamReach:
    """The signs that upstreams are in or out of reach, and the conclusion from them.

    reach = UpstreamReach()
    reach.record_unreachable("i-1", now=5.0)
    reach.record_unreachable("i-2", now=5.1)
    reach.needs_check(5.1)  # True
    reach.record_cut_off()  # no upstream has accepted a connection in the check
    reach.is_cut_off  # True
    """

    __slots__ = (
        "_busy_since",
        "_contact_at",
        "_in_flight",
        "_is_cut_off",
        "_mean_gap_s",
        "_returned",
        "_unreachable",
        "_unreachable_since",
    )

    def __init__(self) -> None:
        self._contact_at = float("-inf")
        self._in_flight = 0
        self._busy_since = float("-inf")
        self._unreachable: set[str] = set()
        self._unreachable_since = float("-inf")
        self._mean_gap_s = MAX_SILENCE_S
        self._is_cut_off = False
        self._returned: set[str] = set()

    @property
    def contact_at(self) -> float:
        """When any upstream last accepted a connection or answered."""
        return self._contact_at

    @property
    def is_cut_off(self) -> bool:
        """Whether no upstream can be connected to from this process."""
        return self._is_cut_off

    @property
    def silent_since(self) -> float:
        """When the last sign of an upstream, or the first failed connection after it, was."""
        return max(self._contact_at, self._unreachable_since)

    @property
    def is_failing(self) -> bool:
        """Whether several upstreams could not be connected to since one could."""
        return len(self._unreachable) >= MIN_UNREACHABLE

    @property
    def unreachable(self) -> int:
        """Number of upstreams that could not be connected to since one could."""
        return len(self._unreachable)

    def has_live_connections(self, now: float) -> bool:
        """Return whether answers have arrived recently, since new connections fail."""
        return self._contact_at > max(self._unreachable_since, now - MAX_SILENCE_S)

    def record_sent(self, now: float) -> None:
        """Record that a request waits for an upstream."""
        if not self._in_flight:
            self._busy_since = now
        self._in_flight += 1

    def record_ended(self) -> None:
        """Record that a request no longer waits."""
        self._in_flight -= 1

    def record_answer(self, now: float) -> None:
        """Record an answer, which may have come on a connection that was opened long ago."""
        gap_s = min(now - max(self._contact_at, self._busy_since), MAX_SILENCE_S)
        self._mean_gap_s += GAP_WEIGHT * (gap_s - self._mean_gap_s)
        self._contact_at = now

    def record_connected(self, instance: str, now: float, upstreams: int) -> None:
        """Record a new connection to one of a number of upstreams.

        The end of a cut is confirmed by a second upstream, if there is one.
        """
        self._contact_at = now
        self._unreachable.clear()
        self._returned.add(instance)
        if len(self._returned) >= min(MIN_RETURNED, upstreams):
            self._is_cut_off = False

    def record_unreachable(self, instance: str, now: float) -> None:
        """Record that an upstream could not be connected to."""
        if not self._unreachable:
            self._unreachable_since = now
        self._unreachable.add(instance)
        self._returned.clear()

    def is_silent(self, now: float) -> bool:
        """Return whether requests have been waiting for long without any sign of an upstream."""
        if not self._in_flight:
            return False
        longest = min(max(MIN_SILENCE_S, SILENCE_FACTOR * self._mean_gap_s), MAX_SILENCE_S)
        return now - max(self._contact_at, self._busy_since) >= longest

    def needs_check(self, now: float) -> bool:
        """Return whether the process should check if it is cut off."""
        if self.is_failing or self.is_silent(now):
            return True
        return bool(self._unreachable) and now - self._contact_at >= MIN_SILENCE_S

    def record_cut_off(self) -> None:
        """Record the conclusion that no upstream is in reach."""
        self._is_cut_off = True
        self._returned.clear()
