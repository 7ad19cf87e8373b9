"""Prometheus metrics of a gateway; the catalog bounds all label sets."""

from __future__ import annotations

from math import isfinite

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render
from msgspec import Struct

POLL_LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.5, 2.5, 5.0, float("inf"))
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 2.0, 5.0, float("inf"))


class LimitTotals(Struct):
    """Sum of the rate limits that a service's upstreams report, and this gateway's part of it."""

    upstreams: int = 0
    named: float = 0.0
    part: float = 0.0


class RetryTotals(Struct):
    """A service's retries granted within the budget's window, and those that it still admits."""

    granted: int
    left: float


class GatewayState(Struct, frozen=True, kw_only=True):
    """State of a gateway at the time of a scrape."""

    revision: int
    feed_age_s: float
    known_age_s: float
    loop_lag_s: float
    in_flight: int
    connections: int
    upstream_connections_opened: int
    upstreams: dict[str, int]
    gateways: int
    log_lines_dropped: int
    contact_age_s: float = float("inf")
    is_cut_off: bool = False
    suspects: int = 0
    reports_waiting: int = 0
    reports_dropped: int = 0
    upstreams_resting: int = 0
    limits: dict[str, LimitTotals] = {}
    retries: dict[str, RetryTotals] = {}
    clients: dict[str, int] = {}


class GatewayMetrics:
    """Counters, histograms and gauges of a gateway."""

    def __init__(self, instance: str) -> None:
        labels = {"instance": instance}
        registry = self._registry = Registry()
        self._requests = Counter(
            "finchway_gateway_requests_total", "Requests by outcome", labels, registry
        )
        self._attempts = Counter(
            "finchway_gateway_attempts_total", "Attempts at upstreams by result", labels, registry
        )
        self._retries_denied = Counter(
            "finchway_gateway_repeats_denied_total", "Attempts not repeated", labels, registry
        )
        self._retries_granted = Counter(
            "finchway_gateway_repeats_total", "Repeats admitted by the budget", labels, registry
        )
        self._crashes = Counter(
            "finchway_gateway_upstreams_ended_total",
            "Upstreams that ended under a request, by request",
            labels,
            registry,
        )
        self._quarantined = Counter(
            "finchway_gateway_requests_quarantined_total",
            "Requests refused since upstreams end under them",
            labels,
            registry,
        )
        self._pushback = Counter(
            "finchway_gateway_asked_total",
            "Answers of upstreams that ask something, by what they ask; unreadable ones too",
            labels,
            registry,
        )
        self._polls = Counter(
            "finchway_gateway_feeds_total", "Questions to replicas by outcome", labels, registry
        )
        self._poll_latency = Histogram(
            "finchway_gateway_feed_transit_seconds",
            "Time from a question to its answer, less what the replica waited for news",
            labels,
            registry,
            buckets=POLL_LATENCY_BUCKETS_S,
        )
        self._latency = Histogram(
            "finchway_gateway_latency_seconds",
            "Time from a request's head to its answer",
            labels,
            registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._reach_checks = Counter(
            "finchway_gateway_reach_checks_total",
            "Connections made to find out whether upstreams are in reach, by result",
            labels,
            registry,
        )
        self._left = Counter(
            "finchway_gateway_callers_left_total",
            "Connections that their callers had closed before they were accepted",
            labels,
            registry,
        )
        self._state = Gauge("finchway_gateway_state", "State by name", labels, registry)
        self._upstreams = Gauge(
            "finchway_gateway_upstreams", "Upstreams by state", labels, registry
        )
        self._limits = Gauge(
            "finchway_gateway_limits",
            "Upstreams that name a limit, the requests a second that they take, and the part here",
            labels,
            registry,
        )
        self._retries = Gauge(
            "finchway_gateway_repeat_budget",
            "Repeats granted within the budget's window, and those that it still admits",
            labels,
            registry,
        )

    def count_request(self, service: str, priority: int, status: int, seconds: float) -> None:
        """Count an answered request and its latency."""
        labels = {"service": service, "priority": str(priority)}
        self._requests.inc({**labels, "status": str(status)})
        self._latency.observe(labels, seconds)

    def count_attempt(self, service: str, result: str) -> None:
        """Count an attempt at an upstream."""
        self._attempts.inc({"service": service, "result": result})

    def count_crash(self, service: str) -> None:
        """Count a request during which an upstream crashed."""
        self._crashes.inc({"service": service})

    def count_quarantined(self, service: str) -> None:
        """Count a request that was refused because it is quarantined."""
        self._quarantined.inc({"service": service})

    def count_pushback(self, service: str, what: str) -> None:
        """Count an answer that carries pushback for this gateway."""
        self._pushback.inc({"service": service, "what": what})

    def count_poll(self, transit_s: float | None) -> None:
        """Count a poll of a replica and its transit time; None if it was given up."""
        if transit_s is None:
            self._polls.inc({"outcome": "given-up"})
            return
        self._polls.inc({"outcome": "answered"})
        self._poll_latency.observe({}, transit_s)

    def count_reach_check(self, is_connected: bool) -> None:
        """Count a connection made to find out whether upstreams are in reach."""
        self._reach_checks.inc({"result": "connected" if is_connected else "failed"})

    def count_left(self) -> None:
        """Count a connection that its caller had closed before it was accepted."""
        self._left.inc({})

    def count_retry_granted(self, service: str) -> None:
        """Count a retry that the budget admitted."""
        self._retries_granted.inc({"service": service})

    def count_retry_denied(self, service: str, reason: str) -> None:
        """Count a retry that was not made."""
        self._retries_denied.inc({"service": service, "reason": reason})

    def render(self, state: GatewayState) -> bytes:
        """Return all metrics in the Prometheus text format."""
        gauges = {
            "revision": state.revision,
            "feed_age_seconds": state.feed_age_s,
            "known_age_seconds": state.known_age_s if isfinite(state.known_age_s) else -1.0,
            "upstreams_reached_age_seconds": (
                state.contact_age_s if isfinite(state.contact_age_s) else -1.0
            ),
            "upstreams_out_of_reach": int(state.is_cut_off),
            "loop_lag_seconds": state.loop_lag_s,
            "requests_in_flight": state.in_flight,
            "connections": state.connections,
            "upstream_connections_opened": state.upstream_connections_opened,
            "gateways": state.gateways,
            "log_lines_dropped": state.log_lines_dropped,
            "suspect_requests": state.suspects,
            "reports_waiting": state.reports_waiting,
            "reports_dropped": state.reports_dropped,
            "upstreams_resting": state.upstreams_resting,
        }
        for name, value in (gauges | state.clients).items():
            self._state.set({"name": name}, value)
        for name, count in state.upstreams.items():
            self._upstreams.set({"state": name}, count)
        for service, totals in state.limits.items():
            self._limits.set({"service": service, "what": "upstreams"}, totals.upstreams)
            self._limits.set({"service": service, "what": "named"}, totals.named)
            self._limits.set({"service": service, "what": "part"}, totals.part)
        for service, retries in state.retries.items():
            self._retries.set({"service": service, "what": "granted"}, retries.granted)
            self._retries.set({"service": service, "what": "left"}, retries.left)
        content, _ = render(self._registry, ["text/plain"])
        return content
