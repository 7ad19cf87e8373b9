"""Claims on idempotency keys: at most one attempt per key is dispatched.

A command may be delivered again late. An attempt that was released or refused, or whose holder has
ended, is over: nobody would act on a grant, and the key would stay open. So such attempts are
remembered, and a late copy of their claims is not granted. Ids without numbers come from entries of
an earlier build, which may act on the grant of a claim that was first refused: of these, only the
released ones are over.

A UUIDv7 key contains its creation time. A key of that form which is older than its retention is
refused, since an earlier record of it may have expired.
"""

from __future__ import annotations

import uuid

from msgspec import Struct, field

from finchway.state._attempts import ENDED_RETENTION_MS, EndedAttempts
from finchway.state._commands import Claimed, ClaimKey, ClaimState, SettleClaim

CLOCK_TOLERANCE_MS = 300_000
# Released attempts that are remembered with a key if their ids have no numbers.
MAX_RELEASED_IDS = 64


class Claim(Struct):
    """The record of a key.

    `digest` identifies the request, `attempt` and `holder` the attempt that owns the claim and the
    entry that made it. `released` are other attempts that were released and whose ids have no
    numbers.
    """

    state: ClaimState
    digest: str
    attempt: str
    holder: str
    expires_ms: int
    retain_s: float
    answer: bytes = b""
    released: list[str] = field(default_factory=list)

    def record_released(self, attempt: str) -> None:
        """Remember an attempt that was released."""
        if attempt not in self.released:
            self.released.append(attempt)
            del self.released[:-MAX_RELEASED_IDS]


def key_time_ms(key: str) -> int | None:
    """Return the creation time of a UUIDv7 key in Unix milliseconds, None for other keys."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return parsed.int >> 80 if parsed.version == 7 else None


class Claims:
    """All claims, by service, organisation and key, and the attempts that have ended."""

    __slots__ = ("_attempts", "_claims")

    def __init__(
        self, claims: dict[str, Claim] | None = None, attempts: EndedAttempts | None = None
    ) -> None:
        self._claims = claims if claims is not None else {}
        self._attempts = attempts or EndedAttempts()

    def __len__(self) -> int:
        return len(self._claims)

    @property
    def records(self) -> dict[str, Claim]:
        """The records by service, organisation and key, joined by newlines, for snapshots."""
        return self._claims

    @property
    def attempts(self) -> EndedAttempts:
        """The attempts that have ended."""
        return self._attempts

    def claim(self, command: ClaimKey, now_ms: int) -> Claimed:
        """Grant the key to the attempt, or return the state of the existing claim.

        An attempt that is refused has ended. The state is RELEASED if it had ended before.
        """
        result = self._decide(command, now_ms)
        if not result.granted:
            self._attempts.end(command.attempt, now_ms)
        return result

    def settle(self, command: SettleClaim, now_ms: int) -> Claimed:
        """Record the outcome of the attempt that holds the claim; others only end.

        A claim in state UNKNOWN may still become DONE, but is never released. A release that
        arrives before its claim leaves a tombstone, so the delayed claim is not granted.
        """
        key = _record_key(command)
        if key not in self._claims and command.outcome is ClaimState.RELEASED:
            self._claims[key] = _tombstone(command.attempt, now_ms)
        record = self._claims.get(key)
        if command.outcome is ClaimState.RELEASED:
            self._end_released(command.attempt, record, now_ms)
        elif command.outcome is not ClaimState.CLAIMED:
            self._attempts.end(command.attempt, now_ms)
        if record is None:
            return Claimed(False, ClaimState.UNKNOWN, "", expired=True)
        if record.attempt != command.attempt:
            return Claimed(False, record.state, record.attempt, record.answer)
        if _is_valid_transition(record.state, command.outcome):
            record.state = command.outcome
            record.answer = command.answer
            record.expires_ms = now_ms + _retention_ms(record, command.outcome)
        return Claimed(record.state is command.outcome, record.state, record.attempt, record.answer)

    def abandon(self, holder: str, now_ms: int) -> int:
        """Mark the open claims of a terminated holder as unknown and return their number.

        Its claims that are still on their way are not granted.
        """
        self._attempts.end_holder(holder, now_ms)
        open_claims = [
            claim
            for claim in self._claims.values()
            if claim.holder == holder and claim.state is ClaimState.CLAIMED
        ]
        for claim in open_claims:
            claim.state = ClaimState.UNKNOWN
        return len(open_claims)

    def expire(self, now_ms: int) -> int:
        """Delete the expired records, except open claims, and return their number."""
        expired = [
            key
            for key, claim in self._claims.items()
            if claim.expires_ms <= now_ms and claim.state is not ClaimState.CLAIMED
        ]
        for key in expired:
            del self._claims[key]
        self._attempts.expire(now_ms)
        return len(expired)

    def _decide(self, command: ClaimKey, now_ms: int) -> Claimed:
        key = _record_key(command)
        record = self._claims.get(key)
        if record is None and _may_have_expired(command, now_ms):
            return Claimed(False, ClaimState.UNKNOWN, "", expired=True)
        if record is None or record.state is ClaimState.RELEASED:
            if self._has_ended(command, record):
                return Claimed(False, ClaimState.RELEASED, command.attempt)
            return self._grant(key, command, record, now_ms)
        if record.digest != command.digest:
            return Claimed(False, record.state, record.attempt, mismatch=True)
        granted = record.state is ClaimState.CLAIMED and record.attempt == command.attempt
        return Claimed(granted, record.state, record.attempt, record.answer)

    def _has_ended(self, command: ClaimKey, record: Claim | None) -> bool:
        if self._attempts.has_ended(command.attempt, command.holder):
            return True
        return record is not None and command.attempt in (record.attempt, *record.released)

    def _end_released(self, attempt: str, record: Claim, now_ms: int) -> None:
        """Record that an attempt was released, with its key if the id has no number."""
        if not self._attempts.end(attempt, now_ms) and attempt != record.attempt:
            record.record_released(attempt)

    def _grant(self, key: str, command: ClaimKey, previous: Claim | None, now_ms: int) -> Claimed:
        claim = Claim(
            ClaimState.CLAIMED,
            command.digest,
            command.attempt,
            command.holder,
            now_ms + int(command.retain_s * 1000),
            command.retain_s,
        )
        if previous is not None:
            claim.released = previous.released
            self._end_released(previous.attempt, claim, now_ms)
        self._claims[key] = claim
        return Claimed(True, ClaimState.CLAIMED, command.attempt)


def _tombstone(attempt: str, now_ms: int) -> Claim:
    """Return the record of a release that arrives before its claim."""
    return Claim(
        ClaimState.RELEASED,
        "",
        attempt,
        "",
        now_ms + ENDED_RETENTION_MS,
        ENDED_RETENTION_MS / 1000,
    )


def _retention_ms(record: Claim, outcome: ClaimState) -> int:
    """Return how long a record is kept; a release for as long as a delayed claim may come."""
    retain_ms = int(record.retain_s * 1000)
    return max(retain_ms, ENDED_RETENTION_MS) if outcome is ClaimState.RELEASED else retain_ms


def _record_key(command: ClaimKey | SettleClaim) -> str:
    return f"{command.service}\n{command.organisation}\n{command.key}"


def _may_have_expired(command: ClaimKey, now_ms: int) -> bool:
    created_ms = key_time_ms(command.key)
    oldest_retained_ms = now_ms - int(command.retain_s * 1000) + CLOCK_TOLERANCE_MS
    return (
        created_ms is not None
        and command.retain_s * 1000 > CLOCK_TOLERANCE_MS
        and created_ms < oldest_retained_ms
    )


def _is_valid_transition(state: ClaimState, outcome: ClaimState) -> bool:
    match state:
        case ClaimState.CLAIMED:
            return outcome is not ClaimState.CLAIMED
        case ClaimState.UNKNOWN:
            return outcome is ClaimState.DONE
    return False
