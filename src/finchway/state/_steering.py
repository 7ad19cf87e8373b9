"""The replicated state of steering: catalog, evacuated zones, leaving upstreams, suspect requests.

Each effective command takes the next revision, and everything carries the revision that brought
it. So whoever is behind gets just what is newer, without a history.
"""

from __future__ import annotations

from msgspec import Struct

from finchway.catalog import Catalog, HeldItem
from finchway.registry import Mark, MarkKind, Registration
from finchway.state import _commands as c
from finchway.state._suspects import Suspect, Suspects

MARKS_KEPT = 20_000


class Evacuation(Struct, frozen=True, array_like=True):
    """Whether a zone's upstreams get nothing new, and the revision that said so."""

    revision: int
    zone: str
    active: bool


class SteeringImage(Struct, frozen=True, array_like=True):
    """The whole state, or what is newer than some revision."""

    revision: int = 0
    items: list[HeldItem] = []
    marks: list[Mark] = []
    evacuations: list[Evacuation] = []
    suspects: list[Suspect] = []


class Steering:
    """The steering state; deterministic."""

    def __init__(self, image: SteeringImage | None = None) -> None:
        image = image or SteeringImage()
        self._revision = image.revision
        self._catalog = Catalog(image.items)
        self._marks = {mark.life: mark for mark in image.marks}
        self._evacuations = {e.zone: e for e in image.evacuations}
        self._suspects = Suspects(image.suspects)

    @property
    def revision(self) -> int:
        """The revision of the newest effective command."""
        return self._revision

    @property
    def catalog(self) -> Catalog:
        """The items."""
        return self._catalog

    @property
    def marks(self) -> dict[str, Mark]:
        """The marks by the lives that leave."""
        return self._marks

    @property
    def evacuated(self) -> frozenset[str]:
        """The zones that are evacuated."""
        return frozenset(e.zone for e in self._evacuations.values() if e.active)

    @property
    def suspects(self) -> Suspects:
        """The requests under which upstreams have ended."""
        return self._suspects

    def evacuation(self, zone: str) -> Evacuation | None:
        """Return the newest word on a zone."""
        return self._evacuations.get(zone)

    def image(self, since: int = -1) -> SteeringImage:
        """Return everything that is newer than a revision, in a stable order."""
        if since >= self._revision:
            return SteeringImage(self._revision)
        return SteeringImage(
            self._revision,
            [held for held in self._catalog.held if held.revision > since],
            sorted((m for m in self._marks.values() if m.revision > since), key=_order),
            sorted((e for e in self._evacuations.values() if e.revision > since), key=_order),
            self._suspects.since(since),
        )

    def merge(self, image: SteeringImage) -> bool:
        """Take in what is newer from an image of another copy; tell whether anything was."""
        if image.revision <= self._revision:
            return False
        for held in image.items:
            self._catalog.put(held)
        for mark in image.marks:
            self._marks[mark.life] = mark
        for evacuation in image.evacuations:
            self._evacuations[evacuation.zone] = evacuation
        for suspect in image.suspects:
            self._suspects.put(suspect)
        self._revision = image.revision
        self._trim()
        return True

    def change_items(self, command: c.ChangeItems) -> c.AnyResult:
        """Apply a change as one unit: all of it is in force afterwards, or nothing."""
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
            self._catalog.put(HeldItem(self._revision, item))
        return c.Steered(self._revision)

    def mark_of(self, registration: Registration) -> Mark | None:
        """Return the mark that binds an upstream's present life, if there is one.

        It binds no other life of the id, unless it was not told which one leaves.
        """
        return self._marks.get(registration.life) or self._marks.get(registration.instance)

    def mark_upstream(self, command: c.MarkUpstream) -> c.AnyResult:
        """Mark a life as leaving; gone is never taken back to draining."""
        mark = Mark(self._revision + 1, command.instance, command.kind, command.born)
        held = self._marks.get(mark.life)
        if held is None or (held.kind is MarkKind.DRAINING and command.kind is MarkKind.GONE):
            self._revision += 1
            self._marks[mark.life] = mark
            self._trim()
        return c.Steered(self._revision)

    def set_evacuation(self, command: c.SetEvacuation) -> c.AnyResult:
        """Begin or end the evacuation of a zone."""
        held = self._evacuations.get(command.zone)
        if (held is not None and held.active) != command.active:
            self._revision += 1
            self._evacuations[command.zone] = Evacuation(
                self._revision, command.zone, command.active
            )
        return c.Steered(self._revision)

    def report_requests(self, command: c.ReportRequests, now_ms: int) -> c.AnyResult:
        """Take in what gateways have seen of requests under which upstreams ended."""
        for report in command.reports:
            self._revision += self._suspects.report(report, now_ms, self._revision + 1)
        return c.Steered(self._revision)

    def expire(self, now_ms: int) -> None:
        """Let time pass for the suspect requests."""
        self._revision += self._suspects.expire(now_ms, self._revision + 1)

    def _trim(self) -> None:
        """Forget the oldest marks: those lives are long over."""
        if len(self._marks) <= MARKS_KEPT:
            return
        for mark in sorted(self._marks.values(), key=_order)[: len(self._marks) - MARKS_KEPT]:
            del self._marks[mark.life]


def _order(entry: Mark | Evacuation) -> int:
    return entry.revision
