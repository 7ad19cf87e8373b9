"""The replicated state machine: resources, stored answers, claims, history and steering state.

It is deterministic: the same commands produce the same state and `digest` on each replica.

    machine = StateMachine()
    result = machine.apply(PutResource(now_ms=0, kind="region", name="north", spec=b"{}"))
"""

from __future__ import annotations

import hashlib

import msgspec
from msgspec import Struct

from finchway.exceptions import ResourceError
from finchway.resources import (
    Change,
    Instance,
    InstanceState,
    Operation,
    Resource,
    ResourceStore,
    Spec,
    change_of,
    check_references,
    find_dependents,
    parse_spec,
)
from finchway.state import _commands as c
from finchway.state._attempts import EndedAttempts, HolderAttempts
from finchway.state._changes import ChangeAnswers, StoredAnswer, digest_of
from finchway.state._claims import Claim, Claims
from finchway.state._history import History
from finchway.state._steering import Steering, SteeringImage


class _Image(Struct):
    """The complete state in a snapshot."""

    resources: list[Change]
    revision: int
    changes: list[Change]
    compacted: int
    answers: dict[str, StoredAnswer]
    claims: dict[str, Claim]
    now_ms: int
    steering: SteeringImage = SteeringImage()
    attempts: dict[str, HolderAttempts] = {}


class StateMachine:
    """The replicated state, changed only by committed commands."""

    def __init__(self) -> None:
        self._store = ResourceStore()
        self._history = History()
        self._answers = ChangeAnswers()
        self._claims = Claims()
        self._steering = Steering()
        self._now_ms = 0

    @property
    def store(self) -> ResourceStore:
        """The resources and their revisions."""
        return self._store

    @property
    def history(self) -> History:
        """The recent resource changes."""
        return self._history

    @property
    def claims(self) -> Claims:
        """The claims on idempotency keys."""
        return self._claims

    @property
    def steering(self) -> Steering:
        """The traffic catalog, evacuations, leaving upstreams and suspect requests."""
        return self._steering

    @property
    def revision(self) -> int:
        """The revision of the newest accepted change."""
        return self._store.revision

    def apply(self, command: c.AnyCommand) -> c.AnyResult:
        """Apply one committed command.

        The time of the state machine is monotonic, even if a new leader's clock is behind.
        """
        self._now_ms = max(self._now_ms, command.now_ms)
        match command:
            case c.PutResource():
                return self._apply_idempotent(command, self._put)
            case c.DeleteResource():
                return self._apply_idempotent(command, self._delete)
            case c.PutStatus():
                return self._put_status(command)
            case c.ClaimKey():
                return self._claims.claim(command, self._now_ms)
            case c.SettleClaim():
                return self._claims.settle(command, self._now_ms)
            case c.Expire():
                self._claims.expire(self._now_ms)
                self._answers.expire(self._now_ms)
                self._steering.expire(self._now_ms)
            case c.ChangeItems():
                return self._steering.change_items(command)
            case c.MarkUpstream():
                return self._steering.mark_upstream(command)
            case c.SetEvacuation():
                return self._steering.set_evacuation(command)
            case c.ReportRequests():
                return self._steering.report_requests(command, self._now_ms)
        return c.Done()

    def snapshot(self) -> bytes:
        """Encode the complete state."""
        return msgspec.msgpack.encode(self._image())

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot; empty data means the initial state."""
        if not data:
            self.__init__()
            return
        image = msgspec.msgpack.decode(data, type=_Image)
        self._store = ResourceStore([ch.resource() for ch in image.resources], image.revision)
        self._history = History(image.changes, image.compacted)
        self._answers = ChangeAnswers(image.answers)
        self._claims = Claims(image.claims, EndedAttempts(image.attempts))
        self._steering = Steering(image.steering)
        self._now_ms = image.now_ms

    def digest(self) -> str:
        """Return a digest of the complete state, equal on replicas that applied the same log."""
        encoder = msgspec.msgpack.Encoder(order="sorted")
        return hashlib.sha256(encoder.encode(self._image())).hexdigest()

    def _image(self) -> _Image:
        resources = sorted(self._store, key=lambda r: (r.kind, r.name))
        return _Image(
            [change_of(resource, Operation.PUT, 0) for resource in resources],
            self.revision,
            self._history.changes,
            self._history.compacted,
            self._answers.records,
            self._claims.records,
            self._now_ms,
            self._steering.image(),
            self._claims.attempts.records,
        )

    def _apply_idempotent(self, command, change) -> c.AnyResult:
        stored = self._answers.find(command)
        if stored is not None:
            return stored.answer if stored.digest == digest_of(command) else c.Reused()
        current = self._store.get(command.kind, command.name)
        generation = current.generation if current else 0
        if command.expected is not None and command.expected != generation:
            return c.Conflict(generation, encode_resource(current))
        result = change(command, current)
        if isinstance(result, c.Accepted):
            self._answers.store(command, result, self._now_ms)
        return result

    def _put(self, command: c.PutResource, current: Resource | None) -> c.AnyResult:
        try:
            spec = parse_spec(command.kind, msgspec.json.decode(command.spec))
        except ResourceError as error:
            return c.Rejected([(f.place, f.problem) for f in error.findings])
        if current is not None and current.spec == spec:
            return c.Accepted(current.revision, current.generation, encode_resource(current))
        findings = check_references(command.kind, command.name, spec, self._store)
        if findings:
            return c.Rejected([(f.place, f.problem) for f in findings])
        generation = current.generation + 1 if current else 1
        status = current.status if current else None
        if current is not None and _ends_incarnation(current.spec, spec):
            self._abandon_claims(current)
        if isinstance(spec, Instance) and spec.state is not InstanceState.GONE:
            self._claims.attempts.resume_holder(_holder(command.name, spec))
        resource = Resource(command.kind, command.name, spec, generation, self.revision + 1, status)
        return self._accept(resource, Operation.PUT)

    def _delete(self, command: c.DeleteResource, current: Resource | None) -> c.AnyResult:
        if current is None:
            return c.Missing()
        findings = find_dependents(command.kind, command.name, self._store)
        if findings:
            return c.Rejected([(f.place, f.problem) for f in findings])
        if isinstance(current.spec, Instance):
            self._abandon_claims(current)
        deleted = msgspec.structs.replace(current, revision=self.revision + 1)
        return self._accept(deleted, Operation.DELETE)

    def _abandon_claims(self, instance: Resource) -> None:
        """Mark the open claims of an entry's incarnation as unknown.

        Runs in the command that ends the incarnation, so both are replicated atomically.
        """
        self._claims.abandon(_holder(instance.name, instance.spec), self._now_ms)

    def _put_status(self, command: c.PutStatus) -> c.AnyResult:
        current = self._store.get(command.kind, command.name)
        if current is None:
            return c.Missing()
        if current.generation != command.generation:
            return c.Conflict(current.generation, encode_resource(current))
        if current.status == command.status:
            return c.Done()
        resource = msgspec.structs.replace(
            current, status=command.status, revision=self.revision + 1
        )
        return self._accept(resource, Operation.PUT)

    def _accept(self, resource: Resource, operation: Operation) -> c.Accepted:
        self._store.put(resource, operation)
        self._history.append(change_of(resource, operation, self._now_ms))
        return c.Accepted(resource.revision, resource.generation, encode_resource(resource))


def _ends_incarnation(old: Spec, new: Spec) -> bool:
    """Whether the new spec ends the incarnation of an entry in the old one."""
    if not isinstance(old, Instance) or not isinstance(new, Instance):
        return False
    return old.incarnation != new.incarnation or new.state is InstanceState.GONE


def _holder(name: str, spec: Instance) -> str:
    """Return the name under which an entry's incarnation holds claims."""
    return f"{name}@{spec.incarnation}"


def encode_resource(resource: Resource | None) -> bytes:
    """Encode a resource as JSON for answers, `null` if there is none."""
    return msgspec.json.encode(resource)
