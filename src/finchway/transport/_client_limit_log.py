"""Log lines that say when the clients of a process were refused or ended for lack of room."""

from __future__ import annotations

import trio

from finchway.observe import ClientsLimited, DecisionLog
from finchway.transport._client_budget import ClientBudget

# A crowd is refused very often, so that a line tells of all that happened since the last one.
_MIN_INTERVAL_S = 1.0


class ClientLimitLog:
    """Writes what clients hold when one of them is refused or ended, at most once a second."""

    def __init__(self, budget: ClientBudget, decisions: DecisionLog) -> None:
        self._budget = budget
        self._decisions = decisions
        self._written_at = float("-inf")

    def record(self) -> None:
        """Write a line, unless the last one is very new."""
        now = trio.current_time()
        if now - self._written_at < _MIN_INTERVAL_S:
            return
        self._written_at = now
        state = self._budget.state
        self._decisions.write(
            ClientsLimited(
                connections=state.connections,
                max_connections=state.max_connections,
                held_bytes=state.held_bytes,
                max_bytes=state.max_bytes,
                ended=state.ended,
                refused_connections=state.refused_connections,
                refused_requests=state.refused_requests,
            )
        )
