"""The leader's decisions on which nodes become voters.

A voter is replaceable, and a node that was replaced may become a voter again.
A change is made only if a caught-up learner can take the vote, so that dropping
a voter that was merely slow costs nothing that the next change can't restore.
"""

from collections.abc import Iterable

import attrs

from ridgesill.core.following import Beat, HeardBeat
from ridgesill.core.log.messages import Voters
from ridgesill.core.log.replica import LEADER, ChangeVoters, Replica

# The largest number of entries a learner may lag behind to become a voter.
_MAX_LAG_ENTRIES = 8
# Silence towards the leader after which a voter may be replaced, as a share of
# the time in which a new node has to become a voter. An election takes up to
# 2.2 s of that time, starting and catching up the rest.
_SILENT_SHARE = 0.3
# The same for a voter that other voters still hear. It polls them in turn once
# it can't reach the leader, so that its relayed beats are further apart.
_UNHEARD_SHARE = 0.45
# A shorter silence than four heartbeats of the platform's log is no sign of a
# loss, however soon a new node has to be a voter.
_MIN_SILENT_SECONDS = 0.6


def node_name_of(identity: str) -> str:
    """Returns the node name of a voting identity (`name.generation`)."""
    return identity.rpartition(".")[0]


@attrs.frozen
class VoterPolicy:
    """How many voters there should be, and how soon they are replaced.

    Attributes:
        max_voters: the largest number of voters; 0 for no limit. At the limit
            a learner replaces a voter that is lost or stops, or waits.
        catch_up_seconds: the time after its start within which a new or
            returned node has to be a voter.
    """

    max_voters: int = 0
    catch_up_seconds: float = 4.0

    @property
    def silent_seconds(self) -> float:
        """Silence towards the leader after which a voter may be replaced."""
        return max(_SILENT_SHARE * self.catch_up_seconds, _MIN_SILENT_SECONDS)

    @property
    def unheard_seconds(self) -> float:
        """Silence towards all others after which it may be replaced."""
        return max(_UNHEARD_SHARE * self.catch_up_seconds, self.silent_seconds)


def decide_change(
    replica: Replica,
    heard: Iterable[HeardBeat],
    now: float = 0.0,
    policy: VoterPolicy | None = None,
) -> ChangeVoters | None:
    """Returns the next change of voters, or None if there is none to make.

    Each step changes one voter or one learner. Every live node with a disk that
    is no member becomes a learner, whatever its own log says: a voter that was
    dropped while it was off doesn't know so. A lost voter is removed before a
    learner takes its place, so that a quorum needs no more of the remaining
    ones than before; one that stops is removed after that, while it still
    counts.

    Args:
        replica: the leader's replica.
        heard: the beats of the live nodes.
        now: the current time, in seconds.
        policy: the number of voters and when to replace one.
    """
    if replica.role != LEADER or replica.has_pending_voter_change:
        return None
    view = _View(
        replica,
        {item.beat.node.name: item for item in heard if item.beat.node.voter},
        now,
        policy or VoterPolicy(),
    )
    change = (
        view.add_learner()
        or view.remove_surplus()
        or view.promote()
        or view.remove_learner()
    )
    return None if change is None else ChangeVoters(change)


@attrs.frozen
class _View:
    """What the leader knows when it decides on a change.

    Attributes:
        replica: the leader's replica.
        heard: the latest beats of nodes with a disk, by node name.
        now: the current time, in seconds.
        policy: the number of voters and when to replace one.
    """

    replica: Replica
    heard: dict[str, HeardBeat]
    now: float
    policy: VoterPolicy

    @property
    def voters(self) -> Voters:
        """The voters and learners in force."""
        return self.replica.voters

    def add_learner(self) -> Voters | None:
        """Adds a live node that is no member; forgets its lost identities."""
        for name, item in sorted(self.heard.items()):
            identity = item.beat.node.voter
            is_joining = not item.beat.draining
            if is_joining and identity not in self.voters.members:
                others = _without_node(self.voters.learners, name)
                return Voters(self.voters.voters, (*others, identity))
        return None

    def remove_surplus(self) -> Voters | None:
        """Removes a voter that need not stay, if there are too many."""
        if self._count_missing() >= 0:
            return None
        return self._remove(self._find_replaceable())

    def promote(self) -> Voters | None:
        """Makes room for a learner that has caught up, or gives it a vote."""
        for identity in self.voters.learners:
            if not self._is_sound(identity):
                continue
            earlier = self._find_earlier(identity)
            if earlier:
                return self._remove(earlier)
            if self._count_missing() > 0:
                return self._give_vote(identity)
            replaceable = self._find_replaceable()
            if replaceable and self._is_lost(replaceable):
                return self._remove(replaceable)
            if replaceable:
                return self._give_vote(identity)
        return None

    def remove_learner(self) -> Voters | None:
        """Removes a learner whose node is gone or has another identity."""
        for identity in self.voters.learners:
            if not self._is_current(identity) and self._is_silent(identity):
                kept = _without(self.voters.learners, identity)
                return Voters(self.voters.voters, kept)
        return None

    def _count_missing(self) -> float:
        """Returns how many voters may be added; below 0 if too many vote."""
        if not self.policy.max_voters:
            return float("inf")
        return self.policy.max_voters - len(self.voters.voters)

    def _give_vote(self, identity: str) -> Voters:
        learners = _without(self.voters.learners, identity)
        return Voters((*self.voters.voters, identity), learners)

    def _remove(self, identity: str) -> Voters | None:
        if not identity:
            return None
        kept = _without(self.voters.voters, identity)
        return Voters(kept, self.voters.learners)

    def _find_earlier(self, identity: str) -> str:
        """Returns the voter that a node was before it lost its disk."""
        name = node_name_of(identity)
        same = [v for v in self.voters.voters if node_name_of(v) == name]
        return same[0] if same else ""

    def _find_replaceable(self) -> str:
        """Returns the voter to replace first; empty if all have to stay.

        Those whose disk is lost come before those that stop, and these before
        silent ones, which may return.
        """
        voters = self.voters.voters
        for is_replaceable in (self._is_superseded, self._is_stopping):
            for voter in voters:
                if is_replaceable(voter):
                    return voter
        silent = [voter for voter in voters if self._is_lost(voter)]
        return min(silent, key=self._acked_at) if silent else ""

    def _is_sound(self, identity: str) -> bool:
        """Whether a learner has caught up and stays."""
        progress = self.replica.progress.get(identity)
        if progress is None or not self._is_current(identity):
            return False
        lag = self.replica.log.last_index - progress.match
        is_answering = not self._is_silent(identity)
        is_caught_up = lag <= _MAX_LAG_ENTRIES
        return is_answering and is_caught_up and not self._is_stopping(identity)

    def _is_current(self, identity: str) -> bool:
        beat = self._beat_of(identity)
        return beat is not None and beat.node.voter == identity

    def _is_superseded(self, identity: str) -> bool:
        """Whether the node of this identity has started with another disk."""
        beat = self._beat_of(identity)
        return beat is not None and beat.node.voter != identity

    def _is_stopping(self, identity: str) -> bool:
        beat = self._beat_of(identity)
        return beat is not None and beat.draining

    def _is_lost(self, identity: str) -> bool:
        """Whether a voter is silent to the leader and to all others."""
        if identity == self.replica.identity:
            return False
        if self._is_superseded(identity):
            return True
        item = self.heard.get(node_name_of(identity))
        is_unheard = item is None or item.age > self.policy.unheard_seconds
        return is_unheard and self._is_silent(identity)

    def _is_silent(self, identity: str) -> bool:
        answered_at = max(self._acked_at(identity), self._expected_at(identity))
        return self.now - answered_at > self.policy.silent_seconds

    def _expected_at(self, identity: str) -> float:
        """Returns the time from which a member's silence counts.

        It counts from the election. The silence of the previous leader was the
        cause of the election, so half of the time is enough for it to answer.
        """
        led_since = self.replica.led_since
        if identity == self.replica.previous_leader:
            return led_since - self.policy.silent_seconds / 2
        return led_since

    def _acked_at(self, identity: str) -> float:
        progress = self.replica.progress.get(identity)
        return progress.acked_at if progress else float("-inf")

    def _beat_of(self, identity: str) -> Beat | None:
        item = self.heard.get(node_name_of(identity))
        return item.beat if item else None


def _without(identities: tuple[str, ...], identity: str) -> tuple[str, ...]:
    return tuple(i for i in identities if i != identity)


def _without_node(identities: tuple[str, ...], name: str) -> tuple[str, ...]:
    return tuple(i for i in identities if node_name_of(i) != name)
