"""Tests of log replicas, singly, in a cluster and under random faults."""

import random

import pytest

from ridgesill.core import codec
from ridgesill.core.log.messages import (
    AppendRequest,
    AppendResponse,
    Entry,
    HardState,
    StoredLog,
    Timing,
    VoteRequest,
    VoteResponse,
    Voters,
)
from ridgesill.core.log.replica import (
    LEADER,
    ChangeVoters,
    NoOp,
    Replica,
    make_initial_snapshot,
)
from testing.core.log.cluster import Cluster, Faults, Violation, Write
from testing.core.log.replacements import ReplacementSchedule
from testing.core.log.schedules import Schedule

_NAMES = ("a.0", "b.0", "c.0")
_SCHEDULES = 1000
_EXTRA_SCHEDULES = 20_000
_REPLACEMENT_SCHEDULES = 25
_EXTRA_REPLACEMENT_SCHEDULES = 2000


def make_stable_cluster(seed: int = 1) -> Cluster:
    """Returns a cluster that has a leader and a network without faults."""
    faults = Faults(loss_share=0, duplication_share=0, slow_share=0)
    cluster = Cluster(_NAMES, seed, faults)
    cluster.run(5.0)
    assert cluster.leader()
    return cluster


class TestElection:
    def test_one_leader_is_elected(self) -> None:
        cluster = make_stable_cluster()
        leading = [
            m for m in cluster.members.values() if m.replica.role == LEADER
        ]
        assert len(leading) == 1

    def test_a_lost_leader_is_replaced_within_five_seconds(self) -> None:
        cluster = make_stable_cluster()
        first = cluster.leader()
        cluster.crash(first)
        cluster.run(5.0)
        assert cluster.leader() not in ("", first)

    @pytest.mark.parametrize("seed", range(20))
    def test_a_new_leader_is_elected_within_the_longest_timeout(
        self, seed: int
    ) -> None:
        # Guards against split votes: with random election timeouts, three
        # voters left of five, which must all agree, took 2.5 s.
        cluster = Cluster(
            ("n1", "n2", "n3", "n4", "n5"), seed, Faults(0.0, 0.0, 0.01, 0.0)
        )
        cluster.run(8.0)
        first = cluster.leader()
        cluster.crash(first)
        cluster.crash(next(name for name in cluster.members if name != first))
        timing = Timing()
        cluster.run(timing.election_max + 0.2)
        assert cluster.leader() not in ("", first)

    @pytest.mark.parametrize("seed", range(10))
    def test_a_quickly_restarted_leader_is_elected_again(
        self, seed: int
    ) -> None:
        # Any other leader would have to wait for the old one's lease to end
        # before its first order.
        cluster = Cluster(
            ("n1", "n2", "n3", "n4", "n5"), seed, Faults(0.0, 0.0, 0.01, 0.0)
        )
        cluster.run(8.0)
        first = cluster.leader()
        cluster.crash(first)
        cluster.run(0.8)
        cluster.restart(first)
        cluster.members[first].replica.schedule_election(cluster.now, 0.15)
        cluster.run(0.35)
        assert cluster.leader() == first

    def test_a_new_leader_bounds_when_its_predecessor_led(self) -> None:
        cluster = make_stable_cluster()
        first = cluster.leader()
        cut_at = cluster.now
        cluster.isolate(first, inbound=True, outbound=True)
        cluster.run(6.0)
        later = cluster.members[cluster.leader()].replica
        assert cluster.leader() != first
        assert cut_at - Timing().heartbeat < later.predecessor_until
        assert later.predecessor_until < cut_at + 0.1

    def test_a_returning_voter_does_not_disturb_the_leader(self) -> None:
        cluster = make_stable_cluster()
        leader = cluster.leader()
        term = cluster.members[leader].replica.term
        other = next(n for n in _NAMES if n != leader)
        cluster.isolate(other, inbound=True, outbound=True)
        cluster.run(60.0)
        cluster.heal()
        cluster.run(5.0)
        assert cluster.leader() == leader
        assert cluster.members[leader].replica.term == term

    def test_a_voter_without_inbound_messages_does_not_disturb_the_leader(
        self,
    ) -> None:
        cluster = make_stable_cluster()
        leader = cluster.leader()
        other = next(n for n in _NAMES if n != leader)
        cluster.isolate(other, inbound=True, outbound=False)
        cluster.run(60.0)
        assert cluster.leader() == leader

    def test_a_leader_without_a_quorum_steps_down(self) -> None:
        cluster = make_stable_cluster()
        leader = cluster.leader()
        cluster.isolate(leader, inbound=True, outbound=True)
        cluster.run(5.0)
        assert cluster.members[leader].replica.role != LEADER

    def test_a_longer_log_under_an_older_term_still_wins(self) -> None:
        faults = Faults(loss_share=0, duplication_share=0, slow_share=0)
        cluster = Cluster(_NAMES, 1, faults)
        long_log, short_log, stopped = _NAMES
        command = codec.encode(NoOp())
        entries = [Entry(index, 2, command) for index in (1, 2, 3)]
        disks = {name: cluster.members[name].disk for name in _NAMES}
        disks[long_log].hard_state = HardState(2, long_log)
        disks[long_log].entries = entries
        disks[short_log].hard_state = HardState(3, short_log)
        disks[short_log].entries = entries[:1]
        for name in _NAMES:
            cluster.crash(name)
        cluster.restart(long_log)
        cluster.restart(short_log)
        cluster.run(10.0)
        assert cluster.leader() == long_log


class TestReplication:
    def test_a_command_is_applied_everywhere(self) -> None:
        cluster = make_stable_cluster()
        cluster.propose(cluster.leader(), Write("x"))
        cluster.run(1.0)
        for name in _NAMES:
            cluster.check_applied_all(name)
        assert cluster.acknowledged == {"x"}

    def test_followers_learn_of_a_commit_before_the_next_heartbeat(
        self,
    ) -> None:
        cluster = make_stable_cluster()
        heartbeat = Timing().heartbeat
        for _ in range(20):
            cluster.propose(cluster.leader(), Write("x"))
            cluster.run(heartbeat * 0.6)
            commits = {m.replica.commit_index for m in cluster.members.values()}
            assert len(commits) == 1

    def test_a_follower_refuses_a_proposal(self) -> None:
        cluster = make_stable_cluster()
        other = next(n for n in _NAMES if n != cluster.leader())
        assert cluster.propose(other, Write("x")) is None

    def test_a_follower_too_far_behind_gets_a_snapshot(self) -> None:
        cluster = make_stable_cluster()
        leader = cluster.leader()
        other = next(n for n in _NAMES if n != leader)
        cluster.crash(other)
        for number in range(200):
            cluster.propose(leader, Write(f"v{number}"))
            cluster.run(0.1)
        cluster.compact(leader)
        cluster.restart(other)
        cluster.run(5.0)
        cluster.check_applied_all(other)

    def test_an_isolated_leader_commits_nothing(self) -> None:
        cluster = make_stable_cluster()
        leader = cluster.leader()
        cluster.isolate(leader, inbound=True, outbound=True)
        cluster.propose(leader, Write("lost"))
        cluster.run(10.0)
        assert "lost" not in cluster.acknowledged


class TestQuorumConfirmedAt:
    def test_it_advances_while_a_quorum_answers(self) -> None:
        cluster = make_stable_cluster()
        replica = cluster.members[cluster.leader()].replica
        assert cluster.now - replica.quorum_confirmed_at(cluster.now) < 0.5

    def test_it_does_not_advance_without_a_quorum(self) -> None:
        cluster = make_stable_cluster()
        leader = cluster.leader()
        replica = cluster.members[leader].replica
        cluster.isolate(leader, inbound=True, outbound=True)
        cut_at = cluster.now
        cluster.run(1.0)
        assert replica.quorum_confirmed_at(cluster.now) <= cut_at

    def test_a_follower_confirms_nothing(self) -> None:
        cluster = make_stable_cluster()
        other = next(n for n in _NAMES if n != cluster.leader())
        replica = cluster.members[other].replica
        assert replica.quorum_confirmed_at(cluster.now) == float("-inf")


class TestChangeVoters:
    def test_a_replaced_disk_counts_towards_the_quorum(self) -> None:
        cluster = make_stable_cluster()
        leader = cluster.leader()
        cluster.propose(leader, Write("before"))
        lost, second = (n for n in _NAMES if n != leader)
        cluster.wipe(lost)
        new = lost.replace(".0", ".1")
        cluster.add(new)
        remaining = tuple(n for n in _NAMES if n != lost)
        for change in (
            Voters(_NAMES, (new,)),
            Voters(remaining, (new,)),
            Voters((*remaining, new)),
        ):
            cluster.run(2.0)
            assert cluster.propose(leader, ChangeVoters(change))
        cluster.run(2.0)
        cluster.crash(second)
        cluster.propose(cluster.leader(), Write("after"))
        cluster.run(5.0)
        cluster.check_applied_all(new)
        assert cluster.acknowledged == {"before", "after"}

    def test_a_second_change_waits_for_the_first(self) -> None:
        cluster = make_stable_cluster()
        leader = cluster.leader()
        change = ChangeVoters(Voters(_NAMES, ("d.0",)))
        assert cluster.propose(leader, change)
        assert cluster.propose(leader, change) is None


def make_replica(
    name: str, hard_state: HardState, terms: tuple[int, ...]
) -> Replica:
    """Returns a replica of three whose log has entries of these terms."""
    command = codec.encode(NoOp())
    entries = tuple(Entry(n, term, command) for n, term in enumerate(terms, 1))
    stored = StoredLog(hard_state, entries, make_initial_snapshot(_NAMES, b""))
    return Replica(name, stored, 0.0, random.Random(1))


def votes_granted(replica: Replica) -> list[bool]:
    """Returns, for each vote response just sent, whether it grants a vote."""
    messages = [send.message for send in replica.take_output().messages]
    return [m.granted for m in messages if isinstance(m, VoteResponse)]


class TestHardState:
    def test_a_vote_is_kept_over_a_restart(self) -> None:
        replica = make_replica("a.0", HardState(), ())
        replica.receive(VoteRequest(1, 0, 0, pre=False), "b.0", 0.1)
        output = replica.take_output()
        assert output.hard_state == HardState(1, "b.0")
        restarted = make_replica("a.0", output.hard_state, ())
        restarted.receive(VoteRequest(1, 0, 0, pre=False), "c.0", 0.2)
        assert votes_granted(restarted) == [False]


class TestCommit:
    def test_an_earlier_terms_entry_is_not_committed_by_count(self) -> None:
        replica = make_replica("a.0", HardState(3, "a.0"), (2,))
        replica.tick(10.0)
        replica.receive(VoteResponse(4, True, pre=True), "b.0", 10.1)
        replica.receive(VoteResponse(4, True, pre=False), "b.0", 10.2)
        assert (replica.role, replica.term) == (LEADER, 4)
        replica.receive(AppendResponse(4, True, 1, 10.2), "b.0", 10.3)
        assert replica.commit_index == 0
        replica.receive(AppendResponse(4, True, 2, 10.2), "b.0", 10.4)
        assert replica.commit_index == 2

    def test_a_follower_commits_only_what_matches(self) -> None:
        replica = make_replica("a.0", HardState(1, ""), (1, 1, 1))
        heartbeat = AppendRequest(2, 1, 1, (), 3, 0.0)
        replica.receive(heartbeat, "b.0", 0.1)
        assert replica.commit_index == 1


class TestSchedules:
    def test_invariants_hold_over_random_schedules(self) -> None:
        for seed in range(_SCHEDULES):
            try:
                Schedule(seed).run()
            except (Violation, AssertionError) as error:
                raise AssertionError(f"seed {seed}: {error}") from error

    @pytest.mark.long
    @pytest.mark.timeout(0)
    def test_invariants_hold_over_many_more_schedules(self) -> None:
        for seed in range(_SCHEDULES, _SCHEDULES + _EXTRA_SCHEDULES):
            Schedule(seed).run()


class TestReplacements:
    @pytest.mark.parametrize("catch_up_seconds", [4.0, 6.0])
    def test_replaced_voters_never_cost_the_quorum(
        self, catch_up_seconds: float
    ) -> None:
        """Guards against voters that are gone and still count."""
        for seed in range(_REPLACEMENT_SCHEDULES):
            play_replacements(seed, catch_up_seconds, with_returns=False)

    @pytest.mark.parametrize("catch_up_seconds", [4.0, 6.0])
    def test_returned_voters_never_cost_the_quorum(
        self, catch_up_seconds: float
    ) -> None:
        """Guards against nodes that run and don't vote."""
        for seed in range(_REPLACEMENT_SCHEDULES):
            play_replacements(seed, catch_up_seconds, with_returns=True)

    @pytest.mark.long
    @pytest.mark.timeout(0)
    @pytest.mark.parametrize("catch_up_seconds", [4.0, 6.0])
    def test_a_quorum_lasts_over_many_more_schedules(
        self, catch_up_seconds: float
    ) -> None:
        first, last = _REPLACEMENT_SCHEDULES, _EXTRA_REPLACEMENT_SCHEDULES
        for seed in range(first, last):
            play_replacements(seed, catch_up_seconds, with_returns=True)


def play_replacements(
    seed: int, catch_up_seconds: float, *, with_returns: bool
) -> None:
    """Plays a schedule; an error names its seed."""
    schedule = ReplacementSchedule(
        seed, catch_up_seconds, with_returns=with_returns
    )
    try:
        schedule.run()
    except Violation as error:
        raise AssertionError(f"seed {seed}: {error}") from error
