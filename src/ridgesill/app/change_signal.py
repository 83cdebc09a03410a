"""A signal that wakes the tasks that wait for a change."""

import asyncio


class ChangeSignal:
    """Wakes the tasks that wait at the time of a change, and no later ones."""

    def __init__(self) -> None:
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wakes all tasks that are waiting now."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, seconds: float) -> bool:
        """Waits for the next change; returns False on a timeout.

        Args:
            seconds: time limit of the wait.
        """
        try:
            await asyncio.wait_for(self._changed.wait(), seconds)
        except TimeoutError:
            return False
        return True
