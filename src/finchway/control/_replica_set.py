"""Plans changes of the replica set, one voter at a time, without I/O.

A replica that restarts without its data requests to join under a new incarnation and becomes a
learner. Once the learner has caught up, its old incarnation is removed and it is promoted.
"""

from __future__ import annotations

from msgspec.structs import replace

from finchway.replication import Core, Member, Members

SILENT_AFTER_S = 3.0
REPLACE_AFTER_S = 2.5
CAUGHT_UP_MAX_LAG = 16


class ReplicaSetPlanner:
    """Collects join requests and picks the next change of the replica set; runs on the leader."""

    __slots__ = ("_joiners", "_auto_join_voters")

    def __init__(self, auto_join_voters: int = 0) -> None:
        """Any replica may join up to `auto_join_voters` voters; 0 disables it."""
        self._auto_join_voters = auto_join_voters
        self._joiners: dict[str, Member] = {}

    @property
    def joiners(self) -> list[Member]:
        """The replicas that have requested to join, sorted by name."""
        return [self._joiners[name] for name in sorted(self._joiners)]

    def record_join(self, member: Member) -> None:
        """Record a join request."""
        self._joiners[member.name] = member

    def next_members(self, core: Core) -> Members | None:
        """Return the next replica set to propose, or None; at most one voter differs."""
        for joiner in self.joiners:
            if core.members.is_voter(joiner.id):
                del self._joiners[joiner.name]
                continue
            changed = _admit(joiner, core, self._auto_join_voters > 0)
            if changed is not None:
                return changed
        return _promote(core, self._auto_join_voters)


def with_expected(members: Members, name: str) -> Members:
    """Return the replica set with one more name that is allowed to join."""
    if name in members.expected or any(m.name == name for m in members.voters):
        return members
    return replace(members, expected=(*members.expected, name))


def without_name(members: Members, name: str) -> Members:
    """Return the replica set without any incarnation of a replica."""
    return Members(
        tuple(m for m in members.voters if m.name != name),
        tuple(m for m in members.learners if m.name != name),
        tuple(expected for expected in members.expected if expected != name),
    )


def _admit(joiner: Member, core: Core, is_open: bool) -> Members | None:
    """Add a replica as a learner if its name is expected or its old incarnation is silent.

    Where any replica may join, names are addresses, so a new incarnation implies that the old
    one has ended.
    """
    members = core.members
    if members.find(joiner.id) is not None:
        return None
    same_name = [m for m in members.voters + members.learners if m.name == joiner.name]
    if not same_name and joiner.name not in members.expected and not is_open:
        return None
    if not is_open and any(core.seconds_since_reply(m.id) < SILENT_AFTER_S for m in same_name):
        return None
    learners = tuple(m for m in members.learners if m.name != joiner.name)
    return replace(members, learners=(*learners, joiner))


def _promote(core: Core, max_voters: int) -> Members | None:
    """Promote a learner that has caught up; the voter that it replaces is removed first.

    That is its old incarnation or, if there are `max_voters` already, a silent voter.
    """
    members = core.members
    for learner in members.learners:
        if not _has_caught_up(core, learner):
            continue
        old = [v for v in members.voters if v.name == learner.name]
        if not old and max_voters and len(members.voters) >= max_voters:
            old = [v for v in members.voters if core.seconds_since_reply(v.id) >= REPLACE_AFTER_S]
            if not old:
                continue
        if old:
            voters = tuple(v for v in members.voters if v.id != old[0].id)
            return replace(members, voters=voters)
        return Members(
            (*members.voters, learner),
            tuple(m for m in members.learners if m.id != learner.id),
            tuple(name for name in members.expected if name != learner.name),
        )
    return None


def _has_caught_up(core: Core, learner: Member) -> bool:
    match = core.match_index_of(learner.id)
    is_live = core.seconds_since_reply(learner.id) < SILENT_AFTER_S
    return is_live and match > 0 and match + CAUGHT_UP_MAX_LAG >= core.last_index
