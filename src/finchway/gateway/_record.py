"""The state that a gateway keeps for one upstream: load, backoff, warm keys, connections."""

from __future__ import annotations

from collections.abc import Collection

from finchway.gateway._connection import UpstreamConnection
from finchway.policy import Pacer, RecentOutcomes
from finchway.registry import Registration

# Seconds after which a load report is stale and only the gateway's own requests count.
LOAD_REPORT_TTL_S = 2.0
# Backoff after a failure; doubles with each consecutive failure up to the maximum.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
# Backoff after a refusal or a broken connection: about the service time of one request.
SHED_BACKOFF_S = 0.1
# Consecutive timeouts that count as one failure.
TIMEOUTS_PER_FAILURE = 3
# Multiple of the time of the latest answer after which an upstream counts as silent.
SILENCE_FACTOR = 2.0
# Seconds for which a key counts as warm at an upstream that has answered a request for it: several
# times as long as a region's callers take to ask for all their keys.
WARM_KEY_TTL_S = 10.0
# Warm keys that are tracked for each upstream: several times what upstreams were seen to remember.
MAX_WARM_KEYS = 256


class UpstreamRecord:
    """The state of one incarnation of an upstream.

    `answer_s` is the time that its latest answer took in seconds: 0 if there is none yet, infinity
    if the latest request failed. `heard_at` is when it last accepted a connection or answered.
    """

    __slots__ = (
        "answer_s",
        "warm_keys",
        "cold_until",
        "failures",
        "heard_at",
        "idle",
        "in_flight",
        "in_use",
        "pacer",
        "registration",
        "in_flight_at_report",
        "reported_load",
        "reported_at",
        "backoff_until",
        "outlier_state",
        "state",
        "timeouts",
        "warm_in_flight",
    )

    def __init__(self, registration: Registration) -> None:
        self.registration = registration
        self.in_flight = 0
        self.reported_load = 0.0
        self.reported_at = float("-inf")
        self.in_flight_at_report = 0
        self.failures = 0
        self.heard_at = float("-inf")
        self.state = ""
        self.timeouts = 0
        self.backoff_until = float("-inf")
        self.cold_until = float("-inf")
        self.pacer: Pacer | None = None
        self.idle: list[UpstreamConnection] = []
        self.in_use: set[UpstreamConnection] = set()
        self.outlier_state = RecentOutcomes()
        self.answer_s = 0.0
        self.warm_keys: dict[str, float] = {}
        self.warm_in_flight: dict[str, float] = {}

    def is_warm(self, key: str, now: float) -> bool:
        """Return whether the upstream has recently answered a request for a key."""
        return now - self.warm_keys.get(key, float("-inf")) <= WARM_KEY_TTL_S

    def overdue(self, now: float, seconds: float) -> int:
        """Return the number of requests for warm keys in flight for longer than `seconds`."""
        return sum(now - since > seconds for since in self.warm_in_flight.values())

    def answers_by(self, deadline: float, patience_s: float, now: float) -> bool:
        """Return whether a request is likely to be answered by a deadline.

        It is not if the latest request failed, if the latest answer took longer than is left, or
        if a request has been waiting for much longer than that answer and than `patience_s`.
        """
        if now + self.answer_s > deadline:
            return False
        return not self.overdue(now, max(SILENCE_FACTOR * self.answer_s, patience_s))

    def record_warm_key(self, key: str, now: float) -> None:
        """Record that the upstream has answered a request for a key."""
        self.warm_keys.pop(key, None)
        self.warm_keys[key] = now
        if len(self.warm_keys) > MAX_WARM_KEYS:
            del self.warm_keys[next(iter(self.warm_keys))]

    def estimated_load(self, now: float) -> float:
        """Estimate the load from the last report and this gateway's own requests since."""
        if now - self.reported_at > LOAD_REPORT_TTL_S:
            return float(self.in_flight)
        return max(
            self.reported_load + self.in_flight - self.in_flight_at_report, float(self.in_flight)
        )

    def record_load(self, running: int, waiting: int, now: float) -> None:
        """Apply the load report in an answer, which includes the answered request itself."""
        self.reported_load = float(max(running + waiting - 1, 0))
        self.in_flight_at_report = max(self.in_flight - 1, 0)
        self.reported_at = now

    def back_off(self, now: float, seconds: float) -> None:
        """Send the upstream no requests for a time."""
        self.backoff_until = max(self.backoff_until, now + seconds)

    def record_failure(self, now: float) -> None:
        """Count a failure; consecutive failures double the backoff."""
        self.failures += 1
        self.back_off(now, min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (self.failures - 1)))

    def record_failed_request(self) -> None:
        """Record a request that got no usable answer."""
        self.outlier_state.record(True)
        self.answer_s = float("inf")

    def record_timeout(self, now: float) -> None:
        """Count a timeout; several consecutive ones count as a failure."""
        self.timeouts += 1
        if self.timeouts >= TIMEOUTS_PER_FAILURE:
            self.timeouts = 0
            self.record_failure(now)

    def record_success(self) -> None:
        """Reset failures, timeouts and backoff after an answer."""
        self.failures = 0
        self.timeouts = 0
        self.backoff_until = float("-inf")

    def forget_failures(self) -> None:
        """Drop all that failed requests seemed to say about the upstream."""
        self.record_success()
        self.outlier_state = RecentOutcomes()
        if self.answer_s == float("inf"):
            self.answer_s = 0.0

    def take_idle(
        self, now: float, excluded: Collection[UpstreamConnection]
    ) -> UpstreamConnection | None:
        """Return the latest usable idle connection that is not excluded; None if there is none."""
        for index in reversed(range(len(self.idle))):
            if self.idle[index] in excluded:
                continue
            connection = self.idle.pop(index)
            if connection.is_usable(now):
                return connection
            connection.close()
        return None

    def has_usable_connection(self, now: float) -> bool:
        """Return whether an idle connection is open and not expired."""
        return any(connection.is_usable(now) for connection in self.idle)

    def close_all(self) -> None:
        """Close all connections, which cancels the requests in flight."""
        for connection in self.in_use:
            connection.close()
        self.close_idle()

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle = []
