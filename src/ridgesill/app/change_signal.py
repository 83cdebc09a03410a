"""Wakes tasks that wait for something to change."""

import asyncio


class ChangeSignal:
    """Tells everyone who waits of a change, and nobody who comes later."""

    def __init__(self) -> None:
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wakes everyone who waits now."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, seconds: float) -> bool:
        """Returns whether there is a change within some seconds."""
        try:
            await asyncio.wait_for(self._changed.wait(), seconds)
        except TimeoutError:
            return False
        return True
