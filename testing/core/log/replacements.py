"""Random schedules of replaced, switched off and wiped nodes of a cluster.

No more nodes count as lost at a time than the voters tolerate. A node counts
from its loss until it, or its successor, has run for the catch-up time.
"""

import itertools
from collections.abc import Callable

import attrs

from ridgesill.app.platform_node import LOG_TIMING
from ridgesill.core.commands import Node
from ridgesill.core.following import Beat, HeardBeat
from ridgesill.core.log.messages import Voters
from ridgesill.core.log.replica import LEADER
from ridgesill.core.voter_changes import VoterPolicy, decide_change
from testing.core.log.cluster import Cluster, Faults, Violation, Write

TOLERANCE = 2
_VOTERS = 2 * TOLERANCE + 1
_STEP_SECONDS = 0.05
_LEAD_TICK_SECONDS = 0.25
# Seconds after which a beat no longer counts, as in `ControlSettings`.
_BEAT_TIMEOUT_SECONDS = 4.0
# The longest time for which a node that stops waits for its successor.
_HANDOVER_SECONDS = 4.0
_FAULTS = Faults(loss_share=0, duplication_share=0.05, slow_share=0)


@attrs.define(eq=False)
class _Place:
    """A place in the cluster, held by one node after the other.

    Attributes:
        identity: the voting identity of its node.
        lost_until: time until which its node counts as lost, in seconds.
        has_successor: whether a node waits to take the place.
        stopping: whether its node has announced that it stops.
    """

    identity: str
    lost_until: float = 0.0
    has_successor: bool = False
    stopping: bool = False


class ReplacementSchedule:
    """A random schedule of losses within the tolerance, given by a seed.

    Args:
        seed: decides the schedule.
        catch_up_seconds: the catch-up time.
        losses: how many losses there are.
        with_returns: whether nodes are also switched off for a while and return
            with their disks.
    """

    def __init__(
        self,
        seed: int,
        catch_up_seconds: float = 4.0,
        losses: int = 12,
        *,
        with_returns: bool = True,
    ) -> None:
        names = tuple(f"n{number}.0" for number in range(_VOTERS))
        self.cluster = Cluster(names, seed, _FAULTS, LOG_TIMING)
        self._rng = self.cluster.rng
        self._policy = VoterPolicy(_VOTERS, catch_up_seconds)
        self._losses = losses
        self._kinds = [self._replace, self._replace_as_planned, self._wipe]
        if with_returns:
            self._kinds.append(self._power_off)
        self._places = [_Place(name) for name in names]
        self._numbers = itertools.count(_VOTERS)
        self._values = itertools.count()
        # The time of an action in seconds, its number, and the action.
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._beats: dict[str, tuple[float, Beat]] = {}
        self._led_at = 0.0

    def run(self) -> Cluster:
        """Runs the schedule, ends it, and checks for lost writes.

        Raises:
            Violation: too few voters were up while no more nodes counted as
                lost than are tolerated, or an acknowledged write is gone.
        """
        self._advance(3.0)
        for _ in range(self._losses):
            self._lose_one()
            self._advance(self._rng.choice([0.0, 0.3, 1.0, 4.5, 9.0]))
        self._advance(30.0)
        leader = self.cluster.leader()
        if not leader:
            raise Violation("no leader after all nodes were back")
        self._write()
        self._advance(2.0)
        self.cluster.check_applied_all(leader)
        return self.cluster

    # -- losses -----------------------------------------------------------

    def _lose_one(self) -> None:
        now = self.cluster.now
        lost = [p for p in self._places if p.lost_until > now]
        whole = [p for p in self._places if p not in lost and not p.stopping]
        if len(lost) >= TOLERANCE or not whole:
            return
        place = self._rng.choice(whole)
        leading = [p for p in whole if p.identity == self.cluster.leader()]
        if leading and self._rng.random() < 0.4:
            place = leading[0]
        self._rng.choice(self._kinds)(place)

    def _replace(self, place: _Place) -> None:
        """Takes a node away for good; its successor starts soon after."""
        self._crash(place)
        self._start_later(place, self._new_name(), self._rng.uniform(0.0, 2.0))

    def _replace_as_planned(self, place: _Place) -> None:
        """Starts the successor first; later the node stops in order."""
        if place.has_successor:
            return
        place.has_successor = True
        successor = _Place(self._new_name())
        self.cluster.add(successor.identity)
        self._places.append(successor)

        def stop() -> None:
            lost_until = max(place.lost_until, successor.lost_until)
            if lost_until > self.cluster.now:
                self._at(1.0, stop)
                return
            place.stopping = True
            end(self.cluster.now + _HANDOVER_SECONDS)

        def end(deadline: float) -> None:
            replica = self.cluster.members[place.identity].replica
            is_replaced = (
                place.identity not in replica.voters.voters
                and replica.role != LEADER
            )
            if is_replaced or self.cluster.now > deadline:
                self.cluster.crash(place.identity)
                self._places.remove(place)
                return
            self._at(_STEP_SECONDS, lambda: end(deadline))

        successor.lost_until = self.cluster.now + self._policy.catch_up_seconds
        self._at(self._policy.catch_up_seconds + 0.5, stop)

    def _power_off(self, place: _Place) -> None:
        """Switches a node off, which returns with its disk."""
        self._crash(place)
        identity = place.identity

        def restart() -> None:
            self.cluster.restart(identity)
            self._count_back(place)

        self._at(self._rng.uniform(0.5, 9.0), restart)

    def _wipe(self, place: _Place) -> None:
        """Takes a node's disk; it returns under another identity."""
        self._crash(place)
        name, _, generation = place.identity.partition(".")
        successor = f"{name}.{int(generation) + 1}"
        self._start_later(place, successor, self._rng.uniform(0.5, 2.0))

    def _crash(self, place: _Place) -> None:
        self.cluster.crash(place.identity)
        place.lost_until = float("inf")

    def _start_later(self, place: _Place, identity: str, wait: float) -> None:
        def start() -> None:
            self.cluster.add(identity)
            place.identity = identity
            self._count_back(place)

        self._at(wait, start)

    def _count_back(self, place: _Place) -> None:
        place.lost_until = self.cluster.now + self._policy.catch_up_seconds

    def _new_name(self) -> str:
        return f"n{next(self._numbers)}.0"

    def _at(self, seconds: float, call: Callable[[], None]) -> None:
        at = self.cluster.now + seconds
        self._due.append((at, next(self._order), call))

    # -- running ----------------------------------------------------------

    def _advance(self, seconds: float) -> None:
        until = self.cluster.now + seconds
        while self.cluster.now < until:
            self.cluster.run(_STEP_SECONDS)
            self._do_due()
            self._hear_beats()
            if self.cluster.now >= self._led_at + _LEAD_TICK_SECONDS:
                self._led_at = self.cluster.now
                self._lead()
                self._write()
            self._check_quorum()

    def _do_due(self) -> None:
        due = sorted(d for d in self._due if d[0] <= self.cluster.now)
        self._due = [d for d in self._due if d[0] > self.cluster.now]
        for _, _, call in due:
            call()

    def _hear_beats(self) -> None:
        for place in self._places:
            member = self.cluster.members[place.identity]
            if not member.up:
                continue
            name = place.identity.partition(".")[0]
            own_voters = member.replica.voters.voters
            beat = Beat(
                Node(name, "1", name, "a", place.identity),
                0,
                0,
                draining=place.stopping,
                learner=place.identity not in own_voters,
            )
            self._beats[name] = (self.cluster.now, beat)

    def _lead(self) -> None:
        """Lets the leader make all changes that it can commit at once."""
        leader = self.cluster.leader()
        if not leader:
            return
        heard = [
            HeardBeat(beat, self.cluster.now - at)
            for at, beat in self._beats.values()
            if self.cluster.now - at < _BEAT_TIMEOUT_SECONDS
        ]
        replica = self.cluster.members[leader].replica
        change = decide_change(replica, heard, self.cluster.now, self._policy)
        if change is not None:
            self.cluster.propose(leader, change)
            # The node proposes the next change as soon as this is committed.
            self._led_at -= _LEAD_TICK_SECONDS

    def _write(self) -> None:
        leader = self.cluster.leader()
        if leader:
            self.cluster.propose(leader, Write(f"v{next(self._values)}"))

    def _check_quorum(self) -> None:
        """Checks that enough voters are up to elect a leader."""
        now = self.cluster.now
        lost = [p for p in self._places if p.lost_until > now]
        if len(lost) > TOLERANCE:
            return
        voters = self._newest_voters().voters
        up = [v for v in voters if self.cluster.members[v].up]
        if len(up) <= len(voters) // 2:
            raise Violation(
                f"{len(up)} of {len(voters)} voters are up at {now:.2f} s "
                f"while {len(lost)} nodes count as lost: {voters}"
            )

    def _newest_voters(self) -> Voters:
        def newest(name: str) -> tuple[int, int]:
            log = self.cluster.members[name].replica.log
            return log.last_term, log.last_index

        name = max(self.cluster.members, key=newest)
        return self.cluster.members[name].replica.voters
