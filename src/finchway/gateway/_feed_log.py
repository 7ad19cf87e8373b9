"""What a gateway logs and counts of its questions to replicas, and of what it learns from them."""

from __future__ import annotations

import trio

from finchway.feed import Feed, Subscribe
from finchway.observe import (
    BeliefChanged,
    DecisionLog,
    FeedEnded,
    FeedOutcome,
    GatewayMetrics,
    LoopLag,
    ProcessChanged,
)

# Seconds on the way, both ways together, from which an answer gets a line of its own: six round
# trips between the regions that are furthest apart.
SLOW_TRANSIT_S = 0.4


class FeedLog:
    """The lines and figures on the feed."""

    def __init__(self, decisions: DecisionLog, metrics: GatewayMetrics, lag: LoopLag) -> None:
        self._decisions = decisions
        self._metrics = metrics
        self._lag = lag

    def note_lost(self, address: str) -> None:
        """Log that a replica has stopped answering."""
        self._decisions.write(ProcessChanged(change="lost", detail=f"replica {address}"))

    def note_regained(self, address: str) -> None:
        """Log that a replica answers again, or for the first time."""
        self._decisions.write(ProcessChanged(change="regained", detail=f"replica {address}"))

    def note_answer(
        self, address: str, question: Subscribe, asked_at: float, answer: Feed, late_after: float
    ) -> None:
        """Count an answer; log it if it is slow, late, or the first of a replica process."""
        seconds = trio.current_time() - asked_at
        transit = seconds - answer.held
        self._metrics.count_feed(transit)
        if answer.life != question.life:
            outcome = FeedOutcome.FIRST
        elif seconds >= late_after:
            outcome = FeedOutcome.LATE
        elif transit >= SLOW_TRANSIT_S:
            outcome = FeedOutcome.SLOW
        else:
            return
        self._write(address, question, outcome, seconds, answer)

    def note_given_up(self, address: str, question: Subscribe, asked_at: float) -> None:
        """Count and log a question that was given up."""
        self._metrics.count_feed(None)
        seconds = trio.current_time() - asked_at
        self._write(address, question, FeedOutcome.GIVEN_UP, seconds, None)

    def note_learned(self, feed: Feed, before: int, revision: int) -> None:
        """Log what an answer has brought that is newer than the revision `before`."""
        for held in feed.image.items:
            self._note_belief(held.item.key, f"version {held.item.version}", held.revision)
        for mark in feed.image.marks:
            self._note_belief(f"upstream/{mark.life}", mark.kind.value, mark.revision)
        for evacuation in feed.image.evacuations:
            now = "evacuated" if evacuation.active else "in use"
            self._note_belief(f"zone/{evacuation.zone}", now, evacuation.revision)
        for suspect in feed.image.suspects:
            source = f"control; ends: {suspect.ends}, newest: {', '.join(suspect.ended) or 'none'}"
            self._note_belief(
                f"request/{suspect.request}", suspect.state.value, suspect.revision, source
            )
        self._decisions.write(
            BeliefChanged(
                subject="configuration",
                now=f"revision {revision}",
                before=f"revision {before}",
                source=f"replica {feed.life}",
                revision=revision,
            )
        )

    def _note_belief(self, subject: str, now: str, revision: int, source: str = "control") -> None:
        self._decisions.write(
            BeliefChanged(subject=subject, now=now, source=source, revision=revision)
        )

    def _write(
        self,
        address: str,
        question: Subscribe,
        outcome: FeedOutcome,
        seconds: float,
        answer: Feed | None,
    ) -> None:
        self._decisions.write(
            FeedEnded(
                replica=address,
                outcome=outcome,
                ms=round(seconds * 1000, 1),
                held_ms=-1.0 if answer is None else round(answer.held * 1000, 1),
                upstreams=0 if answer is None else len(answer.upstreams),
                revision=question.revision,
                lag_ms=round(self._lag.worst_s * 1000, 1),
            )
        )
