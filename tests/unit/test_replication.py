"""Raft safety and liveness under message loss, delays, duplicates, crashes and partitions."""

from __future__ import annotations

import tempfile
from contextlib import contextmanager
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from finchway.control._replica_set import ReplicaSetPlanner
from finchway.exceptions import ConflictError
from finchway.replication import Core, Member, Members, RaftRole, Restored, Snapshot
from tests.raft import Cluster

# Seconds by which the clock of a replica jumps when its machine resumes from suspension.
CLOCK_JUMP_S = 5.0
FAULTS = ("crash", "torn", "cut", "one-way", "loss", "heal-net", "restart", "compact", "read")


@contextmanager
def folder():
    with tempfile.TemporaryDirectory() as path:
        yield Path(path)


def inject(cluster: Cluster, fault: str, target: int, step: int) -> None:
    """Inject one fault at one replica."""
    names = sorted(cluster.nodes)
    node = cluster.nodes[names[target % len(names)]]
    match fault:
        case "crash" if node.is_up:
            cluster.crash(node)
        case "torn" if node.is_up:
            node.files.torn = True
            node.files.crash_at = node.files.steps + step
        case "cut":
            cluster.isolate(node.member.id)
        case "one-way":
            cluster.isolate(node.member.id, both=False)
        case "loss":
            cluster.loss, cluster.duplicates = 0.2, 0.2
            cluster.delay = (0.001, 0.3)
        case "heal-net":
            cluster.cuts.clear()
            cluster.loss = 0.0
        case "restart" if not node.is_up:
            cluster.start(node)
        case "compact" if node.is_up:
            cluster.compact(node)
        case "read":
            cluster.read()


SCRIPT = st.lists(
    st.tuples(
        st.sampled_from(FAULTS),
        st.integers(0, 4),
        st.integers(1, 4),
        st.integers(0, 5),
        st.floats(0.05, 1.5),
    ),
    min_size=3,
    max_size=14,
)


def run_script(cluster: Cluster, script) -> None:
    """Inject a sequence of faults, with commands and reads in between; then heal and check."""
    cluster.run(2.5)
    for fault, target, step, commands, pause in script:
        inject(cluster, fault, target, step)
        for _ in range(commands):
            cluster.propose()
        cluster.read()
        cluster.run(pause)
    cluster.heal()
    cluster.check()


@settings(
    max_examples=150, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
@given(seed=st.integers(0, 10_000), size=st.sampled_from([3, 5]), script=SCRIPT)
def test_committed_entries_survive_random_faults(seed, size, script):
    with folder() as path:
        run_script(Cluster(path, seed, size), script)


def test_single_replica_commits_alone(tmp_path):
    cluster = Cluster(tmp_path, 1, 1)
    cluster.run_until(lambda: cluster.leader() is not None)
    assert cluster.propose()
    cluster.run(0.1)
    assert len(cluster.leader().applied) == 1


def test_isolated_leader_steps_down_and_its_entry_is_not_committed(tmp_path):
    cluster = Cluster(tmp_path, 2)
    cluster.run_until(lambda: cluster.leader() is not None)
    old = cluster.leader()
    cluster.isolate(old.member.id)
    old.core.propose(b"command-lost")
    cluster.process_ready(old)
    cluster.run_until(lambda: not old.core.is_leader)
    cluster.run_until(lambda: cluster.leader() is not None)
    assert cluster.leader() is not old
    cluster.heal()
    assert all(data != b"command-lost" for _, data in old.applied)
    cluster.check()


def test_leader_with_one_way_partition_is_replaced(tmp_path):
    """The leader receives messages, but its own are lost."""
    cluster = Cluster(tmp_path, 3)
    cluster.run_until(lambda: cluster.leader() is not None)
    old = cluster.leader()
    cluster.isolate(old.member.id, both=False)
    cluster.run_until(lambda: cluster.leader() not in (None, old))
    cluster.heal()
    cluster.check()


def test_pre_vote_protects_the_leader_from_a_returning_replica(tmp_path):
    cluster = Cluster(tmp_path, 4)
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.run(1.0)
    leader = cluster.leader()
    term = leader.core.term
    isolated = next(n for n in cluster.nodes.values() if n is not leader)
    cluster.isolate(isolated.member.id)
    cluster.run(10.0)
    cluster.cuts.clear()
    cluster.run(3.0)
    assert cluster.leader() is leader
    assert leader.core.term == term


def test_leadership_transfer(tmp_path):
    cluster = Cluster(tmp_path, 5)
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.propose()
    cluster.run(0.5)
    old = cluster.leader()
    target = next(n for n in cluster.nodes.values() if n is not old)
    old.core.transfer(target.member.id)
    cluster.process_ready(old)
    started = cluster.now
    cluster.run_until(lambda: target.core.is_leader, limit=2.0)
    assert cluster.now - started < 0.5
    cluster.heal()
    cluster.check()


def test_membership_changes_one_voter_at_a_time(tmp_path):
    cluster = Cluster(tmp_path, 6)
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.run(0.5)
    core = cluster.leader().core
    with pytest.raises(ConflictError, match="one voter at a time"):
        core.change_members(Members(core.members.voters[:1]))
    with pytest.raises(ConflictError):
        core.change_members(Members((Member("x", "1"), Member("y", "1"), Member("z", "1"))))
    core.change_members(Members(core.members.voters[:2]))
    with pytest.raises(ConflictError, match="not committed yet"):
        core.change_members(Members(core.members.voters[:1]))


def replace_replica(cluster: Cluster, fresh) -> None:
    """Replace a replica's old incarnation by its new one, as the control role does."""
    plan = ReplicaSetPlanner()
    plan.record_join(fresh.member)

    def done() -> bool:
        leader = cluster.leader()
        if leader is not None:
            wanted = plan.next_members(leader.core)
            if wanted is not None:
                try:
                    leader.core.change_members(wanted)
                    cluster.process_ready(leader)
                except ConflictError:
                    pass
        return leader is not None and leader.core.members.is_voter(fresh.member.id)

    cluster.run_until(done, limit=60.0)
    cluster.run(1.0)


def test_crash_of_another_replica_after_a_replacement_loses_nothing(tmp_path):
    cluster = Cluster(tmp_path, 7)
    cluster.run_until(lambda: cluster.leader() is not None)
    for _ in range(20):
        cluster.propose()
    cluster.run(0.5)
    for node in cluster.nodes.values():
        cluster.compact(node)
    lost = next(n for n in cluster.nodes.values() if not n.core.is_leader)
    fresh = cluster.wipe(lost, "2")
    replace_replica(cluster, fresh)
    survivors = [n for n in cluster.nodes.values() if n is not fresh]
    second = survivors[0]
    cluster.crash(second)
    cluster.run_until(lambda: cluster.leader() is not None and cluster.leader().is_up)
    cluster.run(2.0)
    assert cluster.propose()
    cluster.run(1.0)
    assert len(cluster.leader().applied) == 21
    cluster.start(second)
    cluster.heal()
    cluster.check()


def test_replica_with_lost_disk_does_not_vote_under_its_old_identity(tmp_path):
    """With two of three disks lost, the remaining replica must keep the committed entries."""
    cluster = Cluster(tmp_path, 8)
    cluster.run_until(lambda: cluster.leader() is not None)
    for _ in range(5):
        cluster.propose()
    cluster.run(0.5)
    survivor = cluster.leader()
    for node in [n for n in cluster.nodes.values() if n is not survivor]:
        cluster.wipe(node, "2")
    cluster.run(10.0)
    others = [n for n in cluster.nodes.values() if n is not survivor]
    assert all(n.core.role is RaftRole.FOLLOWER for n in others)
    assert cluster.leader() is None, "an empty replica helped to elect a leader"
    assert len(survivor.applied) == 5


# Mutation tests: each injected fault below must make the checks fail.


class AcknowledgesBeforeSync(Cluster):
    """Violates the sync order: acknowledges entries before they are written."""

    def save(self, node, ready):
        if self.rng.random() < 0.5:
            super().save(node, ready)


class LosesVote(Cluster):
    """Violates vote persistence: does not store term and vote."""

    def save(self, node, ready):
        ready.hard_state = None
        super().save(node, ready)


class CommitsEarlierTerms(Core):
    """Violates the commit rule: commits entries of earlier terms by counting replicas."""

    def _advance_commit(self):
        voters = [member.id for member in self._members.voters]
        matches = sorted(
            self._stable if replica == self._id else self._progress[replica].match
            for replica in voters
            if replica == self._id or replica in self._progress
        )
        candidate = matches[len(voters) - self._members.quorum]
        if candidate > self._commit:
            self._commit = candidate


class ReadsWithoutQuorum(Core):
    """Violates read confirmation: a leader answers reads without contacting a quorum."""

    def read(self, token):
        self._ready_reads.append((token, self._commit))


def test_injected_fault_in_sync_order_is_detected(tmp_path):
    def lose_acknowledged(cluster: Cluster) -> None:
        cluster.run_until(lambda: cluster.leader() is not None)
        for _ in range(6):
            cluster.propose()
            cluster.run(0.2)
        for node in list(cluster.nodes.values()):
            cluster.crash(node)
        cluster.heal()
        cluster.check()

    lose_acknowledged(Cluster(tmp_path / "sound", 1))
    with pytest.raises(Exception):  # noqa: B017
        lose_acknowledged(AcknowledgesBeforeSync(tmp_path / "faulty", 1))


def test_injected_fault_in_vote_persistence_is_detected(tmp_path):
    def vote_twice(cluster: Cluster) -> None:
        """A voter grants a vote, restarts, and receives a request of another candidate."""
        names = sorted(cluster.nodes)
        voter = cluster.nodes[names[2]]
        granted = []
        for candidate in names[:2]:
            core = cluster.nodes[candidate].core
            core._campaign(pre=False)
            requests = [m for m in core.take().messages if m.target == voter.member.id]
            voter.core.step(requests[0], cluster.now)
            ready = voter.core.take()
            cluster.save(voter, ready)
            granted += [m.granted for m in ready.messages]
            cluster.crash(voter)
            cluster.start(voter)
        assert granted.count(True) == 1, "two candidates were elected in one term"

    vote_twice(Cluster(tmp_path / "sound", 1))
    with pytest.raises(AssertionError, match="one term"):
        vote_twice(LosesVote(tmp_path / "faulty", 1))


def test_injected_fault_in_commit_rule_is_detected(tmp_path):
    sound = Cluster(tmp_path / "sound", 3, 3)
    commit_old_term(sound)
    faulty = type("Faulty", (Cluster,), {"core_type": CommitsEarlierTerms})
    with pytest.raises(AssertionError, match="earlier term"):
        commit_old_term(faulty(tmp_path / "faulty", 3, 3))


def commit_old_term(cluster: Cluster) -> None:
    """A new leader must not commit an earlier entry before one of its own term."""
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.run(0.5)
    first = cluster.leader()
    near, far = [n for n in cluster.nodes.values() if n is not first]
    cluster.isolate(first.member.id)
    first.core.propose(b"command-old")
    cluster.process_ready(first)
    cluster.crash(first)
    cluster.start(first)
    core = first.core
    core._term, core._vote = core._term + 1, core.id
    core._become_leader()
    own = core.last_index
    core.take()
    core._stable = own - 1
    core._progress[near.member.id].match = own - 1
    core._progress[far.member.id].match = 0
    core._advance_commit()
    assert core.commit < own - 1, "an entry of an earlier term was committed by counting copies"


def test_injected_fault_in_read_confirmation_is_detected(tmp_path):
    def read_at_deposed_leader(cluster: Cluster) -> None:
        cluster.run_until(lambda: cluster.leader() is not None)
        cluster.run(0.5)
        old = cluster.leader()
        cluster.isolate(old.member.id)
        # Keeps the old leader from stepping down for lack of a quorum.
        old.core._timing = type(old.core._timing)(election=60.0)
        cluster.run_until(lambda: cluster.leader() is not old)
        cluster.propose()
        cluster.run(0.5)
        cluster.read()
        cluster.run(0.5)
        cluster.check()

    read_at_deposed_leader(Cluster(tmp_path / "sound", 9))
    faulty = type("Faulty", (Cluster,), {"core_type": ReadsWithoutQuorum})
    with pytest.raises(AssertionError, match="a read missed"):
        read_at_deposed_leader(faulty(tmp_path / "faulty", 9))


def test_injected_fault_in_incarnation_is_detected(tmp_path):
    """A replica that lost its disk must not rejoin under its old identity."""

    def lose_a_disk(cluster: Cluster, incarnation: str) -> None:
        cluster.run_until(lambda: cluster.leader() is not None)
        cluster.run(0.5)
        leader = cluster.leader()
        near, far = [n for n in cluster.nodes.values() if n is not leader]
        cluster.isolate(far.member.id)
        for _ in range(3):
            cluster.propose()
        cluster.run(0.5)
        members = leader.core.members
        cluster.crash(leader)
        fresh = cluster.wipe(near, incarnation)
        if incarnation == near.member.incarnation:
            empty = Snapshot(1, 1, members, b"")
            fresh.storage.save_snapshot(empty)
            cluster.start_core(fresh, Restored(snapshot=empty))
        cluster.cuts.clear()
        cluster.run(8.0)
        assert cluster.leader() is None, "a majority without the accepted commands was formed"

    lose_a_disk(Cluster(tmp_path / "sound", 10), "2")
    with pytest.raises(AssertionError, match="two different entries"):
        lose_a_disk(Cluster(tmp_path / "faulty", 10), "1")


@pytest.mark.parametrize("seed", range(8))
def test_leader_is_elected_within_one_election_timeout_after_a_full_restart(seed):
    """Guards against an interval without a leader when all replicas restart."""
    with folder() as path:
        cluster = Cluster(path, seed, 5)
        cluster.run_until(cluster.leader)
        for node in cluster.nodes.values():
            cluster.crash(node)
        cluster.run(1.0)
        for node in cluster.nodes.values():
            cluster.start(node)
        started = cluster.now
        cluster.run_until(cluster.leader)
        assert cluster.now - started < 1.0
        cluster.run(3.0)
        cluster.check()


def test_restarted_replica_does_not_disrupt_the_leader():
    with folder() as path:
        cluster = Cluster(path, 3, 5)
        cluster.run_until(cluster.leader)
        cluster.run(1.0)
        leader = cluster.leader()
        term = leader.core.term
        for node in [n for n in cluster.nodes.values() if n is not leader]:
            cluster.crash(node)
            cluster.start(node)
            cluster.run(1.5)
        assert cluster.leader() is leader
        assert leader.core.term == term


def test_suspended_leader_steps_down_and_confirms_no_read(tmp_path):
    cluster = Cluster(tmp_path, 7)
    cluster.run_until(cluster.leader)
    cluster.run(1.0)
    leader = cluster.leader()
    # No message of the others is delivered before the leader resumes.
    cluster.isolate(leader.member.id)
    leader.core.read(99)
    cluster.process_ready(leader)
    assert 99 not in [token for token, _ in cluster.finished_reads]
    leader.core.tick(cluster.now + CLOCK_JUMP_S)
    assert not leader.core.is_leader
    assert 99 not in [token for token, _ in cluster.finished_reads]


def test_suspended_follower_has_no_recent_leader_contact(tmp_path):
    cluster = Cluster(tmp_path, 8)
    cluster.run_until(cluster.leader)
    cluster.run(1.0)
    follower = next(n for n in cluster.nodes.values() if not n.core.is_leader)
    assert follower.core.had_leader_contact_within(1.5)
    follower.core.tick(cluster.now + CLOCK_JUMP_S)
    assert not follower.core.had_leader_contact_within(1.5)
