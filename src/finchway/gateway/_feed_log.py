"""Logs and counts a gateway's polls of replicas and the changes that they bring."""

from __future__ import annotations

import trio

from finchway.feed import Feed, Subscribe
from finchway.observe import (
    DecisionLog,
    GatewayMetrics,
    LoopLag,
    PollEnded,
    PollOutcome,
    ProcessChanged,
    StateChanged,
)

# Transit time, both ways together, from which an answer is logged as slow: several round trips
# between distant regions.
SLOW_TRANSIT_S = 0.4


class FeedLog:
    """The log lines and metrics of the feed."""

    def __init__(self, decisions: DecisionLog, metrics: GatewayMetrics, lag: LoopLag) -> None:
        self._decisions = decisions
        self._metrics = metrics
        self._lag = lag

    def record_lost(self, address: str) -> None:
        """Log that a replica has stopped answering."""
        self._decisions.write(ProcessChanged(change="lost", detail=f"replica {address}"))

    def record_regained(self, address: str) -> None:
        """Log that a replica answers again, or for the first time."""
        self._decisions.write(ProcessChanged(change="regained", detail=f"replica {address}"))

    def record_answer(
        self, address: str, request: Subscribe, sent_at: float, answer: Feed, late_after: float
    ) -> None:
        """Count an answer; log a replica's first one, an announcement, and late or slow ones."""
        seconds = trio.current_time() - sent_at
        transit = seconds - answer.held
        self._metrics.count_poll(transit)
        if answer.life != request.life:
            outcome = PollOutcome.FIRST
        elif answer.announced > request.revision:
            outcome = PollOutcome.ANNOUNCED
        elif seconds >= late_after:
            outcome = PollOutcome.LATE
        elif transit >= SLOW_TRANSIT_S:
            outcome = PollOutcome.SLOW
        else:
            return
        self._write(address, request, outcome, seconds, answer)

    def record_failed(self, address: str, request: Subscribe, sent_at: float) -> None:
        """Count and log a poll that got no answer."""
        self._metrics.count_poll(None)
        seconds = trio.current_time() - sent_at
        self._write(address, request, PollOutcome.GIVEN_UP, seconds, None)

    def record_applied(self, feed: Feed, before: int, revision: int) -> None:
        """Log the changes in an answer since the revision `before`."""
        for entry in feed.image.items:
            self._record_state(entry.item.key, f"version {entry.item.version}", entry.revision)
        for mark in feed.image.marks:
            self._record_state(f"upstream/{mark.incarnation}", mark.kind.value, mark.revision)
        for evacuation in feed.image.evacuations:
            now = "evacuated" if evacuation.active else "in use"
            self._record_state(f"zone/{evacuation.zone}", now, evacuation.revision)
        for suspect in feed.image.suspects:
            source = (
                f"control; ends: {suspect.crashes}, "
                f"newest: {', '.join(suspect.crashed_upstreams) or 'none'}"
            )
            self._record_state(
                f"request/{suspect.request}", suspect.state.value, suspect.revision, source
            )
        self._decisions.write(
            StateChanged(
                subject="configuration",
                now=f"revision {revision}",
                before=f"revision {before}",
                source=f"replica {feed.life}",
                revision=revision,
            )
        )

    def _record_state(self, subject: str, now: str, revision: int, source: str = "control") -> None:
        self._decisions.write(
            StateChanged(subject=subject, now=now, source=source, revision=revision)
        )

    def _write(
        self,
        address: str,
        request: Subscribe,
        outcome: PollOutcome,
        seconds: float,
        answer: Feed | None,
    ) -> None:
        self._decisions.write(
            PollEnded(
                replica=address,
                outcome=outcome,
                ms=round(seconds * 1000, 1),
                held_ms=-1.0 if answer is None else round(answer.held * 1000, 1),
                upstreams=0 if answer is None else len(answer.upstreams),
                revision=request.revision,
                lag_ms=round(self._lag.max_s * 1000, 1),
            )
        )
