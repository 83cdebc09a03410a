"""Shares the time of the event loop among connections with much to parse."""

import asyncio
from collections import deque
from typing import Protocol

# Parts of a message that a connection parses before others have their turn. A
# part takes about 20 microseconds.
MAX_EVENTS_AT_ONCE = 64


class Parser(Protocol):
    """A connection with received bytes that aren't parsed yet."""

    def parse_more(self) -> None:
        """Parses a limited number of events."""


class ParseQueue:
    """Lets one connection after the other parse, one a turn of the loop.

    A body in chunks of a byte takes thousands of times the processor time of a
    body in one piece, and a head of many headers a hundred times that of a
    usual one. All connections that send such requests together take one slice
    of each turn, so that other requests are served between the slices.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._waiting: deque[Parser] = deque()
        self._is_scheduled = False

    def __len__(self) -> int:
        """Returns the number of connections that wait."""
        return len(self._waiting)

    def add(self, parser: Parser) -> None:
        """Queues a connection that isn't queued yet."""
        self._waiting.append(parser)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run_next)

    def _run_next(self) -> None:
        self._is_scheduled = False
        parser = self._waiting.popleft()
        try:
            parser.parse_more()
        finally:
            self._schedule()
