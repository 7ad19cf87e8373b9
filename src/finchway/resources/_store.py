"""The resource store, and the changes between its revisions."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

import msgspec
from msgspec import Struct

from finchway.resources._specs import SPECS, Spec
from finchway.resources._status import Status


class Resource(Struct, frozen=True):
    """An accepted resource.

    `generation` counts changes of the spec; `revision` is the global revision of the last change
    of spec or status.
    """

    kind: str
    name: str
    spec: Spec
    generation: int
    revision: int
    status: Status = None


class Operation(Enum):
    """Whether a change stores or deletes a resource."""

    PUT = "put"
    DELETE = "delete"


class Change(Struct, frozen=True):
    """An entry of the global history: a resource as of `revision`.

    The spec is encoded as JSON because its type depends on the kind; `now_ms` is the leader's wall
    clock when it proposed the change.
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
        """Decode the resource as of this change."""
        spec = msgspec.json.decode(self.spec, type=SPECS[self.kind])
        return Resource(self.kind, self.name, spec, self.generation, self.revision, self.status)


def change_of(resource: Resource, operation: Operation, now_ms: int) -> Change:
    """Return the change that produced a resource."""
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
    ignored, so late and duplicate changes are harmless.
    """

    __slots__ = ("_by_kind", "_revision")

    def __init__(self, resources: list[Resource] | None = None, revision: int = 0) -> None:
        self._by_kind: dict[str, dict[str, Resource]] = {kind: {} for kind in SPECS}
        self._revision = revision
        for resource in resources or []:
            self._by_kind[resource.kind][resource.name] = resource

    @property
    def revision(self) -> int:
        """The revision of the latest change in the store."""
        return self._revision

    def __iter__(self) -> Iterator[Resource]:
        for kind in self._by_kind.values():
            yield from kind.values()

    def get(self, kind: str, name: str) -> Resource | None:
        """Return a resource, or None if it does not exist."""
        return self._by_kind.get(kind, {}).get(name)

    def of_kind(self, kind: str) -> list[Resource]:
        """Return the resources of a kind, sorted by name."""
        return [resource for _, resource in sorted(self._by_kind.get(kind, {}).items())]

    def apply(self, change: Change) -> bool:
        """Apply a change; return False if the store is already at its revision or a later one."""
        if change.revision <= self._revision:
            return False
        self.put(change.resource(), change.operation)
        return True

    def put(self, resource: Resource, operation: Operation = Operation.PUT) -> None:
        """Store or delete a resource and advance to its revision."""
        self._revision = resource.revision
        if operation is Operation.DELETE:
            self._by_kind[resource.kind].pop(resource.name, None)
        else:
            self._by_kind[resource.kind][resource.name] = resource
