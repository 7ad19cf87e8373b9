"""The tree of errors that finchway raises.

Every error carries what a person needs to mend the call: the message says what is wrong, `hint`
says what to do next, and errors that come from checking input hold a list of findings, each with
the place it was found at.
"""

from __future__ import annotations

from msgspec import Struct


class Finding(Struct, frozen=True):
    """One thing that is wrong with some input, and where.

    `place` is a path a person can follow, such as `resources.yaml[2].spec.slots`.
    """

    place: str
    problem: str
    hint: str = ""

    def __str__(self) -> str:
        text = f"{self.place}: {self.problem}"
        return f"{text} ({self.hint})" if self.hint else text


class FinchwayError(Exception):
    """The root of all errors that finchway raises on purpose."""

    exit_code = 1

    def __init__(self, message: str, hint: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint


class InputError(FinchwayError):
    """Input that was checked and found wanting; `findings` lists every fault with its place."""

    exit_code = 2

    def __init__(self, findings: list[Finding], subject: str = "input") -> None:
        lines = "\n".join(f"  {finding}" for finding in findings)
        super().__init__(f"{subject} has {len(findings)} fault(s):\n{lines}")
        self.findings = findings


class SettingsError(InputError):
    """The settings of a process are wrong; the process must not start."""


class ResourceError(InputError):
    """A resource is malformed or refers to something that does not exist."""


class ConflictError(FinchwayError):
    """Another change was accepted first; `winner` is the encoded resource that stands."""

    exit_code = 4

    def __init__(self, message: str, winner: bytes = b"") -> None:
        super().__init__(message, "read the resource again and repeat the change on top of it")
        self.winner = winner


class NotFoundError(FinchwayError):
    """The named thing does not exist."""

    exit_code = 5


class GoneError(FinchwayError):
    """A watch asked for history that has been compacted; restart from `oldest`."""

    exit_code = 6

    def __init__(self, oldest: int) -> None:
        super().__init__(
            f"history before revision {oldest} has been compacted",
            "list the resources again and watch from the revision of that answer",
        )
        self.oldest = oldest


class DeniedError(FinchwayError):
    """The credential is missing, unknown, or lacks the role that the call needs."""

    exit_code = 7


class UnavailableError(FinchwayError):
    """No quorum could confirm the call in time; whether it took effect is not known."""

    exit_code = 8


class NotLeaderError(UnavailableError):
    """This replica does not lead; `leader` names the replica that does, if it is known."""

    def __init__(self, leader: str | None) -> None:
        super().__init__(f"not the leader; the leader is {leader or 'unknown'}")
        self.leader = leader


class TransportError(FinchwayError):
    """A message could not be sent, was malformed, or got no answer in time."""


class StorageError(FinchwayError):
    """The data folder could not be read or written; the replica must not acknowledge."""


class StorageDamagedError(StorageError):
    """Synced records are damaged; this replica must not vote with what it holds."""


class NotBootstrappedError(StorageError):
    """The data folder is empty and nobody has said that it may start a new cluster."""
