"""What all clients of a process may hold together: connections, and bytes of its memory.

The limits of a single request allow more than a process has room for if many clients use them at
once, or stop midway and keep their connections. So connections, and the bytes of longer bodies and
answers, are drawn from one budget by all servers of a process. When it is used up, connections that
wait for their clients make room: those that have stalled midway and, for a new connection, idle
ones. If there are none, the newcomer is refused. A connection covers what a request with a short
body and answer holds, so bodies leave room for these.

    budget = ClientBudget(memory_mb=300, max_descriptors=4096)
    account = budget.open()
    account.on_end(connection.end_early)
    holding = account.holding()
    if not holding.resize(60_000):
        ...  # refuse the request
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import trio
from msgspec import Struct

from finchway.transport._listener import RECEIVE_BUFFER_BYTES
from finchway.transport._turns import Turns

# What a connection with a request holds apart from a long body or answer: a head, a task and their
# objects, and what has arrived in the kernel and is not read yet.
CONNECTION_BYTES = 24 * 1024 + RECEIVE_BUFFER_BYTES
# Bodies up to this size are covered by what is drawn for their connection.
SMALL_BODY_BYTES = 8 * 1024
# Time without progress after which a client that is midway has stalled, and the bytes that count as
# progress.
STALLED_AFTER_S = 1.0
PROGRESS_BYTES = 16 * 1024
DEFAULT_MEMORY_MB = 300
DEFAULT_DESCRIPTORS = 4096
# Shares of the machine's memory that bodies and answers, and connections may use. The rest is for
# the process itself, for what the allocator does not give back, and for connections that are being
# accepted or closed.
_BODY_FRACTION = 1 / 5
_CONNECTION_FRACTION = 2 / 5
# Descriptors for files, and the share of the others that clients may use. The rest is for
# connections to upstreams and to other processes.
_FILE_DESCRIPTORS = 200
_DESCRIPTOR_FRACTION = 3 / 4
_MEGABYTE = 1_000_000


class BudgetState(Struct, frozen=True, kw_only=True):
    """What clients hold, and how often room was made or refused since the start."""

    connections: int
    max_connections: int
    held_bytes: int
    max_bytes: int
    ended: int
    refused_connections: int
    refused_requests: int

    @property
    def gauges(self) -> dict[str, int]:
        """The figures by the names under which metrics show them."""
        return {
            "client_connections": self.connections,
            "client_connections_max": self.max_connections,
            "client_bytes": self.held_bytes,
            "client_bytes_max": self.max_bytes,
            "clients_ended": self.ended,
            "client_connections_refused": self.refused_connections,
            "client_requests_refused": self.refused_requests,
        }


class ClientBudget:
    """The connections and bytes that the clients of one process may hold."""

    def __init__(
        self, memory_mb: int = DEFAULT_MEMORY_MB, max_descriptors: int = DEFAULT_DESCRIPTORS
    ) -> None:
        self._max_bytes = int(memory_mb * _MEGABYTE * _BODY_FRACTION)
        sockets = max(1, max_descriptors - _FILE_DESCRIPTORS)
        self._max_connections = max(
            1,
            min(
                int(sockets * _DESCRIPTOR_FRACTION),
                int(memory_mb * _MEGABYTE * _CONNECTION_FRACTION / CONNECTION_BYTES),
            ),
        )
        self._held = 0
        self._connections = 0
        self._midway: OrderedDict[Account, None] = OrderedDict()
        self._idle: OrderedDict[Account, None] = OrderedDict()
        self._ended = 0
        self._refused_connections = 0
        self._refused_requests = 0
        self._on_limited: Callable[[], None] = lambda: None
        self._turns = Turns()

    @property
    def turns(self) -> Turns:
        """The turns at the event loop of connections with very many events."""
        return self._turns

    @property
    def state(self) -> BudgetState:
        """What is held at the moment, and the counts since the start."""
        return BudgetState(
            connections=self._connections,
            max_connections=self._max_connections,
            held_bytes=self._held,
            max_bytes=self._max_bytes,
            ended=self._ended,
            refused_connections=self._refused_connections,
            refused_requests=self._refused_requests,
        )

    def on_limited(self, callback: Callable[[], None]) -> None:
        """Set the callback for each time that a client is refused or ended."""
        self._on_limited = callback

    def open(self) -> Account | None:
        """Open the account of a new connection; None if there is no room for one."""
        while self._connections >= self._max_connections:
            account = self._stalled() or next(iter(self._idle), None)
            if account is None:
                self._refused_connections += 1
                self._on_limited()
                return None
            self._end(account)
        account = Account(self)
        self._connections += 1
        account.wait_for_request()
        return account

    def _draw(self, asking: Account, size: int) -> bool:
        """Draw bytes for an account, and make room for them if there is none."""
        while size > 0 and self._held + size > self._max_bytes:
            account = self._stalled(asking)
            if account is None:
                self._refused_requests += 1
                self._on_limited()
                return False
            self._end(account)
        self._held += size
        asking.held += size
        return True

    def _stalled(self, asking: Account | None = None) -> Account | None:
        """Return the connection that has stalled for longest.

        With an asking connection, return another one, which holds bytes.
        """
        progressed_before = trio.current_time() - STALLED_AFTER_S
        for account in self._midway:
            if account.progressed_at > progressed_before:
                return None
            if asking is None or (account is not asking and account.held):
                return account
        return None

    def _end(self, account: Account) -> None:
        """End a connection that waits for its client."""
        self._close(account)
        self._ended += 1
        account.end()
        self._on_limited()

    def _leave_queues(self, account: Account) -> None:
        self._midway.pop(account, None)
        self._idle.pop(account, None)

    def _close(self, account: Account) -> None:
        """Give back everything that an account holds; it can draw no more."""
        if account.is_closed:
            return
        account.is_closed = True
        self._leave_queues(account)
        self._connections -= 1
        self._held -= account.held
        account.held = 0


class Account:
    """What one connection holds, and whether it waits for its client.

    A connection is served unless it is told otherwise, and one that is served is not ended.
    """

    __slots__ = ("_budget", "_end", "_unrecorded", "held", "is_closed", "progressed_at")

    def __init__(self, budget: ClientBudget) -> None:
        self._budget = budget
        self._end: Callable[[], None] = lambda: None
        self._unrecorded = 0
        self.held = 0
        self.is_closed = False
        self.progressed_at = trio.current_time()

    def on_end(self, callback: Callable[[], None]) -> None:
        """Set the callback that ends the connection, which must not block."""
        self._end = callback

    def end(self) -> None:
        """End the connection, whose account is closed already."""
        self._end()

    def holding(self) -> Holding:
        """Return a holding for one request on the connection."""
        return Holding(self)

    def wait_for_request(self) -> None:
        """Note that the connection is idle until its client sends a request."""
        if not self.is_closed:
            self._budget._leave_queues(self)
            self._budget._idle[self] = None

    def wait_for_more(self) -> None:
        """Note that the client is midway: sending a request, or taking an answer."""
        if not self.is_closed:
            self._budget._leave_queues(self)
            self._budget._midway[self] = None
            self._unrecorded = 0
            self.progressed_at = trio.current_time()

    def record_progress(self, size: int) -> None:
        """Note that the client has sent or taken so many bytes."""
        self._unrecorded += size
        if self._unrecorded >= PROGRESS_BYTES and self in self._budget._midway:
            self.wait_for_more()

    def serve(self) -> None:
        """Note that the connection waits for nothing from its client."""
        self._budget._leave_queues(self)

    def draw(self, size: int) -> bool:
        """Draw bytes, or give them back if negative; return whether there was room for them."""
        return not self.is_closed and self._budget._draw(self, size)

    def close(self) -> None:
        """Give back everything, as the connection has ended."""
        self._budget._close(self)


class Holding:
    """The bytes that one request holds; `resize` sets how many."""

    __slots__ = ("_account", "_size")

    def __init__(self, account: Account) -> None:
        self._account = account
        self._size = 0

    @property
    def size(self) -> int:
        """The bytes drawn."""
        return self._size

    def resize(self, size: int) -> bool:
        """Draw or give back bytes up to a new size; return False if there is no room for it."""
        if size != self._size and not self._account.draw(size - self._size):
            return False
        self._size = size
        return True

    def release(self) -> None:
        """Give everything back."""
        self.resize(0)
