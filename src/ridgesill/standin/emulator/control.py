"""A control plane of one emulated node that is granted the fleet."""

import itertools
from collections.abc import Callable

import attrs

from ridgesill.core.commands import GrantPool, Node
from ridgesill.core.state import Owner, State
from ridgesill.ports.peers import Peers

# Grants in a term, at the most; their numbers rise from term to term.
_GRANTS_MOST = 1_000_000


@attrs.define
class EmulatedReplica:
    """What the owner reads of the log's replica."""

    term: int = 1
    predecessor_until: float = float("-inf")

    def quorum_confirmed_at(self, now: float) -> float:
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
        self, name: str, state: State, peers: Peers, leader: Callable[[], str]
    ) -> None:
        self.node = Node(name, "1", name, "", "")
        self.state = state
        self.peers = peers
        self.driver = EmulatedDriver()
        self.leader_address = leader
        self._granted = itertools.count(1)

    def lead(self, term: int, predecessor_until: float) -> None:
        """Has this node lead the log in a new term.

        Args:
            term: of its leadership.
            predecessor_until: when a quorum last followed the leader before.
        """
        self.driver.is_leader = True
        self.driver.replica.term = term
        self.driver.replica.predecessor_until = predecessor_until

    def follow(self) -> None:
        """Has this node lead no more."""
        self.driver.is_leader = False

    async def propose(self, command: GrantPool, timeout: float) -> Granted:
        """Grants what is asked."""
        index = self.driver.replica.term * _GRANTS_MOST + next(self._granted)
        owner = Owner(command.node, command.incarnation, index)
        self.state.owners[command.pool] = owner
        return Granted(index)

    def address_of(self, name: str) -> str:
        """Returns a node's address, which is its name."""
        return name
