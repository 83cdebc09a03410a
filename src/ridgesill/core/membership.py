"""The leader's view of which nodes are alive and who owns each pool.

Safety does not depend on this view. If a live node is taken for dead, its
pools only move; each owner checks its lease before every order, so the old and
the new owner never order at the same time.
"""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from ridgesill.core.commands import GrantPool, JoinNode, RemoveNode
from ridgesill.core.following import Beat, HeardBeat
from ridgesill.core.rendezvous import rank
from ridgesill.core.state import State

POOL_SEPARATOR = "/"


def pool_name(data_centre: str, service: str) -> str:
    """Returns the name of the pool of a service in a data centre."""
    return f"{data_centre}{POOL_SEPARATOR}{service}"


def pool_parts(pool: str) -> tuple[str, str]:
    """Returns the data centre and the service of a pool, by its name."""
    data_centre, _, service = pool.partition(POOL_SEPARATOR)
    return data_centre, service


@attrs.frozen
class _ReceivedBeat:
    beat: Beat
    at: float


class Membership:
    """Derives commands for the log from the beats of the nodes.

    Args:
        silence_seconds: seconds without a beat after which a node counts as
            dead.
        now: when this view begins. A new leader waits `silence_seconds` from
            then before it removes a node or moves a pool.
    """

    def __init__(self, silence_seconds: float, now: float) -> None:
        self._silence_seconds = silence_seconds
        self._listening_since = now
        self._received: dict[str, _ReceivedBeat] = {}

    def record_beat(self, beat: Beat, at: float) -> None:
        """Records a beat received at a time on this process's clock."""
        known = self._received.get(beat.node.name)
        if known is None or at >= known.at:
            self._received[beat.node.name] = _ReceivedBeat(beat, at)

    def record_relayed_beats(
        self, heard: Iterable[HeardBeat], now: float
    ) -> None:
        """Records beats that another voter relays."""
        for item in heard:
            self.record_beat(item.beat, now - item.age)

    def record_alive(
        self, alive: Mapping[str, float], now: float
    ) -> tuple[str, ...]:
        """Records that nodes are alive whose beats were relayed before.

        Args:
            alive: the seconds since the relaying voter received each node's
                beat, by node name.
            now: the current time on this process's clock.

        Returns:
            The names of nodes whose beats are not known here.
        """
        unknown = []
        for name, age in alive.items():
            known = self._received.get(name)
            if known is None:
                unknown.append(name)
            else:
                self.record_beat(known.beat, max(known.at, now - age))
        return tuple(unknown)

    def restart_silence_window(self, now: float) -> None:
        """Restarts the wait before silent nodes are removed."""
        self._listening_since = now

    def recent_beats(self, now: float) -> tuple[HeardBeat, ...]:
        """Returns the beats of live nodes with their ages, for relaying."""
        return tuple(
            HeardBeat(received.beat, now - received.at)
            for received in self._received.values()
            if now - received.at < self._silence_seconds
        )

    def live_beats(self, now: float) -> list[Beat]:
        """Returns the beats of the nodes that count as alive."""
        return [item.beat for item in self.recent_beats(now)]

    def decide_commands(self, state: State, now: float) -> list[Any]:
        """Returns the commands to propose now: joins, removals and grants."""
        alive = {beat.node.name: beat for beat in self.live_beats(now)}
        decided: list[Any] = self._decide_joins(state, alive)
        if now - self._listening_since < self._silence_seconds:
            # Too early to tell dead nodes from nodes not heard yet.
            return decided
        decided += self._decide_removals(state, alive)
        decided += _decide_grants(state, alive)
        return decided

    def _decide_joins(
        self, state: State, alive: dict[str, Beat]
    ) -> list[JoinNode]:
        return [
            JoinNode(beat.node)
            for name, beat in alive.items()
            if state.nodes.get(name) != beat.node
        ]

    def _decide_removals(
        self, state: State, alive: dict[str, Beat]
    ) -> list[RemoveNode]:
        return [
            RemoveNode(name, node.incarnation)
            for name, node in state.nodes.items()
            if name not in alive
        ]


class BeatRelay:
    """Tracks which beats a receiver already has, to relay each only once.

    A beat has about 220 bytes and seldom changes. Relaying every beat each
    second would exceed the network share of a leader of 330 nodes
    (docs/CAPACITY.md).
    """

    def __init__(self) -> None:
        self._receiver = ""
        self._known: dict[str, Beat] = {}

    def split_new(
        self, heard: Iterable[HeardBeat], receiver: str
    ) -> tuple[tuple[HeardBeat, ...], dict[str, float]]:
        """Splits beats into new ones and ages of known ones.

        Returns:
            The beats that the receiver lacks; and for each other node the age
            of its beat in seconds, by node name.
        """
        if receiver != self._receiver:
            self._receiver = receiver
            self._known = {}
        new = []
        alive = {}
        for item in heard:
            name = item.beat.node.name
            if self._known.get(name) == item.beat:
                alive[name] = round(item.age, 2)
            else:
                new.append(item)
        return tuple(new), alive

    def record_received(
        self, sent: Iterable[HeardBeat], unknown: Iterable[str]
    ) -> None:
        """Records the receiver's reply.

        Args:
            sent: the beats that it has received.
            unknown: names of nodes whose beats it lacks.
        """
        for item in sent:
            self._known[item.beat.node.name] = item.beat
        for name in unknown:
            self._known.pop(name, None)


def _decide_grants(state: State, alive: dict[str, Beat]) -> list[GrantPool]:
    wanted = {pool for beat in alive.values() for pool in beat.pools}
    grants = []
    for pool in sorted(wanted):
        if _has_owner(state, pool, alive):
            continue
        name = _choose_owner(pool, alive)
        if name:
            incarnation = alive[name].node.incarnation
            grants.append(GrantPool(pool, name, incarnation))
    return grants


def _has_owner(state: State, pool: str, alive: dict[str, Beat]) -> bool:
    owner = state.owners.get(pool)
    if owner is None:
        return False
    beat = alive.get(owner.node)
    return beat is not None and beat.node.incarnation == owner.incarnation


def _choose_owner(pool: str, alive: dict[str, Beat]) -> str:
    """Chooses an owner for a pool; empty if every node is draining.

    Prefers nodes in the pool's data centre, then nodes to which the pool's
    runners announce themselves, then any other.
    """
    data_centre, _ = pool_parts(pool)
    ready = {n: b for n, b in alive.items() if not b.draining}
    local = [n for n, b in ready.items() if b.node.data_centre == data_centre]
    announced_to = [n for n, b in ready.items() if pool in b.pools]
    for candidates in (local, announced_to, list(ready)):
        if candidates:
            return rank(pool, candidates)[0]
    return ""
