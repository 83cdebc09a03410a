"""A control plane of one emulated node that is granted the fleet."""

from typing import Any

import attrs

from ridgesill.core.commands import Node
from ridgesill.core.state import State


@attrs.define
class EmulatedReplica:
    """What the owner reads of the log's replica."""

    term: int = 1
    predecessor_until: float = float("-inf")

    def confirmed_at(self, now: float) -> float:
        """Returns until when it surely leads: a quorum is always there."""
        return now


@attrs.define
class EmulatedDriver:
    """What the owner reads of the log's driver."""

    is_leader: bool = False
    replica: EmulatedReplica = attrs.Factory(EmulatedReplica)


@attrs.frozen
class Granted:
    """A grant in the log, by its index."""

    index: int


class EmulatedControl:
    """As `app.control.Control`, as far as an owner of the fleet needs it.

    Args:
        name: this node's address.
        state: that all nodes share.
        peers: sends messages to other nodes.
        leader: returns the leader's address.
    """

    def __init__(
        self, name: str, state: State, peers: Any, leader: Any
    ) -> None:
        self.node = Node(name, "1", name, "", "")
        self.state = state
        self.peers = peers
        self.driver = EmulatedDriver()
        self.leader_address = leader
        self._index = 0

    async def propose(self, command: Any, timeout: float) -> Granted:
        """Grants what is asked."""
        self._index = self.driver.replica.term * 10
        return Granted(self._index)
