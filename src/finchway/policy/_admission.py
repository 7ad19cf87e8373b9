"""Admission control: a bounded queue ordered by paid priority, with deadlines.

When the queue is full, a ticket of better priority evicts the worst one. A ticket that cannot be
served before its deadline is refused immediately with a retry delay.
"""

from __future__ import annotations

from bisect import insort
from collections import deque

from msgspec import Struct

DEMOTED_RANK = 100
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 30.0


class Ticket(Struct, eq=False):
    """A request for a slot; `deadline` is in seconds on the entry's clock."""

    sequence: int
    rank: int
    deadline: float
    arrived: float
    regions: tuple[str, ...]
    excluded: frozenset[str] = frozenset()

    @property
    def order(self) -> tuple[int, int]:
        """Sort key: best priority first, then first in, first out."""
        return self.rank, self.sequence


class Refusal(Struct, frozen=True):
    """Why a request was not admitted, and after how long it may be retried."""

    reason: str
    retry_after_s: float


class ServiceRate:
    """Exponential moving average of the time for which a request of a service holds its slot."""

    __slots__ = ("_mean_s", "_weight")

    def __init__(self, initial_s: float = 0.02, weight: float = 0.05) -> None:
        self._mean_s = initial_s
        self._weight = weight

    @property
    def mean_s(self) -> float:
        """The mean slot hold time in seconds."""
        return self._mean_s

    def record(self, held_s: float) -> None:
        """Record the slot hold time of one request."""
        self._mean_s += self._weight * (held_s - self._mean_s)

    def wait_s(self, ahead: int, slots: int) -> float:
        """Return the expected wait in seconds behind `ahead` tickets for `slots` slots."""
        return (ahead + 1) * self._mean_s / max(1, slots)


class WaitingQueue:
    """The queued tickets of one service at one entry."""

    __slots__ = ("_limit", "_tickets")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._tickets: list[Ticket] = []

    def __len__(self) -> int:
        return len(self._tickets)

    def __iter__(self):
        return iter(self._tickets)

    @property
    def limit(self) -> int:
        """The maximum number of queued tickets."""
        return self._limit

    @limit.setter
    def limit(self, limit: int) -> None:
        self._limit = limit

    def ahead_of(self, ticket: Ticket) -> int:
        """Return the number of queued tickets that are served before this one."""
        return sum(1 for waiting in self._tickets if waiting.order < ticket.order)

    def push(self, ticket: Ticket) -> Ticket | None:
        """Add a ticket; return the evicted one, if any, which may be the new ticket itself."""
        insort(self._tickets, ticket, key=lambda t: t.order)
        return self._tickets.pop() if len(self._tickets) > self._limit else None

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket whose caller has disconnected; False if it was not queued."""
        if ticket not in self._tickets:
            return False
        self._tickets.remove(ticket)
        return True

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return the tickets whose deadline has passed."""
        late = [ticket for ticket in self._tickets if ticket.deadline <= now]
        self._tickets = [ticket for ticket in self._tickets if ticket.deadline > now]
        return late


def retry_after(wait_s: float) -> float:
    """Return the retry delay for a refused caller: the expected wait, within bounds."""
    return min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))


class PaidRate:
    """Token bucket for the rate that an organisation has paid for, with one second of burst."""

    __slots__ = ("_at", "_rate", "_tokens")

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = max(1.0, rate)
        self._at = now

    @property
    def rate(self) -> float:
        """Requests per second."""
        return self._rate

    @rate.setter
    def rate(self, rate: float) -> None:
        self._rate = rate

    def take(self, now: float) -> bool:
        """Take a token for one request; False if the paid rate is exceeded."""
        elapsed = max(0.0, now - self._at)
        self._tokens = min(max(1.0, self._rate), self._tokens + elapsed * self._rate)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RateWindow:
    """Request rate over a sliding window, for reports to the leader."""

    __slots__ = ("_times", "_window_s")

    def __init__(self, window_s: float = 2.0) -> None:
        self._times: deque[float] = deque(maxlen=4096)
        self._window_s = window_s

    def record(self, now: float) -> None:
        """Count one request."""
        self._times.append(now)

    def rate(self, now: float) -> float:
        """Return the mean requests per second over the window that ends now."""
        while self._times and self._times[0] < now - self._window_s:
            self._times.popleft()
        return len(self._times) / self._window_s
