"""Messages between emulated nodes."""

import asyncio
from collections.abc import Callable
from typing import Any

from ridgesill.ports.peers import PeerError


class EmulatedPeers:
    """Carries messages between nodes, with a delay.

    Args:
        nodes: takes a message from a sender, by address.
        name: of the sender.
        delay: one way.
    """

    def __init__(
        self, nodes: dict[str, Callable[..., Any]], name: str, delay: float
    ) -> None:
        self._nodes = nodes
        self._name = name
        self._delay = delay

    def send(self, address: str, message: Any) -> None:
        """Sends a message that expects no answer."""
        task = asyncio.ensure_future(self._deliver(address, message))
        task.add_done_callback(lambda done: done.exception())

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
        """Returns the answer to a message."""
        try:
            return await asyncio.wait_for(
                self._deliver(address, message), timeout
            )
        except TimeoutError as error:
            step = type(message).__name__
            raise PeerError(step, address, "no answer in time") from error
