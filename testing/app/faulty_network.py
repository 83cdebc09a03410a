"""A simulated network that loses, delays and blocks messages."""

import asyncio
import collections
import random
from collections.abc import Container, Iterable
from typing import Any

from ridgesill.adapters.peer_rpc import encode_body
from ridgesill.ports.peers import PeerError


class FaultyNetwork:
    """Base class of simulations with several nodes, on a paused clock.

    Args:
        seed: decides losses and delays.
        loss: share of messages that are lost.
        delays: shortest and longest delay of a message, in seconds.

    Attributes:
        rng: source of random losses and delays.
        cut_links: pairs of sender and receiver between which no message
            arrives.
        reply_delay: additional delay of replies by receiver, in seconds.
        link_rates: bytes per second in each direction of the links of nodes;
            those of others have no bound.
        link_bytes: bytes that were sent over each of these links, by node.
    """

    def __init__(
        self, seed: int, loss: float, delays: tuple[float, float]
    ) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.cut_links: set[tuple[str, str]] = set()
        self.reply_delay: dict[str, float] = {}
        self.link_rates: dict[str, float] = {}
        self.link_bytes: collections.Counter[str] = collections.Counter()
        self._link_free_at: dict[tuple[str, bool], float] = {}
        self._delays = delays
        self._spawned: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Any) -> None:
        """Runs a coroutine as a background task."""
        task = asyncio.ensure_future(coroutine)
        self._spawned.add(task)
        task.add_done_callback(self._spawned.discard)

    def stop_spawned(self) -> None:
        """Cancels all background tasks."""
        for task in list(self._spawned):
            task.cancel()

    def names(self) -> Iterable[str]:
        """Returns the names of all nodes, including stopped ones."""
        raise NotImplementedError

    def running(self) -> Container[str]:
        """Returns the nodes that receive messages."""
        raise NotImplementedError

    async def handle_message(self, sender: str, name: str, message: Any) -> Any:
        """Has a node handle a message; returns its answer."""
        raise NotImplementedError

    def isolate(self, name: str, *, inbound: bool, outbound: bool) -> None:
        """Blocks all messages to a node, from it, or both."""
        for other in self.names():
            if inbound:
                self.cut_links.add((other, name))
            if outbound:
                self.cut_links.add((name, other))

    async def deliver(self, sender: str, to: str, message: Any) -> Any:
        """Delivers a message to a node; returns its answer."""
        await self._travel(sender, to)
        await self._pass_links(sender, to, message)
        answer = await self.handle_message(sender, to, message)
        await asyncio.sleep(self.reply_delay.get(sender, 0.0))
        await self._travel(to, sender)
        await self._pass_links(to, sender, answer)
        return answer

    async def _pass_links(self, sender: str, to: str, message: Any) -> None:
        """Waits until a message has passed the links of both nodes.

        A message that its receiver no longer waits for occupies them too.
        """
        if message is None:
            return
        now = asyncio.get_running_loop().time()
        until = now
        for link in ((sender, True), (to, False)):
            rate = self.link_rates.get(link[0])
            if rate is None:
                continue
            size = len(encode_body(message))
            self.link_bytes[link[0]] += size
            free_at = max(self._link_free_at.get(link, now), now) + size / rate
            self._link_free_at[link] = free_at
            until = max(until, free_at)
        await asyncio.sleep(until - now)

    async def _travel(self, sender: str, to: str) -> None:
        await asyncio.sleep(self.rng.uniform(*self._delays))
        is_lost = self.rng.random() < self.loss
        if (
            is_lost
            or (sender, to) in self.cut_links
            or to not in self.running()
        ):
            # As on a real network, the sender notices a loss only by a timeout.
            await asyncio.sleep(60.0)
            raise PeerError("travel", to, "lost")


class FaultyPeers:
    """Implements `ports.peers.Peers` for one node of the network."""

    def __init__(self, network: FaultyNetwork, name: str) -> None:
        self._network = network
        self._name = name

    def send(self, address: str, message: Any) -> None:
        """Sends a message, which may be lost."""
        coroutine = self._network.deliver(self._name, address, message)
        self._network.spawn(_ignore_errors(coroutine))

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Returns the answer to a message.

        Raises:
            PeerError: there was no answer within `timeout` seconds.
        """
        coroutine = self._network.deliver(self._name, address, message)
        try:
            return await asyncio.wait_for(coroutine, timeout)
        except TimeoutError as error:
            step = type(message).__name__
            raise PeerError(step, address, "no answer in time") from error


async def _ignore_errors(coroutine: Any) -> None:
    try:
        await coroutine
    except (TimeoutError, PeerError):
        return
