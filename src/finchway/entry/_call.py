"""One caller's request on its way through an entry, and the ways that it can end."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Protocol

from msgspec import Struct

from finchway.policy import Outcome, Refusal
from finchway.pushback import ASKED_NOTHING, Asked

Headers = list[tuple[bytes, bytes]]


class Call(Struct):
    """A request as the entry took it from its caller; `deadline` is on the entry's clock."""

    service: str
    organisation: str
    priority: str
    rank: int
    method: str
    target: str
    headers: Headers
    client: str
    home: str
    arrived: float
    deadline: float
    key: str = ""


class Body(Protocol):
    """The caller's body; it can be sent again only while all of it is held."""

    @property
    def is_whole(self) -> bool:
        """Whether the whole body is held in memory."""

    @property
    def held(self) -> bytes:
        """What is held in memory."""

    def stream(self) -> AsyncIterator[bytes]:
        """Yield the body from its start, at most once beyond what is held."""


class Answer(Struct):
    """An upstream's answer: what is held so far, and the rest if there is more."""

    status: int
    headers: Headers
    held: bytes
    rest: AsyncIterator[bytes] | None = None
    upstream: str = ""
    region: str = ""


class Facts(Struct, frozen=True):
    """What an upstream said of itself along with an answer, and what it asked for."""

    incarnation: str = ""
    load: float | None = None
    not_run: bool = False
    asked: Asked = ASKED_NOTHING


class CallError(Exception):
    """A request that ended without an answer of an upstream."""

    def __init__(
        self, kind: str, status: int, outcome: Outcome, detail: str, retry_after_s: float = 0.0
    ) -> None:
        super().__init__(detail)
        self.kind = kind
        self.status = status
        self.outcome = outcome
        self.detail = detail
        self.retry_after_s = retry_after_s


def refused(refusal: Refusal) -> CallError:
    """Turn a refusal of the gate into the error that the caller sees."""
    return CallError("refused", 503, Outcome.NOT_RUN, refusal.reason, refusal.retry_after_s)


class UpstreamError(Exception):
    """An attempt at an upstream failed; `outcome` says what is known of the request.

    `was_sent` tells whether the upstream may have had it at all.
    """

    def __init__(
        self, outcome: Outcome, detail: str, healthy: bool = False, was_sent: bool = True
    ) -> None:
        super().__init__(detail)
        self.outcome = outcome
        self.detail = detail
        self.healthy = healthy
        self.was_sent = was_sent
