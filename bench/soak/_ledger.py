"""What callers, back ends and the operator saw in one run; times on the steady clock, seconds."""

from __future__ import annotations

from msgspec import Struct

NO_ANSWER = -1


class Sent(Struct, frozen=True):
    """A request that a caller sent to a gateway; `repeatable` tells whether it may run twice.

    `route` names the route that an operator added during the run, where it was for one of these;
    `deadly` names a request that ends each back end which begins to run it.
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

    No status means that the connection ended instead, `NO_ANSWER` that nothing came in time.
    """

    id: str
    at: float
    status: int | None = None
    body: bytes = b""
    complete: bool = False


class Run(Struct, frozen=True):
    """A request that an upstream worked on; `answered` is when its answer was out, if it was."""

    id: str
    instance: str
    zone: str
    at: float
    payload: bytes = b""
    answered: float | None = None


class EndedUnder(Struct, frozen=True):
    """A back end that ended since it began to run a deadly request."""

    deadly: str
    id: str
    at: float


class Arrival(Struct, frozen=True):
    """A request that reached a back end, whether or not it was run there."""

    life: str
    id: str
    at: float


class AskedRest(Struct, frozen=True):
    """A refusal that asked the gateway of a request for rest."""

    life: str
    id: str
    at: float
    until: float


class SaidLeaving(Struct, frozen=True):
    """An answer that told the gateway of a request that the back end leaves."""

    life: str
    id: str
    at: float


class LimitChanged(Struct, frozen=True):
    """A back end names another limit from now on, or none."""

    life: str
    at: float
    rate: float | None


class SaidLimit(Struct, frozen=True):
    """An answer that told the gateway of a request what the back end takes."""

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
    """A process that ended, whether it was told to, and whether it was still starting then."""

    name: str
    at: float
    code: int
    expected: bool
    starting: bool = False


class Ledger:
    """Everything that was seen."""

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
        """Tell whether a caller got an answer, so that its gateway surely had its back end's."""
        answer = self.answers.get(request_id)
        return answer is not None and answer.status not in (None, NO_ANSWER)

    def is_calm(self, target: str, start: float, end: float) -> bool:
        """Tell whether no fault touched a process within a time."""
        return not any(
            fault.target == target and fault.at <= end and fault.until >= start
            for fault in self.faults
        )

    def faulted(self, targets: list[str], start: float, end: float) -> int:
        """Return how many of some processes a fault touched within a time."""
        return sum(not self.is_calm(target, start, end) for target in targets)
