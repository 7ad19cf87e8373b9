"""The log lines and counts of orders, one at the end of each."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio

from finchway.exceptions import (
    ConflictError,
    FinchwayError,
    NotFoundError,
    OrderExpiredError,
    ResourceError,
)
from finchway.observe import CommandEnded, DecisionLog, ReplicaMetrics
from finchway.transport import CallOrigin

# Bounds a line, since names and findings come from callers.
MAX_LOGGED_CHARS = 500


class OrderLog:
    """Logs and counts the orders of operators and upstreams at one replica.

    `revision` returns the steering revision.
    """

    def __init__(
        self, decisions: DecisionLog, metrics: ReplicaMetrics, revision: Callable[[], int]
    ) -> None:
        self._decisions = decisions
        self._metrics = metrics
        self._revision = revision

    @contextmanager
    def record(self, order: str, subject: str, origin: CallOrigin) -> Iterator[None]:
        """Log and count an order, whose outcome is that of the enclosed block."""
        started = trio.current_time()
        has_left = origin.has_left()
        outcome, detail = "open", "cut short"
        try:
            yield
            outcome, detail = "committed", ""
        except (ResourceError, NotFoundError) as error:
            outcome, detail = "refused", str(error)
            raise
        except ConflictError as error:
            outcome, detail = "conflict", error.message
            raise
        except OrderExpiredError as error:
            outcome, detail = "expired", error.message
            raise
        except FinchwayError as error:
            detail = error.message
            raise
        finally:
            seconds = trio.current_time() - started
            self._metrics.count_command(order, outcome, seconds)
            self._decisions.write(
                CommandEnded(
                    order=order,
                    subject=subject[:MAX_LOGGED_CHARS],
                    outcome=outcome,
                    detail=detail[:MAX_LOGGED_CHARS],
                    revision=self._revision(),
                    age_ms=round((started - origin.arrived_after) * 1000, 1),
                    left=has_left,
                    ms=round(seconds * 1000, 1),
                )
            )
