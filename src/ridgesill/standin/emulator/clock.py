"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class StuckError(Exception):
    """Nothing is left that could happen."""


class _Jumps(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    """Moves the clock on by what a wait would have lasted."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise StuckError("no timer is set and nothing is ready")
        if timeout > 0:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, in seconds from 0."""

    def __init__(self) -> None:
        self._jumps = _Jumps()
        super().__init__(self._jumps)
        # The loop adds this to the time when it looks for due timers; jumps
        # are exact, so that equal seeds play alike.
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Returns the virtual time."""
        return self._jumps.now


def run_virtually(work: Coroutine[Any, Any, Any]) -> Any:
    """Returns what a coroutine returns, run on virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
