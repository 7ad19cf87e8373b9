"""The requests under way on a connection of the app server, and what they hold of the budget."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from finchway.transport._client_budget import Account, Holding


class ConnectionRequests:
    """Counts the requests under way on a connection, of which HTTP/2 allows several at once.

    While there is one, the connection is not idle; while there is another one, it does not count as
    waiting for its client.
    """

    __slots__ = ("_account", "_under_way")

    def __init__(self, account: Account) -> None:
        self._account = account
        self._under_way = 0

    def record_progress(self, size: int) -> None:
        """Note that the client has sent so many bytes."""
        self._account.record_progress(size)

    @contextmanager
    def request(self) -> Iterator[Holding]:
        """Count a request while the context is entered; yields what it holds."""
        holding = self._account.holding()
        self._under_way += 1
        self._account.serve()
        try:
            yield holding
        finally:
            self._under_way -= 1
            holding.release()
            if not self._under_way:
                self._account.wait_for_request()

    @contextmanager
    def waiting_for_client(self) -> Iterator[None]:
        """Note that a request waits for its client to send or to take something."""
        if self._under_way == 1:
            self._account.wait_for_more()
        try:
            yield
        finally:
            self._account.serve()
