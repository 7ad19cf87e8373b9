"""Raft leader election: pre-votes, votes and election timeouts.

`Core` inherits `ElectionMixin`, which uses the state of the core and has none of its own.
"""

from __future__ import annotations

from finchway.replication import _messages as m
from finchway.replication._ready import RaftRole

# Fraction of the election timeout before the first election after a start. Shortens the time
# without a leader when all replicas restart. An existing leader sends its heartbeat earlier than
# that, and pre-votes protect it from a premature election. A third is several round trips between
# regions.
INITIAL_ELECTION_FRACTION = 1 / 3


class ElectionMixin:
    """Campaigning and voting of one replica."""

    def _reset_election(self, now: float) -> None:
        fraction = INITIAL_ELECTION_FRACTION if self._leader_contact_at == float("-inf") else 1.0
        self._election_at = now + fraction * self._timing.election * (1 + self._rng.random())

    def _ignores_term(self, message: m.AnyMessage) -> bool:
        if isinstance(message, m.VoteReply):
            return message.pre and message.granted
        if not isinstance(message, m.VoteRequest):
            return False
        return message.pre or (not message.transfer and self._has_recent_leader())

    def _has_recent_leader(self) -> bool:
        if self.is_leader:
            return True
        return (
            self._leader is not None and self._now - self._leader_contact_at < self._timing.election
        )

    def _become_follower(self, term: int, leader: str | None) -> None:
        if term > self._term:
            self._term, self._vote = term, ""
        self._role = RaftRole.FOLLOWER
        self._leader = leader
        self._progress = {}
        self._reads = []
        self._transfer = None
        self._reset_election(self._now)

    def _campaign(self, pre: bool, transfer: bool = False) -> None:
        self._reset_election(self._now)
        self._leader = None
        self._role = RaftRole.CANDIDATE
        self._pre_vote = pre
        self._votes = {self._id}
        term = self._term + 1
        if not pre:
            self._term, self._vote = term, self._id
        for member in self._members.voters:
            if member.id != self._id:
                self._send(
                    m.VoteRequest(
                        **self._envelope(member.id, term),
                        pre=pre,
                        last_index=self._log.last_index,
                        last_term=self._log.last_term,
                        transfer=transfer,
                    )
                )
        self._count_votes()

    def _count_votes(self) -> None:
        voters = {member.id for member in self._members.voters}
        if len(self._votes & voters) < self._members.quorum:
            return
        if self._pre_vote:
            self._campaign(pre=False)
        else:
            self._become_leader()

    def _on_vote_request(self, message: m.VoteRequest) -> None:
        candidate_log = (message.last_term, message.last_index)
        up_to_date = candidate_log >= (self._log.last_term, self._log.last_index)
        if message.pre:
            granted = up_to_date and message.term > self._term and not self._has_recent_leader()
            reply_term = message.term if granted else self._term
        else:
            can_vote = self._vote in ("", message.sender)
            granted = up_to_date and message.term == self._term and can_vote
            reply_term = self._term
            if granted:
                self._vote = message.sender
                self._reset_election(self._now)
        self._send(
            m.VoteReply(
                **self._envelope(message.sender, reply_term), pre=message.pre, granted=granted
            )
        )

    def _on_vote_reply(self, message: m.VoteReply) -> None:
        if self._role is not RaftRole.CANDIDATE or message.pre != self._pre_vote:
            return
        expected = self._term + 1 if message.pre else self._term
        if message.granted and message.term == expected:
            self._votes.add(message.sender)
            self._count_votes()

    def _become_leader(self) -> None:
        self._role = RaftRole.LEADER
        self._leader = self._id
        self._progress = {}
        self._reads = []
        self._sync_progress()
        self._append_as_leader(m.EntryKind.NOOP, b"")
