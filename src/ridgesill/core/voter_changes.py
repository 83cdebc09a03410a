"""The leader's decisions on which nodes become voters."""

from collections.abc import Iterable

from ridgesill.core.following import Beat
from ridgesill.core.log.messages import Voters
from ridgesill.core.log.replica import LEADER, ChangeVoters, Replica

# The largest number of entries a learner may lag behind to become a voter.
_MAX_LAG_ENTRIES = 8
# Seconds without an answer after which a learner may replace a voter. Well
# above the time of a restart, so that a voter that restarts with its disk
# stays a voter.
_SILENT_SECONDS = 6.0


def node_name_of(identity: str) -> str:
    """Returns the node name of a voting identity (`name.generation`)."""
    return identity.rpartition(".")[0]


def decide_change(
    replica: Replica,
    beats: Iterable[Beat],
    now: float = 0.0,
    max_voters: int = 0,
) -> ChangeVoters | None:
    """Returns the next change of voters, or None if there is none to make.

    Each step changes one voter or one learner. A node with a disk that
    does not vote first becomes a learner. Once it has caught up, an earlier
    identity of the same node name, whose disk is lost, is removed; then the
    learner becomes a voter. So a lost identity and its successor are never
    both voters.

    Args:
        replica: the leader's replica.
        beats: the beats of the live nodes.
        now: the current time, in seconds.
        max_voters: the largest number of voters; 0 for no limit. At the limit,
            a learner under another node name replaces the voter that has been
            silent the longest, or waits if none is silent.
    """
    if replica.role != LEADER or replica.has_pending_voter_change:
        return None
    candidate_learners = {beat.node.voter for beat in beats if beat.learner}
    voters = replica.voters
    for identity in sorted(candidate_learners - set(voters.voters)):
        change = _next_step(replica, voters, identity)
        if change is not None and 0 < max_voters < len(change.voters):
            change = _replace_silent(replica, now)
        if change is not None:
            return ChangeVoters(change)
    return None


def _next_step(
    replica: Replica, voters: Voters, identity: str
) -> Voters | None:
    node_name = node_name_of(identity)
    if identity not in voters.learners:
        others = _without(voters.learners, node_name)
        return Voters(voters.voters, (*others, identity))
    if not _is_caught_up(replica, identity):
        return None
    remaining = _without(voters.voters, node_name)
    if remaining != voters.voters:
        return Voters(remaining, voters.learners)
    learners = _without(voters.learners, node_name)
    return Voters((*voters.voters, identity), learners)


def _replace_silent(replica: Replica, now: float) -> Voters | None:
    """Returns the voters without the one silent the longest, if any is."""
    voters = replica.voters
    silent = {
        identity: progress.acked_at
        for identity, progress in replica.progress.items()
        if identity in voters.voters
        and now - progress.acked_at > _SILENT_SECONDS
        and now - replica.led_since > _SILENT_SECONDS
    }
    if not silent:
        return None
    longest_silent = min(silent, key=lambda identity: silent[identity])
    kept = tuple(v for v in voters.voters if v != longest_silent)
    return Voters(kept, voters.learners)


def _without(identities: tuple[str, ...], node_name: str) -> tuple[str, ...]:
    return tuple(i for i in identities if node_name_of(i) != node_name)


def _is_caught_up(replica: Replica, identity: str) -> bool:
    progress = replica.progress.get(identity)
    if progress is None:
        return False
    return progress.match + _MAX_LAG_ENTRIES >= replica.log.last_index
