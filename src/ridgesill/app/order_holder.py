"""Delivers orders to the engines whose order lease this VM holds."""

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
from ridgesill.ports.http import MAX_REPORT_BYTES, ChannelError

# Greatest length of the part of an engine's answer that is logged, in bytes.
_MAX_DETAIL_BYTES = 80


class OrderHolder:
    """Sends stamps to the leader and delivers the orders that it is sent.

    Args:
        control: the control plane of this node, which knows the leader.
        channels: the HTTP connections to the engines.
        calls: encodes orders and decodes the answers.
        handle_alive: called with this node's own message while the node leads.
    """

    def __init__(
        self,
        control: Control,
        channels: UpstreamChannels,
        calls: EngineCalls,
        handle_alive: Callable[[HolderAlive], None],
    ) -> None:
        self._control = control
        self._channels = channels
        self._calls = calls
        self._handle_alive = handle_alive
        self._loop = asyncio.get_running_loop()
        self._gate = OrderGate(control.node.name, self._loop.time)

    async def run(self) -> None:
        """Sends stamps to the current leader until cancelled."""
        node = self._control.node
        while True:
            alive = HolderAlive(node.name, node.data_centre, self._loop.time())
            leader = self._control.leader_address()
            if leader == node.address:
                self._handle_alive(alive)
            elif leader:
                self._control.peers.send(leader, alive)
            await asyncio.sleep(STAMP_INTERVAL_SECONDS)

    async def handle_order(self, message: DeliverOrder) -> OrderAnswer:
        """Delivers an order if it is fresh and meant for this holder."""
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
    """Sends an order to its engine and returns the outcome."""
    request = calls.write_order_request(order)
    try:
        async with asyncio.timeout(ORDER_TIMEOUT_SECONDS):
            exchange = await channels.send(order.address, request)
            try:
                head = await exchange.read_head()
                body = await exchange.read_rest(MAX_REPORT_BYTES)
            finally:
                exchange.cancel()
    except ChannelError as error:
        delivery = Delivery.NO_ANSWER if error.sent else Delivery.UNREACHABLE
        return OrderAnswer(delivery, str(error))
    except TimeoutError:
        return OrderAnswer(Delivery.NO_ANSWER, "no answer in time")
    detail = body[:_MAX_DETAIL_BYTES].decode("latin-1")
    leaves = calls.is_leaving(head)
    return OrderAnswer(Delivery.ANSWERED, detail, head.status, leaves)
