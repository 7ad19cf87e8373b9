"""Turns at the event loop for connections whose buffered data takes long to work through.

A body can arrive in very many small chunks. Working through them at once would keep the loop from
everyone else, and if many connections have such bodies, one slice of each in every turn of the loop
would as well. So only one of them works through a slice in a turn.
"""

from __future__ import annotations

import trio

# Events of a request that it may handle without waiting for a turn; bodies in usual parts have
# fewer. A turn is good for as many.
EVENTS_PER_TURN = 16


class Turns:
    """Passes the event loop from one busy connection to the next, in order."""

    def __init__(self) -> None:
        self._lock = trio.StrictFIFOLock()

    async def wait(self) -> None:
        """Return in the connection's next turn, after everything else that can run has run."""
        async with self._lock:
            await trio.lowlevel.checkpoint()
