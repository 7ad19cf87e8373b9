"""Admission: a bounded queue served by paid priority, with deadlines.

When the queue is full the worst waiting ticket makes room for a better one; a ticket that cannot
be served before its deadline is refused at once, with the time after which to come back.
"""

from __future__ import annotations

from bisect import insort
from collections import deque

from msgspec import Struct

DEMOTED_RANK = 100
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 30.0


class Ticket(Struct, eq=False):
    """A request that asks for a slot; `deadline` is in seconds on the entry's clock."""

    sequence: int
    rank: int
    deadline: float
    arrived: float
    regions: tuple[str, ...]
    excluded: frozenset[str] = frozenset()

    @property
    def order(self) -> tuple[int, int]:
        """Better priorities first, then first come, first served."""
        return self.rank, self.sequence


class Refusal(Struct, frozen=True):
    """Why a request was not admitted, and when to come back."""

    reason: str
    retry_after_s: float


class ServiceRate:
    """How fast a service frees slots here: the mean time a slot is held, by exponential mean."""

    __slots__ = ("_mean_s", "_weight")

    def __init__(self, initial_s: float = 0.02, weight: float = 0.05) -> None:
        self._mean_s = initial_s
        self._weight = weight

    @property
    def mean_s(self) -> float:
        """The mean time in seconds that a request holds its slot."""
        return self._mean_s

    def record(self, held_s: float) -> None:
        """Take in how long one request held its slot."""
        self._mean_s += self._weight * (held_s - self._mean_s)

    def wait_s(self, ahead: int, slots: int) -> float:
        """Return the expected wait in seconds behind `ahead` tickets for `slots` slots."""
        return (ahead + 1) * self._mean_s / max(1, slots)


class WaitingQueue:
    """The waiting tickets of one service at one entry."""

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
        """How many tickets may wait."""
        return self._limit

    @limit.setter
    def limit(self, limit: int) -> None:
        self._limit = limit

    def ahead_of(self, ticket: Ticket) -> int:
        """Return how many waiting tickets would be served before this one."""
        return sum(1 for waiting in self._tickets if waiting.order < ticket.order)

    def push(self, ticket: Ticket) -> Ticket | None:
        """Add a ticket; returns the one that had to go, which can be the new one itself."""
        insort(self._tickets, ticket, key=lambda t: t.order)
        return self._tickets.pop() if len(self._tickets) > self._limit else None

    def remove(self, ticket: Ticket) -> bool:
        """Take a ticket out, when its caller has gone; False if it was not waiting."""
        if ticket not in self._tickets:
            return False
        self._tickets.remove(ticket)
        return True

    def expire(self, now: float) -> list[Ticket]:
        """Take out and return the tickets whose deadline has passed."""
        late = [ticket for ticket in self._tickets if ticket.deadline <= now]
        self._tickets = [ticket for ticket in self._tickets if ticket.deadline > now]
        return late


def retry_after(wait_s: float) -> float:
    """Turn an expected wait into the time that a refused caller is told to stay away."""
    return min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))


class PaidRate:
    """The rate that an organisation has paid for, as a token bucket of one second's worth."""

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
        """Count one request; False if it is beyond what was paid for."""
        elapsed = max(0.0, now - self._at)
        self._tokens = min(max(1.0, self._rate), self._tokens + elapsed * self._rate)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RateWindow:
    """Requests per second over the last whole seconds, for reports to the leader."""

    __slots__ = ("_times", "_window_s")

    def __init__(self, window_s: float = 2.0) -> None:
        self._times: deque[float] = deque(maxlen=4096)
        self._window_s = window_s

    def record(self, now: float) -> None:
        """Count one request."""
        self._times.append(now)

    def rate(self, now: float) -> float:
        """Return the requests per second at the moment."""
        while self._times and self._times[0] < now - self._window_s:
            self._times.popleft()
        return len(self._times) / self._window_s
