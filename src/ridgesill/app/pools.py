"""Runs the pools and weight-store allocators that this node owns."""

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

import attrs
from eliot import log_message

from ridgesill.app.entry import StateView
from ridgesill.core.configuration import Service
from ridgesill.core.membership import pool_name, pool_parts
from ridgesill.core.pool.context import PoolLimits
from ridgesill.core.pool.messages import (
    NOT_OWNER,
    Admit,
    AskPermit,
    Finished,
    Granted,
    GrantPermit,
    Holding,
    Refused,
    Reply,
    ReturnPermit,
    SendOrder,
    ToAllocator,
)
from ridgesill.core.pool.owner import PoolOwner
from ridgesill.core.pool.permits import PermitAllocator
from ridgesill.core.runners import LOAD, Announcement, Order
from ridgesill.core.state import Owner
from ridgesill.ports.orders import FAILED, Orders
from ridgesill.ports.peers import Peers

_TICK_SECONDS = 0.1
_DIGEST_INTERVAL_SECONDS = 0.5
_ANNOUNCEMENT_VALID_SECONDS = 5.0
# A new owner waits this long for entry nodes to report what they hold.
_HOLDINGS_WAIT_SECONDS = 1.5


def store_pool_name(service: str) -> str:
    """Returns the pool name that stands for a service's weight store.

    The owner of that pool runs the allocator of the load permits.
    """
    return pool_name("", service)


@attrs.define
class _Hosted:
    """A pool that this node owns.

    Attributes:
        owner: the pool's state and decisions.
        orders: tasks that send orders to runners.
        answers: futures of requests that wait for admission, by request id.
        digest_at: loop time of the last digest, in seconds.
    """

    owner: PoolOwner
    orders: set[asyncio.Task[None]] = attrs.Factory(set)
    answers: dict[str, asyncio.Future[Any]] = attrs.Factory(dict)
    digest_at: float = float("-inf")


class Pools:
    """Runs the pools and allocators that the state grants to this node.

    Args:
        node: this node, as `name#incarnation`.
        view: read access to the control plane's state.
        peers: sends messages to other nodes.
        orders: sends orders to runners.
        lease: seconds for which a previous owner may still use its lease.
        limits: limits of each pool; the defaults if None.
    """

    def __init__(
        self,
        node: str,
        view: StateView,
        peers: Peers,
        orders: Orders,
        lease: float,
        limits: PoolLimits | None = None,
    ) -> None:
        self._node = node
        self._view = view
        self._peers = peers
        self._orders = orders
        self._lease = lease
        self._limits = limits or PoolLimits()
        self._hosted: dict[str, _Hosted] = {}
        self._allocators: dict[str, PermitAllocator] = {}
        self._announced_at: dict[str, float] = {}
        self._announcements: dict[str, Announcement] = {}
        self._loop = asyncio.get_running_loop()
        self.observe_load: Callable[[str, float], None] = lambda _s, _t: None

    @property
    def owners(self) -> list[PoolOwner]:
        """Returns the owners of all pools on this node."""
        return [hosted.owner for hosted in self._hosted.values()]

    def announced_pools(self) -> tuple[str, ...]:
        """Returns pools with a recent announcement to this node."""
        now = self._loop.time()
        recent = [
            pool
            for pool, at in self._announced_at.items()
            if now - at < _ANNOUNCEMENT_VALID_SECONDS
        ]
        stores = {store_pool_name(pool_parts(pool)[1]) for pool in recent}
        return tuple(sorted(stores.union(recent)))

    # -- ownership -----------------------------------------------------

    def sync(self) -> None:
        """Starts and stops pools and allocators to match the current state."""
        owners = self._view.state().owners
        owned = {p: o for p, o in owners.items() if self._is_owned_here(o)}
        for pool in list(self._hosted):
            owner = owned.get(pool)
            if owner is None or owner.epoch != self._hosted[pool].owner.epoch:
                self._stop_pool(pool)
        for pool in list(self._allocators):
            if pool not in owned:
                del self._allocators[pool]
        for pool, owner in owned.items():
            self._start(pool, owner)
        for hosted in self._hosted.values():
            self._remove_lost_nodes(hosted.owner)

    def _is_owned_here(self, owner: Owner) -> bool:
        return f"{owner.node}#{owner.incarnation}" == self._node

    def _start(self, pool: str, owner: Owner) -> None:
        data_centre, service_name = pool_parts(pool)
        service = self._view.state().table.services.get(service_name)
        if service is None:
            return
        if not data_centre:
            self._update_allocator(pool, service)
        elif pool not in self._hosted:
            self._start_pool(pool, owner, service)

    def _update_allocator(self, pool: str, service: Service) -> None:
        allocator = self._allocators.get(pool)
        if allocator is None:
            self._allocators[pool] = PermitAllocator(
                service.load_rate, service.load_concurrency, self._loop.time()
            )
        else:
            allocator.rate = service.load_rate
            allocator.concurrency = service.load_concurrency

    def _start_pool(self, pool: str, owner: Owner, service: Service) -> None:
        now = self._loop.time()
        wait = 0.0 if owner.released else self._lease
        self._hosted[pool] = _Hosted(
            PoolOwner(
                pool,
                service.name,
                owner.epoch,
                now + wait,
                self._limits,
                service.batch_weight,
                now + max(wait, _HOLDINGS_WAIT_SECONDS),
            )
        )
        log_message("pool:owned", pool=pool, epoch=owner.epoch, wait=wait)
        for announcement in list(self._announcements.values()):
            if _pool_of(announcement) == pool:
                self._deliver(self._hosted[pool], announcement)

    def _stop_pool(self, pool: str) -> None:
        hosted = self._hosted.pop(pool)
        for order in hosted.orders:
            order.cancel()
        for request, future in hosted.answers.items():
            if not future.done():
                future.set_result(Refused(request, NOT_OWNER, 0.5))
        log_message("pool:given_up", pool=pool, epoch=hosted.owner.epoch)

    def _remove_lost_nodes(self, owner: PoolOwner) -> None:
        nodes = self._view.state().nodes.values()
        alive = {node.identity for node in nodes}
        for node in owner.entry_nodes() - alive:
            owner.handle_lost_node(node)

    # -- messages ------------------------------------------------------

    @singledispatchmethod
    async def handle(self, message: Any) -> Any:
        """Handles a message for a pool or an allocator of this node.

        Raises:
            TypeError: no handler is registered for the message's type.
        """
        raise TypeError(f"no message for pools: {type(message).__name__}")

    @handle.register
    async def _(self, message: Admit) -> Any:
        hosted = self._hosted.get(message.pool)
        if hosted is None or not self._view.is_fresh():
            return Refused(message.request, NOT_OWNER, 0.5)
        if not self._is_allowed(message):
            return Refused(message.request, NOT_OWNER, 0.5)
        future: asyncio.Future[Any] = self._loop.create_future()
        hosted.answers[message.request] = future
        try:
            self._deliver(hosted, message)
            return await future
        finally:
            hosted.answers.pop(message.request, None)

    def _is_allowed(self, message: Admit) -> bool:
        """Returns whether the table allows the request in this data centre.

        The entry node has checked this too, but its table may be older.
        """
        table = self._view.state().table
        data_centre, service = pool_parts(message.pool)
        if not message.adapter:
            plain = table.services.get(service)
            if plain is None:
                return False
            return data_centre in table.service_places(plain)
        name, _, version = message.adapter.partition("@")
        adapter = table.adapters.get(name)
        if adapter is None or version not in adapter.versions:
            return False
        return data_centre in table.allowed_places(adapter)

    @handle.register
    async def _(self, message: Finished) -> None:
        self._deliver_to_pool(message.pool, message)

    @handle.register
    async def _(self, message: Holding) -> None:
        self._deliver_to_pool(message.pool, message)

    @handle.register
    async def _(self, message: GrantPermit) -> None:
        self._deliver_to_pool(message.pool, message)

    @handle.register
    async def _(self, message: Announcement) -> None:
        """Stores a runner's announcement; passes it to its pool if owned."""
        pool = _pool_of(message)
        self._announcements[message.name] = message
        hosted = self._hosted.get(pool)
        if hosted is not None:
            self._deliver(hosted, message)

    @handle.register
    async def _(self, message: AskPermit) -> None:
        allocator = self._allocators.get(store_pool_name(message.service))
        if allocator is not None:
            allocator.enqueue(message)
            self._grant_permits(allocator)

    @handle.register
    async def _(self, message: ReturnPermit) -> None:
        allocator = self._allocators.get(store_pool_name(message.service))
        if allocator is not None:
            allocator.release(message.permit)
            self._grant_permits(allocator)

    async def handle_announcement(self, message: Announcement) -> None:
        """Handles a runner's announcement; forwards it to the pool's owner."""
        pool = _pool_of(message)
        self._announced_at[pool] = self._loop.time()
        await self.handle(message)
        if pool not in self._hosted:
            self._send_to_owner(pool, message)

    def _deliver_to_pool(self, pool: str, message: Any) -> None:
        hosted = self._hosted.get(pool)
        if hosted is not None:
            self._deliver(hosted, message)

    def _deliver(self, hosted: _Hosted, message: Any) -> None:
        hosted.owner.receive(message, self._loop.time())
        self._process_outputs(hosted)

    # -- outputs -------------------------------------------------------

    def _process_outputs(self, hosted: _Hosted) -> None:
        for item in hosted.owner.take_output():
            self._process_output(item, hosted)

    @singledispatchmethod
    def _process_output(self, item: Any, hosted: _Hosted) -> None:
        raise TypeError(f"no handler for pool output {type(item).__name__}")

    @_process_output.register
    def _(self, item: Reply, hosted: _Hosted) -> None:
        future = hosted.answers.get(item.message.request)
        if future is not None and not future.done():
            future.set_result(item.message)
        elif isinstance(item.message, Granted):
            # The request no longer waits, so its grant is released.
            finished = Finished(item.message.request, hosted.owner.pool)
            self._loop.call_soon(self._deliver, hosted, finished)

    @_process_output.register
    def _(self, item: ToAllocator, hosted: _Hosted) -> None:
        self._send_to_owner(store_pool_name(item.message.service), item.message)

    @_process_output.register
    def _(self, item: SendOrder, hosted: _Hosted) -> None:
        task = asyncio.create_task(self._execute_order(hosted, item.order))
        hosted.orders.add(task)
        task.add_done_callback(hosted.orders.discard)

    async def _execute_order(self, hosted: _Hosted, order: Order) -> None:
        """Sends an order and passes the verdict on to the owner.

        An owner issues the second order for an adapter or slot only after the
        first has ended, so orders need no ordering here.
        """
        started_at = self._loop.time()
        verdict = await self._send_order(order)
        if order.action == LOAD:
            elapsed = self._loop.time() - started_at
            self.observe_load(hosted.owner.service, elapsed)
        hosted.owner.handle_order_result(order, verdict, self._loop.time())
        self._process_outputs(hosted)

    async def _send_order(self, order: Order) -> str:
        # Checks the lease a last time, on a clock that also counts while the
        # machine is suspended.
        if not self._view.is_fresh():
            log_message("order:lease_lost", runner=order.runner)
            return FAILED
        return await self._orders.send(order)

    def _send_to_owner(self, pool: str, message: Any) -> None:
        state = self._view.state()
        owner = state.owners.get(pool)
        node = state.nodes.get(owner.node) if owner else None
        if node is not None:
            self._peers.send(node.address, message)

    def _grant_permits(self, allocator: PermitAllocator) -> None:
        for grant in allocator.grant(self._loop.time()):
            self._send_to_owner(grant.pool, grant)

    # -- time ----------------------------------------------------------

    async def run(self) -> None:
        """Ticks pools and allocators and sends digests until cancelled."""
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            self.tick()

    def tick(self) -> None:
        """Grants permits, fences pools, advances owners and sends digests."""
        now = self._loop.time()
        self.sync()
        for allocator in self._allocators.values():
            self._grant_permits(allocator)
        for hosted in list(self._hosted.values()):
            self._fence_if_starting(hosted.owner, now)
            hosted.owner.tick(now)
            self._process_outputs(hosted)
            self._send_digest(hosted, now)

    def _fence_if_starting(self, owner: PoolOwner, now: float) -> None:
        service = self._view.state().table.services.get(owner.service)
        if service is not None and service.fenced and now < owner.starts_at:
            owner.fence()

    def _send_digest(self, hosted: _Hosted, now: float) -> None:
        since = now - hosted.digest_at
        if since < _DIGEST_INTERVAL_SECONDS:
            return
        nodes = self._nodes_of_region(hosted.owner.pool)
        digest = hosted.owner.build_digest(nodes, now)
        hosted.digest_at = now
        if digest is None:
            return
        for node in nodes:
            self._peers.send(node, digest)

    def _nodes_of_region(self, pool: str) -> frozenset[str]:
        state = self._view.state()
        data_centres = state.table.data_centres
        data_centre = data_centres.get(pool_parts(pool)[0])
        region = data_centre.region if data_centre else ""
        return frozenset(
            node.address
            for node in state.nodes.values()
            if node.data_centre in data_centres
            and data_centres[node.data_centre].region == region
        )

    def is_idle(self) -> bool:
        """Returns whether no pool has work left."""
        return all(hosted.owner.is_idle() for hosted in self._hosted.values())


def _pool_of(announcement: Announcement) -> str:
    return pool_name(announcement.data_centre, announcement.service)
