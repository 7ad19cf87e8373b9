"""Changes of the replica set, one replica at a time, without I/O.

A replica that comes back without its data asks to join under a new incarnation. It becomes a
learner, the old incarnation is taken out once it is silent, and the learner is promoted when it
has caught up. Only then does the repair count.
"""

from __future__ import annotations

from msgspec.structs import replace

from finchway.replication import Core, Member, Members

SILENT_S = 3.0
REPLACED_AFTER_S = 2.5
CAUGHT_UP_WITHIN = 16


class ReplicaPlan:
    """The leader's plan for the replica set: who asks to join, and what to change next."""

    __slots__ = ("_joiners", "_open_to")

    def __init__(self, open_to: int = 0) -> None:
        """`open_to` is the number of voters up to which any replica may join; 0 for none."""
        self._open_to = open_to
        self._joiners: dict[str, Member] = {}

    @property
    def joiners(self) -> list[Member]:
        """The replicas that ask to join, by name."""
        return [self._joiners[name] for name in sorted(self._joiners)]

    def record_join(self, member: Member) -> None:
        """Note that a replica asks to be taken in."""
        self._joiners[member.name] = member

    def next_members(self, core: Core) -> Members | None:
        """Return the replica set to propose now, or None; it differs by one voter at most."""
        for joiner in self.joiners:
            if core.members.is_voter(joiner.id):
                del self._joiners[joiner.name]
                continue
            changed = _admit(joiner, core, self._open_to > 0)
            if changed is not None:
                return changed
        return _promote(core, self._open_to)


def with_expected(members: Members, name: str) -> Members:
    """Return the replica set with one more name that may join."""
    if name in members.expected or any(m.name == name for m in members.voters):
        return members
    return replace(members, expected=(*members.expected, name))


def without_name(members: Members, name: str) -> Members:
    """Return the replica set without a replica, whatever its incarnation."""
    return Members(
        tuple(m for m in members.voters if m.name != name),
        tuple(m for m in members.learners if m.name != name),
        tuple(expected for expected in members.expected if expected != name),
    )


def _admit(joiner: Member, core: Core, is_open: bool) -> Members | None:
    """Take in a replica as a learner, if its name is expected or its earlier life is over.

    Where any replica may join, a name is an address, and a second life there ends the first.
    """
    members = core.members
    if members.find(joiner.id) is not None:
        return None
    same_name = [m for m in members.voters + members.learners if m.name == joiner.name]
    if not same_name and joiner.name not in members.expected and not is_open:
        return None
    if not is_open and any(core.silent_for(m.id) < SILENT_S for m in same_name):
        return None
    learners = tuple(m for m in members.learners if m.name != joiner.name)
    return replace(members, learners=(*learners, joiner))


def _promote(core: Core, most: int) -> Members | None:
    """Make a learner that has caught up a voter; whom it replaces is taken out first.

    That is its earlier life, or where `most` voters stand already, one that is silent.
    """
    members = core.members
    for learner in members.learners:
        if not _has_caught_up(core, learner):
            continue
        old = [v for v in members.voters if v.name == learner.name]
        if not old and most and len(members.voters) >= most:
            old = [v for v in members.voters if core.silent_for(v.id) >= REPLACED_AFTER_S]
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
    match = core.match_of(learner.id)
    heard = core.silent_for(learner.id) < SILENT_S
    return heard and match > 0 and match + CAUGHT_UP_WITHIN >= core.last_index
