"""The leader's view of which nodes live and which node owns which pool.

Nothing here is needed for safety: a wrong guess that a node is gone only
moves its pools, and the lease that each owner checks before each order keeps
the old and the new owner apart.
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
    """Returns a pool's data centre and service."""
    data_centre, _, service = pool.partition(POOL_SEPARATOR)
    return data_centre, service


@attrs.frozen
class _Seen:
    beat: Beat
    at: float


class Membership:
    """Turns beats into the commands that keep the state in line with them.

    Args:
        patience: seconds of silence after which a node counts as gone.
        now: when this view began; a new leader first listens.
    """

    def __init__(self, patience: float, now: float) -> None:
        self._patience = patience
        self._since = now
        self._seen: dict[str, _Seen] = {}

    def record_beat(self, beat: Beat, at: float) -> None:
        """Notes a beat heard at a time on this process's clock."""
        known = self._seen.get(beat.node.name)
        if known is None or at >= known.at:
            self._seen[beat.node.name] = _Seen(beat, at)

    def record_relayed_beats(
        self, heard: Iterable[HeardBeat], now: float
    ) -> None:
        """Notes beats that another voter passes on."""
        for item in heard:
            self.record_beat(item.beat, now - item.age)

    def record_alive(
        self, alive: Mapping[str, float], now: float
    ) -> tuple[str, ...]:
        """Notes nodes whose beats were passed on before and still hold.

        Returns:
            The names whose beats are not known here.
        """
        unknown = []
        for name, age in alive.items():
            known = self._seen.get(name)
            if known is None:
                unknown.append(name)
            else:
                self.record_beat(known.beat, max(known.at, now - age))
        return tuple(unknown)

    def restart_silence_window(self, now: float) -> None:
        """Takes silence until now for nothing."""
        self._since = now

    def recent_beats(self, now: float) -> tuple[HeardBeat, ...]:
        """Returns the recent beats, to be passed on to the leader."""
        return tuple(
            HeardBeat(seen.beat, now - seen.at)
            for seen in self._seen.values()
            if now - seen.at < self._patience
        )

    def live_beats(self, now: float) -> list[Beat]:
        """Returns the beats of the nodes that count as alive."""
        return [item.beat for item in self.recent_beats(now)]

    def decide_commands(self, state: State, now: float) -> list[Any]:
        """Returns the commands to propose now."""
        alive = {beat.node.name: beat for beat in self.live_beats(now)}
        decided: list[Any] = self._join(state, alive)
        if now - self._since < self._patience:
            # Silence means nothing yet to a leader that has just started.
            return decided
        decided += self._remove(state, alive)
        decided += _grant(state, alive)
        return decided

    def _join(self, state: State, alive: dict[str, Beat]) -> list[JoinNode]:
        return [
            JoinNode(beat.node)
            for name, beat in alive.items()
            if state.nodes.get(name) != beat.node
        ]

    def _remove(self, state: State, alive: dict[str, Beat]) -> list[RemoveNode]:
        return [
            RemoveNode(name, node.incarnation)
            for name, node in state.nodes.items()
            if name not in alive
        ]


class BeatRelay:
    """What a voter has passed on to another, so that it does so once.

    Beats are some 220 bytes and change seldom. Passing on all of them each
    second would cost a leader of 330 nodes more than its share of the
    network (docs/CAPACITY.md).
    """

    def __init__(self) -> None:
        self._receiver = ""
        self._known: dict[str, Beat] = {}

    def split_new(
        self, heard: Iterable[HeardBeat], receiver: str
    ) -> tuple[tuple[HeardBeat, ...], dict[str, float]]:
        """Returns the beats that a receiver lacks, and the others' ages."""
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
        """Notes that a receiver took what was sent, but lacks some beats."""
        for item in sent:
            self._known[item.beat.node.name] = item.beat
        for name in unknown:
            self._known.pop(name, None)


def _grant(state: State, alive: dict[str, Beat]) -> list[GrantPool]:
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
    """Prefers the pool's own data centre, then nodes that hear its runners."""
    data_centre, _ = pool_parts(pool)
    ready = {n: b for n, b in alive.items() if not b.draining}
    local = [n for n, b in ready.items() if b.node.data_centre == data_centre]
    hearing = [n for n, b in ready.items() if pool in b.pools]
    for candidates in (local, hearing, list(ready)):
        if candidates:
            return rank(pool, candidates)[0]
    return ""
