"""Answers to accepted changes by their change id, so that a resend gets the first answer."""

from __future__ import annotations

import hashlib

from msgspec import Struct

from finchway.state._commands import Accepted, DeleteResource, PutResource

CHANGE_RETENTION_MS = 24 * 3600 * 1000


class StoredAnswer(Struct):
    """The answer to a change, and a digest of the change that it answers."""

    digest: str
    answer: Accepted
    expires_ms: int


class ChangeAnswers:
    """Stored answers by operator and change id, each kept for `CHANGE_RETENTION_MS`."""

    __slots__ = ("_answers",)

    def __init__(self, answers: dict[str, StoredAnswer] | None = None) -> None:
        self._answers = answers if answers is not None else {}

    @property
    def records(self) -> dict[str, StoredAnswer]:
        """The stored answers, for snapshots."""
        return self._answers

    def find(self, command: PutResource | DeleteResource) -> StoredAnswer | None:
        """Return the stored answer for the change id of a command, whatever it said."""
        if not command.change_id:
            return None
        return self._answers.get(_name(command))

    def store(self, command: PutResource | DeleteResource, answer: Accepted, now_ms: int) -> None:
        """Keep the answer of an accepted change."""
        if command.change_id:
            expires = now_ms + CHANGE_RETENTION_MS
            self._answers[_name(command)] = StoredAnswer(digest_of(command), answer, expires)

    def expire(self, now_ms: int) -> None:
        """Forget answers whose time is over."""
        old = [name for name, stored in self._answers.items() if stored.expires_ms <= now_ms]
        for name in old:
            del self._answers[name]


def digest_of(command: PutResource | DeleteResource) -> str:
    """Return a digest of what a change asks for, without its time."""
    spec = command.spec if isinstance(command, PutResource) else b"delete"
    text = f"{command.kind}\n{command.name}\n{command.expected}\n".encode()
    return hashlib.sha256(text + spec).hexdigest()


def _name(command: PutResource | DeleteResource) -> str:
    return f"{command.operator}\n{command.change_id}"
