"""A minimal control plane for an emulated node that can own the fleet."""

import itertools
from collections.abc import Callable

import attrs

from ridgesill.core.commands import GrantPool, Node
from ridgesill.core.state import Owner, State
from ridgesill.ports.peers import Peers

# Grant indices are term * this + a counter, so that they increase from one
# term to the next.
_MAX_GRANTS_PER_TERM = 1_000_000


@attrs.define
class EmulatedReplica:
    """The attributes of the log replica that a fleet owner reads.

    Attributes:
        term: term in which this node leads.
        predecessor_until: when a quorum last followed the previous leader;
            -inf if there was none.
    """

    term: int = 1
    predecessor_until: float = float("-inf")

    def quorum_confirmed_at(self, now: float) -> float:
        """Returns `now`: an emulated leader always has a quorum."""
        return now


@attrs.define
class EmulatedDriver:
    """The attributes of the log driver that a fleet owner reads."""

    is_leader: bool = False
    replica: EmulatedReplica = attrs.Factory(EmulatedReplica)


@attrs.frozen
class CommittedGrant:
    """The log entry of a committed grant.

    Attributes:
        index: position in the log; serves as the epoch of the grant.
    """

    index: int


class EmulatedControl:
    """Replaces `app.control.Control` for a fleet owner.

    Args:
        name: address of this node, which is also its name.
        state: replicated state, shared by all emulated nodes.
        peers: sends messages to other nodes.
        leader: returns the leader's address; "" while there is none.
    """

    def __init__(
        self, name: str, state: State, peers: Peers, leader: Callable[[], str]
    ) -> None:
        self.node = Node(name, "1", name, "", "")
        self.state = state
        self.peers = peers
        self.driver = EmulatedDriver()
        self.leader_address = leader
        self._grant_numbers = itertools.count(1)

    def become_leader(self, term: int, predecessor_until: float) -> None:
        """Makes this node the leader of the log.

        Args:
            term: the new term.
            predecessor_until: when a quorum last followed the previous
                leader.
        """
        self.driver.is_leader = True
        self.driver.replica.term = term
        self.driver.replica.predecessor_until = predecessor_until

    def step_down(self) -> None:
        """Ends this node's leadership of the log."""
        self.driver.is_leader = False

    async def propose(
        self, command: GrantPool, timeout: float
    ) -> CommittedGrant:
        """Applies a grant to the shared state at once."""
        index = self.driver.replica.term * _MAX_GRANTS_PER_TERM + next(
            self._grant_numbers
        )
        owner = Owner(command.node, command.incarnation, index)
        self.state.owners[command.pool] = owner
        return CommittedGrant(index)

    def address_of(self, name: str) -> str:
        """Returns a node's address, which is its name."""
        return name
