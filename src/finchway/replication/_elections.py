"""Elections of the replicated log: pre-votes, votes, and when to give them.

The core inherits this part; it shares the core's state and does nothing on its own.
"""

from __future__ import annotations

from finchway.replication import _messages as m
from finchway.replication._ready import RoleName

# Part of the election time that a replica waits while it has heard no leader since it started.
# After a start of all replicas nobody leads, and every moment until someone does is lost; where
# there is a leader, its next heartbeat (a tenth of the election time) comes first, and pre-votes
# keep a hasty replica from disturbing it. A third is several round trips between regions.
UNLED_PART = 1 / 3


class Elections:
    """The part of a replica that stands for election and votes."""

    def _reset_election(self, now: float) -> None:
        part = UNLED_PART if self._heard_at == float("-inf") else 1.0
        self._election_at = now + part * self._timing.election * (1 + self._rng.random())

    def _ignores_term(self, message: m.AnyMessage) -> bool:
        if isinstance(message, m.VoteReply):
            return message.pre and message.granted
        if not isinstance(message, m.VoteRequest):
            return False
        return message.pre or (not message.transfer and self._hears_leader())

    def _hears_leader(self) -> bool:
        if self.is_leader:
            return True
        return self._leader is not None and self._now - self._heard_at < self._timing.election

    def _become_follower(self, term: int, leader: str | None) -> None:
        if term > self._term:
            self._term, self._vote = term, ""
        self._role = RoleName.FOLLOWER
        self._leader = leader
        self._progress = {}
        self._reads = []
        self._transfer = None
        self._reset_election(self._now)

    def _campaign(self, pre: bool, transfer: bool = False) -> None:
        self._reset_election(self._now)
        self._leader = None
        self._role = RoleName.CANDIDATE
        self._pre_vote = pre
        self._votes = {self._id}
        term = self._term + 1
        if not pre:
            self._term, self._vote = term, self._id
        for member in self._members.voters:
            if member.id != self._id:
                self._send(
                    m.VoteRequest(
                        **self._to(member.id, term),
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
        newest = (message.last_term, message.last_index)
        up_to_date = newest >= (self._log.last_term, self._log.last_index)
        if message.pre:
            granted = up_to_date and message.term > self._term and not self._hears_leader()
            reply_term = message.term if granted else self._term
        else:
            free = self._vote in ("", message.sender)
            granted = up_to_date and message.term == self._term and free
            reply_term = self._term
            if granted:
                self._vote = message.sender
                self._reset_election(self._now)
        self._send(
            m.VoteReply(**self._to(message.sender, reply_term), pre=message.pre, granted=granted)
        )

    def _on_vote_reply(self, message: m.VoteReply) -> None:
        if self._role is not RoleName.CANDIDATE or message.pre != self._pre_vote:
            return
        expected = self._term + 1 if message.pre else self._term
        if message.granted and message.term == expected:
            self._votes.add(message.sender)
            self._count_votes()

    def _become_leader(self) -> None:
        self._role = RoleName.LEADER
        self._leader = self._id
        self._progress = {}
        self._reads = []
        self._sync_progress()
        self._append_own(m.EntryKind.NOOP, b"")
