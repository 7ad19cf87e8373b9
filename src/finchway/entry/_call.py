"""A caller's request as an entry handles it, the upstream's response, and the errors."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Protocol

from msgspec import Struct

from finchway.policy import Outcome, Refusal
from finchway.pushback import NO_PUSHBACK, Pushback

Headers = list[tuple[bytes, bytes]]


class Call(Struct):
    """A request received from a caller; `arrived` and `deadline` are on the entry's clock."""

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
    """A request body; it can be sent again only if all of it is buffered."""

    @property
    def is_whole(self) -> bool:
        """Whether the whole body is buffered."""

    @property
    def held(self) -> bytes:
        """The buffered part of the body."""

    def stream(self) -> AsyncIterator[bytes]:
        """Yield the body from its start; the part that is not buffered can be read only once."""


class Answer(Struct):
    """An upstream's response: the buffered part of its body, and a stream of the remainder."""

    status: int
    headers: Headers
    held: bytes
    rest: AsyncIterator[bytes] | None = None
    upstream: str = ""
    region: str = ""


class ResponseMetadata(Struct, frozen=True):
    """What a response's headers report about the upstream, and what they request of the sender."""

    incarnation: str = ""
    load: float | None = None
    not_run: bool = False
    pushback: Pushback = NO_PUSHBACK


class CallError(Exception):
    """A request failed; its caller receives an error response from finchway itself."""

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
    """Convert a refusal by admission control to the caller's error."""
    return CallError("refused", 503, Outcome.NOT_RUN, refusal.reason, refusal.retry_after_s)


class UpstreamError(Exception):
    """An attempt at an upstream failed; `outcome` states whether the request may have run.

    `healthy` means that the failure does not count against the upstream. `was_sent` is false only
    if no part of the request was sent.
    """

    def __init__(
        self, outcome: Outcome, detail: str, healthy: bool = False, was_sent: bool = True
    ) -> None:
        super().__init__(detail)
        self.outcome = outcome
        self.detail = detail
        self.healthy = healthy
        self.was_sent = was_sent
