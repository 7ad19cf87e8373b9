"""Stored answers to accepted changes, which make retries with the same change id idempotent."""

from __future__ import annotations

import hashlib

from msgspec import Struct

from finchway.state._commands import Accepted, DeleteResource, PutResource

CHANGE_RETENTION_MS = 24 * 3600 * 1000


class StoredAnswer(Struct):
    """The answer to a change, with a digest of the change to detect reused change ids."""

    digest: str
    answer: Accepted
    expires_ms: int


class ChangeAnswers:
    """Stored answers by operator and change id, each retained for `CHANGE_RETENTION_MS`."""

    __slots__ = ("_answers",)

    def __init__(self, answers: dict[str, StoredAnswer] | None = None) -> None:
        self._answers = answers if answers is not None else {}

    @property
    def records(self) -> dict[str, StoredAnswer]:
        """The stored answers, for snapshots."""
        return self._answers

    def find(self, command: PutResource | DeleteResource) -> StoredAnswer | None:
        """Return the answer stored under the command's change id, or None.

        The answer may belong to a different change; the caller compares the digests.
        """
        if not command.change_id:
            return None
        return self._answers.get(_answer_key(command))

    def store(self, command: PutResource | DeleteResource, answer: Accepted, now_ms: int) -> None:
        """Store the answer to an accepted change, unless the change has no id."""
        if command.change_id:
            expires = now_ms + CHANGE_RETENTION_MS
            self._answers[_answer_key(command)] = StoredAnswer(digest_of(command), answer, expires)

    def expire(self, now_ms: int) -> None:
        """Delete the answers whose retention has expired."""
        expired = [key for key, stored in self._answers.items() if stored.expires_ms <= now_ms]
        for key in expired:
            del self._answers[key]


def digest_of(command: PutResource | DeleteResource) -> str:
    """Return a digest of a change's content, without its timestamp."""
    spec = command.spec if isinstance(command, PutResource) else b"delete"
    text = f"{command.kind}\n{command.name}\n{command.expected}\n".encode()
    return hashlib.sha256(text + spec).hexdigest()


def _answer_key(command: PutResource | DeleteResource) -> str:
    return f"{command.operator}\n{command.change_id}"
