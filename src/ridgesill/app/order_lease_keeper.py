"""Grants order leases and has orders delivered, on the node that leads."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from eliot import log_message

from ridgesill.app.control import Control, UnavailableError
from ridgesill.app.engine_orders import ORDER_TIMEOUT_SECONDS, Authority
from ridgesill.app.order_holder import OrderHolder
from ridgesill.core.commands import GrantPool, ReleasePool
from ridgesill.core.fleet.engines import Engine
from ridgesill.core.fleet.order_leases import (
    ORDER_POOL_PREFIX,
    EngineLocation,
    OrderLeases,
    leased_addresses,
)
from ridgesill.core.fleet.orders import (
    DeliverOrder,
    Delivery,
    FleetOrder,
    HolderAlive,
    OrderAnswer,
)
from ridgesill.ports.peers import PeerError

# Time for an order to reach its holder and for the answer to return, in
# seconds. It is added to the time that an engine has to answer.
_RELAY_MARGIN_SECONDS = 0.05
# How long an engine must be gone before its order lease is released, in
# seconds. This is longer than any lease and than most restarts.
_RELEASE_AFTER_SECONDS = 60.0
# How long the grant of a lease may take to be applied to the log, in seconds.
# After that it is proposed again.
_PROPOSE_SECONDS = 2.0


class OrderLeaseKeeper:
    """Keeps order leases granted while this node leads the log.

    Args:
        control: the control plane, whose log records the grants.
        leases: decides which VM may hold which lease.
        holder: delivers orders for which this node itself holds the lease.
        spawn: starts a task that proposes a grant or a release.
    """

    def __init__(
        self,
        control: Control,
        leases: OrderLeases,
        holder: OrderHolder,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self._control = control
        self._leases = leases
        self._holder = holder
        self._spawn = spawn
        self._loop = asyncio.get_running_loop()
        self._term = 0
        # Addresses for which a grant or a release has been proposed and not
        # applied.
        self._proposed: set[str] = set()
        self._unused_since: dict[str, float] = {}

    def begin(self, term: int, ordered_until: float) -> None:
        """Starts a term of leadership.

        Args:
            term: the log term.
            ordered_until: until when an earlier leader may have sent orders, in
                seconds.
        """
        self._term = term
        self._leases.begin(self._loop.time(), ordered_until)

    def delivered_until(self) -> float:
        """Returns until when an earlier leader's orders may have arrived."""
        return self._leases.delivered_until

    def handle_alive(self, alive: HolderAlive) -> bool:
        """Records that a VM can deliver orders.

        Returns:
            Whether the VM was not reachable before.
        """
        now = self._loop.time()
        was_heard = self._leases.is_reachable(alive.name, now)
        self._leases.record_stamp(
            alive.name, alive.stamp, alive.data_centre, now
        )
        return not was_heard

    def update_holders(self, engines: Iterable[Engine]) -> None:
        """Updates for each engine whether some VM can deliver orders to it."""
        now = self._loop.time()
        owners = self._control.state.owners
        for engine in engines:
            holder = self._leases.find_holder(engine.address, owners, now)
            engine.has_holder = holder is not None

    def orders_possible_from(self, engines: Iterable[Engine]) -> float:
        """Returns when at least one of the engines can be sent an order."""
        addresses = [engine.address for engine in engines]
        owners = self._control.state.owners
        return self._leases.orders_possible_from(
            addresses, owners, self._loop.time()
        )

    # -- grants --------------------------------------------------------

    def maintain_leases(self, engines: Iterable[Engine]) -> None:
        """Grants free leases, and releases those of engines that are gone."""
        known = list(engines)
        self._grant(known)
        self._release({engine.address for engine in known})

    def _grant(self, engines: Iterable[Engine]) -> None:
        """Proposes grants for engines that have no holder."""
        locations = [
            EngineLocation(engine.address, engine.data_centre)
            for engine in engines
            if engine.address not in self._proposed
        ]
        grants = self._leases.choose_grants(
            locations,
            self._control.state.owners,
            self._control.node.name,
            self._loop.time(),
        )
        for grant in grants:
            command = GrantPool(
                ORDER_POOL_PREFIX + grant.address, grant.node, ""
            )
            self._propose(grant.address, command)

    def _release(self, used: set[str]) -> None:
        """Releases leases of lost engines, so that the log's state is bounded.

        Args:
            used: the addresses of the engines that exist.
        """
        now = self._loop.time()
        owners = self._control.state.owners
        for address in leased_addresses(owners):
            if address in used:
                self._unused_since.pop(address, None)
                continue
            since = self._unused_since.setdefault(address, now)
            if (
                now - since > _RELEASE_AFTER_SECONDS
                and address not in self._proposed
            ):
                del self._unused_since[address]
                pool = ORDER_POOL_PREFIX + address
                release = ReleasePool(pool, owners[pool].epoch)
                self._propose(address, release)

    def _propose(self, address: str, command: GrantPool | ReleasePool) -> None:
        """Starts to propose a grant or a release."""
        self._proposed.add(address)
        self._spawn(self._await_proposal(address, command))

    async def _await_proposal(
        self, address: str, command: GrantPool | ReleasePool
    ) -> None:
        """Proposes a grant or a release, and logs the outcome."""
        try:
            done = await self._control.propose(command, _PROPOSE_SECONDS)
        except UnavailableError as error:
            log_message("fleet:not_granted", peer=address, detail=str(error))
        else:
            holder = command.node if isinstance(command, GrantPool) else ""
            log_message(
                "fleet:lease", peer=address, holder=holder, token=done.index
            )
        finally:
            self._proposed.discard(address)

    # -- orders --------------------------------------------------------

    def find_authority(self, engine: Engine) -> Authority | None:
        """Returns the lease under which an engine gets orders, if any."""
        if engine.address in self._proposed:
            return None
        owners = self._control.state.owners
        now = self._loop.time()
        holder = self._leases.find_holder(engine.address, owners, now)
        if holder is None:
            return None
        self._leases.record_use(engine.address, holder.name, now)
        return Authority(holder.name, holder.token, holder.stamp)

    async def deliver(
        self, order: FleetOrder, authority: Authority
    ) -> OrderAnswer:
        """Has the holder of an engine's lease deliver an order."""
        message = DeliverOrder(order, authority.stamp, self._term)
        if authority.holder == self._control.node.name:
            return await self._holder.handle_order(message)
        address = self._control.address_of(authority.holder)
        try:
            answer: OrderAnswer = await self._control.peers.call(
                address, message, ORDER_TIMEOUT_SECONDS + _RELAY_MARGIN_SECONDS
            )
        except PeerError as error:
            return OrderAnswer(Delivery.NO_ANSWER, str(error))
        return answer
