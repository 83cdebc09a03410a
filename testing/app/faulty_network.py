"""Nodes' way to each other, which loses, delays and cuts; on a paused clock."""

import asyncio
import random
from collections.abc import Container, Iterable
from typing import Any

from ridgesill.ports.peers import PeerError


class FaultyNetwork:
    """What worlds of several nodes share.

    Args:
        seed: decides losses and delays.
        loss: the share of messages that are lost.
        delays: the shortest and the longest way, in seconds.
    """

    def __init__(
        self, seed: int, loss: float, delays: tuple[float, float]
    ) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.cut_links: set[tuple[str, str]] = set()
        self.reply_delay: dict[str, float] = {}
        self._delays = delays
        self._spawned: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Any) -> None:
        """Runs a coroutine on its own."""
        task = asyncio.ensure_future(work)
        self._spawned.add(task)
        task.add_done_callback(self._spawned.discard)

    def stop_spawned(self) -> None:
        """Ends what runs on its own."""
        for task in list(self._spawned):
            task.cancel()

    def names(self) -> Iterable[str]:
        """Returns all nodes, also those that are stopped."""
        raise NotImplementedError

    def running(self) -> Container[str]:
        """Returns the nodes that take messages."""
        raise NotImplementedError

    async def handle_message(self, sender: str, name: str, message: Any) -> Any:
        """Has a node take a message; returns its answer."""
        raise NotImplementedError

    def isolate(self, name: str, *, inbound: bool, outbound: bool) -> None:
        """Cuts a node off in one direction or both."""
        for other in self.names():
            if inbound:
                self.cut_links.add((other, name))
            if outbound:
                self.cut_links.add((name, other))

    async def deliver(self, sender: str, to: str, message: Any) -> Any:
        """Takes a message to a node and its answer back."""
        await self._travel(sender, to)
        answer = await self.handle_message(sender, to, message)
        await asyncio.sleep(self.reply_delay.get(sender, 0.0))
        await self._travel(to, sender)
        return answer

    async def _travel(self, sender: str, to: str) -> None:
        await asyncio.sleep(self.rng.uniform(*self._delays))
        is_lost = self.rng.random() < self.loss
        if (
            is_lost
            or (sender, to) in self.cut_links
            or to not in self.running()
        ):
            # As on a real network, a loss shows only by silence.
            await asyncio.sleep(60.0)
            raise PeerError("travel", to, "lost")


class FaultyPeers:
    """A node's way to the others; implements `ports.peers.Peers`."""

    def __init__(self, network: FaultyNetwork, name: str) -> None:
        self._network = network
        self._name = name

    def send(self, address: str, message: Any) -> None:
        """Sends a message that may be lost."""
        work = self._network.deliver(self._name, address, message)
        self._network.spawn(_ignore_errors(work))

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Returns the answer, or raises `PeerError`."""
        work = self._network.deliver(self._name, address, message)
        try:
            return await asyncio.wait_for(work, timeout)
        except TimeoutError as error:
            step = type(message).__name__
            raise PeerError(step, address, "no answer in time") from error


async def _ignore_errors(work: Any) -> None:
    try:
        await work
    except (TimeoutError, PeerError):
        return
