"""Lets worker threads run code on the event loop."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class Bridge:
    """Runs coroutines and functions on the event loop for other threads.

    Args:
        loop: the event loop, which runs on another thread.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def call(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine on the loop and waits for its result.

        An error of the coroutine is raised here.
        """
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def post(self, function: Any, *args: Any) -> None:
        """Schedules a function on the loop and returns at once."""
        self._loop.call_soon_threadsafe(function, *args)
