"""Claims on idempotency keys: at most one attempt per key ever dispatches.

Keys that are UUIDv7 carry their time of creation. Once a record has been forgotten, an old key of
that form is refused safely, because its own time says that it may have been used before.
"""

from __future__ import annotations

import uuid

from msgspec import Struct

from finchway.state._commands import Claimed, ClaimKey, ClaimState, SettleClaim

CLOCK_TOLERANCE_MS = 300_000
TOMBSTONE_MS = 3_600_000


class Claim(Struct):
    """The record of a key. `digest` covers the request, `expires_ms` is when it is forgotten."""

    state: ClaimState
    digest: str
    attempt: str
    holder: str
    expires_ms: int
    retain_s: float
    answer: bytes = b""


def key_time_ms(key: str) -> int | None:
    """Return when a UUIDv7 key was made, in Unix milliseconds; None for other keys."""
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
        """The records by their joined name, for snapshots."""
        return self._claims

    def claim(self, command: ClaimKey, now_ms: int) -> Claimed:
        """Grant the key to this attempt, or tell how it stands."""
        name = _name(command)
        held = self._claims.get(name)
        if held is None:
            if _too_old(command, now_ms):
                return Claimed(False, ClaimState.UNKNOWN, "", expired=True)
            return self._grant(name, command, now_ms)
        if held.state is ClaimState.RELEASED:
            if held.attempt == command.attempt:
                return Claimed(False, held.state, held.attempt)
            return self._grant(name, command, now_ms)
        if held.digest != command.digest:
            return Claimed(False, held.state, held.attempt, mismatch=True)
        granted = held.state is ClaimState.CLAIMED and held.attempt == command.attempt
        return Claimed(granted, held.state, held.attempt, held.answer)

    def settle(self, command: SettleClaim, now_ms: int) -> Claimed:
        """Record how the attempt ended; only the attempt that holds the claim can say so.

        An attempt given up as unknown may still turn out to be done; it is never released. A
        release that arrives before its own claim leaves a record, so that the late claim of that
        attempt is not granted.
        """
        held = self._claims.get(_name(command))
        if held is None and command.outcome is ClaimState.RELEASED:
            held = self._claims[_name(command)] = Claim(
                ClaimState.RELEASED,
                "",
                command.attempt,
                "",
                now_ms + TOMBSTONE_MS,
                TOMBSTONE_MS / 1000,
            )
        if held is None:
            return Claimed(False, ClaimState.UNKNOWN, "", expired=True)
        if held.attempt != command.attempt:
            return Claimed(False, held.state, held.attempt, held.answer)
        if _may_become(held.state, command.outcome):
            held.state = command.outcome
            held.answer = command.answer
            held.expires_ms = now_ms + int(held.retain_s * 1000)
        return Claimed(held.state is command.outcome, held.state, held.attempt, held.answer)

    def abandon(self, holder: str) -> int:
        """Mark the open claims of a holder that is gone as unknown; returns how many."""
        open_claims = [
            claim
            for claim in self._claims.values()
            if claim.holder == holder and claim.state is ClaimState.CLAIMED
        ]
        for claim in open_claims:
            claim.state = ClaimState.UNKNOWN
        return len(open_claims)

    def expire(self, now_ms: int) -> int:
        """Forget records whose time is over; returns how many."""
        old = [
            name
            for name, claim in self._claims.items()
            if claim.expires_ms <= now_ms and claim.state is not ClaimState.CLAIMED
        ]
        for name in old:
            del self._claims[name]
        return len(old)

    def _grant(self, name: str, command: ClaimKey, now_ms: int) -> Claimed:
        self._claims[name] = Claim(
            ClaimState.CLAIMED,
            command.digest,
            command.attempt,
            command.holder,
            now_ms + int(command.retain_s * 1000),
            command.retain_s,
        )
        return Claimed(True, ClaimState.CLAIMED, command.attempt)


def _name(command: ClaimKey | SettleClaim) -> str:
    return f"{command.service}\n{command.organisation}\n{command.key}"


def _too_old(command: ClaimKey, now_ms: int) -> bool:
    made = key_time_ms(command.key)
    oldest = now_ms - int(command.retain_s * 1000) + CLOCK_TOLERANCE_MS
    return made is not None and command.retain_s * 1000 > CLOCK_TOLERANCE_MS and made < oldest


def _may_become(state: ClaimState, outcome: ClaimState) -> bool:
    match state:
        case ClaimState.CLAIMED:
            return outcome is not ClaimState.CLAIMED
        case ClaimState.UNKNOWN:
            return outcome is ClaimState.DONE
    return False
