"""Tests of voter changes with a limit on the number of voters."""

import random

import attrs
import pytest

from ridgesill.core.commands import Node
from ridgesill.core.following import Beat, HeardBeat
from ridgesill.core.log.messages import AppendResponse, StoredLog, Voters
from ridgesill.core.log.messages import HardState as State
from ridgesill.core.log.replica import (
    ChangeVoters,
    Replica,
    make_initial_snapshot,
)
from ridgesill.core.voter_changes import VoterPolicy, decide_change

_VOTERS = ("10.0.0.1:70.a", "10.0.0.2:70.b", "10.0.0.3:70.c")
_NEW = "10.0.0.9:70.z"


def beat(identity: str) -> Beat:
    """Returns the beat of a node with a disk that does not vote."""
    node_name = identity.rpartition(".")[0]
    return Beat(
        Node(node_name, "1", node_name, "a", identity), 0, 0, learner=True
    )


class Leader:
    """A leader whose followers answer on a test's command."""

    def __init__(self) -> None:
        snapshot = make_initial_snapshot(_VOTERS, b"", 1)
        self.replica = Replica(
            _VOTERS[0], StoredLog(State(), (), snapshot), 0.0, random.Random(1)
        )
        self.replica.term = 1
        self.replica._become_leader(0.0)
        self.now = 0.0

    def acknowledge(self, *identities: str) -> None:
        """Makes followers acknowledge the whole log at the current time."""
        for identity in identities:
            self.replica.progress.setdefault(
                identity, type(self.replica.progress[_VOTERS[1]])(1)
            )
            last = self.replica.log.last_index
            answer = AppendResponse(1, True, last, self.now)
            self.replica.receive(answer, identity, self.now)
        self.replica.take_output()

    def acknowledge_at(self, now: float, *identities: str) -> None:
        """Makes followers acknowledge the whole log at a later time."""
        self.now = now
        self.acknowledge(*identities)

    def decide(
        self,
        identity: str,
        max_voters: int,
        *others: HeardBeat,
        catch_up_seconds: float = 4.0,
    ) -> Voters | None:
        """Makes the next change for a learner; returns its voters, or None."""
        heard = [HeardBeat(beat(identity), 0.0), *others]
        policy = VoterPolicy(max_voters, catch_up_seconds)
        change = decide_change(self.replica, heard, self.now, policy)
        if change is None:
            return None
        assert isinstance(change, ChangeVoters)
        self.replica.propose(change, self.now)
        self.acknowledge(
            *[v for v in self.replica.voters.members if v != _VOTERS[0]]
        )
        return change.voters


@pytest.fixture
def leader() -> Leader:
    """Returns a leader that all followers have just acknowledged."""
    leader_of_voters = Leader()
    leader_of_voters.acknowledge(*_VOTERS[1:])
    return leader_of_voters


class TestBoundedVoters:
    def test_a_new_node_waits_while_every_voter_answers(
        self, leader: Leader
    ) -> None:
        assert leader.decide(_NEW, 3).learners == (_NEW,)
        leader.acknowledge_at(20.0, *_VOTERS[1:], _NEW)
        assert leader.decide(_NEW, 3) is None

    def test_a_new_node_replaces_a_silent_voter(self, leader: Leader) -> None:
        leader.decide(_NEW, 3)
        leader.acknowledge_at(20.0, _VOTERS[1], _NEW)
        reduced = leader.decide(_NEW, 3)
        assert set(reduced.voters) == set(_VOTERS[:2])
        final = leader.decide(_NEW, 3)
        assert set(final.voters) == {*_VOTERS[:2], _NEW}

    def test_a_wiped_voter_is_replaced_at_once(self, leader: Leader) -> None:
        successor = "10.0.0.3:70.d"
        leader.decide(successor, 3)
        leader.acknowledge(_VOTERS[1], successor)
        reduced = leader.decide(successor, 3)
        assert set(reduced.voters) == set(_VOTERS[:2])
        assert successor in leader.decide(successor, 3).voters


def voter_beat(
    identity: str, age: float = 0.0, *, stops: bool = False
) -> HeardBeat:
    """Returns the beat of a node that takes itself for a voter."""
    known = attrs.evolve(beat(identity), learner=False, draining=stops)
    return HeardBeat(known, age)


class TestReplacedVoters:
    @pytest.mark.parametrize("catch_up_seconds", [4.0, 6.0, 20.0])
    def test_a_silent_voter_is_replaced_within_the_catch_up_time(
        self, leader: Leader, catch_up_seconds: float
    ) -> None:
        """Guards against a fixed time that outlasts the one that is allowed."""
        leader.decide(_NEW, 3)
        leader.acknowledge_at(0.2 * catch_up_seconds, _VOTERS[1], _NEW)
        settings = {"catch_up_seconds": catch_up_seconds}
        assert leader.decide(_NEW, 3, **settings) is None
        leader.acknowledge_at(0.4 * catch_up_seconds, _VOTERS[1], _NEW)
        assert _VOTERS[2] not in leader.decide(_NEW, 3, **settings).voters
        assert _NEW in leader.decide(_NEW, 3, **settings).voters

    def test_no_catch_up_time_costs_an_answering_voter_its_vote(
        self, leader: Leader
    ) -> None:
        """Guards against heartbeats that count as silence."""
        leader.decide(_NEW, 3)
        leader.acknowledge_at(0.5, _VOTERS[1], _NEW)
        assert leader.decide(_NEW, 3, catch_up_seconds=0.0) is None
        leader.acknowledge_at(0.7, _VOTERS[1], _NEW)
        assert leader.decide(_NEW, 3, catch_up_seconds=0.0) is not None

    def test_a_voter_that_others_hear_keeps_its_vote(
        self, leader: Leader
    ) -> None:
        """Guards against a cut link of the leader alone that counts as loss."""
        leader.decide(_NEW, 3)
        leader.acknowledge_at(20.0, _VOTERS[1], _NEW)
        assert leader.decide(_NEW, 3, voter_beat(_VOTERS[2], 1.5)) is None
        assert leader.decide(_NEW, 3, voter_beat(_VOTERS[2], 2.0)) is not None

    def test_a_voter_whose_disk_is_lost_goes_before_a_silent_one(
        self, leader: Leader
    ) -> None:
        """Guards against the loss of a voter that may still return."""
        wiped = HeardBeat(beat("10.0.0.3:70.d"), 0.0)
        leader.decide(_NEW, 3, wiped)
        leader.decide(_NEW, 3, wiped)
        leader.replica.progress[_VOTERS[1]].acked_at = -1.0
        leader.acknowledge_at(20.0, _NEW)
        assert leader.decide(_NEW, 3, wiped).voters == _VOTERS[:2]

    def test_a_voter_that_stops_goes_after_its_successor_votes(
        self, leader: Leader
    ) -> None:
        """Guards against a voter too few while a replacement is under way."""
        leader.decide(_NEW, 3)
        stopping = voter_beat(_VOTERS[1], stops=True)
        grown = leader.decide(_NEW, 3, stopping)
        assert grown.voters == (*_VOTERS, _NEW)
        leader.now = 0.1
        reduced = leader.decide(_NEW, 3, stopping)
        assert set(reduced.voters) == {_VOTERS[0], _VOTERS[2], _NEW}

    def test_a_successor_that_is_lost_before_it_votes_gets_no_vote(
        self, leader: Leader
    ) -> None:
        """Guards against a vote for a node that can't be part of a quorum."""
        leader.decide(_NEW, 3)
        leader.acknowledge_at(20.0, _VOTERS[1])
        assert leader.decide(_NEW, 3) is None

    def test_a_learner_whose_node_is_gone_is_removed(
        self, leader: Leader
    ) -> None:
        """Guards against stops that wait for a successor that is gone."""
        leader.decide(_NEW, 3)
        leader.acknowledge_at(20.0, *_VOTERS[1:])
        change = decide_change(leader.replica, [], 20.0, VoterPolicy(3))
        assert change.voters == Voters(_VOTERS)


class TestReturningVoters:
    def test_a_dropped_voter_that_returns_is_taken_back(
        self, leader: Leader
    ) -> None:
        """Guards against a node that wrongly takes itself for a voter."""
        leader.decide(_NEW, 3)
        leader.acknowledge_at(20.0, _VOTERS[1], _NEW)
        leader.decide(_NEW, 3)
        assert _NEW in leader.decide(_NEW, 3).voters
        returned = voter_beat(_VOTERS[2])
        joined = leader.decide(_NEW, 3, returned)
        assert joined.learners == (_VOTERS[2],)
        stopping = voter_beat(_VOTERS[1], stops=True)
        assert _VOTERS[2] in leader.decide(_NEW, 3, returned, stopping).voters

    def test_a_node_that_stops_becomes_no_learner(self, leader: Leader) -> None:
        """Guards against a voter that is added again as it hands over."""
        stopping = voter_beat("10.0.0.7:70.s", stops=True)
        leader.decide(_NEW, 3)
        leader.acknowledge(*_VOTERS[1:], _NEW)
        assert leader.decide(_NEW, 3, stopping) is None
