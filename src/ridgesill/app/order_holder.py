"""A VM's part in delivering orders to the engines whose lease it holds."""

import asyncio
from collections.abc import Callable

from eliot import log_message

from ridgesill.adapters.http1.client import UpstreamChannels
from ridgesill.app.control import Control
from ridgesill.app.engine_orders import ORDER_TIMEOUT_SECONDS
from ridgesill.core.fleet.order_leases import STAMP_INTERVAL_SECONDS, OrderGate
from ridgesill.core.fleet.orders import (
    DeliverOrder,
    Delivery,
    FleetOrder,
    HolderAlive,
    OrderAnswer,
)
from ridgesill.ports.dialect import EngineCalls
from ridgesill.ports.http import ChannelError

# How much of an engine's answer goes into the log, in bytes.
_DETAIL_MOST = 80


class OrderHolder:
    """Tells the leader that it is there, and delivers what it is given.

    Args:
        control: this node's control plane; tells who leads.
        channels: to engines.
        calls: how orders are worded.
        hear: takes this node's own word while it leads itself.
    """

    def __init__(
        self,
        control: Control,
        channels: UpstreamChannels,
        calls: EngineCalls,
        hear: Callable[[HolderAlive], None],
    ) -> None:
        self._control = control
        self._channels = channels
        self._calls = calls
        self._hear = hear
        self._loop = asyncio.get_running_loop()
        self._gate = OrderGate(control.node.name, self._loop.time)

    async def run(self) -> None:
        """Sends stamps to whoever leads, until cancelled."""
        node = self._control.node
        while True:
            alive = HolderAlive(node.name, node.data_centre, self._loop.time())
            leader = self._control.leader_address()
            if leader == node.address:
                self._hear(alive)
            elif leader:
                self._control.peers.send(leader, alive)
            await asyncio.sleep(STAMP_INTERVAL_SECONDS)

    async def handle_order(self, message: DeliverOrder) -> OrderAnswer:
        """Delivers an order, if its word is fresh."""
        order = message.order
        if not self._gate.may_deliver(
            order.holder, message.stamp, message.term
        ):
            log_message(
                "fleet:stale_order",
                upstream=order.upstream,
                holder=order.holder,
                age=round(self._loop.time() - message.stamp, 3),
                term=message.term,
            )
            return OrderAnswer(Delivery.NOT_SENT, "its word is too old")
        return await deliver_order(self._channels, self._calls, order)


async def deliver_order(
    channels: UpstreamChannels, calls: EngineCalls, order: FleetOrder
) -> OrderAnswer:
    """Sends an order to its engine; returns what became of it."""
    request = calls.write_order_request(order)
    try:
        async with asyncio.timeout(ORDER_TIMEOUT_SECONDS):
            exchange = await channels.send(order.address, request)
            try:
                head = await exchange.read_head()
                body = await exchange.read_rest()
            finally:
                exchange.cancel()
    except ChannelError as error:
        delivery = Delivery.NO_ANSWER if error.sent else Delivery.UNREACHABLE
        return OrderAnswer(delivery, str(error))
    except TimeoutError:
        return OrderAnswer(Delivery.NO_ANSWER, "no answer in time")
    detail = body[:_DETAIL_MOST].decode("latin-1")
    leaves = calls.is_leaving(head)
    return OrderAnswer(Delivery.ANSWERED, detail, head.status, leaves)
