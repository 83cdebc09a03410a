"""One replica of the log, as a state machine without I/O.

The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, a leader
that steps down without a quorum, and changes of one voter at a time. The driver
calls `receive`, `tick` or `propose`, takes the `Output`, syncs it to disk, and
only then sends the messages in it.
"""

import random
from functools import singledispatchmethod
from typing import Any

import attrs

from ridgesill.core import codec
from ridgesill.core.log.memory import MemoryLog
from ridgesill.core.log.messages import (
    AppendRequest,
    AppendResponse,
    Entry,
    HardState,
    OutgoingMessage,
    Output,
    Snapshot,
    SnapshotRequest,
    StoredLog,
    Timing,
    VoteRequest,
    VoteResponse,
    Voters,
)

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"

_MAX_ENTRIES_PER_APPEND = 64
# The random part of an election timeout, as a share of a voter's slot.
_TURN_JITTER_SHARE = 0.3
_NEVER = float("-inf")


@codec.register
@attrs.frozen
class NoOp:
    """The first entry of a leader's term; committing it commits all before."""


@codec.register
@attrs.frozen
class ChangeVoters:
    """A command that changes the voters, in force as soon as it is appended."""

    voters: Voters


@attrs.define
class Progress:
    """A leader's replication progress for one follower.

    Attributes:
        next_index: the index of the next entry to send.
        match: the last index known to match the leader's log.
        acked_at: the leader's clock, in seconds, when it sent the latest
            request that the follower has answered.
        snapshot_sent_at: the leader's clock, in seconds, when it last sent a
            snapshot.
    """

    next_index: int
    match: int = 0
    acked_at: float = _NEVER
    snapshot_sent_at: float = _NEVER


class Replica:
    """A Raft replica, driven by messages, proposals and elapsed time.

    Args:
        identity: the name it votes under; a new disk needs a new identity.
        stored: the state loaded from its disk.
        now: the current time, in seconds.
        rng: the source of random election timeouts.
        timing: intervals of heartbeats and elections.
    """

    def __init__(
        self,
        identity: str,
        stored: StoredLog,
        now: float,
        rng: random.Random,
        timing: Timing | None = None,
    ) -> None:
        self.identity = identity
        self.role = FOLLOWER
        self.leader = ""
        self.term = stored.hard_state.term
        self.commit_index = stored.snapshot.index
        self.log = MemoryLog(stored.snapshot, stored.entries)
        self.progress: dict[str, Progress] = {}
        self.voted_for = stored.hard_state.voted_for
        self.led_since = _NEVER
        # The last other replica that this one followed.
        self.previous_leader = ""
        # The latest time at which an earlier leader may have confirmed its
        # quorum, on this replica's clock.
        self.predecessor_until = _NEVER
        self._timing = timing or Timing()
        self._rng = rng
        self._votes: set[str] = set()
        self._is_pre_vote = False
        # When the leader last sent this replica something, in seconds.
        self.leader_heard_at = _NEVER
        # When it last followed or led a term, or started: a restarted replica
        # doesn't know what it did before.
        self._followed_at = now
        self._next_heartbeat = _NEVER
        self._output = Output()
        self._voters_by_index: list[tuple[int, Voters]] = []
        self._rebuild_voters()
        self._reset_election_timer(now)

    @property
    def voters(self) -> Voters:
        """The voters in force: those appended last, committed or not."""
        return self._voters_by_index[-1][1]

    @property
    def has_pending_voter_change(self) -> bool:
        """Whether a change of voters is appended but not committed."""
        return self._voters_by_index[-1][0] > self.commit_index

    def take_output(self) -> Output:
        """Returns the output accumulated since the last call."""
        output, self._output = self._output, Output()
        return output

    def quorum_confirmed_at(self, now: float) -> float:
        """Returns the latest time at which a quorum is known to have followed.

        Everything that any leader committed before that time is at or below
        `commit_index`, once an entry of this term is committed.

        Returns:
            Seconds on this replica's clock; minus infinity if this replica
            does not lead or has committed nothing in its term.
        """
        if self.role != LEADER or self.log.term(self.commit_index) != self.term:
            return _NEVER
        return self._quorum_acked_at(now)

    # -- inputs --------------------------------------------------------

    def propose(self, command: Any, now: float) -> int | None:
        """Appends a command if this replica leads.

        Returns:
            The entry's index, or None if this replica does not lead. Also None
            for a change of voters while an earlier one, or every entry of this
            term, is not committed yet.
        """
        if self.role != LEADER:
            return None
        if isinstance(command, ChangeVoters) and not self._may_change_voters():
            return None
        index = self._append_own(command)
        self._send_all(now)
        self._advance_commit()
        return index

    def tick(self, now: float) -> None:
        """Sends due heartbeats, steps down, or starts an election."""
        if self.role == LEADER:
            self._tick_leader(now)
        elif now >= self._election_at and self._is_voter():
            self._start_election(now, pre=True)

    def schedule_election(self, now: float, seconds: float) -> None:
        """Starts an election after some seconds unless a leader is heard.

        For a replica that has just started. It asks for pre-votes first, so
        it does not disturb a working leader.
        """
        self._election_at = now + seconds

    def compact(self, data: bytes, index: int) -> Snapshot:
        """Replaces the log up to an applied index by a snapshot.

        Args:
            data: the encoded state at that index.
            index: the last index that the snapshot covers.
        """
        voters = self._voters_at_index(index)
        snapshot = Snapshot(index, self.log.term(index), voters, data)
        self.log.compact(snapshot)
        self._rebuild_voters()
        return snapshot

    @singledispatchmethod
    def receive(self, message: Any, sender: str, now: float) -> None:
        """Handles a message from another replica.

        Raises:
            TypeError: the message is of no type that replicas exchange.
        """
        raise TypeError(
            f"replicas can't handle messages of type {type(message).__name__}"
        )

    # -- elections -----------------------------------------------------

    @receive.register
    def _(self, message: VoteRequest, sender: str, now: float) -> None:
        if self._has_live_leader(now) and sender != self.leader:
            # A replica that was partitioned must not disturb a working leader.
            # A request from the leader itself is answered: it has restarted
            # or stepped down.
            return
        if message.pre:
            granted = message.term > self.term and self._is_up_to_date(message)
            # A refusal carries this replica's own term. Otherwise a candidate
            # with a longer log but an older term would be refused for ever
            # (found by schedule 2813 of testing/core/log).
            term = message.term if granted else self.term
            self._respond(sender, term, granted=granted, pre=True, now=now)
            return
        if message.term > self.term:
            self._become_follower(message.term, "", now)
        granted = (
            message.term == self.term
            and self.voted_for in ("", sender)
            and self._is_up_to_date(message)
        )
        if granted:
            self.voted_for = sender
            self._store_hard_state()
            self._reset_election_timer(now)
        self._respond(sender, self.term, granted=granted, pre=False, now=now)

    def _respond(
        self, to: str, term: int, *, granted: bool, pre: bool, now: float
    ) -> None:
        heard_ago = now - self._followed_at
        self._send(to, VoteResponse(term, granted, pre, heard_ago))

    @receive.register
    def _(self, message: VoteResponse, sender: str, now: float) -> None:
        if not message.granted:
            if message.term > self.term:
                self._become_follower(message.term, "", now)
            return
        expected = self.term + 1 if message.pre else self.term
        if (
            self.role != CANDIDATE
            or message.pre != self._is_pre_vote
            or message.term != expected
        ):
            return
        self._votes.add(sender)
        self._record_predecessor(now - message.heard_ago)
        self._count_votes(now)

    def _record_predecessor(self, followed_at: float) -> None:
        """Records when a voter for this candidate last followed a leader.

        Any quorum of an earlier leader shares a voter with this candidate's,
        so that leader can't have confirmed its quorum later than the last
        time any of these voters followed it.
        """
        self.predecessor_until = max(self.predecessor_until, followed_at)

    def _start_election(self, now: float, *, pre: bool) -> None:
        self.role = CANDIDATE
        self.leader = ""
        self._is_pre_vote = pre
        self._votes = {self.identity}
        self.predecessor_until = self._followed_at
        if pre:
            self._schedule_pre_vote_retry(now)
        else:
            self._reset_election_timer(now)
            self.term += 1
            self.voted_for = self.identity
            self._store_hard_state()
        request = VoteRequest(
            self.term + 1 if pre else self.term,
            self.log.last_index,
            self.log.last_term,
            pre,
        )
        for peer in self._peers(self.voters.voters):
            self._send(peer, request)
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        if not self._is_quorum(self._votes):
            return
        if self._is_pre_vote:
            self._start_election(now, pre=False)
        else:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.role = LEADER
        self.leader = self.identity
        self.progress = {}
        self.led_since = now
        self._append_own(NoOp())
        self._send_all(now)
        self._advance_commit()

    def _become_follower(self, term: int, leader: str, now: float) -> None:
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self._store_hard_state()
        if self.role == LEADER:
            self._followed_at = now
        self.role = FOLLOWER
        self.leader = leader
        self._reset_election_timer(now)

    def _is_up_to_date(self, message: VoteRequest) -> bool:
        theirs = (message.last_term, message.last_index)
        return theirs >= (self.log.last_term, self.log.last_index)

    def _has_live_leader(self, now: float) -> bool:
        if self.role == LEADER:
            return True
        return now - self.leader_heard_at < self._timing.election_min

    def _reset_election_timer(self, now: float) -> None:
        turn = self._election_turn() + _TURN_JITTER_SHARE * self._rng.random()
        wait = self._timing.election_min + turn * self._turn_interval_seconds()
        self._election_at = now + wait

    def _turn_interval_seconds(self) -> float:
        """Returns the length of one voter's election slot, in seconds."""
        between = self._timing.election_max - self._timing.election_min
        return between / max(len(self.voters.voters), 1)

    def _election_turn(self) -> int:
        """Returns the number of this voter's election slot in this term.

        Slots rotate with the term, so that a voter that can't win doesn't
        always become a candidate before the others.
        """
        voters = sorted(v for v in self.voters.voters if v != self.leader)
        if self.identity not in voters:
            return 0
        return (voters.index(self.identity) + self.term) % len(voters)

    def _schedule_pre_vote_retry(self, now: float) -> None:
        """Schedules the next pre-vote after one to two election slots.

        Voters heard the last leader at slightly different times, and don't
        answer until their own minimal election timeout is over.
        """
        wait = self._turn_interval_seconds() * (1.0 + self._rng.random())
        self._election_at = now + wait

    # -- replication, as follower --------------------------------------

    @receive.register
    def _(self, message: AppendRequest, sender: str, now: float) -> None:
        if not self._accept_leader(message, sender, now):
            return
        success = self._has_previous_entry(message)
        if success:
            self._append_missing(message)
            match = message.previous_index + len(message.entries)
            self._advance_commit_to(min(message.commit, match))
        else:
            match = min(message.previous_index - 1, self.log.last_index)
        self._send(
            sender, AppendResponse(self.term, success, match, message.sent_at)
        )

    @receive.register
    def _(self, message: SnapshotRequest, sender: str, now: float) -> None:
        if not self._accept_leader(message, sender, now):
            return
        snapshot = message.snapshot
        if snapshot.index > self.commit_index:
            self.log.compact(snapshot)
            self.commit_index = snapshot.index
            self._output.snapshot = snapshot
            self._output.committed.clear()
            self._rebuild_voters()
        self._send(
            sender,
            AppendResponse(self.term, True, snapshot.index, message.sent_at),
        )

    def _accept_leader(
        self, message: AppendRequest | SnapshotRequest, sender: str, now: float
    ) -> bool:
        if message.term < self.term:
            refusal = AppendResponse(self.term, False, 0, message.sent_at)
            self._send(sender, refusal)
            return False
        self._become_follower(message.term, sender, now)
        self.previous_leader = sender
        self.leader_heard_at = now
        self._followed_at = now
        return True

    def _has_previous_entry(self, message: AppendRequest) -> bool:
        if message.previous_index < self.log.snapshot.index:
            # Entries covered by the snapshot are committed, so they match.
            return True
        return self.log.term(message.previous_index) == message.previous_term

    def _append_missing(self, message: AppendRequest) -> None:
        for entry in message.entries:
            if entry.index <= self.log.snapshot.index:
                continue
            if self.log.term(entry.index) == entry.term:
                continue
            self._append(entry)

    # -- replication, as leader ----------------------------------------

    @receive.register
    def _(self, message: AppendResponse, sender: str, now: float) -> None:
        if message.term > self.term:
            self._become_follower(message.term, "", now)
            return
        if self.role != LEADER or message.term < self.term:
            return
        progress = self.progress.get(sender)
        if progress is None:
            return
        progress.acked_at = max(progress.acked_at, message.sent_at)
        if message.success:
            self._record_match(progress, message.match)
            self._advance_commit()
        elif message.match + 1 < progress.next_index:
            progress.next_index = max(message.match + 1, progress.match + 1)
        else:
            return
        if progress.next_index <= self.log.last_index:
            self._send_append(sender, now)

    def _record_match(self, progress: Progress, match: int) -> None:
        progress.match = max(progress.match, match)
        progress.next_index = max(progress.next_index, progress.match + 1)

    def _tick_leader(self, now: float) -> None:
        quorum_at = max(self._quorum_acked_at(now), self.led_since)
        if now - quorum_at > self._timing.election_max:
            self._become_follower(self.term, "", now)
            return
        if now >= self._next_heartbeat:
            self._send_all(now)

    def _send_all(self, now: float) -> None:
        self._next_heartbeat = now + self._timing.heartbeat
        for peer in self._peers(self._receivers()):
            self._send_append(peer, now)

    def _receivers(self) -> tuple[str, ...]:
        """Returns the members, and those whose removal isn't committed yet.

        A replica that is removed has to receive the entry that removes it, so
        that it knows that it is no longer needed.
        """
        members = self.voters.members
        if not self.has_pending_voter_change or len(self._voters_by_index) < 2:
            return members
        removed = set(self._voters_by_index[-2][1].members) - set(members)
        return (*members, *sorted(removed))

    def _send_append(self, peer: str, now: float) -> None:
        progress = self.progress.setdefault(
            peer, Progress(self.log.last_index + 1)
        )
        previous = progress.next_index - 1
        if previous < self.log.snapshot.index:
            self._send_snapshot(peer, progress, now)
            return
        upto = min(previous + _MAX_ENTRIES_PER_APPEND, self.log.last_index)
        entries = self.log.slice(previous, upto)
        request = AppendRequest(
            self.term,
            previous,
            self.log.term(previous),
            entries,
            self.commit_index,
            now,
        )
        # Entries are sent once; if they are lost, the follower refuses the
        # next heartbeat and its answer tells where to resume.
        progress.next_index = upto + 1
        self._send(peer, request)

    def _send_snapshot(self, peer: str, progress: Progress, now: float) -> None:
        if now - progress.snapshot_sent_at < self._timing.election_min:
            return
        progress.snapshot_sent_at = now
        request = SnapshotRequest(self.term, self.log.snapshot, now)
        self._send(peer, request)

    def _advance_commit(self) -> None:
        matches = [
            self.log.last_index
            if voter == self.identity
            else self._match_of(voter)
            for voter in self.voters.voters
        ]
        index = _quorum_value(matches)
        if self.log.term(index) == self.term and index > self.commit_index:
            self._advance_commit_to(index)
            # Sends the commit index at the next tick instead of the next
            # heartbeat, so that followers apply the entries sooner.
            self._next_heartbeat = _NEVER
        self._step_down_if_removed()

    def _match_of(self, voter: str) -> int:
        progress = self.progress.get(voter)
        return progress.match if progress else 0

    def _step_down_if_removed(self) -> None:
        if not self._is_voter() and not self.has_pending_voter_change:
            # A replica that no longer votes reports no `heard_ago`, so
            # `_followed_at` need not be updated.
            self.role = FOLLOWER
            self.leader = ""

    def _quorum_acked_at(self, now: float) -> float:
        times = [
            now if voter == self.identity else self._acked_at(voter)
            for voter in self.voters.voters
        ]
        return _quorum_value(times)

    def _acked_at(self, voter: str) -> float:
        progress = self.progress.get(voter)
        return progress.acked_at if progress else _NEVER

    # -- voters --------------------------------------------------------

    def _may_change_voters(self) -> bool:
        in_own_term = self.log.term(self.commit_index) == self.term
        return in_own_term and not self.has_pending_voter_change

    def _rebuild_voters(self) -> None:
        snapshot = self.log.snapshot
        self._voters_by_index = [(snapshot.index, snapshot.voters)]
        for entry in self.log.slice(snapshot.index, self.log.last_index):
            self._apply_voters(entry)

    def _apply_voters(self, entry: Entry) -> None:
        while self._voters_by_index[-1][0] >= entry.index:
            self._voters_by_index.pop()
        if b"ChangeVoters" not in entry.command[:16]:
            return
        command = codec.decode(entry.command)
        self._voters_by_index.append((entry.index, command.voters))

    def _voters_at_index(self, index: int) -> Voters:
        held = [v for at, v in self._voters_by_index if at <= index]
        return held[-1]

    def _is_voter(self) -> bool:
        return self.identity in self.voters.voters

    def _is_quorum(self, votes: set[str]) -> bool:
        counted = votes & set(self.voters.voters)
        return len(counted) > len(self.voters.voters) // 2

    def _peers(self, members: tuple[str, ...]) -> list[str]:
        return [member for member in members if member != self.identity]

    # -- outputs -------------------------------------------------------

    def _append_own(self, command: Any) -> int:
        index = self.log.last_index + 1
        self._append(Entry(index, self.term, codec.encode(command)))
        return index

    def _append(self, entry: Entry) -> None:
        self.log.append(entry)
        self._output.entries.append(entry)
        self._apply_voters(entry)

    def _advance_commit_to(self, index: int) -> None:
        if index <= self.commit_index:
            return
        self._output.committed.extend(self.log.slice(self.commit_index, index))
        self.commit_index = index

    def _store_hard_state(self) -> None:
        self._output.hard_state = HardState(self.term, self.voted_for)

    def _send(self, to: str, message: Any) -> None:
        self._output.messages.append(OutgoingMessage(to, message))


def _quorum_value(values: list[Any]) -> Any:
    """Returns the largest value that a majority has reached."""
    ranked = sorted(values, reverse=True)
    return ranked[len(ranked) // 2]


def make_initial_snapshot(
    voters: tuple[str, ...], data: bytes, index: int = 0
) -> Snapshot:
    """Returns the snapshot that the log of these voters starts from.

    With an index above 0, a replica with an empty disk is behind the snapshot
    and gets it from the leader. With index 0 every first voter's disk must
    already hold the same snapshot.
    """
    return Snapshot(index, 0, Voters(voters), data)
