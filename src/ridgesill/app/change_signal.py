"""A signal that wakes the tasks that wait for a change."""

import asyncio


class ChangeSignal:
    """Wakes all current waiters; later ones wait for the next change."""

    def __init__(self) -> None:
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wakes all tasks that are waiting now."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, seconds: float) -> bool:
        """Waits for the next change; returns False if it takes too long.

        Args:
            seconds: how long to wait at most.
        """
        try:
            await asyncio.wait_for(self._changed.wait(), seconds)
        except TimeoutError:
            return False
        return True
