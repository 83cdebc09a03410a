"""The messages, records and outputs of the replicated log."""

from typing import Any

import attrs

from ridgesill.core.codec import register


@register
@attrs.frozen
class Entry:
    """One entry of the log.

    Attributes:
        index: its position; the first is 1.
        term: the term of the leader that appended it.
        command: an encoded command (`core.commands`).
    """

    index: int
    term: int
    command: bytes


@register
@attrs.frozen
class Voters:
    """Who votes, and who only follows until it has caught up."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    @property
    def members(self) -> tuple[str, ...]:
        """Everyone the leader replicates to."""
        return self.voters + self.learners


@register
@attrs.frozen
class HardState:
    """What a replica must never forget: its term and its vote in it."""

    term: int = 0
    voted_for: str = ""


@register
@attrs.frozen
class Snapshot:
    """The applied state up to and including an index."""

    index: int
    term: int
    voters: Voters
    data: bytes


@register
@attrs.frozen
class VoteRequest:
    """Asks for a vote, or (`pre`) whether one would be given."""

    term: int
    last_index: int
    last_term: int
    pre: bool


@register
@attrs.frozen
class VoteResponse:
    """Answers a `VoteRequest` of the same kind and term.

    `heard_ago` are the seconds since this voter last followed a leader, led
    itself, or started; the candidate learns from it until when an earlier
    leader may have had a quorum.
    """

    term: int
    granted: bool
    pre: bool
    heard_ago: float = 0.0


@register
@attrs.frozen
class AppendRequest:
    """Entries after `previous_index`, or none as a heartbeat.

    `sent_at` is the leader's clock in seconds; the follower echoes it, and
    the leader learns from it up to when a quorum still followed it.
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
    """Says how far the follower's log matches the leader's.

    When not `success`, `match` is the follower's hint where to go on from.
    """

    term: int
    success: bool
    match: int
    sent_at: float


@register
@attrs.frozen
class SnapshotRequest:
    """A snapshot for a follower that the leader's log can't serve."""

    term: int
    snapshot: Snapshot
    sent_at: float


@attrs.frozen
class OutgoingMessage:
    """An output: a message for another replica."""

    to: str
    message: Any


@attrs.define
class Output:
    """What a step of a replica asks its driver to do, in this order.

    Attributes:
        snapshot: a received snapshot to store before anything else.
        hard_state: the new hard state, if it changed.
        entries: entries to append; an index at or below the stored last
            one replaces the stored tail from there on.
        messages: to be sent only once all of the above is synced.
        committed: newly committed entries, to be applied in order.
    """

    snapshot: Snapshot | None = None
    hard_state: HardState | None = None
    entries: list[Entry] = attrs.Factory(list)
    messages: list[OutgoingMessage] = attrs.Factory(list)
    committed: list[Entry] = attrs.Factory(list)


@attrs.frozen
class StoredLog:
    """What a replica finds on its disk when it starts."""

    hard_state: HardState
    entries: tuple[Entry, ...]
    snapshot: Snapshot


@attrs.frozen
class Timing:
    """Intervals of the log, in seconds.

    Voters stand for election in turn, one after the other between the two
    bounds, so that they rarely stand at once and split the votes.
    """

    heartbeat: float = 0.3
    election_min: float = 1.2
    election_max: float = 2.4
