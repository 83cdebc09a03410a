"""An emulated network for messages between nodes."""

import asyncio
from collections.abc import Callable
from typing import Any

from ridgesill.ports.peers import PeerError


class EmulatedPeers:
    """Delivers messages between nodes after a delay; implements `Peers`.

    Args:
        nodes: message handlers by address, called with sender and message.
        name: address of the sending node.
        delay: one-way delay, in seconds.
    """

    def __init__(
        self, nodes: dict[str, Callable[..., Any]], name: str, delay: float
    ) -> None:
        self._nodes = nodes
        self._name = name
        self._delay = delay
        # Strong references: the event loop keeps only weak ones.
        self._sent: set[asyncio.Task[Any]] = set()

    def send(self, address: str, message: Any) -> None:
        """Sends a message and ignores its answer and errors."""
        task = asyncio.ensure_future(self._deliver(address, message))
        self._sent.add(task)
        task.add_done_callback(self._end_sent)

    def _end_sent(self, task: asyncio.Task[Any]) -> None:
        self._sent.discard(task)
        if not task.cancelled():
            task.exception()

    async def _deliver(self, address: str, message: Any) -> Any:
        await asyncio.sleep(self._delay)
        handle = self._nodes.get(address)
        if handle is None:
            await asyncio.Event().wait()
            return None
        answer = await handle(self._name, message)
        await asyncio.sleep(self._delay)
        return answer

    async def call(self, address: str, message: Any, timeout: float) -> Any:
        """Sends a message and waits for the answer.

        A message to an unknown address gets no answer, as one to a stopped
        node.

        Raises:
            PeerError: no answer came within `timeout` seconds.
        """
        try:
            return await asyncio.wait_for(
                self._deliver(address, message), timeout
            )
        except TimeoutError as error:
            step = type(message).__name__
            raise PeerError(step, address, "no answer in time") from error
