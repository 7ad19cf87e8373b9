"""The exceptions that finchway raises.

The message of an error says what is wrong and `hint` what to do about it. Validation errors have a
list of findings, each with its place in the input.
"""

from __future__ import annotations

from msgspec import Struct


class Finding(Struct, frozen=True):
    """One validation error and its place.

    `place` is a readable path, such as `resources.yaml[2].spec.slots`.
    """

    place: str
    problem: str
    hint: str = ""

    def __str__(self) -> str:
        text = f"{self.place}: {self.problem}"
        return f"{text} ({self.hint})" if self.hint else text


class FinchwayError(Exception):
    """The base class of all exceptions that finchway raises."""

    exit_code = 1

    def __init__(self, message: str, hint: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint


class InputError(FinchwayError):
    """Input failed validation; `findings` lists every error with its place."""

    exit_code = 2

    def __init__(self, findings: list[Finding], subject: str = "input") -> None:
        lines = "\n".join(f"  {finding}" for finding in findings)
        super().__init__(f"{subject} has {len(findings)} fault(s):\n{lines}")
        self.findings = findings


class SettingsError(InputError):
    """The settings of a process are invalid; it must not start."""


class ResourceError(InputError):
    """A resource is malformed or refers to something that does not exist."""


class EncodingError(InputError):
    """A message or command holds a value that no encoding can carry; it has no effect."""

    def __init__(self, subject: str, problem: Exception) -> None:
        finding = Finding(subject, f"cannot be encoded: {problem}")
        super().__init__([finding], subject)


class ConflictError(FinchwayError):
    """Another change was accepted first; `winner` is the encoded current resource."""

    exit_code = 4

    def __init__(self, message: str, winner: bytes = b"") -> None:
        super().__init__(message, "read the resource again and reapply the change to it")
        self.winner = winner


class NotFoundError(FinchwayError):
    """The requested object does not exist."""

    exit_code = 5


class GoneError(FinchwayError):
    """A watch requested history that has been compacted; restart from `oldest`."""

    exit_code = 6

    def __init__(self, oldest: int) -> None:
        super().__init__(
            f"history before revision {oldest} has been compacted",
            "list the resources again and watch from the revision in the response",
        )
        self.oldest = oldest


class DeniedError(FinchwayError):
    """The credential is missing, unknown, or lacks the role required for the call."""

    exit_code = 7


class UnavailableError(FinchwayError):
    """No quorum confirmed the call in time; whether it took effect is unknown."""

    exit_code = 8


class OrderExpiredError(UnavailableError):
    """An order came so late that its caller may have gone on elsewhere; it has no effect."""


class NoRoomError(UnavailableError):
    """Other clients leave no room for the body of a request, which has not run."""

    def __init__(self) -> None:
        super().__init__("other clients leave no room for the request's body")


class NotLeaderError(UnavailableError):
    """This replica is not the leader; `leader` is the name of the leader, if known."""

    def __init__(self, leader: str | None) -> None:
        super().__init__(f"not the leader; the leader is {leader or 'unknown'}")
        self.leader = leader


class TransportError(FinchwayError):
    """A message could not be sent, was malformed, or was not answered in time."""


class StorageError(FinchwayError):
    """The data folder could not be read or written; the replica must not acknowledge writes."""


class StorageDamagedError(StorageError):
    """Synced records are corrupt; the replica must not vote based on them."""


class NotBootstrappedError(StorageError):
    """The data folder is empty and the replica may not start a new cluster."""
