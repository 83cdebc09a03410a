"""The way from worker threads to the decisions on the event loop."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class Bridge:
    """Runs coroutines on the loop for threads, and waits for their results."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def call(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Returns a coroutine's result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def post(self, function: Any, *args: Any) -> None:
        """Calls a function on the loop without waiting for it."""
        self._loop.call_soon_threadsafe(function, *args)
