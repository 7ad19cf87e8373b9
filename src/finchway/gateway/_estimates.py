"""Estimates the service time and the overload of a service from its answers."""

from __future__ import annotations

# The weights make the estimate follow a low percentile of the response times, since longer ones
# include queueing or were for cold keys.
SERVICE_TIME_WEIGHT_UP = 0.005
SERVICE_TIME_WEIGHT_DOWN = 0.05
# Fraction of late answers above which a service counts as overloaded, and the weight of one answer.
OVERLOAD_LATE_FRACTION = 0.3
LATE_FRACTION_WEIGHT = 0.02
# Multiple of the service time from which an answer for a warm key is slow.
SLOW_FACTOR = 3.5
# Multiple of the service time from which an answer was most likely for a cold key.
COLD_KEY_FACTOR = 2.2


class ServiceEstimate:
    """The estimates of one service.

    Initially the service time is the route's target latency, and the service counts as overloaded.
    """

    __slots__ = ("_late_fraction", "_service_time", "_target_latency")

    def __init__(self, target_latency: float) -> None:
        self._service_time = target_latency
        self._target_latency = target_latency
        self._late_fraction = 1.0

    @property
    def service_time(self) -> float:
        """Seconds that an upstream takes for a request with a warm key, without queueing."""
        return self._service_time

    @property
    def is_overloaded(self) -> bool:
        """Whether so many answers are late that load reports are stale."""
        return self._late_fraction > OVERLOAD_LATE_FRACTION

    @property
    def slow_after(self) -> float:
        """Seconds after which an answer for a warm key is slow.

        An answer within the target latency never is. Delays of a busy machine are many times the
        service time of upstreams that take a few milliseconds.
        """
        return max(SLOW_FACTOR * self._service_time, self._target_latency)

    @property
    def cold_key_after(self) -> float:
        """Seconds after which an answer was most likely for a cold key."""
        return COLD_KEY_FACTOR * self._service_time

    def record_answer(self, seconds: float, target_latency: float) -> None:
        """Update the estimates from a successful answer."""
        self._target_latency = target_latency
        weight = (
            SERVICE_TIME_WEIGHT_UP if seconds > self._service_time else SERVICE_TIME_WEIGHT_DOWN
        )
        self._service_time += weight * (seconds - self._service_time)
        self._record_late(seconds > target_latency)

    def record_timeout(self) -> None:
        """Count an attempt that reached its deadline as late."""
        self._record_late(True)

    def _record_late(self, is_late: bool) -> None:
        self._late_fraction += LATE_FRACTION_WEIGHT * (is_late - self._late_fraction)
