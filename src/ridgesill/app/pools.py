"""Hosts the pools that this node owns, and the weight store's allocator."""

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

_TICK = 0.1
_DIGEST_EVERY = 0.5
_RUNNER_HEARD = 5.0
_HOLDINGS_HEARD = 1.5


def store_pool_name(service: str) -> str:
    """Returns the pool name under which a weight store's owner is granted."""
    return pool_name("", service)


@attrs.define
class _Hosted:
    """A pool owned by this node."""

    owner: PoolOwner
    orders: set[asyncio.Task[None]] = attrs.Factory(set)
    answers: dict[str, asyncio.Future[Any]] = attrs.Factory(dict)
    digest_at: float = float("-inf")


class Pools:
    """Runs the owners of this node's pools.

    Args:
        node: this node, as name#incarnation.
        view: the control plane.
        peers: sends messages to other nodes.
        orders: carries orders to runners.
        lease: seconds that an earlier owner may still rely on its lease.
        limits: limits of each pool.
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
        self._heard: dict[str, float] = {}
        self._announced: dict[str, Announcement] = {}
        self._loop = asyncio.get_running_loop()
        self.observe_load: Callable[[str, float], None] = lambda _s, _t: None

    @property
    def owners(self) -> list[PoolOwner]:
        """The pools that this node owns."""
        return [hosted.owner for hosted in self._hosted.values()]

    def announced_pools(self) -> tuple[str, ...]:
        """Returns pools whose runners have announced themselves here."""
        now = self._loop.time()
        recent = [
            pool for pool, at in self._heard.items() if now - at < _RUNNER_HEARD
        ]
        stores = {store_pool_name(pool_parts(pool)[1]) for pool in recent}
        return tuple(sorted(stores.union(recent)))

    # -- ownership -----------------------------------------------------

    def sync(self) -> None:
        """Brings what is hosted in line with the state."""
        owners = self._view.state().owners
        mine = {p: o for p, o in owners.items() if self._is_mine(o)}
        for pool in list(self._hosted):
            owner = mine.get(pool)
            if owner is None or owner.epoch != self._hosted[pool].owner.epoch:
                self._end(pool)
        for pool in list(self._allocators):
            if pool not in mine:
                del self._allocators[pool]
        for pool, owner in mine.items():
            self._begin(pool, owner)
        for hosted in self._hosted.values():
            self._sync_nodes(hosted.owner)

    def _is_mine(self, owner: Owner) -> bool:
        return f"{owner.node}#{owner.incarnation}" == self._node

    def _begin(self, pool: str, owner: Owner) -> None:
        data_centre, service_name = pool_parts(pool)
        service = self._view.state().table.services.get(service_name)
        if service is None:
            return
        if not data_centre:
            self._begin_allocator(pool, service)
        elif pool not in self._hosted:
            self._host(pool, owner, service)

    def _begin_allocator(self, pool: str, service: Service) -> None:
        known = self._allocators.get(pool)
        if known is None:
            self._allocators[pool] = PermitAllocator(
                service.load_rate, service.load_concurrency, self._loop.time()
            )
        else:
            known.rate = service.load_rate
            known.concurrency = service.load_concurrency

    def _host(self, pool: str, owner: Owner, service: Service) -> None:
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
                now + max(wait, _HOLDINGS_HEARD),
            )
        )
        log_message("pool:owned", pool=pool, epoch=owner.epoch, wait=wait)
        for announcement in list(self._announced.values()):
            if _pool_of(announcement) == pool:
                self._feed(self._hosted[pool], announcement)

    def _end(self, pool: str) -> None:
        hosted = self._hosted.pop(pool)
        for order in hosted.orders:
            order.cancel()
        for request, future in hosted.answers.items():
            if not future.done():
                future.set_result(Refused(request, NOT_OWNER, 0.5))
        log_message("pool:given_up", pool=pool, epoch=hosted.owner.epoch)

    def _sync_nodes(self, owner: PoolOwner) -> None:
        nodes = self._view.state().nodes.values()
        alive = {node.identity for node in nodes}
        for node in owner.entry_nodes() - alive:
            owner.handle_lost_node(node)

    # -- messages ------------------------------------------------------

    @singledispatchmethod
    async def handle(self, message: Any) -> Any:
        """Takes a message for a pool or an allocator of this node."""
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
            self._feed(hosted, message)
            return await future
        finally:
            hosted.answers.pop(message.request, None)

    def _is_allowed(self, message: Admit) -> bool:
        """Checks the place again: the entry node's table may be older."""
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
        self._feed_pool(message.pool, message)

    @handle.register
    async def _(self, message: Holding) -> None:
        self._feed_pool(message.pool, message)

    @handle.register
    async def _(self, message: GrantPermit) -> None:
        self._feed_pool(message.pool, message)

    @handle.register
    async def _(self, message: Announcement) -> None:
        """Takes a runner's announcement, or passes it to the pool's owner."""
        pool = _pool_of(message)
        self._announced[message.name] = message
        hosted = self._hosted.get(pool)
        if hosted is not None:
            self._feed(hosted, message)

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
        """Takes an announcement that a runner made to this node."""
        pool = _pool_of(message)
        self._heard[pool] = self._loop.time()
        await self.handle(message)
        if pool not in self._hosted:
            self._send_owner(pool, message)

    def _feed_pool(self, pool: str, message: Any) -> None:
        hosted = self._hosted.get(pool)
        if hosted is not None:
            self._feed(hosted, message)

    def _feed(self, hosted: _Hosted, message: Any) -> None:
        hosted.owner.receive(message, self._loop.time())
        self._carry_out(hosted)

    # -- outputs -------------------------------------------------------

    def _carry_out(self, hosted: _Hosted) -> None:
        for item in hosted.owner.take_output():
            self._emit(item, hosted)

    @singledispatchmethod
    def _emit(self, item: Any, hosted: _Hosted) -> None:
        raise TypeError(f"no pool output: {type(item).__name__}")

    @_emit.register
    def _(self, item: Reply, hosted: _Hosted) -> None:
        future = hosted.answers.get(item.message.request)
        if future is not None and not future.done():
            future.set_result(item.message)
        elif isinstance(item.message, Granted):
            # The asker is gone; what it was granted is given back.
            finished = Finished(item.message.request, hosted.owner.pool)
            self._loop.call_soon(self._feed, hosted, finished)

    @_emit.register
    def _(self, item: ToAllocator, hosted: _Hosted) -> None:
        self._send_owner(store_pool_name(item.message.service), item.message)

    @_emit.register
    def _(self, item: SendOrder, hosted: _Hosted) -> None:
        task = asyncio.create_task(self._carry(hosted, item.order))
        hosted.orders.add(task)
        task.add_done_callback(hosted.orders.discard)

    async def _carry(self, hosted: _Hosted, order: Order) -> None:
        """Sends an order and tells the owner what became of it.

        An owner gives the second order of an adapter or slot only after the
        first has ended, so orders need not wait for each other here.
        """
        began = self._loop.time()
        verdict = await self._send_order(order)
        if order.action == LOAD:
            took = self._loop.time() - began
            self.observe_load(hosted.owner.service, took)
        hosted.owner.handle_order_result(order, verdict, self._loop.time())
        self._carry_out(hosted)

    async def _send_order(self, order: Order) -> str:
        # The last look at the lease, on a clock that freezing doesn't stop.
        if not self._view.is_fresh():
            log_message("order:lease_lost", runner=order.runner)
            return FAILED
        return await self._orders.send(order)

    def _send_owner(self, pool: str, message: Any) -> None:
        state = self._view.state()
        owner = state.owners.get(pool)
        node = state.nodes.get(owner.node) if owner else None
        if node is not None:
            self._peers.send(node.address, message)

    def _grant_permits(self, allocator: PermitAllocator) -> None:
        for grant in allocator.grant(self._loop.time()):
            self._send_owner(grant.pool, grant)

    # -- time ----------------------------------------------------------

    async def run(self) -> None:
        """Ticks pools and allocators and sends digests until cancelled."""
        while True:
            await asyncio.sleep(_TICK)
            self.tick()

    def tick(self) -> None:
        """Does what the passing of time calls for."""
        now = self._loop.time()
        self.sync()
        for allocator in self._allocators.values():
            self._grant_permits(allocator)
        for hosted in list(self._hosted.values()):
            self._fence(hosted.owner, now)
            hosted.owner.tick(now)
            self._carry_out(hosted)
            self._send_digest(hosted, now)

    def _fence(self, owner: PoolOwner, now: float) -> None:
        service = self._view.state().table.services.get(owner.service)
        if service is not None and service.fenced and now < owner.starts_at:
            owner.fence()

    def _send_digest(self, hosted: _Hosted, now: float) -> None:
        since = now - hosted.digest_at
        if since < _DIGEST_EVERY:
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
        places = state.table.data_centres
        here = places.get(pool_parts(pool)[0])
        region = here.region if here else ""
        return frozenset(
            node.address
            for node in state.nodes.values()
            if node.data_centre in places
            and places[node.data_centre].region == region
        )

    def is_idle(self) -> bool:
        """Whether no pool has work left."""
        return all(hosted.owner.is_idle() for hosted in self._hosted.values())


def _pool_of(announcement: Announcement) -> str:
    return pool_name(announcement.data_centre, announcement.service)
