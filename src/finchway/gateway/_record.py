"""What a gateway knows of one upstream: its words, its load, how requests to it went."""

from __future__ import annotations

from finchway.gateway._connection import UpstreamConnection
from finchway.policy import Pacer, Standing
from finchway.registry import Registration

# Seconds for which a report of load says more than the requests under way from here.
REPORT_GOOD_FOR_S = 2.0
# Seconds that an upstream is left out after a failure; each in a row doubles it, up to the longest.
FIRST_REST_S = 0.5
LONGEST_REST_S = 4.0
# Seconds that an upstream is left out after it refused or broke off: about one request's work.
SHED_REST_S = 0.1
# Requests in a row that may run out of time before that counts as a failure.
DARK_AFTER = 3
# Seconds for which an upstream is taken to remember a key that it has answered: several times as
# long as a region's callers take to ask for all their keys.
KEY_REMEMBERED_S = 10.0
# Keys that are noted for each upstream: several times what upstreams were seen to remember.
MOST_KEYS_NOTED = 256


class UpstreamRecord:
    """One life of an upstream."""

    __slots__ = (
        "answered_keys",
        "cold_until",
        "failures",
        "idle",
        "in_flight",
        "in_use",
        "pacer",
        "registration",
        "report_own",
        "reported",
        "reported_at",
        "resting_until",
        "standing",
        "state",
        "unanswered",
        "under_way",
    )

    def __init__(self, registration: Registration) -> None:
        self.registration = registration
        self.in_flight = 0
        self.reported = 0.0
        self.reported_at = float("-inf")
        self.report_own = 0
        self.failures = 0
        self.state = ""
        self.unanswered = 0
        self.resting_until = float("-inf")
        self.cold_until = float("-inf")
        self.pacer: Pacer | None = None
        self.idle: list[UpstreamConnection] = []
        self.in_use: set[UpstreamConnection] = set()
        self.standing = Standing()
        self.answered_keys: dict[str, float] = {}
        self.under_way: dict[str, float] = {}

    def remembers(self, key: str, now: float) -> bool:
        """Tell whether the upstream has answered a request for a key lately."""
        return now - self.answered_keys.get(key, float("-inf")) <= KEY_REMEMBERED_S

    def overdue(self, now: float, seconds: float) -> int:
        """Count the requests for remembered keys that are under way for longer than a time."""
        return sum(now - since > seconds for since in self.under_way.values())

    def note_key(self, key: str, now: float) -> None:
        """Note that the upstream has answered a request for a key."""
        self.answered_keys.pop(key, None)
        self.answered_keys[key] = now
        if len(self.answered_keys) > MOST_KEYS_NOTED:
            del self.answered_keys[next(iter(self.answered_keys))]

    def busy(self, now: float) -> float:
        """Estimate the requests at the upstream: the last report, and what changed here since."""
        if now - self.reported_at > REPORT_GOOD_FOR_S:
            return float(self.in_flight)
        return max(self.reported + self.in_flight - self.report_own, float(self.in_flight))

    def report(self, running: int, waiting: int, now: float) -> None:
        """Take in what an answer says of the upstream's load; the answered request has left."""
        self.reported = float(max(running + waiting - 1, 0))
        self.report_own = max(self.in_flight - 1, 0)
        self.reported_at = now

    def rest(self, now: float, seconds: float) -> None:
        """Leave the upstream out for a while."""
        self.resting_until = max(self.resting_until, now + seconds)

    def fail(self, now: float) -> None:
        """Count a failure; each in a row doubles the rest."""
        self.failures += 1
        self.rest(now, min(LONGEST_REST_S, FIRST_REST_S * 2 ** (self.failures - 1)))

    def leave_unanswered(self, now: float) -> None:
        """Count a request whose time ran out; only several in a row speak against an upstream."""
        self.unanswered += 1
        if self.unanswered >= DARK_AFTER:
            self.unanswered = 0
            self.fail(now)

    def succeed(self) -> None:
        """Count an answer."""
        self.failures = 0
        self.unanswered = 0
        self.resting_until = float("-inf")

    def end(self) -> None:
        """Break off what is under way at a life that is over, and close what is kept."""
        for connection in self.in_use:
            connection.close()
        self.close_idle()

    def close_idle(self) -> None:
        """Close the connections that nothing uses."""
        for connection in self.idle:
            connection.close()
        self.idle = []
