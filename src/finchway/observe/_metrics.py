"""Prometheus metrics of a process."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.renderer import render
from hdrh.histogram import HdrHistogram

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 120_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Counters, gauges and latency histograms of a process.

    `more_state` returns gauges by name, which are read when the metrics are rendered.
    """

    def __init__(self, instance: str, more_state: Callable[[], Mapping[str, float]] = dict) -> None:
        self._more_state = more_state
        labels = {"instance": instance}
        registry = self._registry = Registry()
        self._requests = Counter("finchway_requests_total", "Requests by outcome", labels, registry)
        self._retries = Counter("finchway_retries_total", "Retries by service", labels, registry)
        self._pushback = Counter(
            "finchway_asked_total",
            "Answers of upstreams that ask something, by what they ask; unreadable ones too",
            labels,
            registry,
        )
        self._steering_answers = Counter(
            "finchway_steers_total", "Steering answers", labels, registry
        )
        self._connection_failures = Counter(
            "finchway_connection_failures_total",
            "Connections of callers that ended by an error of their own",
            labels,
            registry,
        )
        self._left = Counter(
            "finchway_callers_left_total",
            "Connections that their callers had closed before they were accepted",
            labels,
            registry,
        )
        self._state = Gauge("finchway_state", "State by name", labels, registry)
        self._latency_gauge = Gauge(
            "finchway_latency_seconds", "Latency by quantile", labels, registry
        )
        self._latency: dict[tuple[str, str], HdrHistogram] = {}

    def count_request(self, service: str, priority: str, outcome: str, seconds: float) -> None:
        """Count an answered request and its latency."""
        self._requests.inc({"service": service, "priority": priority, "outcome": outcome})
        histogram = self._latency.get((service, priority))
        if histogram is None:
            histogram = HdrHistogram(_MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
            self._latency[service, priority] = histogram
        histogram.record_value(max(_MIN_LATENCY_US, min(_MAX_LATENCY_US, int(seconds * 1e6))))

    def count_retry(self, service: str) -> None:
        self._retries.inc({"service": service})

    def count_pushback(self, service: str, what: str) -> None:
        """Count an answer that carries pushback for this entry."""
        self._pushback.inc({"service": service, "what": what})

    def count_connection_failure(self) -> None:
        """Count a caller's connection that was closed by an error."""
        self._connection_failures.inc({})

    def count_left(self) -> None:
        """Count a connection that its caller had closed before it was accepted."""
        self._left.inc({})

    def count_steering_answer(self, service: str) -> None:
        self._steering_answers.inc({"service": service})

    def set_state(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge such as the applied revision or the requests in flight."""
        self._state.set({"name": name, **labels}, value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for name, value in self._more_state().items():
            self.set_state(name, value)
        for (service, priority), histogram in self._latency.items():
            for quantile in _QUANTILES:
                labels = {
                    "service": service,
                    "priority": priority,
                    "quantile": str(quantile / 100),
                }
                seconds = histogram.get_value_at_percentile(quantile) / 1e6
                self._latency_gauge.set(labels, seconds)
        content, _ = render(self._registry, ["text/plain"])
        return content
