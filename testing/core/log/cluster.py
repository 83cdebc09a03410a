"""A simulated cluster of replicas with injected faults, run from a seed.

The simulation owns the clock. Each replica has a disk that keeps exactly what
was synced before its messages were sent. Invariants are checked at each step.
"""

import heapq
import itertools
import random
from typing import Any

import attrs

from ridgesill.core import codec
from ridgesill.core.log.memory import append_truncating
from ridgesill.core.log.messages import (
    Entry,
    HardState,
    Snapshot,
    StoredLog,
    Timing,
    Voters,
)
from ridgesill.core.log.replica import (
    LEADER,
    ChangeVoters,
    NoOp,
    Replica,
    make_initial_snapshot,
)

_TICK = 0.05


@codec.register
@attrs.frozen
class Write:
    """A command that the tests write to the log."""

    value: str


@attrs.define
class Disk:
    """The synced state of a replica."""

    snapshot: Snapshot
    hard_state: HardState = HardState()
    entries: list[Entry] = attrs.Factory(list)

    def append(self, entries: list[Entry]) -> None:
        """Appends entries, each after removing all at its index or above."""
        for entry in entries:
            append_truncating(self.entries, entry)

    def stored(self) -> StoredLog:
        """Returns the state that a restarted replica loads."""
        return StoredLog(self.hard_state, tuple(self.entries), self.snapshot)


@attrs.define
class Member:
    """A replica, its disk and the commands it has applied."""

    replica: Replica
    disk: Disk
    applied: list[tuple[int, str]] = attrs.Factory(list)
    up: bool = True


@attrs.frozen
class Faults:
    """Faults of the network.

    Attributes:
        loss_share: the share of messages that are lost.
        duplication_share: the share of messages that are delivered twice.
        max_delay: the longest delay of an ordinary message, in seconds.
        slow_share: the share of messages that are delayed further.
        max_slow_delay: the longest further delay, in seconds.
    """

    loss_share: float = 0.05
    duplication_share: float = 0.05
    max_delay: float = 0.03
    slow_share: float = 0.05
    max_slow_delay: float = 1.5


class Violation(AssertionError):  # noqa: N818 - reports a failed check
    """An invariant does not hold."""


class Cluster:
    """Replicas and the simulated network between them."""

    def __init__(
        self,
        names: tuple[str, ...],
        seed: int,
        faults: Faults | None = None,
        timing: Timing | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.faults = faults or Faults()
        self._timing = timing or Timing()
        self.members: dict[str, Member] = {}
        self.leaders: dict[int, str] = {}
        self.led_until: dict[int, float] = {}
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.acknowledged: set[str] = set()
        self.blocked_links: set[tuple[str, str]] = set()
        self._proposed: dict[tuple[int, int], str] = {}
        self._events: list[tuple[float, int, str, str, Any]] = []
        self._order = itertools.count()
        for name in names:
            self.add(name, make_initial_snapshot(names, b""))

    def add(self, name: str, snapshot: Snapshot | None = None) -> None:
        """Adds a replica whose disk holds only a snapshot, empty by default."""
        start = snapshot or Snapshot(0, 0, Voters(()), b"")
        disk = Disk(start)
        self.members[name] = Member(self._replica(name, disk), disk)
        self._schedule_tick(name)

    def _replica(self, name: str, disk: Disk) -> Replica:
        rng = random.Random(self.rng.random())
        return Replica(name, disk.stored(), self.now, rng, self._timing)

    # -- faults -----------------------------------------------------------

    def crash(self, name: str) -> None:
        """Stops a replica, which loses everything that is not on its disk."""
        self.members[name].up = False

    def restart(self, name: str) -> None:
        """Starts a stopped replica from its disk."""
        member = self.members[name]
        member.replica = self._replica(name, member.disk)
        member.applied = _applied_in(member.disk.snapshot)
        member.up = True

    def wipe(self, name: str) -> None:
        """Stops a replica whose disk is lost; it must not be restarted."""
        self.members[name].up = False

    def isolate(self, name: str, *, inbound: bool, outbound: bool) -> None:
        """Blocks the links to or from a replica, or both."""
        for other in self.members:
            if inbound:
                self.blocked_links.add((other, name))
            if outbound:
                self.blocked_links.add((name, other))

    def heal(self) -> None:
        """Unblocks all links."""
        self.blocked_links.clear()

    # -- running ----------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Advances the clock by some seconds and runs the events due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            at, _, kind, name, payload = heapq.heappop(self._events)
            self.now = at
            self._dispatch_event(kind, name, payload)
        self.now = end

    def _dispatch_event(self, kind: str, name: str, payload: Any) -> None:
        member = self.members[name]
        if kind == "tick":
            self._schedule_tick(name)
        if not member.up:
            return
        if kind == "tick":
            member.replica.tick(self.now)
        else:
            sender, message = payload
            if (sender, name) in self.blocked_links:
                return
            member.replica.receive(message, sender, self.now)
        self.process_output(name)

    def _schedule_tick(self, name: str) -> None:
        self._schedule(self.now + _TICK, "tick", name, None)

    def _schedule(self, at: float, kind: str, name: str, payload: Any) -> None:
        event = (at, next(self._order), kind, name, payload)
        heapq.heappush(self._events, event)

    def propose(self, name: str, command: Any) -> int | None:
        """Proposes a command to a replica.

        Returns:
            The index of the entry, or None if the replica is down or refuses.
        """
        member = self.members[name]
        if not member.up:
            return None
        index = member.replica.propose(command, self.now)
        if index is not None and isinstance(command, Write):
            self._proposed[(index, member.replica.term)] = command.value
        self.process_output(name)
        return index

    def leader(self) -> str:
        """Returns the leader of the highest term that is up, or empty."""
        leading = [
            (m.replica.term, name)
            for name, m in self.members.items()
            if m.up and m.replica.role == LEADER
        ]
        return max(leading, default=(0, ""))[1]

    # -- driver -----------------------------------------------------------

    def process_output(self, name: str) -> None:
        """Syncs, sends and applies a replica's output; checks the leader."""
        member = self.members[name]
        output = member.replica.take_output()
        if output.hard_state is not None:
            member.disk.hard_state = output.hard_state
        if output.snapshot is not None:
            log = member.replica.log
            member.disk.snapshot = output.snapshot
            tail = log.slice(log.snapshot.index, log.last_index)
            member.disk.entries = list(tail)
            member.applied = _applied_in(output.snapshot)
        else:
            member.disk.append(output.entries)
        for send in output.messages:
            self._transmit(name, send.to, send.message)
        for entry in output.committed:
            self._apply(member, entry)
        self._check_leader(name, member)

    def _transmit(self, sender: str, to: str, message: Any) -> None:
        if to not in self.members or self.rng.random() < self.faults.loss_share:
            return
        copies = 2 if self.rng.random() < self.faults.duplication_share else 1
        for _ in range(copies):
            delay = self.rng.uniform(0.001, self.faults.max_delay)
            if self.rng.random() < self.faults.slow_share:
                delay += self.rng.uniform(0, self.faults.max_slow_delay)
            at = self.now + delay
            self._schedule(at, "message", to, (sender, message))

    def _apply(self, member: Member, entry: Entry) -> None:
        known = self.committed.setdefault(
            entry.index, (entry.term, entry.command)
        )
        if known != (entry.term, entry.command):
            raise Violation(
                f"two different entries committed at index {entry.index}"
            )
        last = member.applied[-1][0] if member.applied else 0
        if entry.index <= last:
            raise Violation(f"{entry.index} applied after index {last}")
        command = codec.decode(entry.command)
        if not isinstance(command, Write):
            return
        member.applied.append((entry.index, command.value))
        if (entry.index, entry.term) in self._proposed:
            self.acknowledged.add(command.value)

    def compact(self, name: str) -> None:
        """Makes a replica replace its committed entries by a snapshot."""
        member = self.members[name]
        replica = member.replica
        if not member.up or replica.commit_index <= replica.log.snapshot.index:
            return
        data = codec.encode(Applied(tuple(member.applied)))
        member.disk.snapshot = replica.compact(data, replica.commit_index)
        log = replica.log
        member.disk.entries = list(
            log.slice(log.snapshot.index, log.last_index)
        )

    def _check_leader(self, name: str, member: Member) -> None:
        replica = member.replica
        if replica.role != LEADER:
            return
        known = self.leaders.setdefault(replica.term, name)
        if known != name:
            raise Violation(f"{known} and {name} both lead term {replica.term}")
        self._check_predecessor_bound(name, replica)

    def _check_predecessor_bound(self, name: str, replica: Replica) -> None:
        """Checks that no earlier leader confirmed its quorum after the bound.

        The bound is the leader's `predecessor_until`.
        """
        self.led_until[replica.term] = replica.quorum_confirmed_at(self.now)
        for term, led_until in self.led_until.items():
            if term < replica.term and led_until > replica.predecessor_until:
                raise Violation(
                    f"{name} leads, but term {term} was confirmed too late"
                )

    # -- checks -----------------------------------------------------------

    def check_logs(self) -> None:
        """Checks that all applied commands agree with the committed entries."""
        for member in self.members.values():
            for index, value in member.applied:
                entry = self.committed.get(index)
                if entry and codec.decode(entry[1]) != Write(value):
                    raise Violation(
                        f"{value!r} applied but not committed at index {index}"
                    )

    def check_applied_all(self, name: str) -> None:
        """Checks that a replica has applied all acknowledged commands."""
        values = {value for _, value in self.members[name].applied}
        lost = self.acknowledged - values
        if lost:
            raise Violation(f"{name} lost acknowledged commands {sorted(lost)}")


@codec.register
@attrs.frozen
class Applied:
    """The data of a test's snapshot: applied commands with their index."""

    values: tuple[tuple[int, str], ...]


def _applied_in(snapshot: Snapshot) -> list[tuple[int, str]]:
    if not snapshot.data:
        return []
    return list(codec.decode(snapshot.data).values)


__all__ = ["ChangeVoters", "Cluster", "NoOp", "Violation", "Write"]
