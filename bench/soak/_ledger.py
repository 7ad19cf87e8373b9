"""Observations of callers, upstreams and the operator in one run; times are monotonic seconds."""

from __future__ import annotations

from msgspec import Struct

NO_ANSWER = -1


class Sent(Struct, frozen=True):
    """A request that a caller sent to a gateway; `repeatable` requests may run twice.

    `route` is the route that the request is for if an operator added it during the run, `deadly`
    identifies a request that crashes each upstream that begins to run it.
    """

    id: str
    gateway: str
    repeatable: bool
    at: float
    payload: bytes = b""
    route: str = ""
    deadly: str = ""


class Answer(Struct, frozen=True):
    """How a request ended for its caller.

    Without a status the connection ended; `NO_ANSWER` means that nothing arrived in time.
    """

    id: str
    at: float
    status: int | None = None
    body: bytes = b""
    complete: bool = False


class Run(Struct, frozen=True):
    """A request that an upstream ran; `answered` is the time of its answer, if there was one."""

    id: str
    instance: str
    zone: str
    at: float
    payload: bytes = b""
    answered: float | None = None


class EndedUnder(Struct, frozen=True):
    """An upstream that crashed because it began to run a deadly request."""

    deadly: str
    id: str
    at: float


class Arrival(Struct, frozen=True):
    """A request that reached an upstream, whether or not it ran there."""

    life: str
    id: str
    at: float


class AskedRest(Struct, frozen=True):
    """A refusal that requested a backoff from the gateway of a request."""

    life: str
    id: str
    at: float
    until: float


class SaidLeaving(Struct, frozen=True):
    """An answer that announced to the gateway of a request that the upstream leaves."""

    life: str
    id: str
    at: float


class LimitChanged(Struct, frozen=True):
    """An upstream names another rate limit from now on, or none."""

    life: str
    at: float
    rate: float | None


class SaidLimit(Struct, frozen=True):
    """An answer that told the gateway of a request the upstream's rate limit."""

    life: str
    id: str
    at: float


class Left(Struct, frozen=True):
    """An upstream's leaving, or a zone's evacuation, that was acknowledged."""

    name: str
    at: float
    until: float = float("inf")


class Held(Struct, frozen=True):
    """A version of an item that was acknowledged, with its content."""

    name: str
    version: int
    content: str


class FaultWindow(Struct, frozen=True):
    """A fault as it was carried out."""

    kind: str
    target: str
    at: float
    until: float


class Ended(Struct, frozen=True):
    """A process that ended, whether that was expected, and whether it was still starting."""

    name: str
    at: float
    code: int
    expected: bool
    starting: bool = False


class Ledger:
    """All observations of one run."""

    def __init__(self) -> None:
        self.sent: dict[str, Sent] = {}
        self.answers: dict[str, Answer] = {}
        self.runs: list[Run] = []
        self.ended_under: list[EndedUnder] = []
        self.arrivals: list[Arrival] = []
        self.asked: list[AskedRest] = []
        self.said_leaving: list[SaidLeaving] = []
        self.limits: list[LimitChanged] = []
        self.said_limit: list[SaidLimit] = []
        self.left: list[Left] = []
        self.evacuated: list[Left] = []
        self.acknowledged: list[Held] = []
        self.routes_since: dict[str, float] = {}
        self.offered: list[Held] = []
        self.read_back: list[Held] = []
        self.faults: list[FaultWindow] = []
        self.ended: list[Ended] = []
        self.recovered: dict[str, bool] = {}

    def was_heard(self, request_id: str) -> bool:
        """Return whether a caller got an answer, so that its gateway must have got one."""
        answer = self.answers.get(request_id)
        return answer is not None and answer.status not in (None, NO_ANSWER)

    def is_calm(self, target: str, start: float, end: float) -> bool:
        """Return whether no fault affected a process within a period."""
        return not any(
            fault.target == target and fault.at <= end and fault.until >= start
            for fault in self.faults
        )

    def faulted(self, targets: list[str], start: float, end: float) -> int:
        """Return how many of some processes were affected by faults within a period."""
        return sum(not self.is_calm(target, start, end) for target in targets)
