"""Requests under which upstreams have ended: the replicated table of suspects.

A request is named by its digest, and an upstream that ended by the name of its life. Under a
request that ends whatever runs it, upstream after upstream ends and none answers; one that only was
under way when an upstream ended is answered by the next. So a suspect is a request under which
upstreams have ended, one after the other, since it was last answered, whichever gateways saw that.
An end counts if the request was sent when the ends before it were known: when many upstreams end at
once, that is one end for all that was under way there. A request with several of them is
quarantined: it is sent to no upstream until it is tried again, a long time later.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct
from msgspec.structs import replace

# Upstreams that end under a request, one after the other, before it is quarantined. Two may be
# chance, since an upstream that ends takes all requests with it that are under way there.
QUARANTINE_AFTER = 3
# Milliseconds for which an upstream that ended speaks against a request: callers that try again do
# so within seconds.
SUSPECTED_FOR_MS = 60_000
# Milliseconds until a request is tried again, by how often it has been quarantined. Upstreams may
# have been to blame, so the first wait is short; each trial may cost an upstream with all that is
# under way there, while waiting costs one caller one request, so the later ones are long.
QUARANTINED_FOR_MS = (60_000, 600_000, 3_600_000, 86_400_000)
# Requests that are quarantined at once: if upstreams end under more, the upstreams are to blame.
MOST_QUARANTINED = 32
# Suspects that are held: 38 KB in the first answer to a gateway with one life each, and 135 KB with
# eight (encoded sizes of 74 and 263 bytes).
MOST_SUSPECTS = 512
# Names of lives that are kept with a suspect, for those who look into it.
LIVES_KEPT = 8


class SuspectState(Enum):
    """Where a request stands.

    SUSPECTED: some upstreams have ended under it. QUARANTINED: it gets none. ON_TRIAL: it may be
    sent again, and is quarantined again as soon as one more ends. CLEARED: nothing speaks against
    it any more; kept for a while, so that all copies of the table learn of it.
    """

    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    ON_TRIAL = "on-trial"
    CLEARED = "cleared"


class RequestReport(Struct, frozen=True, array_like=True):
    """What a gateway has seen of a request: the life that ended under it, or that it was answered.

    `ends` counts the upstreams that ended under it one after the other, this one included.
    """

    request: str
    ends: int = 0
    ended: str = ""
    answered: bool = False


class Suspect(Struct, frozen=True, array_like=True):
    """A request, how many upstreams ended under it, and the revision that said so.

    `ended` names the newest of their lives. `until_ms` is when the state changes by itself, on the
    log's clock; `quarantines` counts how often it was quarantined.
    """

    revision: int
    request: str
    state: SuspectState
    ends: int
    ended: tuple[str, ...]
    until_ms: int
    quarantines: int = 0

    @property
    def is_current(self) -> bool:
        """Whether anything speaks against the request."""
        return self.state is not SuspectState.CLEARED


class Suspects:
    """The table; deterministic. Each change takes a new revision."""

    def __init__(self, held: list[Suspect] = ()) -> None:
        self._held = {suspect.request: suspect for suspect in held}
        self._dropped = 0

    def __len__(self) -> int:
        return len(self._held)

    def __bool__(self) -> bool:
        return bool(self._held)

    @property
    def all(self) -> list[Suspect]:
        """All suspects, in the order in which they last changed."""
        return list(self._held.values())

    @property
    def dropped(self) -> int:
        """How many were dropped here since others needed their place."""
        return self._dropped

    def get(self, request: str) -> Suspect | None:
        """Return what is held of a request."""
        return self._held.get(request)

    def since(self, revision: int) -> list[Suspect]:
        """Return the suspects that changed after a revision, by revision and name."""
        newer = [suspect for suspect in self._held.values() if suspect.revision > revision]
        return sorted(newer, key=lambda suspect: (suspect.revision, suspect.request))

    def put(self, suspect: Suspect) -> None:
        """Take in a suspect as another copy of the table holds it."""
        self._held.pop(suspect.request, None)
        self._held[suspect.request] = suspect
        self._trim()

    def report(self, report: RequestReport, now_ms: int, revision: int) -> bool:
        """Take in a report; tells whether the revision, the next one, was taken for it."""
        if report.answered:
            return self.clear(report.request, now_ms, revision)
        held = self._held.get(report.request)
        if held is None or not held.is_current:
            held = Suspect(0, report.request, SuspectState.SUSPECTED, 0, (), 0)
        if report.ends <= held.ends:
            return False
        ended = (*held.ended, report.ended)[-LIVES_KEPT:]
        changed = replace(held, revision=revision, ends=report.ends, ended=ended)
        if held.state is not SuspectState.QUARANTINED:
            changed = self._judge(changed, now_ms)
        self.put(changed)
        return True

    def clear(self, request: str, now_ms: int, revision: int) -> bool:
        """Note that nothing speaks against a request; tells whether the revision was taken."""
        held = self._held.get(request)
        if held is None or not held.is_current:
            return False
        until_ms = now_ms + SUSPECTED_FOR_MS
        self.put(Suspect(revision, request, SuspectState.CLEARED, 0, (), until_ms))
        return True

    def expire(self, now_ms: int, revision: int) -> bool:
        """Let time pass for what is due; tells whether the revision was taken."""
        due = [suspect for suspect in self._held.values() if suspect.until_ms <= now_ms]
        taken = False
        for suspect in due:
            match suspect.state:
                case SuspectState.QUARANTINED:
                    until_ms = now_ms + QUARANTINED_FOR_MS[-1]
                    state = SuspectState.ON_TRIAL
                    self.put(replace(suspect, revision=revision, state=state, until_ms=until_ms))
                    taken = True
                case SuspectState.CLEARED:
                    del self._held[suspect.request]
                case _:
                    taken |= self.clear(suspect.request, now_ms, revision)
        return taken

    def _judge(self, suspect: Suspect, now_ms: int) -> Suspect:
        """Quarantine a request, unless it is one of too many or has too few ends."""
        quarantined = sum(s.state is SuspectState.QUARANTINED for s in self._held.values())
        if suspect.ends < QUARANTINE_AFTER or quarantined >= MOST_QUARANTINED:
            return replace(suspect, until_ms=now_ms + SUSPECTED_FOR_MS)
        wait_ms = QUARANTINED_FOR_MS[min(suspect.quarantines, len(QUARANTINED_FOR_MS) - 1)]
        return replace(
            suspect,
            state=SuspectState.QUARANTINED,
            until_ms=now_ms + wait_ms,
            quarantines=suspect.quarantines + 1,
        )

    def _trim(self) -> None:
        """Drop what says least: the cleared, then those with fewest ends, the oldest first."""
        if len(self._held) <= MOST_SUSPECTS:
            return
        least = min(self._held.values(), key=_weight)
        del self._held[least.request]
        self._dropped += 1


def _weight(suspect: Suspect) -> tuple[int, int]:
    """Order suspects by how much would be lost with them; `min` takes the oldest of equals."""
    match suspect.state:
        case SuspectState.CLEARED:
            return 0, 0
        case SuspectState.SUSPECTED:
            return 1, suspect.ends
    return 2, suspect.quarantines
