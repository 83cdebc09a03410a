"""Tests of voter changes with a limit on the number of voters."""

import random

import pytest

from ridgesill.core.commands import Node
from ridgesill.core.following import Beat
from ridgesill.core.log.messages import AppendResponse, StoredLog, Voters
from ridgesill.core.log.messages import HardState as State
from ridgesill.core.log.replica import (
    ChangeVoters,
    Replica,
    make_initial_snapshot,
)
from ridgesill.core.voter_changes import decide_change

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

    def decide(self, identity: str, max_voters: int) -> Voters | None:
        """Makes the next change for a learner; returns its voters, or None."""
        change = decide_change(
            self.replica, [beat(identity)], self.now, max_voters
        )
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
        leader.now = 20.0
        leader.acknowledge(*_VOTERS[1:], _NEW)
        assert leader.decide(_NEW, 3) is None

    def test_a_new_node_replaces_a_silent_voter(self, leader: Leader) -> None:
        leader.decide(_NEW, 3)
        leader.now = 20.0
        leader.acknowledge(_VOTERS[1], _NEW)
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
