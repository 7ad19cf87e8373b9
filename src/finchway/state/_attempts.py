"""Attempts that have ended, remembered so that a delayed copy of their claims is not granted.

An entry numbers its attempts, and an attempt's id is `HOLDER#NUMBER`. Only open attempts leave gaps
between the ended numbers, so these take little space however many there are.

    ended = EndedAttempts()
    ended.end(attempt_id("e1@f3", 1), now_ms)
    assert ended.has_ended(attempt_id("e1@f3", 1), "e1@f3")
"""

from __future__ import annotations

from bisect import bisect_left

from msgspec import Struct, field

# A command may be delayed for as long as a machine is suspended; later copies are not expected.
ENDED_RETENTION_MS = 3_600_000
# Gaps that are remembered for each holder; the lowest one is closed first, so an attempt that is
# open for very long may be refused, but none is granted twice.
MAX_RANGES = 4_096


class HolderAttempts(Struct):
    """The ended attempts of one holder, as sorted ranges of numbers with both ends included.

    `is_over` is set once the holder's incarnation has ended, and with it all of its attempts.
    """

    expires_ms: int
    ranges: list[tuple[int, int]] = field(default_factory=list)
    is_over: bool = False

    def __contains__(self, number: int) -> bool:
        index = bisect_left(self.ranges, (number + 1,)) - 1
        return index >= 0 and self.ranges[index][1] >= number

    def add(self, number: int) -> None:
        """Add a number, and join the ranges that it connects."""
        if number in self:
            return
        first = last = number
        index = bisect_left(self.ranges, (number,))
        end = index
        if index > 0 and self.ranges[index - 1][1] == number - 1:
            index -= 1
            first = self.ranges[index][0]
        if end < len(self.ranges) and self.ranges[end][0] == number + 1:
            last = self.ranges[end][1]
            end += 1
        self.ranges[index:end] = [(first, last)]
        if len(self.ranges) > MAX_RANGES:
            self.ranges[:2] = [(self.ranges[0][0], self.ranges[1][1])]


class EndedAttempts:
    """The ended attempts by holder."""

    __slots__ = ("_holders",)

    def __init__(self, holders: dict[str, HolderAttempts] | None = None) -> None:
        self._holders = holders if holders is not None else {}

    @property
    def records(self) -> dict[str, HolderAttempts]:
        """The ended attempts by holder, for snapshots."""
        return self._holders

    def has_ended(self, attempt: str, holder: str) -> bool:
        """Return whether a numbered attempt has ended, by itself or with its holder."""
        known = self._holders.get(holder)
        number = _number_of(attempt, holder)
        if known is None or number is None:
            return False
        return known.is_over or number in known

    def end(self, attempt: str, now_ms: int) -> bool:
        """Record that an attempt has ended; return False for an id without a number."""
        holder = attempt.rpartition("#")[0]
        number = _number_of(attempt, holder)
        if not holder or number is None:
            return False
        self._record(holder, now_ms).add(number)
        return True

    def end_holder(self, holder: str, now_ms: int) -> None:
        """Record that a holder's incarnation has ended."""
        self._record(holder, now_ms).is_over = True

    def resume_holder(self, holder: str) -> None:
        """Record that a holder is registered, though it may have been taken for gone before."""
        known = self._holders.get(holder)
        if known is not None:
            known.is_over = False

    def expire(self, now_ms: int) -> None:
        """Forget the holders of which nothing has ended for `ENDED_RETENTION_MS`."""
        for holder in [h for h, known in self._holders.items() if known.expires_ms <= now_ms]:
            del self._holders[holder]

    def _record(self, holder: str, now_ms: int) -> HolderAttempts:
        expires_ms = now_ms + ENDED_RETENTION_MS
        known = self._holders.setdefault(holder, HolderAttempts(expires_ms))
        known.expires_ms = expires_ms
        return known


def attempt_id(holder: str, number: int) -> str:
    """Return the id of a holder's attempt."""
    return f"{holder}#{number}"


def _number_of(attempt: str, holder: str) -> int | None:
    """Return the number in an attempt's id; None if it is not one of the holder's."""
    prefix, _, number = attempt.rpartition("#")
    if prefix != holder or not number.isascii() or not number.isdigit() or len(number) > 15:
        return None
    return int(number)
