"""Claims on idempotency keys: at most one attempt per key is dispatched.

A UUIDv7 key contains its creation time. A key of that form which is older than its retention is
refused, since an earlier record of it may have expired.
"""

from __future__ import annotations

import uuid

from msgspec import Struct

from finchway.state._commands import Claimed, ClaimKey, ClaimState, SettleClaim

CLOCK_TOLERANCE_MS = 300_000
TOMBSTONE_RETENTION_MS = 3_600_000


class Claim(Struct):
    """The record of a key.

    `digest` identifies the request, `attempt` and `holder` the attempt that owns the claim and the
    entry that made it.
    """

    state: ClaimState
    digest: str
    attempt: str
    holder: str
    expires_ms: int
    retain_s: float
    answer: bytes = b""


def key_time_ms(key: str) -> int | None:
    """Return the creation time of a UUIDv7 key in Unix milliseconds, None for other keys."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return parsed.int >> 80 if parsed.version == 7 else None


class Claims:
    """All claims, by service, organisation and key."""

    __slots__ = ("_claims",)

    def __init__(self, claims: dict[str, Claim] | None = None) -> None:
        self._claims = claims if claims is not None else {}

    def __len__(self) -> int:
        return len(self._claims)

    @property
    def records(self) -> dict[str, Claim]:
        """The records by service, organisation and key, joined by newlines, for snapshots."""
        return self._claims

    def claim(self, command: ClaimKey, now_ms: int) -> Claimed:
        """Grant the key to the attempt, or return the state of the existing claim."""
        key = _record_key(command)
        record = self._claims.get(key)
        if record is None:
            if _may_have_expired(command, now_ms):
                return Claimed(False, ClaimState.UNKNOWN, "", expired=True)
            return self._grant(key, command, now_ms)
        if record.state is ClaimState.RELEASED:
            if record.attempt == command.attempt:
                return Claimed(False, record.state, record.attempt)
            return self._grant(key, command, now_ms)
        if record.digest != command.digest:
            return Claimed(False, record.state, record.attempt, mismatch=True)
        granted = record.state is ClaimState.CLAIMED and record.attempt == command.attempt
        return Claimed(granted, record.state, record.attempt, record.answer)

    def settle(self, command: SettleClaim, now_ms: int) -> Claimed:
        """Record the outcome of the attempt that holds the claim; ignores other attempts.

        A claim in state UNKNOWN may still become DONE, but is never released. A release that
        arrives before its claim leaves a tombstone, so the delayed claim is not granted.
        """
        record = self._claims.get(_record_key(command))
        if record is None and command.outcome is ClaimState.RELEASED:
            record = self._claims[_record_key(command)] = Claim(
                ClaimState.RELEASED,
                "",
                command.attempt,
                "",
                now_ms + TOMBSTONE_RETENTION_MS,
                TOMBSTONE_RETENTION_MS / 1000,
            )
        if record is None:
            return Claimed(False, ClaimState.UNKNOWN, "", expired=True)
        if record.attempt != command.attempt:
            return Claimed(False, record.state, record.attempt, record.answer)
        if _is_valid_transition(record.state, command.outcome):
            record.state = command.outcome
            record.answer = command.answer
            record.expires_ms = now_ms + int(record.retain_s * 1000)
        return Claimed(record.state is command.outcome, record.state, record.attempt, record.answer)

    def abandon(self, holder: str) -> int:
        """Mark the open claims of a terminated holder as unknown and return their number."""
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
        return len(expired)

    def _grant(self, key: str, command: ClaimKey, now_ms: int) -> Claimed:
        self._claims[key] = Claim(
            ClaimState.CLAIMED,
            command.digest,
            command.attempt,
            command.holder,
            now_ms + int(command.retain_s * 1000),
            command.retain_s,
        )
        return Claimed(True, ClaimState.CLAIMED, command.attempt)


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
