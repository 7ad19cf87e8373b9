"""Estimates the service time and the overload of a service from its answers.

A gateway of a large fleet sees few answers, and gateways with different estimates place the same
key in different regions. Therefore each one reports its own estimate, and all of them use the
median of the fleet.
"""

from __future__ import annotations

from collections import deque

# Weight of the answers above the estimate against those below it. The small weight makes it a low
# expectile of the response times, since longer ones include queueing or were for cold keys.
WEIGHT_ABOVE = 0.1
# Service time that is assumed without answers, where the target latency tells nothing of it.
DEFAULT_SERVICE_TIME_S = 0.1
# A shorter target latency asks for answers as fast as possible: all are late, and none is refused
# for that.
MIN_TARGET_LATENCY_S = 0.001
# No estimate is shorter, since rates are divided by it.
MIN_SERVICE_TIME_S = 0.0001
# Answers that the estimate is based on, by number and by age in seconds.
MAX_ANSWERS = 100
ANSWER_WINDOW_S = 10.0
# Multiple of the service time that an answer counts at most in the mean, so that a few that queued
# for long do not make a region pass its requests on.
MAX_MEAN_FACTOR = 4.0
# Answers from which an estimate is reported to the other gateways.
MIN_REPORTED_ANSWERS = 3
# Fraction of late answers above which a service counts as overloaded, and the weight of one answer.
OVERLOAD_LATE_FRACTION = 0.3
LATE_FRACTION_WEIGHT = 0.02
# Multiple of the service time from which an answer for a warm key is slow. An answer for a cold key
# takes about 3.4 times as long on all known sites.
SLOW_FACTOR = 3.5
# Multiple of the service time from which an answer was most likely for a cold key: half way, by
# ratio, between a warm and a cold one.
COLD_KEY_FACTOR = 2.2


class ServiceEstimate:
    """The estimates of one service.

    Until there are answers, the service time is the route's target latency, or a default if that
    is about 0, and the service counts as overloaded.
    """

    __slots__ = (
        "_answers",
        "_fleet_time",
        "_home_answers",
        "_late_fraction",
        "_own_time",
        "_target_latency",
    )

    def __init__(self, target_latency: float) -> None:
        self._answers: deque[tuple[float, float]] = deque(maxlen=MAX_ANSWERS)
        self._home_answers: deque[tuple[float, float]] = deque(maxlen=MAX_ANSWERS)
        self._own_time = (
            target_latency if _is_attainable(target_latency) else DEFAULT_SERVICE_TIME_S
        )
        self._fleet_time: float | None = None
        self._target_latency = target_latency
        self._late_fraction = 1.0

    @property
    def service_time(self) -> float:
        """Seconds that an upstream takes for a request with a warm key, without queueing."""
        return self._own_time if self._fleet_time is None else self._fleet_time

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
        return max(SLOW_FACTOR * self.service_time, self._target_latency)

    @property
    def cold_key_after(self) -> float:
        """Seconds after which an answer was most likely for a cold key."""
        return COLD_KEY_FACTOR * self.service_time

    def late_after(self, target_latency: float) -> float:
        """Return the seconds after which an answer of a route is late, as a sign of load.

        Where no answer can be on time, only one that is slow for the service is such a sign.
        """
        return target_latency if _is_attainable(target_latency) else self.slow_after

    def record_answer(
        self, seconds: float, target_latency: float, now: float, is_home: bool
    ) -> None:
        """Update the estimates from a successful answer, of the home region or another one."""
        self._target_latency = target_latency
        self._answers.append((now, seconds))
        if is_home:
            self._home_answers.append((now, seconds))
        self._drop_old(now)
        expectile = low_expectile([seconds for _, seconds in self._answers])
        self._own_time = max(expectile, MIN_SERVICE_TIME_S)
        self._record_late(seconds > self.late_after(target_latency))

    def record_timeout(self) -> None:
        """Count an attempt that reached its deadline as late."""
        self._record_late(True)

    def use_fleet_time(self, seconds: float | None) -> None:
        """Use the estimate of all gateways, or this gateway's own if there is none."""
        self._fleet_time = seconds

    def reported_time(self, now: float) -> float:
        """Return this gateway's own estimate for the other ones; 0 if it has too few answers."""
        self._drop_old(now)
        return self._own_time if len(self._answers) >= MIN_REPORTED_ANSWERS else 0.0

    def reported_mean(self, now: float) -> float:
        """Return the mean time of the home region's answers; 0 if there are too few.

        Unlike the service time, it includes requests for cold keys and short queues.
        """
        self._drop_old(now)
        if len(self._home_answers) < MIN_REPORTED_ANSWERS:
            return 0.0
        most = MAX_MEAN_FACTOR * self.service_time
        return sum(min(seconds, most) for _, seconds in self._home_answers) / len(
            self._home_answers
        )

    def _drop_old(self, now: float) -> None:
        for answers in (self._answers, self._home_answers):
            while answers and answers[0][0] < now - ANSWER_WINDOW_S:
                answers.popleft()

    def _record_late(self, is_late: bool) -> None:
        self._late_fraction += LATE_FRACTION_WEIGHT * (is_late - self._late_fraction)


def _is_attainable(target_latency: float) -> bool:
    return target_latency >= MIN_TARGET_LATENCY_S


def low_expectile(values: list[float]) -> float:
    """Return the value at which weighted distances to the values above and below are equal.

    Distances to values above count `WEIGHT_ABOVE` times.

    low_expectile([1.0, 2.0])
    # 1.09
    """
    ordered = sorted(values)
    total = sum(ordered)
    below = 0.0
    for count, value in enumerate(ordered, 1):
        below += value
        above_count = len(ordered) - count
        weight = count + WEIGHT_ABOVE * above_count
        expectile = (below + WEIGHT_ABOVE * (total - below)) / weight
        if above_count == 0 or expectile <= ordered[count]:
            return expectile
    raise ValueError("no values")
