"""The leader's decisions on who becomes a voter."""

from collections.abc import Iterable

from ridgesill.core.following import Beat
from ridgesill.core.log.messages import Voters
from ridgesill.core.log.replica import LEADER, ChangeVoters, Replica

# How many entries a learner may be behind when it begins to vote.
_CAUGHT_UP = 8
# Seconds of silence after which a voter may make way for a learner; well above
# a restart, so that a voter that comes back with its disk keeps its vote.
_SILENT = 6.0


def node_name_of(identity: str) -> str:
    """Returns the node name of a voting identity (`name.generation`)."""
    return identity.rpartition(".")[0]


def decide_change(
    replica: Replica,
    beats: Iterable[Beat],
    now: float = 0.0,
    most: int = 0,
) -> ChangeVoters | None:
    """Returns the next change of voters, one voter at a time.

    A node with a disk that does not vote is first made a learner. Once it
    has caught up, the earlier identity of its name, whose disk is lost, stops
    voting; then the learner starts to. A lost identity never counts beside
    its successor.

    Args:
        replica: the leader's.
        beats: of the nodes that are alive.
        now: the clock, in seconds.
        most: how many voters there should be. With so many, a learner under
            another name takes the place of a voter that has long been silent,
            or waits. 0 for no limit.
    """
    if replica.role != LEADER or replica.has_pending_voter_change:
        return None
    learning = {beat.node.voter for beat in beats if beat.learner}
    voters = replica.voters
    for identity in sorted(learning - set(voters.voters)):
        change = _next_step(replica, voters, identity)
        if change is not None and 0 < most < len(change.voters):
            change = _replace_silent(replica, now)
        if change is not None:
            return ChangeVoters(change)
    return None


def _next_step(
    replica: Replica, voters: Voters, identity: str
) -> Voters | None:
    name = node_name_of(identity)
    if identity not in voters.learners:
        others = _without(voters.learners, name)
        return Voters(voters.voters, (*others, identity))
    if not _caught_up(replica, identity):
        return None
    remaining = _without(voters.voters, name)
    if remaining != voters.voters:
        return Voters(remaining, voters.learners)
    learners = _without(voters.learners, name)
    return Voters((*voters.voters, identity), learners)


def _replace_silent(replica: Replica, now: float) -> Voters | None:
    """Takes out the voter that has been silent the longest, if one has."""
    voters = replica.voters
    silent = {
        identity: progress.acked_at
        for identity, progress in replica.progress.items()
        if identity in voters.voters
        and now - progress.acked_at > _SILENT
        and now - replica.led_since > _SILENT
    }
    if not silent:
        return None
    gone = min(silent, key=lambda identity: silent[identity])
    kept = tuple(v for v in voters.voters if v != gone)
    return Voters(kept, voters.learners)


def _without(identities: tuple[str, ...], name: str) -> tuple[str, ...]:
    return tuple(i for i in identities if node_name_of(i) != name)


def _caught_up(replica: Replica, identity: str) -> bool:
    progress = replica.progress.get(identity)
    if progress is None:
        return False
    return progress.match + _CAUGHT_UP >= replica.log.last_index
