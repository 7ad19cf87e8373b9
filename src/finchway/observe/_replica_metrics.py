"""Prometheus metrics of a control replica; all label sets are bounded."""

from __future__ import annotations

from math import isfinite

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render
from msgspec import Struct

COMMIT_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, float("inf"))


class ReplicaState(Struct, frozen=True, kw_only=True):
    """State of a replica at the time of a scrape."""

    is_leader: bool
    hears_leader: bool
    covered_age_s: float
    voters: int
    applied: int
    revision: int
    upstreams: int
    upstreams_silent: int
    gateways: int
    log_lines_dropped: int
    suspects: int = 0
    suspects_dropped: int = 0
    clients: dict[str, int] = {}


class ReplicaMetrics:
    """Counters, histograms and gauges of a replica."""

    def __init__(self, instance: str) -> None:
        labels = {"instance": instance}
        registry = self._registry = Registry()
        self._commands = Counter(
            "finchway_replica_orders_total", "Orders by kind and outcome", labels, registry
        )
        self._commits = Histogram(
            "finchway_replica_order_seconds",
            "Time from an order to its acknowledgement",
            labels,
            registry,
            buckets=COMMIT_BUCKETS_S,
        )
        self._heartbeats = Counter(
            "finchway_replica_heartbeats_total", "Heartbeats of upstreams", labels, registry
        )
        self._rejected_calls = Counter(
            "finchway_replica_refused_total", "Calls that could not be believed", labels, registry
        )
        self._state = Gauge("finchway_replica_state", "State by name", labels, registry)

    def count_command(self, command: str, outcome: str, seconds: float) -> None:
        """Count a finished command; latency is recorded for committed ones only."""
        self._commands.inc({"order": command, "outcome": outcome})
        if outcome == "committed":
            self._commits.observe({"order": command}, seconds)

    def count_heartbeat(self) -> None:
        self._heartbeats.inc({})

    def count_rejected_call(self, call: str) -> None:
        """Count a call that was malformed or failed validation."""
        self._rejected_calls.inc({"call": call})

    def render(self, state: ReplicaState) -> bytes:
        """Return all metrics in the Prometheus text format."""
        gauges = {
            "is_leader": float(state.is_leader),
            "hears_leader": float(state.hears_leader),
            "covered_age_seconds": state.covered_age_s if isfinite(state.covered_age_s) else -1.0,
            "voters": state.voters,
            "applied_index": state.applied,
            "revision": state.revision,
            "upstreams": state.upstreams,
            "upstreams_silent": state.upstreams_silent,
            "gateways": state.gateways,
            "log_lines_dropped": state.log_lines_dropped,
            "suspect_requests": state.suspects,
            "suspect_requests_dropped": state.suspects_dropped,
        }
        for name, value in (gauges | state.clients).items():
            self._state.set({"name": name}, value)
        content, _ = render(self._registry, ["text/plain"])
        return content
