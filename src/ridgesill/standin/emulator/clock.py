"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class NothingScheduledError(Exception):
    """The event loop would wait forever: no timer is set, nothing is ready."""


class _JumpingSelector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    """Advances the clock by the timeout of `select` instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise NothingScheduledError(
                "virtual clock: no timer is set and nothing is ready; a task "
                "waits for an event that no other task sets"
            )
        if timeout > 0:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, in seconds from 0."""

    def __init__(self) -> None:
        self._selector = _JumpingSelector()
        super().__init__(self._selector)
        # asyncio runs timers that are due within this resolution. The clock
        # advances exactly to the next timer, so a small resolution keeps runs
        # with equal seeds identical.
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Returns the virtual time, in seconds."""
        return self._selector.now


def run_on_virtual_clock(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine on a `VirtualLoop` and returns its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
