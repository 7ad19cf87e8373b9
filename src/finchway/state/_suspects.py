"""The replicated table of suspects: requests that may crash the upstreams that handle them.

Requests are identified by digest, upstreams by incarnation. A request that crashes upstreams is
never answered, while one that was only in flight during a crash is answered by the next upstream.
The table therefore counts consecutive crashes since the last answer, over all gateways. A crash
counts if the request was sent after the earlier ones were known, so simultaneous crashes count
once. A request that reaches the threshold is quarantined: it is not sent until the quarantine ends.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct
from msgspec.structs import replace

# Consecutive crashes before a request is quarantined. Fewer may be coincidence, since a crash
# affects all requests in flight at the upstream.
QUARANTINE_THRESHOLD = 3
# Time after which a suspicion lapses without a further crash. Callers that retry do so within
# seconds.
SUSPICION_MS = 60_000
# Duration of the first, second, ... quarantine of a request. The first is short, in case the
# upstreams were at fault. Later ones are long, since each trial may crash another upstream.
QUARANTINE_DURATIONS_MS = (60_000, 600_000, 3_600_000, 86_400_000)
# Maximum number of quarantined requests. With more, the upstreams themselves are likely at fault.
MAX_QUARANTINED = 32
# Limits the size of the table, which each gateway receives in full when it connects: 38 KB with one
# incarnation each, 135 KB with eight.
MAX_SUSPECTS = 512
# Upstream incarnations that are recorded with a suspect, for diagnosis.
MAX_RECORDED_INCARNATIONS = 8


class SuspectState(Enum):
    """The state of a request.

    SUSPECTED: upstreams have crashed while it was in flight. QUARANTINED: it is sent to no
    upstream. ON_TRIAL: it may be sent again; one more crash quarantines it again. CLEARED: it is no
    longer suspect; retained for a while so that all copies of the table are updated.
    """

    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    ON_TRIAL = "on-trial"
    CLEARED = "cleared"


class RequestReport(Struct, frozen=True, array_like=True):
    """A gateway's report that an upstream crashed with the request in flight, or answered it.

    `crashed_upstream` is the incarnation of the upstream that crashed, `crashes` the number of
    consecutive crashes including this one.
    """

    request: str
    crashes: int = 0
    crashed_upstream: str = ""
    answered: bool = False


class Suspect(Struct, frozen=True, array_like=True):
    """A request, its number of consecutive crashes, and the revision of its last change.

    `crashed_upstreams` lists the last crashed incarnations. At `until_ms`, in the time of the state
    machine, the state changes without a report. `quarantines` counts the quarantines so far.
    """

    revision: int
    request: str
    state: SuspectState
    crashes: int
    crashed_upstreams: tuple[str, ...]
    until_ms: int
    quarantines: int = 0

    @property
    def is_current(self) -> bool:
        """Whether the request is still suspect."""
        return self.state is not SuspectState.CLEARED


class Suspects:
    """The table of suspects. It is deterministic; each change takes a new revision."""

    def __init__(self, held: list[Suspect] = ()) -> None:
        self._held = {suspect.request: suspect for suspect in held}
        self._evicted = 0

    def __len__(self) -> int:
        return len(self._held)

    def __bool__(self) -> bool:
        return bool(self._held)

    @property
    def all(self) -> list[Suspect]:
        """All suspects in the order of their last change."""
        return list(self._held.values())

    @property
    def evicted(self) -> int:
        """The number of suspects that this copy has evicted because the table was full."""
        return self._evicted

    def get(self, request: str) -> Suspect | None:
        """Return the record of a request, or None."""
        return self._held.get(request)

    def since(self, revision: int) -> list[Suspect]:
        """Return the suspects that changed after a revision, by revision and request."""
        newer = [suspect for suspect in self._held.values() if suspect.revision > revision]
        return sorted(newer, key=lambda suspect: (suspect.revision, suspect.request))

    def put(self, suspect: Suspect) -> None:
        """Insert or replace a suspect, for example from another copy of the table."""
        self._held.pop(suspect.request, None)
        self._held[suspect.request] = suspect
        self._evict_excess()

    def report(self, report: RequestReport, now_ms: int, revision: int) -> bool:
        """Apply a report; returns whether the table changed and `revision` was used."""
        if report.answered:
            return self.clear(report.request, now_ms, revision)
        suspect = self._held.get(report.request)
        if suspect is None or not suspect.is_current:
            suspect = Suspect(0, report.request, SuspectState.SUSPECTED, 0, (), 0)
        if report.crashes <= suspect.crashes:
            return False
        crashed = (*suspect.crashed_upstreams, report.crashed_upstream)[-MAX_RECORDED_INCARNATIONS:]
        changed = replace(
            suspect, revision=revision, crashes=report.crashes, crashed_upstreams=crashed
        )
        if suspect.state is not SuspectState.QUARANTINED:
            changed = self._quarantine_if_due(changed, now_ms)
        self.put(changed)
        return True

    def clear(self, request: str, now_ms: int, revision: int) -> bool:
        """Clear a request; returns whether the table changed and `revision` was used."""
        suspect = self._held.get(request)
        if suspect is None or not suspect.is_current:
            return False
        until_ms = now_ms + SUSPICION_MS
        self.put(Suspect(revision, request, SuspectState.CLEARED, 0, (), until_ms))
        return True

    def expire(self, now_ms: int, revision: int) -> bool:
        """Update the suspects that are due; returns whether `revision` was used."""
        due = [suspect for suspect in self._held.values() if suspect.until_ms <= now_ms]
        changed = False
        for suspect in due:
            match suspect.state:
                case SuspectState.QUARANTINED:
                    until_ms = now_ms + QUARANTINE_DURATIONS_MS[-1]
                    state = SuspectState.ON_TRIAL
                    self.put(replace(suspect, revision=revision, state=state, until_ms=until_ms))
                    changed = True
                case SuspectState.CLEARED:
                    del self._held[suspect.request]
                case _:
                    changed |= self.clear(suspect.request, now_ms, revision)
        return changed

    def _quarantine_if_due(self, suspect: Suspect, now_ms: int) -> Suspect:
        """Quarantine a request at the crash threshold, unless too many are quarantined."""
        quarantined = sum(s.state is SuspectState.QUARANTINED for s in self._held.values())
        if suspect.crashes < QUARANTINE_THRESHOLD or quarantined >= MAX_QUARANTINED:
            return replace(suspect, until_ms=now_ms + SUSPICION_MS)
        wait_ms = QUARANTINE_DURATIONS_MS[
            min(suspect.quarantines, len(QUARANTINE_DURATIONS_MS) - 1)
        ]
        return replace(
            suspect,
            state=SuspectState.QUARANTINED,
            until_ms=now_ms + wait_ms,
            quarantines=suspect.quarantines + 1,
        )

    def _evict_excess(self) -> None:
        """Evict a cleared suspect, else the one with the fewest crashes, the oldest first."""
        if len(self._held) <= MAX_SUSPECTS:
            return
        evicted = min(self._held.values(), key=_eviction_rank)
        del self._held[evicted.request]
        self._evicted += 1


def _eviction_rank(suspect: Suspect) -> tuple[int, int]:
    """Return the sort key for eviction, lowest first; `min` returns the oldest of equals."""
    match suspect.state:
        case SuspectState.CLEARED:
            return 0, 0
        case SuspectState.SUSPECTED:
            return 1, suspect.crashes
    return 2, suspect.quarantines
