"""Resources by kind and name, and the changes that lead from one revision to the next."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

import msgspec
from msgspec import Struct

from finchway.resources._specs import SPECS, Spec
from finchway.resources._status import Status


class Resource(Struct, frozen=True):
    """A resource as accepted.

    `generation` counts changes of the spec, `revision` is the global number of the last change
    of spec or status.
    """

    kind: str
    name: str
    spec: Spec
    generation: int
    revision: int
    status: Status = None


class Operation(Enum):
    """What a change did to a resource."""

    PUT = "put"
    DELETE = "delete"


class Change(Struct, frozen=True):
    """One step of the global history: the resource as it is after `revision`.

    The spec travels as JSON, because its type follows from the kind; `now_ms` is the leader's
    wall clock when it proposed the change.
    """

    revision: int
    operation: Operation
    kind: str
    name: str
    generation: int
    spec: bytes
    status: Status
    now_ms: int

    def resource(self) -> Resource:
        """Decode the resource that this change left behind."""
        spec = msgspec.json.decode(self.spec, type=SPECS[self.kind])
        return Resource(self.kind, self.name, spec, self.generation, self.revision, self.status)


def change_of(resource: Resource, operation: Operation, now_ms: int) -> Change:
    """Wrap a resource as the change that produced it."""
    return Change(
        resource.revision,
        operation,
        resource.kind,
        resource.name,
        resource.generation,
        msgspec.json.encode(resource.spec),
        resource.status,
        now_ms,
    )


class ResourceStore:
    """All resources at one revision.

    Changes are applied in the order of their revisions; one that is not newer than the store is
    passed over, so a delta that arrives late or twice does no harm.
    """

    __slots__ = ("_kinds", "_revision")

    def __init__(self, resources: list[Resource] | None = None, revision: int = 0) -> None:
        self._kinds: dict[str, dict[str, Resource]] = {kind: {} for kind in SPECS}
        self._revision = revision
        for resource in resources or []:
            self._kinds[resource.kind][resource.name] = resource

    @property
    def revision(self) -> int:
        """The revision of the newest change that the store holds."""
        return self._revision

    def __iter__(self) -> Iterator[Resource]:
        for kind in self._kinds.values():
            yield from kind.values()

    def get(self, kind: str, name: str) -> Resource | None:
        """Return one resource, or None."""
        return self._kinds.get(kind, {}).get(name)

    def of_kind(self, kind: str) -> list[Resource]:
        """Return the resources of a kind, in the order of their names."""
        return [resource for _, resource in sorted(self._kinds.get(kind, {}).items())]

    def apply(self, change: Change) -> bool:
        """Apply one change; False if the store already is at its revision or a later one."""
        if change.revision <= self._revision:
            return False
        self.put(change.resource(), change.operation)
        return True

    def put(self, resource: Resource, operation: Operation = Operation.PUT) -> None:
        """Take in a resource and its revision."""
        self._revision = resource.revision
        if operation is Operation.DELETE:
            self._kinds[resource.kind].pop(resource.name, None)
        else:
            self._kinds[resource.kind][resource.name] = resource
