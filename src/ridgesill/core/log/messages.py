"""The messages, stored records and outputs of the replicated log."""

from typing import Any

import attrs

from ridgesill.core.codec import register


@register
@attrs.frozen
class Entry:
    """One entry of the log.

    Attributes:
        index: its position in the log; the first entry has index 1.
        term: the term of the leader that appended it.
        command: an encoded command (`core.commands`).
    """

    index: int
    term: int
    command: bytes


@register
@attrs.frozen
class Voters:
    """The members of the log, by voting identity.

    Attributes:
        voters: replicas that vote and count towards a quorum.
        learners: replicas that receive the log but do not vote yet.
    """

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    @property
    def members(self) -> tuple[str, ...]:
        """All replicas that the leader replicates to."""
        return self.voters + self.learners


@register
@attrs.frozen
class HardState:
    """The state that a replica syncs to disk before it answers.

    Attributes:
        term: the latest term that it has seen.
        voted_for: the candidate it voted for in that term; empty for none.
    """

    term: int = 0
    voted_for: str = ""


@register
@attrs.frozen
class Snapshot:
    """The applied state up to and including an index.

    Attributes:
        index: the index of the last entry it covers.
        term: the term of that entry.
        voters: the voters in force at that index.
        data: the encoded state machine.
    """

    index: int
    term: int
    voters: Voters
    data: bytes


@register
@attrs.frozen
class VoteRequest:
    """Asks for a vote, or with `pre` whether the receiver would vote.

    Attributes:
        term: the term of the election.
        last_index: the index of the candidate's last entry.
        last_term: the term of the candidate's last entry.
        pre: whether this is a pre-vote, which changes no voter's state.
    """

    term: int
    last_index: int
    last_term: int
    pre: bool


@register
@attrs.frozen
class VoteResponse:
    """Answers a `VoteRequest` of the same kind and term.

    Attributes:
        heard_ago: seconds since this voter last followed a leader, led
            itself, or started. It bounds the time until which an earlier
            leader may have had a quorum.
    """

    term: int
    granted: bool
    pre: bool
    heard_ago: float = 0.0


@register
@attrs.frozen
class AppendRequest:
    """Sends the entries after `previous_index`; empty for a heartbeat.

    Attributes:
        previous_index: the index of the entry before `entries`.
        previous_term: the term of that entry.
        commit: the leader's commit index.
        sent_at: the leader's clock in seconds. The follower returns it, so
            that the leader knows how lately a quorum followed it.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    sent_at: float


@register
@attrs.frozen
class AppendResponse:
    """Answers an `AppendRequest` or a `SnapshotRequest`.

    Attributes:
        success: whether the follower's log matches the leader's up to
            `match`.
        match: on success, the last index that matches; otherwise the
            follower's hint for the index to send entries after.
        sent_at: copied from the request.
    """

    term: int
    success: bool
    match: int
    sent_at: float


@register
@attrs.frozen
class SnapshotRequest:
    """Sends a snapshot to a follower that needs entries already compacted."""

    term: int
    snapshot: Snapshot
    sent_at: float


@attrs.frozen
class OutgoingMessage:
    """A message for another replica.

    Attributes:
        to: the identity of the receiver.
        message: a registered message.
    """

    to: str
    message: Any


@attrs.define
class Output:
    """The work that a replica hands to its driver, to be done in this order.

    Attributes:
        snapshot: a received snapshot to store before anything else.
        hard_state: the new hard state, if it changed.
        entries: entries to append to the stored log; an entry at a stored
            index replaces the stored entries from that index on.
        messages: to be sent only after all of the above is synced.
        committed: newly committed entries, to be applied in order.
    """

    snapshot: Snapshot | None = None
    hard_state: HardState | None = None
    entries: list[Entry] = attrs.Factory(list)
    messages: list[OutgoingMessage] = attrs.Factory(list)
    committed: list[Entry] = attrs.Factory(list)


@attrs.frozen
class StoredLog:
    """The state that a replica loads from its disk when it starts."""

    hard_state: HardState
    entries: tuple[Entry, ...]
    snapshot: Snapshot


@attrs.frozen
class Timing:
    """Intervals of the log, in seconds.

    Each voter gets its own slot between the two election bounds, so that two
    rarely become candidates at once and split the votes.

    Attributes:
        heartbeat: interval between heartbeats of a leader.
        election_min: the shortest election timeout.
        election_max: the longest election timeout; a leader without a quorum
            for longer steps down.
    """

    heartbeat: float = 0.3
    election_min: float = 1.2
    election_max: float = 2.4
