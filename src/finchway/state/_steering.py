"""The replicated steering state: catalog, evacuated zones, leaving upstreams, suspect requests.

Each effective command increments the revision, and each record stores the revision that changed
it. A copy that is behind receives only the newer records, so no change history is kept.
"""

from __future__ import annotations

from msgspec import Struct

from finchway.catalog import Catalog, CatalogEntry
from finchway.registry import Mark, MarkKind, Registration
from finchway.state import _commands as c
from finchway.state._suspects import Suspect, Suspects

MAX_MARKS = 20_000


class Evacuation(Struct, frozen=True, array_like=True):
    """Whether a zone is evacuated, so that its upstreams get no new requests."""

    revision: int
    zone: str
    active: bool


class SteeringImage(Struct, frozen=True, array_like=True):
    """The complete steering state, or the records newer than some revision."""

    revision: int = 0
    items: list[CatalogEntry] = []
    marks: list[Mark] = []
    evacuations: list[Evacuation] = []
    suspects: list[Suspect] = []


class Steering:
    """The steering state. It is deterministic."""

    def __init__(self, image: SteeringImage | None = None) -> None:
        image = image or SteeringImage()
        self._revision = image.revision
        self._catalog = Catalog(image.items)
        self._marks = {mark.incarnation: mark for mark in image.marks}
        self._evacuations = {e.zone: e for e in image.evacuations}
        self._suspects = Suspects(image.suspects)

    @property
    def revision(self) -> int:
        """The revision of the last effective command."""
        return self._revision

    @property
    def catalog(self) -> Catalog:
        """The items of the traffic catalog."""
        return self._catalog

    @property
    def marks(self) -> dict[str, Mark]:
        """The marks of leaving upstreams by incarnation."""
        return self._marks

    @property
    def evacuated(self) -> frozenset[str]:
        """The names of the evacuated zones."""
        return frozenset(e.zone for e in self._evacuations.values() if e.active)

    @property
    def suspects(self) -> Suspects:
        """The requests that were in flight when upstreams crashed."""
        return self._suspects

    def evacuation(self, zone: str) -> Evacuation | None:
        """Return the last evacuation record of a zone, or None."""
        return self._evacuations.get(zone)

    def image(self, since: int = -1) -> SteeringImage:
        """Return all records newer than a revision, in a deterministic order."""
        if since >= self._revision:
            return SteeringImage(self._revision)
        return SteeringImage(
            self._revision,
            [entry for entry in self._catalog.entries if entry.revision > since],
            sorted((m for m in self._marks.values() if m.revision > since), key=_revision_of),
            sorted((e for e in self._evacuations.values() if e.revision > since), key=_revision_of),
            self._suspects.since(since),
        )

    def merge(self, image: SteeringImage) -> bool:
        """Merge the image of another copy; returns False if it is not newer."""
        if image.revision <= self._revision:
            return False
        for entry in image.items:
            self._catalog.put(entry)
        for mark in image.marks:
            self._marks[mark.incarnation] = mark
        for evacuation in image.evacuations:
            self._evacuations[evacuation.zone] = evacuation
        for suspect in image.suspects:
            self._suspects.put(suspect)
        self._revision = image.revision
        self._evict_oldest_marks()
        return True

    def change_items(self, command: c.ChangeItems) -> c.AnyResult:
        """Apply a change of the catalog atomically: all of its items, or none."""
        findings = self._catalog.check(command.items)
        if findings:
            return c.Rejected([(f.place, f.problem) for f in findings])
        conflicts = self._catalog.conflicts(command.items)
        if conflicts:
            return c.VersionTaken([f"{item.key} version {item.version}" for item in conflicts])
        newer = self._catalog.newer(command.items)
        if newer:
            self._revision += 1
        for item in newer:
            self._catalog.put(CatalogEntry(self._revision, item))
        return c.Steered(self._revision)

    def mark_of(self, registration: Registration) -> Mark | None:
        """Return the mark that applies to the registered incarnation of an upstream, or None.

        A mark applies only to the incarnation that it names, or to all of them if it names none.
        """
        return self._marks.get(registration.incarnation) or self._marks.get(registration.instance)

    def mark_upstream(self, command: c.MarkUpstream) -> c.AnyResult:
        """Mark an incarnation as leaving; GONE is never changed back to DRAINING."""
        mark = Mark(self._revision + 1, command.instance, command.kind, command.born)
        current = self._marks.get(mark.incarnation)
        if current is None or (current.kind is MarkKind.DRAINING and command.kind is MarkKind.GONE):
            self._revision += 1
            self._marks[mark.incarnation] = mark
            self._evict_oldest_marks()
        return c.Steered(self._revision)

    def set_evacuation(self, command: c.SetEvacuation) -> c.AnyResult:
        """Start or end the evacuation of a zone."""
        current = self._evacuations.get(command.zone)
        if (current is not None and current.active) != command.active:
            self._revision += 1
            self._evacuations[command.zone] = Evacuation(
                self._revision, command.zone, command.active
            )
        return c.Steered(self._revision)

    def report_requests(self, command: c.ReportRequests, now_ms: int) -> c.AnyResult:
        """Record gateways' reports on requests that were in flight when upstreams crashed."""
        for report in command.reports:
            self._revision += self._suspects.report(report, now_ms, self._revision + 1)
        return c.Steered(self._revision)

    def expire(self, now_ms: int) -> None:
        """Update the suspect requests that are due."""
        self._revision += self._suspects.expire(now_ms, self._revision + 1)

    def _evict_oldest_marks(self) -> None:
        """Evict the oldest marks above `MAX_MARKS`; those incarnations have terminated."""
        if len(self._marks) <= MAX_MARKS:
            return
        for mark in sorted(self._marks.values(), key=_revision_of)[: len(self._marks) - MAX_MARKS]:
            del self._marks[mark.incarnation]


def _revision_of(record: Mark | Evacuation) -> int:
    return record.revision
