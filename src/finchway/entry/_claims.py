"""An entry's claims on idempotency keys, which are replicated by control.

A request is dispatched only after its claim is granted. Afterwards the claim is settled in the
background with retries until the leader confirms it. `not-run` is reported to the caller only
after the release is committed.
"""

from __future__ import annotations

import hashlib
import itertools
import logging
from collections.abc import Awaitable, Callable

import msgspec
import trio
from msgspec import Struct

from finchway._clock import WALL_CLOCK
from finchway.entry._call import Answer, Call, CallError
from finchway.exceptions import FinchwayError
from finchway.policy import Outcome
from finchway.state import (
    AnyCommand,
    AnyResult,
    Claimed,
    ClaimKey,
    ClaimState,
    SettleClaim,
    attempt_id,
)

_LOG = logging.getLogger(__name__)
MAX_STORED_BYTES = 65_536
_SETTLE_RETRY_INTERVAL_S = 0.5
_SUBMIT_TIMEOUT_S = 1.0

Submit = Callable[[AnyCommand, float], Awaitable[AnyResult]]


class StoredAnswer(Struct, frozen=True):
    """A response stored with its claim; `complete` is false if it was too large to be stored."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    upstream: str
    region: str
    complete: bool = True


class ClaimClient:
    """Claims idempotency keys for one incarnation of an entry."""

    def __init__(self, holder: str, submit: Submit, nursery: trio.Nursery) -> None:
        self._holder = holder
        self._submit = submit
        self._nursery = nursery
        self._unsettled = 0
        self._numbers = itertools.count(1)

    @property
    def unsettled(self) -> int:
        """The number of claims whose settlement is not confirmed yet."""
        return self._unsettled

    async def claim(self, call: Call, body: bytes, retain_s: float) -> str | Answer:
        """Return the id of the attempt that may run, or the stored response of an earlier one.

        Raises `CallError` if the key is in use, has an unknown outcome, has expired or belongs to
        a different request, or if no quorum grants the claim in time. Nothing is dispatched then.
        """
        attempt = attempt_id(self._holder, next(self._numbers))
        command = ClaimKey(
            now_ms=WALL_CLOCK.now_ms(),
            service=call.service,
            organisation=call.organisation,
            key=call.key,
            digest=_digest(call, body),
            attempt=attempt,
            holder=self._holder,
            retain_s=retain_s,
        )
        result = None
        try:
            result = await self._submit_until(command, call.deadline)
        finally:
            if result is None:
                # A copy of the command may still be applied, and would leave the key open.
                self._nursery.start_soon(self._settle, call, attempt, ClaimState.RELEASED, b"")
        if result is None:
            detail = "the key could not be claimed in time"
            raise CallError("claim-unavailable", 503, Outcome.NOT_RUN, detail, 1.0)
        return _interpret_claim(result, attempt)

    async def _submit_until(self, command: ClaimKey, deadline: float) -> AnyResult | None:
        """Submit a claim until there is a result; None if there is none by the deadline."""
        while (left := deadline - trio.current_time()) > 0:
            try:
                return await self._submit(command, min(_SUBMIT_TIMEOUT_S, left))
            except FinchwayError as error:
                _LOG.debug("claim not granted yet: %s", error)
                await trio.sleep(0.02)
        return None

    async def release(self, call: Call, attempt: str) -> bool:
        """Release the claim of an attempt that did not run; return whether that is confirmed.

        The wait is limited, so that the caller is not held until its deadline; an unconfirmed
        release continues in the background.
        """
        done = trio.Event()
        self._nursery.start_soon(self._settle, call, attempt, ClaimState.RELEASED, b"", done)
        with trio.move_on_after(_SUBMIT_TIMEOUT_S):
            await done.wait()
        return done.is_set()

    async def complete(self, call: Call, attempt: str, answer: Answer, body: bytes | None) -> None:
        """Store the response in the background; `body` is None if it was too large."""
        stored = StoredAnswer(
            answer.status,
            answer.headers,
            body or b"",
            answer.upstream,
            answer.region,
            body is not None,
        )
        encoded = msgspec.msgpack.encode(stored)
        self._nursery.start_soon(self._settle, call, attempt, ClaimState.DONE, encoded)

    def mark_unknown(self, call: Call, attempt: str) -> None:
        """Record in the background that the attempt may or may not have run."""
        self._nursery.start_soon(self._settle, call, attempt, ClaimState.UNKNOWN, b"")

    async def _settle(
        self,
        call: Call,
        attempt: str,
        outcome: ClaimState,
        answer: bytes,
        done: trio.Event | None = None,
    ) -> None:
        self._unsettled += 1
        while True:
            command = SettleClaim(
                now_ms=WALL_CLOCK.now_ms(),
                service=call.service,
                organisation=call.organisation,
                key=call.key,
                attempt=attempt,
                outcome=outcome,
                answer=answer,
            )
            try:
                await self._submit(command, _SUBMIT_TIMEOUT_S)
                break
            except FinchwayError as error:
                _LOG.debug("claim not settled yet: %s", error)
                await trio.sleep(_SETTLE_RETRY_INTERVAL_S)
        self._unsettled -= 1
        if done is not None:
            done.set()


def _interpret_claim(result: AnyResult, attempt: str) -> str | Answer:
    if not isinstance(result, Claimed):
        raise CallError("internal", 500, Outcome.NOT_RUN, f"unexpected {type(result).__name__}")
    if result.granted:
        return attempt
    if result.mismatch:
        detail = "this Idempotency-Key was used for another request"
        raise CallError("key-reused", 422, Outcome.NOT_RUN, detail)
    if result.expired:
        detail = "the record of this Idempotency-Key has expired"
        raise CallError("key-expired", 422, Outcome.UNKNOWN, detail)
    match result.state:
        case ClaimState.RELEASED:
            detail = "the key was not claimed: this attempt, or this entry, counts as ended"
            raise CallError("claim-unavailable", 503, Outcome.NOT_RUN, detail, 1.0)
        case ClaimState.DONE:
            return _decode_answer(result.answer)
        case ClaimState.CLAIMED:
            detail = "an earlier attempt with this key is still running"
            raise CallError("in-progress", 409, Outcome.UNKNOWN, detail, 1.0)
    detail = "an earlier attempt with this key may have run; it is not run again"
    raise CallError("unknown", 409, Outcome.UNKNOWN, detail)


def _decode_answer(encoded: bytes) -> Answer:
    stored = msgspec.msgpack.decode(encoded, type=StoredAnswer)
    if not stored.complete:
        detail = "the request ran; its answer was too large to be kept"
        raise CallError("answer-not-kept", 409, Outcome.RAN, detail)
    headers = [*stored.headers, (b"finchway-replayed", b"1")]
    return Answer(stored.status, headers, stored.body, None, stored.upstream, stored.region)


def _digest(call: Call, body: bytes) -> str:
    text = f"{call.method}\n{call.target}\n".encode()
    return hashlib.sha256(text + body).hexdigest()
